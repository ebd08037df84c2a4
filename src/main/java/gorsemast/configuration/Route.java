package gorsemast.configuration;

import java.util.List;

/**
 * A route: which requests it matches, how they are handled, and where they go.
 *
 * @param host in lower case, without a port
 * @param prefix begins and ends with a slash
 * @param timeoutMicros the operator's limit for a request
 * @param targetLatencyMicros the latency up to which a response has its full value
 * @param priority 0 is highest
 * @param services where its requests go, by weight; at least one weight is above 0
 * @param maxAttempts to how many servers one try may be sent
 * @param ttlMicros how long a response may be cached; 0 for not at all
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
    /** The effect of repeating a request. */
    public enum Kind {
        CACHEABLE,
        IDEMPOTENT,
        NON_IDEMPOTENT
    }

    /** A service and its weight. */
    public record WeightedService(String service, double weight) {}

    /** Returns whether a request may run more than once. */
    public boolean isRepeatable() {
        return kind != Kind.NON_IDEMPOTENT;
    }

    /** Selects the service for a request by a random number in [0, 1). */
    public String selectService(double random) {
        double total = 0;
        for (WeightedService candidate : services) {
            total += candidate.weight();
        }
        double remaining = random * total;
        String last = null;
        for (WeightedService candidate : services) {
            if (candidate.weight() > 0) {
                last = candidate.service();
                remaining -= candidate.weight();
                if (remaining < 0) {
                    return last;
                }
            }
        }
        return last;
    }
}
