/** How the list of cache nodes is asked for: decisions without I/O. */
package gorsemast.register;
