/**
 * Content: copies of what may be held, how long each may be served, what purges take away, and which edge is an object's
 * home. No I/O, no clock, no threads.
 */
package gorsemast.cache;
