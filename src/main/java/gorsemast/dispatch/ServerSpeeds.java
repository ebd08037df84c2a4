package gorsemast.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long each server of a service takes relative to the others, from this edge's observations and those
 * of other edges.
 *
 * <p>An answer's time is divided by the usual time of its request class and smoothed; time in a server's queue counts
 * too, as it should. One edge sees only a few answers per second, so the pooled observations of all edges are added,
 * weighted by their number of answers but at half the weight of its own, and are ignored after {@link
 * #POOLED_VALID_MICROS}.
 *
 * <p>A server that was slow and has recovered gets little traffic until it has been tried again. O(1) for a server's
 * weight; not thread-safe; times are in microseconds.
 */
final class ServerSpeeds {
    /** A server's weight is divided by this power of its relative response time. */
    private static final double SLOWNESS_EXPONENT = 3;

    private static final double SMOOTHING = 0.1;
    private static final double MIN_SLOWNESS = 0.33;
    private static final double MAX_SLOWNESS = 4;
    /** Number of answers of usual speed that an unknown server starts with. */
    private static final double PRIOR_ANSWERS = 2;

    static final double MAX_OWN_ANSWERS = 20;
    private static final double POOLED_WEIGHT = 0.5;
    /** Pooled observations count for at most this many answers. */
    static final double MAX_POOLED_ANSWERS = 200;

    static final long POOLED_VALID_MICROS = 15_000_000;
    /** The module gets new weights when a server's slowness changes by more than this factor. */
    private static final double SIGNIFICANT_CHANGE = 1.1;

    /** Observed slowness of a server and the number of answers behind it. */
    record Observation(double slowness, double answers) {}

    private final Map<Integer, Double> usualMicrosByClass = new HashMap<>();
    private final Map<String, Observation> ownObservations = new HashMap<>();
    private Map<String, Observation> pooledObservations = Map.of();
    private long pooledAt;
    private final Map<String, Double> reportedSlowness = new HashMap<>();

    /** Records how long a server took for a request of this class. */
    void recordAnswer(String server, int requestClass, long elapsed) {
        double before = usualMicrosByClass.getOrDefault(requestClass, (double) elapsed);
        usualMicrosByClass.put(requestClass, before + SMOOTHING / 2 * (elapsed - before));
        double ratio = Math.max(MIN_SLOWNESS, Math.min(MAX_SLOWNESS, elapsed / Math.max(1, before)));
        Observation seen = ownObservations.getOrDefault(server, new Observation(1, 0));
        ownObservations.put(
                server,
                new Observation(
                        seen.slowness + SMOOTHING * (ratio - seen.slowness),
                        Math.min(MAX_OWN_ANSWERS, seen.answers + 1)));
    }

    /** Sets what all edges together have observed. */
    void applyPooled(long now, Map<String, Observation> pooled) {
        pooledObservations = new HashMap<>(pooled);
        pooledObservations.values().removeIf(seen -> !Double.isFinite(seen.slowness) || !Double.isFinite(seen.answers));
        pooledAt = now;
    }

    /** This edge's observations, for other edges. */
    Map<String, Observation> ownObservations() {
        return ownObservations;
    }

    /** The server's response time as a multiple of the usual one. */
    double slowness(long now, String server) {
        Observation own = ownObservations.getOrDefault(server, new Observation(1, 0));
        double weight = PRIOR_ANSWERS + own.answers;
        double sum = PRIOR_ANSWERS + own.slowness * own.answers;
        Observation pooled = pooledObservations.get(server);
        if (pooled != null && now - pooledAt < POOLED_VALID_MICROS) {
            double pooledAnswers = POOLED_WEIGHT * Math.max(0, Math.min(MAX_POOLED_ANSWERS, pooled.answers));
            weight += pooledAnswers;
            sum += pooledAnswers * Math.max(MIN_SLOWNESS, Math.min(MAX_SLOWNESS, pooled.slowness));
        }
        return sum / weight;
    }

    /** The factor for the server's weight; its slowness counts as reported to the module. */
    double weightFactor(long now, String server) {
        double slow = slowness(now, server);
        reportedSlowness.put(server, slow);
        return Math.pow(slow, -SLOWNESS_EXPONENT);
    }

    /** Whether a server's slowness differs significantly from what was reported to the module. */
    boolean hasChanged(long now, String server) {
        double slow = slowness(now, server);
        double before = reportedSlowness.getOrDefault(server, 1.0);
        return slow > before * SIGNIFICANT_CHANGE || before > slow * SIGNIFICANT_CHANGE;
    }

    /** Forgets all other servers. */
    void retainOnly(Collection<String> servers) {
        ownObservations.keySet().retainAll(servers);
        reportedSlowness.keySet().retainAll(servers);
    }
}
