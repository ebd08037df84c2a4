package gorsemast.proxy;

/**
 * Tells how long ago an edge's configuration was known to be the newest, and whether the process stood still: stopped,
 * out of its processor quota, or in a long collection. Single-threaded; times in microseconds of a monotonic clock.
 */
final class ConfigurationFreshness {
    /** A process that did not run for longer than this stood still. Its periodic work is due four times as often. */
    static final long STALL_MICROS = 4 * ProxyNode.TICK_MICROS;

    private static final long MICROS_PER_MILLI = 1_000;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private long lastRunAt;
    private long resumedAt = NEVER;
    private long lastStallMicros;
    private long confirmedAt = NEVER;

    ConfigurationFreshness(long now) {
        this.lastRunAt = now;
    }

    /** Records that the process runs; returns whether it stood still since the last call. */
    boolean recordRunning(long now) {
        long pause = now - lastRunAt;
        lastRunAt = now;
        if (pause <= STALL_MICROS) {
            return false;
        }
        resumedAt = now;
        lastStallMicros = pause;
        return true;
    }

    /** Records that the configuration includes all that had been acknowledged by then. */
    void recordConfirmed(long at) {
        confirmedAt = Math.max(confirmedAt, at);
    }

    /** Describes the age of the configuration and the last stall, for the log. */
    String describe(long now) {
        String age = confirmedAt == NEVER
                ? "never confirmed"
                : "confirmed " + (now - confirmedAt) / MICROS_PER_MILLI + " ms ago";
        String stall = resumedAt == NEVER
                ? "never stood still"
                : "stood still for " + lastStallMicros / MICROS_PER_MILLI + " ms until "
                        + (now - resumedAt) / MICROS_PER_MILLI + " ms ago";
        return age + ", " + stall;
    }
}
