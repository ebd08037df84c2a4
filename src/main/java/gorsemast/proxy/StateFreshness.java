package gorsemast.proxy;

/**
 * Tells whether an edge's state, its configuration above all, is recent enough to say that something does not
 * exist, and whether the process stood still: stopped, out of its processor quota, or in a long collection. Single-threaded; times in microseconds of a monotonic clock.
 */
final class StateFreshness {
    /** After a stall a registry that is reachable and synced confirms the configuration within this time. */
    private static final long CONFIRMATION_TIMEOUT_MICROS = 1_000_000;

    /** A process that did not run for longer than this stood still. Its periodic work is due four times as often. */
    static final long STALL_MICROS = 4 * ProxyNode.TICK_MICROS;

    private static final long MICROS_PER_MILLI = 1_000;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final long maxAgeMicros;
    private long lastRunAt;
    private long resumedAt = NEVER;
    private long lastStallMicros;
    private long configurationConfirmedAt = NEVER;
    private long stateConfirmedAt = NEVER;

    /** @param maxAgeMicros age up to which what is known counts as the newest */
    StateFreshness(long now, long maxAgeMicros) {
        this.lastRunAt = now;
        this.maxAgeMicros = maxAgeMicros;
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

    /**
     * Records what registries have confirmed.
     *
     * @param configurationAt when the configuration was the newest
     * @param stateAt when the whole state, with all purges and servers, was that of a synced registry
     */
    void recordConfirmed(long configurationAt, long stateAt) {
        configurationConfirmedAt = Math.max(configurationConfirmedAt, configurationAt);
        stateConfirmedAt = Math.max(stateConfirmedAt, stateAt);
    }

    /** Whether the configuration counts as the newest. */
    boolean isConfigurationCurrent(long now) {
        return now - configurationConfirmedAt <= maxAgeMicros;
    }

    /** Whether the process has just resumed and does not know yet what it has missed. */
    boolean isCatchingUp(long now) {
        boolean isCurrent = isConfigurationCurrent(now) && now - stateConfirmedAt <= maxAgeMicros;
        return now - resumedAt < CONFIRMATION_TIMEOUT_MICROS && !isCurrent;
    }

    /** Describes the age of the configuration and the last stall, for the log. */
    String describe(long now) {
        String age = configurationConfirmedAt == NEVER
                ? "never confirmed"
                : "confirmed " + (now - configurationConfirmedAt) / MICROS_PER_MILLI + " ms ago";
        String stall = resumedAt == NEVER
                ? "never stood still"
                : "stood still for " + lastStallMicros / MICROS_PER_MILLI + " ms until "
                        + (now - resumedAt) / MICROS_PER_MILLI + " ms ago";
        return age + ", " + stall;
    }
}
