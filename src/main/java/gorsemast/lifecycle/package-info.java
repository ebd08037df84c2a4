/** Decides when a proxy accepts clients and when it drains them; without I/O. */
package gorsemast.lifecycle;
