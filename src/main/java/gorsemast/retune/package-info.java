/** Changes of configuration while requests of the previous one are in flight; decided without I/O. */
package gorsemast.retune;
