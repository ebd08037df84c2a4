/** Limits on buffered request bodies and on responses handed to the kernel; decided without I/O. */
package gorsemast.retention;
