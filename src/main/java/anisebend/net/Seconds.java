package anisebend.net;

/** Times in headers: seconds with three decimals, as the protocol has them. */
final class Seconds {
    private static final long MICROS_IN_MILLI = 1_000;
    private static final int MILLIS = 1_000;
    private static final int DIGITS = 3;

    private Seconds() {}

    /** Rounded up to a whole millisecond, so that what is left or to be waited for is never 0. */
    static String of(long micros) {
        long millis = Math.max(1, (micros + MICROS_IN_MILLI - 1) / MICROS_IN_MILLI);
        String decimals = Long.toString(MILLIS + millis % MILLIS); // with a digit ahead that keeps the zeros
        return millis / MILLIS + "." + decimals.substring(decimals.length() - DIGITS);
    }
}
