package gorsemast.proxy;

import java.util.OptionalLong;

/** The value of the {@code Time-Budget} header: the milliseconds that a client waits for its response. */
final class TimeBudget {
    private static final long MICROS_PER_MILLI = 1_000;

    private TimeBudget() {}

    /**
     * Parses the header's value.
     *
     * @param header null where the request has none
     * @return microseconds, 0 if nothing is left, {@link Long#MAX_VALUE} without a header; empty for anything but a number
     */
    static OptionalLong parse(String header) {
        if (header == null) {
            return OptionalLong.of(Long.MAX_VALUE);
        }
        try {
            double millis = Double.parseDouble(header);
            return Double.isNaN(millis)
                    ? OptionalLong.empty()
                    : OptionalLong.of((long) Math.max(0, millis * MICROS_PER_MILLI));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
