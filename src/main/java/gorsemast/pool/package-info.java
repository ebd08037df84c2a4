/**
 * Decides how many connections to keep and to open for each cache node, without I/O, clock or threads; the owner of the
 * sockets reports their state and carries out the decisions. Times are the caller's, in
 * microseconds from any origin; an instance belongs to one thread.
 */
package gorsemast.pool;
