/**
 * Links between the system's own processes: framed {@code DataOutputStream} messages over TCP, with a version byte and
 * bounded lengths, and the gossip protocol on top.
 */
package gorsemast.peer;
