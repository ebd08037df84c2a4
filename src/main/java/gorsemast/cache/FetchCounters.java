package gorsemast.cache;

import java.util.StringJoiner;

/**
 * Counts of {@link FetchEvent}s since the start of the process, and how long those that have a duration took in all.
 * O(1) an event; one thread; times in microseconds.
 */
public final class FetchCounters {
    private static final FetchEvent[] EVENTS = FetchEvent.values();
    private static final long MICROS_PER_MILLI = 1_000;

    private final long[] counts = new long[EVENTS.length];
    private final long[] elapsed = new long[EVENTS.length];
    private long changes;
    private long described;

    /** It happened once more. */
    public void count(FetchEvent event) {
        count(event, 0);
    }

    /** It happened once more, and took so long. */
    public void count(FetchEvent event, long micros) {
        counts[event.ordinal()]++;
        elapsed[event.ordinal()] += micros;
        changes++;
    }

    /** It happened so many times more. */
    public void add(FetchEvent event, int times) {
        counts[event.ordinal()] += times;
        changes += times;
    }

    /** How often it has happened. */
    public long of(FetchEvent event) {
        return counts[event.ordinal()];
    }

    /** Whether anything was counted since {@link #describe} was last called. */
    public boolean changed() {
        return changes != described;
    }

    /** What has happened at all, with its mean duration where it has one: words for the log. */
    public String describe() {
        described = changes;
        StringJoiner words = new StringJoiner(", ");
        for (FetchEvent event : EVENTS) {
            long count = of(event);
            if (count > 0) {
                long millis = elapsed[event.ordinal()] / count / MICROS_PER_MILLI;
                words.add(event.words() + ' ' + count + (millis > 0 ? " (" + millis + " ms)" : ""));
            }
        }
        return words.toString();
    }
}
