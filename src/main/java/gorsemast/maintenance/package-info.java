/**
 * Which machines are out for work, which may go next, and in which order: decisions without I/O, clock or threads. The
 * list changes by commands of a replicated log alone, so that all who read the log agree.
 */
package gorsemast.maintenance;
