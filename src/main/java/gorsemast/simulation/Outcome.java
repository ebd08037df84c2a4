package gorsemast.simulation;

import java.util.List;
import java.util.Map;

/**
 * What a day came to.
 *
 * @param asked requests of clients
 * @param served of them
 * @param judged requests that an edge handled by some configuration
 * @param bound of them, those for which some bound of time held
 * @param times how long things took, by what it was, in microseconds
 * @param edgeBytes that an edge sent over its links a second, on average
 * @param edgeRecords that it sent a second
 */
public record Outcome(
        int asked,
        int served,
        int judged,
        int bound,
        Map<String, List<Long>> times,
        double edgeBytes,
        double edgeRecords) {
    /** A trouble, from its time until it struck, as it may have to wait its turn. */
    public static final String STRUCK = "struck ";
    /** An order of the operator, until it is acknowledged. */
    public static final String ACKNOWLEDGED = "order acknowledged";
    /** An edge that starts, until it is ready. */
    public static final String READY = "edge ready after a start";
    /** A closing fault, from its end until a request is served. */
    public static final String SERVED_AGAIN = "served again after a closing fault";
    /** The primary is lost, until there is another one. */
    public static final String TAKEN_OVER = "another primary after ";
    /** An edge is back, until it holds what a synced registry holds. */
    public static final String CAUGHT_UP = "edge caught up after ";
}
