/** The log of the system's programs: one line an event, with the part's prefix. */
package gorsemast.logging;
