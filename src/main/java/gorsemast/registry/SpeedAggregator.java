package gorsemast.registry;

import java.util.HashMap;
import java.util.Map;

/**
 * What all edges together have seen of servers' speeds, as one registry knows it.
 *
 * <p><b>Idea.</b> An edge alone sees a handful of answers a second; each tells the registries what it has seen, and each is
 * told one sum by them, whose length follows the number of servers and not that of edges. A server's slowness is the mean
 * over edges, each by how much it has seen, {@link #MOST_SEEN} answers at most: one that lies moves little where there are
 * many. What an edge has told is let go after {@link #TOLD_MICROS}.
 *
 * <p>O(edges) a server at each sum. One thread; times in microseconds.
 */
public final class SpeedAggregator {
    static final double MOST_SEEN = 20;
    static final long TOLD_MICROS = 20_000_000;
    private static final double LEAST = 0.33;
    private static final double MOST = 4;

    private record Told(Map<String, double[]> servers, long at) {}

    private final Map<String, Told> edges = new HashMap<>();
    private boolean changed;

    /** An edge has told: by server how many times as long as usual it takes, and by how many answers that is known. */
    public void report(long now, String edge, Map<String, double[]> servers) {
        edges.put(edge, new Told(servers, now));
        changed = true;
    }

    /** Whether anything was told since the sum was last passed on to all. */
    public boolean changed() {
        return changed;
    }

    /** The sum has been passed on to all. */
    public void markSent() {
        changed = false;
    }

    /** The sum over all edges, in the same form as they tell it; a new map. */
    public Map<String, double[]> aggregate(long now) {
        edges.values().removeIf(told -> now - told.at > TOLD_MICROS);
        Map<String, double[]> all = new HashMap<>();
        for (Told told : edges.values()) {
            told.servers.forEach((server, seen) -> {
                double answers = Math.max(0, Math.min(MOST_SEEN, seen[1]));
                if (Double.isFinite(seen[0]) && answers > 0) {
                    double slowness = Math.max(LEAST, Math.min(MOST, seen[0]));
                    double[] sum = all.computeIfAbsent(server, id -> new double[2]);
                    sum[0] += slowness * answers;
                    sum[1] += answers;
                }
            });
        }
        all.values().forEach(sum -> sum[0] /= sum[1]);
        return all;
    }
}
