/** When a proxy takes clients and when it sends them away; decided without I/O. */
package gorsemast.lifecycle;
