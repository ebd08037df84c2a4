package gorsemast.cache;

/**
 * How much is asked for of one service's objects at this edge, and what follows for their homes.
 *
 * <p>A rate that forgets over {@link #SPAN_MICROS}; two bounds, so that homes do not change to and fro. One thread.
 */
public final class DemandTracker {
    private static final double SPAN_MICROS = 4e6;
    private static final double MICROS = 1e6;
    /** Of what the servers bear: below the first part each zone may have homes, above the second they are shared. */
    private static final double LOW = 0.9;

    private static final double HIGH = 2;

    private double rate;
    private long last;
    private boolean zoned = true;

    /** One request. */
    public void recordRequest(long now) {
        rate = at(now) + MICROS / SPAN_MICROS;
        last = now;
    }

    private double at(long now) {
        return rate * Math.exp((last - now) / SPAN_MICROS);
    }

    /**
     * Whether each zone has homes of its own.
     *
     * @param perSecond what the servers bear
     * @param edges that are asked about as often as this one
     */
    public boolean homesPerZone(long now, double perSecond, int edges) {
        double all = at(now) * edges;
        zoned = zoned ? all < HIGH * perSecond : all < LOW * perSecond;
        return zoned;
    }
}
