/** Lease-based election of the process that carries out a duty for all; logic without I/O. */
package gorsemast.election;
