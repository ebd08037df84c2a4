/** Logging for the programs: one line per event, with the component's prefix. */
package gorsemast.logging;
