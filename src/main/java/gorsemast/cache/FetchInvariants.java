package gorsemast.cache;

import java.util.Locale;
import java.util.StringJoiner;

/**
 * What must hold of all fetches, whoever is killed, frozen or cut off, checked while the program runs: each ends exactly once and
 * within its time, and each right to send is used or given back by then. Violations are counted, and nothing else follows from
 * them. O(1) an event; one thread.
 */
public final class FetchInvariants {
    /** What was violated. */
    public enum Violation {
        /** Whoever was asked has answered twice: the second answer was dropped. */
        ENDED_TWICE,
        /** A fetch is out for longer than any of its limits allow, and all who ask for its object wait with it. */
        NEVER_ENDED,
        /** More rights are taken than fetches are out: one was neither used nor given back. */
        RIGHT_UNSETTLED
    }

    private final long[] counts = new long[Violation.values().length];

    /** It was violated once more. */
    void record(Violation what) {
        counts[what.ordinal()]++;
    }

    /** How often it was violated since the start. */
    public long count(Violation what) {
        return counts[what.ordinal()];
    }

    /** How often anything was. */
    public long total() {
        long sum = 0;
        for (long count : counts) {
            sum += count;
        }
        return sum;
    }

    /** What was violated, as words for the log. */
    public String describe() {
        StringJoiner words = new StringJoiner(", ");
        for (Violation what : Violation.values()) {
            if (count(what) > 0) {
                words.add(what.name().toLowerCase(Locale.ROOT).replace('_', ' ') + ' ' + count(what));
            }
        }
        return words.toString();
    }
}
