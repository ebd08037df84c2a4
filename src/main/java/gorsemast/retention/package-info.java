/** What is kept of requests so that they can be tried, and how much of it at a time; decided without I/O. */
package gorsemast.retention;
