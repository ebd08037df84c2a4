package anisebend.net;

/** Formats durations for headers: seconds with three decimals. */
final class Seconds {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final int MILLIS_PER_SECOND = 1_000;
    private static final int DECIMALS = 3;

    private Seconds() {}

    /** Formats a duration, rounded up to a whole millisecond, so that a remaining time or retry delay is never 0. */
    static String of(long micros) {
        long millis = Math.max(1, (micros + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI);
        String paddedMillis =
                Long.toString(MILLIS_PER_SECOND + millis % MILLIS_PER_SECOND); // the leading 1 preserves zeros
        return millis / MILLIS_PER_SECOND + "." + paddedMillis.substring(paddedMillis.length() - DECIMALS);
    }
}
