/**
 * The operator's configuration as an immutable, validated snapshot, with the routing of requests. No I/O, no clock, no
 * threads.
 */
package gorsemast.configuration;
