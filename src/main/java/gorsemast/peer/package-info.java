/**
 * Links between the system's own processes: framed {@code DataOutputStream} records over TCP, one version byte, lengths
 * bounded. I/O and codec only.
 */
package gorsemast.peer;
