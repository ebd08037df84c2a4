/**
 * Caching of objects: which responses may be cached and for how long, what purges remove, and which edge is an
 * object's home. No I/O, clock or threads.
 */
package gorsemast.cache;
