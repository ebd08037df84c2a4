package gorsemast.cache;

/**
 * Estimates how long to wait for another edge before its object is fetched elsewhere: the mean response time plus a
 * multiple of its deviation, as TCP's retransmission timeout (RFC 6298), within bounds. A home that asks a fetcher is
 * silent for two more network paths, so the bounds follow the target latency there: a timeout that is too short sends
 * every miss to a second home, which has the object fetched again. O(1); not thread-safe; times are in microseconds.
 */
public final class ResponseTimeoutEstimator {
    static final long MIN_MICROS = 120_000;
    static final long MAX_MICROS = 500_000;
    private static final double MIN_TARGET_RATIO = 1.2;
    private static final double MAX_TARGET_RATIO = 1.5;
    private static final double GAIN = 0.125;
    private static final double DEVIATIONS = 5;

    private double mean = 60_000;
    private double deviation = 30_000;

    /** Records how long a response took. */
    public void recordResponse(long elapsed) {
        deviation += GAIN * (Math.abs(elapsed - mean) - deviation);
        mean += GAIN * (elapsed - mean);
    }

    /**
     * The timeout for the next response.
     *
     * @param targetLatency of the response where homes ask fetchers; 0 where they don't
     */
    public long timeoutMicros(long targetLatency) {
        double min = Math.max(MIN_MICROS, MIN_TARGET_RATIO * targetLatency);
        double max = Math.max(MAX_MICROS, MAX_TARGET_RATIO * targetLatency);
        return (long) Math.max(min, Math.min(max, mean + DEVIATIONS * deviation));
    }
}
