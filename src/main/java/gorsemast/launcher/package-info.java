/**
 * The way in: the entry point that starts one of the delivery network's three programs, with its signals.
 * (Arcen: a weather station; the entry point.)
 */
package gorsemast.launcher;
