/**
 * The way in: the entry point that starts one of the delivery network's three programs, with its signals.
 */
package gorsemast.launcher;
