/**
 * News: what all processes of the delivery network come to know, merged the same way everywhere, passed on to a few and
 * mended by digests. No I/O, no clock, no threads.
 */
package gorsemast.gossip;
