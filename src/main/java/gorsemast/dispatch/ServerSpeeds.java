package gorsemast.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * How long each server of a service takes beside the others, as this edge has seen it and as others have told.
 *
 * <p><b>Idea.</b> An answer's time in parts of what all servers take for its class, smoothed; what waits in a server's queue
 * counts too, as it should. An edge alone sees a handful of answers a second, so what all edges have seen together is taken
 * in, by how much they have seen, at half the weight of what was seen here, and is forgotten after {@link #POOLED_VALID_MICROS}.
 *
 * <p><b>When it could hurt.</b> A server that was slow and is so no more gets little until it has been tried again.
 * O(1) for a server's weight; one thread; times in microseconds.
 */
final class ServerSpeeds {
    /** How much less a server gets that is slower than the others: this power of how many times it takes as long. */
    private static final double POWER = 3;

    private static final double STEP = 0.1;
    private static final double LEAST = 0.33;
    private static final double MOST = 4;
    /** So many answers' worth of what is known before anything is. */
    private static final double PRIOR = 2;

    static final double MAX_OWN_ANSWERS = 20;
    private static final double OTHERS = 0.5;
    /** What all others have seen counts for no more than so many answers. */
    static final double MAX_POOLED_ANSWERS = 200;

    static final long POOLED_VALID_MICROS = 15_000_000;
    /** Beyond this factor a change is worth telling the module of. */
    private static final double CHANGED = 1.1;

    /** What somebody has seen of a server. */
    record Observation(double slowness, double answers) {}

    private final Map<Integer, Double> usual = new HashMap<>();
    private final Map<String, Observation> own = new HashMap<>();
    private Map<String, Observation> all = Map.of();
    private long allAt;
    private final Map<String, Double> told = new HashMap<>();

    /** A server has answered a request of this class after so long. */
    void recordAnswer(String server, int type, long elapsed) {
        double before = usual.getOrDefault(type, (double) elapsed);
        usual.put(type, before + STEP / 2 * (elapsed - before));
        double ratio = Math.max(LEAST, Math.min(MOST, elapsed / Math.max(1, before)));
        Observation seen = own.getOrDefault(server, new Observation(1, 0));
        own.put(
                server,
                new Observation(
                        seen.slowness + STEP * (ratio - seen.slowness), Math.min(MAX_OWN_ANSWERS, seen.answers + 1)));
    }

    /** What all edges have seen together. */
    void applyPooled(long now, Map<String, Observation> pooled) {
        all = new HashMap<>(pooled);
        all.values().removeIf(seen -> !Double.isFinite(seen.slowness) || !Double.isFinite(seen.answers));
        allAt = now;
    }

    /** What was seen here, for others. */
    Map<String, Observation> ownObservations() {
        return own;
    }

    /** How many times as long as usual it takes. */
    double slowness(long now, String server) {
        Observation mine = own.getOrDefault(server, new Observation(1, 0));
        double weight = PRIOR + mine.answers;
        double sum = PRIOR + mine.slowness * mine.answers;
        Observation pooled = all.get(server);
        if (pooled != null && now - allAt < POOLED_VALID_MICROS) {
            double part = OTHERS * Math.max(0, Math.min(MAX_POOLED_ANSWERS, pooled.answers));
            weight += part;
            sum += part * Math.max(LEAST, Math.min(MOST, pooled.slowness));
        }
        return sum / weight;
    }

    /** By what its share is multiplied; the module counts as told of it. */
    double weightFactor(long now, String server) {
        double slow = slowness(now, server);
        told.put(server, slow);
        return Math.pow(slow, -POWER);
    }

    /** Whether what the module was told of a server holds no more. */
    boolean hasChanged(long now, String server) {
        double slow = slowness(now, server);
        double before = told.getOrDefault(server, 1.0);
        return slow > before * CHANGED || before > slow * CHANGED;
    }

    /** Forgets all but these servers. */
    void retainOnly(Collection<String> servers) {
        own.keySet().retainAll(servers);
        told.keySet().retainAll(servers);
    }
}
