package gorsemast.configuration;

import java.util.List;

/**
 * One route: what its requests may do, where they go, and what they are worth.
 *
 * @param host in lower case, without a port
 * @param prefix begins and ends with a slash
 * @param timeoutMicros how long the operator wants a request held at most
 * @param targetLatencyMicros within which an answer earns its full worth
 * @param priority 0 is highest
 * @param services where its requests go, by weight; at least one weight is above 0
 * @param maxAttempts to so many servers one try may be sent
 * @param ttlMicros how long an answer may be held; 0 for not at all
 */
public record Route(
        String name,
        String host,
        String prefix,
        Kind kind,
        long timeoutMicros,
        long targetLatencyMicros,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        long ttlMicros) {
    /** What a repetition of a request does. */
    public enum Kind {
        CACHEABLE,
        IDEMPOTENT,
        NON_IDEMPOTENT
    }

    /** A service and its weight. */
    public record WeightedService(String service, double weight) {}

    /** Whether a request may run more than once. */
    public boolean isRepeatable() {
        return kind != Kind.NON_IDEMPOTENT;
    }

    /** The service for a request, by a number in [0, 1). */
    public String selectService(double drawn) {
        double sum = 0;
        for (WeightedService one : services) {
            sum += one.weight();
        }
        double at = drawn * sum;
        String last = null;
        for (WeightedService one : services) {
            if (one.weight() > 0) {
                last = one.service();
                at -= one.weight();
                if (at < 0) {
                    return last;
                }
            }
        }
        return last;
    }
}
