package gorsemast.store;

import java.io.IOException;

/** The outcome of a call to the store. */
public enum CallOutcome {
    /** The version is acknowledged and survives every tolerated loss. */
    DONE,
    /** The version number belongs to other content, as certainly as if that had been acknowledged here. */
    CONFLICT,
    /** Unknown: the call may have taken effect or not. */
    UNCERTAIN;

    private static final CallOutcome[] ALL = values();

    /** Returns the outcome with this ordinal. */
    public static CallOutcome of(int ordinal) throws IOException {
        if (ordinal < 0 || ordinal >= ALL.length) {
            throw new IOException("unknown call outcome " + ordinal);
        }
        return ALL[ordinal];
    }
}
