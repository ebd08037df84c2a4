package gorsemast.proxy;

/** The value of the {@code Retry-After} header: seconds with a fraction. */
final class RetryAfter {
    /** Where no better estimate exists. */
    static final long DEFAULT_MICROS = 300_000;
    /** While the edge checks whether its state is the newest. */
    static final long CHECKING_MICROS = 100_000;
    /** When the process ends: other edges serve at once. */
    static final long SHUTDOWN_MICROS = 100_000;

    private static final long MICROS_PER_MILLI = 1_000;
    private static final long MICROS_PER_SECOND = 1_000_000L;

    private RetryAfter() {}

    /** Formats microseconds as seconds with three decimals, at least 0.001. */
    static String format(long micros) {
        long millis = Math.max(1, micros / MICROS_PER_MILLI);
        return millis / 1_000 + "." + millis % 1_000 / 100 + millis % 100 / 10 + millis % 10;
    }

    /** Parses seconds with a fraction into microseconds; the default for anything else. */
    static long parse(String seconds) {
        try {
            return (long) (Double.parseDouble(seconds) * MICROS_PER_SECOND);
        } catch (NumberFormatException e) {
            return DEFAULT_MICROS;
        }
    }
}
