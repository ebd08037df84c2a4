package gorsemast.registry;

import java.util.HashMap;
import java.util.Map;

/**
 * Aggregates the server speeds that all edges report to one registry.
 *
 * <p>A single edge sees only a handful of answers a second. Each edge reports what it measured to the registries and
 * receives one aggregate, whose size depends on the number of servers and not of edges. A server's slowness is the mean
 * over edges, weighted by their numbers of answers, at most {@link #MAX_ANSWERS_PER_EDGE}, so that one edge with wrong
 * figures has little weight among many. A report expires after {@link #REPORT_LIFETIME_MICROS}.
 *
 * <p>An aggregation takes O(edges) per server. Not thread-safe; times in microseconds.
 */
public final class SpeedAggregator {
    static final double MAX_ANSWERS_PER_EDGE = 20;
    static final long REPORT_LIFETIME_MICROS = 20_000_000;
    private static final double MIN_SLOWNESS = 0.33;
    private static final double MAX_SLOWNESS = 4;

    private record Report(Map<String, double[]> servers, long receivedAt) {}

    private final Map<String, Report> reports = new HashMap<>();
    private boolean changed;

    /** Takes the report of an edge: by server, its slowness relative to the others, and the number of answers measured. */
    public void report(long now, String edge, Map<String, double[]> servers) {
        reports.put(edge, new Report(servers, now));
        changed = true;
    }

    /** Returns whether a report has arrived since the aggregate was last sent to all edges. */
    public boolean changed() {
        return changed;
    }

    /** Notes that the aggregate has been sent to all edges. */
    public void markSent() {
        changed = false;
    }

    /** Returns the aggregate over all edges as a new map, in the form of the reports. */
    public Map<String, double[]> aggregate(long now) {
        reports.values().removeIf(report -> now - report.receivedAt > REPORT_LIFETIME_MICROS);
        Map<String, double[]> aggregated = new HashMap<>();
        for (Report report : reports.values()) {
            report.servers.forEach((server, observed) -> {
                double answers = Math.max(0, Math.min(MAX_ANSWERS_PER_EDGE, observed[1]));
                if (Double.isFinite(observed[0]) && answers > 0) {
                    double slowness = Math.max(MIN_SLOWNESS, Math.min(MAX_SLOWNESS, observed[0]));
                    double[] sum = aggregated.computeIfAbsent(server, id -> new double[2]);
                    sum[0] += slowness * answers;
                    sum[1] += answers;
                }
            });
        }
        aggregated.values().forEach(sum -> sum[0] /= sum[1]);
        return aggregated;
    }
}
