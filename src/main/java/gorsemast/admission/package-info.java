/**
 * Admission control: limits on client connections and concurrent requests, and load shedding when the process itself is
 * late. State machines without I/O, clock or threads; the caller gives the time, in microseconds
 * from any origin, and owns each instance on one thread.
 */
package gorsemast.admission;
