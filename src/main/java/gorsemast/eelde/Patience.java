package gorsemast.eelde;

/**
 * How long to wait for another edge before its object is fetched elsewhere: what answers usually take and some of their
 * deviations more, as TCP waits for acknowledgements (RFC 6298), within bounds. O(1); one thread; times in microseconds.
 */
public final class Patience {
    static final long LEAST_MICROS = 120_000;
    static final long MOST_MICROS = 500_000;
    private static final double GAIN = 0.125;
    private static final double DEVIATIONS = 5;

    private double mean = 60_000;
    private double deviation = 30_000;

    /** An answer took so long. */
    public void answered(long elapsed) {
        deviation += GAIN * (Math.abs(elapsed - mean) - deviation);
        mean += GAIN * (elapsed - mean);
    }

    /** How long the next one may take. */
    public long micros() {
        return Math.max(LEAST_MICROS, Math.min(MOST_MICROS, (long) (mean + DEVIATIONS * deviation)));
    }
}
