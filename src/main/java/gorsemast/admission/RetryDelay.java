package gorsemast.admission;

/**
 * When a client that is refused is to come back.
 *
 * <p><b>Idea.</b> Refused requests are asked again, and if all are told the same short time they come back in step and
 * are refused in step: the storm feeds itself. So the time told is the wait that is known, and something that grows
 * with the part of the requests that were refused lately, drawn over a factor of three. One refusal among many answers
 * comes back soon; where nearly all are refused, repeats thin out to what the answers can use. It is the client's side
 * of the project's jittered back-off; RFC 9110, section 10.2.3, has the header.
 *
 * <p><b>When it could hurt.</b> A client that heeds the time waits longer than it would have had to, once the cause is
 * gone: at most one and a half times {@link #MOST_MICROS} on top of the wait.
 *
 * <p><b>Bounds.</b> O(1) memory and time. Times in microseconds; one thread.
 */
public final class RetryDelay {
    /** On top of the wait while next to nothing is refused. */
    static final long FIRST_MICROS = 20_000;
    /** On top of the wait where everything is refused. */
    static final long MOST_MICROS = 400_000;
    /** Each end of a request counts for this part of the whole: about the last hundred tell. */
    private static final double NEW_PART = 0.01;

    private double refused;

    /** A request has been answered. */
    public void recordServed() {
        refused -= NEW_PART * refused;
    }

    /**
     * A request is refused; returns when it is to come back.
     *
     * @param wait what is known of how long the next one would wait, 0 for nothing
     * @param draw a random number from 0 to 1
     */
    public long recordRefused(long wait, double draw) {
        refused += NEW_PART * (1 - refused);
        return (long) ((wait + FIRST_MICROS + refused * (MOST_MICROS - FIRST_MICROS)) * (0.5 + draw));
    }

    /** The part of the requests that were refused lately, from 0 to 1. */
    public double refusedFraction() {
        return refused;
    }
}
