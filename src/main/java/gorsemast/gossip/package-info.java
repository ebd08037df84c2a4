/**
 * The gossip state that all processes of the delivery network replicate: entries merged the same way everywhere, and
 * digests to repair gaps. No I/O, no clock, no threads.
 */
package gorsemast.gossip;
