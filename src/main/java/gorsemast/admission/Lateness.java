package gorsemast.admission;

/**
 * Measures how late an event loop runs, by a periodic tick: the tick is delayed by whatever else the loop does. Between
 * two ticks the lateness is known too, as soon as the next one is overdue. The loop's own lateness must not be counted
 * against its peers.
 *
 * <p>Times in microseconds; one thread.
 */
public final class Lateness {
    private final long period;
    private long due;
    private long last;

    /** Creates a measurement of a tick that is due every {@code period} microseconds from {@code now} on. */
    public Lateness(long now, long period) {
        this.period = period;
        this.due = now + period;
    }

    /** Records a tick; returns how late it was. */
    public long tick(long now) {
        last = Math.max(0, now - due);
        due = now + period;
        return last;
    }

    /** Upper estimate of the present lateness: of the overdue next tick or of the last one, whichever is more. */
    public long estimate(long now) {
        long recent = due - now > period / 2 ? last : 0;
        return Math.max(recent, Math.max(0, now - due));
    }
}
