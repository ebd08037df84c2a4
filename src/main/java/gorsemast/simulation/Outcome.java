package gorsemast.simulation;

import java.util.List;
import java.util.Map;

/**
 * The measurements of one run.
 *
 * @param requested client requests sent
 * @param served client requests served
 * @param checked requests that an edge handled under some configuration
 * @param timeBound those of them to which a time bound applied
 * @param times how long things took, by what it was, in microseconds
 * @param edgeBytes that an edge sent over its links a second, on average
 * @param edgeRecords that it sent a second
 */
public record Outcome(
        int requested,
        int served,
        int checked,
        int timeBound,
        Map<String, List<Long>> times,
        double edgeBytes,
        double edgeRecords) {
    /** A fault, from its planned time until its injection, as it may have to wait for others. */
    public static final String INJECTED = "struck ";
    /** A change of the operator, until it is acknowledged. */
    public static final String ACKNOWLEDGED = "order acknowledged";
    /** An edge that starts, until it is ready. */
    public static final String READY = "edge ready after a start";
    /** A closing fault, from its end until a request is served. */
    public static final String SERVED_AGAIN = "served again after a closing fault";
    /** The primary is lost, until there is another one. */
    public static final String TAKEN_OVER = "another primary after ";
    /** An edge is back, until it has the state of a synced registry. */
    public static final String CAUGHT_UP = "edge caught up after ";
}
