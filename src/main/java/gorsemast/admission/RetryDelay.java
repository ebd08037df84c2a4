package gorsemast.admission;

/**
 * Computes the delay after which a refused client should retry.
 *
 * <p>If all refused clients were given the same short delay they would retry in step and be refused again in step. So
 * the delay is the known wait plus a part that grows with the fraction of requests refused recently, randomized over a
 * factor of three. A single refusal among many answers is retried soon; if nearly all requests are refused, retries
 * thin out to what can be served. RFC 9110, section 10.2.3, defines the header.
 *
 * <p>Once the cause is gone a client may wait longer than necessary: at most one and a half times {@link #MOST_MICROS}
 * on top of the wait.
 *
 * <p>O(1) memory and time. Times in microseconds; one thread.
 */
public final class RetryDelay {
    /** Added to the wait while almost nothing is refused. */
    static final long FIRST_MICROS = 20_000;
    /** Added to the wait if everything is refused. */
    static final long MOST_MICROS = 400_000;
    /** Weight of each finished request in the average, which so covers about the last hundred. */
    private static final double AVERAGE_WEIGHT = 0.01;

    private double refused;

    /** Records an answered request. */
    public void recordServed() {
        refused -= AVERAGE_WEIGHT * refused;
    }

    /**
     * Records a refused request; returns the delay after which to retry it.
     *
     * @param wait how long the next request is expected to wait, 0 if unknown
     * @param draw a random number from 0 to 1
     */
    public long recordRefused(long wait, double draw) {
        refused += AVERAGE_WEIGHT * (1 - refused);
        return (long) ((wait + FIRST_MICROS + refused * (MOST_MICROS - FIRST_MICROS)) * (0.5 + draw));
    }

    /** Fraction of requests refused recently, from 0 to 1. */
    public double refusedFraction() {
        return refused;
    }
}
