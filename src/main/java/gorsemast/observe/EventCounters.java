package gorsemast.observe;

import java.util.Locale;
import java.util.StringJoiner;

/**
 * Counts of events since the start of the process, and how long those that have a duration took on average.
 * O(1) an event; one thread; times in microseconds.
 *
 * @param <E> the events, which are counted by their ordinals
 */
public final class EventCounters<E extends Enum<E>> {
    private static final long MICROS_PER_MILLI = 1_000;

    private final E[] events;
    private final long[] counts;
    private final long[] elapsed;
    private long changes;
    private long described;

    /** Of the events of an enumeration. */
    public EventCounters(Class<E> kind) {
        this.events = kind.getEnumConstants();
        this.counts = new long[events.length];
        this.elapsed = new long[events.length];
    }

    /** It happened once more. */
    public void count(E event) {
        count(event, 0);
    }

    /** It happened once more, and took so long. */
    public void count(E event, long micros) {
        counts[event.ordinal()]++;
        elapsed[event.ordinal()] += micros;
        changes++;
    }

    /** It happened so many times more. */
    public void add(E event, int times) {
        counts[event.ordinal()] += times;
        changes += times;
    }

    /** How often it has happened. */
    public long of(E event) {
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
        for (E event : events) {
            long count = of(event);
            if (count > 0) {
                long millis = elapsed[event.ordinal()] / count / MICROS_PER_MILLI;
                words.add(words(event) + ' ' + count + (millis > 0 ? " (" + millis + " ms)" : ""));
            }
        }
        return words.toString();
    }

    private static String words(Enum<?> event) {
        return event.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
