/** The entry point that starts one of the delivery network's three programs and handles its signals. */
package gorsemast.launcher;
