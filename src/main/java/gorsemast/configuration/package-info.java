/**
 * The operator's configuration: read whole, checked, and held as an immutable snapshot; which route a request has.
 * No I/O, no clock, no threads.
 */
package gorsemast.configuration;
