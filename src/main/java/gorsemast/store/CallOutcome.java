package gorsemast.store;

import java.io.IOException;

/** How a call of the store ends. Values; any thread. */
public enum CallOutcome {
    /** What was asked for holds, and outlives what may be lost. */
    DONE,
    /** The number is taken by another content, as certainly as if that were acknowledged here. */
    CONFLICT,
    /** Nothing is known: it may have been done or not. */
    UNCERTAIN;

    private static final CallOutcome[] ALL = values();

    /** The outcome of this number. */
    public static CallOutcome of(int number) throws IOException {
        if (number < 0 || number >= ALL.length) {
            throw new IOException("no outcome " + number);
        }
        return ALL[number];
    }
}
