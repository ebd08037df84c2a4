package gorsemast.admission;

/**
 * How late a loop runs: something that is due each period is late by as much as everything else on that loop. Between
 * two runs it is known too, as soon as the next is overdue. What the loop itself was late with must never be held
 * against whoever it talks to.
 *
 * <p>Times in microseconds; one thread.
 */
public final class Lateness {
    private final long period;
    private long due;
    private long last;

    /** A loop whose tick is due each {@code period} microseconds from {@code now} on. */
    public Lateness(long now, long period) {
        this.period = period;
        this.due = now + period;
    }

    /** The tick has run; returns by how much it was late. */
    public long tick(long now) {
        last = Math.max(0, now - due);
        due = now + period;
        return last;
    }

    /** How late whatever is handled now may be: by what the next tick is overdue, or the last was, if that is more. */
    public long estimate(long now) {
        long recent = due - now > period / 2 ? last : 0;
        return Math.max(recent, Math.max(0, now - due));
    }
}
