/** Elections of the one process that carries out a duty for all; decisions without I/O. */
package gorsemast.election;
