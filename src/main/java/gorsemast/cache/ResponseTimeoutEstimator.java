package gorsemast.cache;

/**
 * How long to wait for another edge before its object is fetched elsewhere: what answers usually take and some of their
 * deviations more, as TCP waits for acknowledgements (RFC 6298), within bounds. A home that asks
 * another edge to fetch says nothing for two more ways, so there the bounds follow what an answer may take to be of use: too
 * short a wait sends every miss to a second home, which has it fetched again. O(1); one thread; times in microseconds.
 */
public final class ResponseTimeoutEstimator {
    static final long MIN_MICROS = 120_000;
    static final long MAX_MICROS = 500_000;
    private static final double LEAST_OF_AIM = 1.2;
    private static final double MOST_OF_AIM = 1.5;
    private static final double GAIN = 0.125;
    private static final double DEVIATIONS = 5;

    private double mean = 60_000;
    private double deviation = 30_000;

    /** An answer took so long. */
    public void recordResponse(long elapsed) {
        deviation += GAIN * (Math.abs(elapsed - mean) - deviation);
        mean += GAIN * (elapsed - mean);
    }

    /** How long the next one may take where homes ask others to fetch and it is wanted within {@code aim}; 0 where they don't. */
    public long timeoutMicros(long aim) {
        double least = Math.max(MIN_MICROS, LEAST_OF_AIM * aim);
        double most = Math.max(MAX_MICROS, MOST_OF_AIM * aim);
        return (long) Math.max(least, Math.min(most, mean + DEVIATIONS * deviation));
    }
}
