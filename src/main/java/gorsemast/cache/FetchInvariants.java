package gorsemast.cache;

import java.util.Locale;
import java.util.StringJoiner;

/**
 * Invariants of all fetches, checked while the program runs and valid whichever process is killed, suspended or
 * disconnected: each fetch ends exactly once and within its time, and each permit is used or released by then.
 * Violations are counted and have no other effect. O(1) per event; not thread-safe.
 */
public final class FetchInvariants {
    /** The invariant that was violated. Its lower-case name is written to the log. */
    public enum Violation {
        /** The same fetch was answered twice: the second answer was dropped. */
        ENDED_TWICE,
        /**
         * A fetch has run for longer than all of its timeouts allow, and all requests for its object wait with it.
         */
        NEVER_ENDED,
        /** More permits are taken than fetches are running: one was neither used nor released. */
        RIGHT_UNSETTLED
    }

    private final long[] counts = new long[Violation.values().length];

    /** Counts a violation. */
    void record(Violation violation) {
        counts[violation.ordinal()]++;
    }

    /** How often this invariant was violated since the start. */
    public long count(Violation violation) {
        return counts[violation.ordinal()];
    }

    /** How often any invariant was violated. */
    public long total() {
        long sum = 0;
        for (long count : counts) {
            sum += count;
        }
        return sum;
    }

    /** Describes the violations for the log. */
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
