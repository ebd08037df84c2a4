package gorsemast.cache;

/**
 * Estimates the request rate for one service's objects at this edge and decides from it whether each zone has its own
 * homes.
 *
 * <p>The rate decays exponentially over {@link #DECAY_MICROS}; two thresholds give hysteresis, so that homes do not
 * flap. Not thread-safe.
 */
public final class DemandTracker {
    private static final double DECAY_MICROS = 4e6;
    private static final double MICROS_PER_SECOND = 1e6;
    /**
     * Ratios to the servers' rate: below the first each zone gets its own homes, above the second all zones share
     * theirs.
     */
    private static final double ENABLE_ZONES_RATIO = 0.9;

    private static final double DISABLE_ZONES_RATIO = 2;

    private double ratePerSecond;
    private long updatedAt;
    private boolean homesPerZone = true;

    /** Records one request. */
    public void recordRequest(long now) {
        ratePerSecond = rateAt(now) + MICROS_PER_SECOND / DECAY_MICROS;
        updatedAt = now;
    }

    private double rateAt(long now) {
        return ratePerSecond * Math.exp((updatedAt - now) / DECAY_MICROS);
    }

    /**
     * Whether each zone has its own homes.
     *
     * @param serverRatePerSecond requests that the servers accept
     * @param edges number of edges, each assumed to have as many requests as this one
     */
    public boolean homesPerZone(long now, double serverRatePerSecond, int edges) {
        double totalRate = rateAt(now) * edges;
        homesPerZone = homesPerZone
                ? totalRate < DISABLE_ZONES_RATIO * serverRatePerSecond
                : totalRate < ENABLE_ZONES_RATIO * serverRatePerSecond;
        return homesPerZone;
    }
}
