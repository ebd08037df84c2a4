package gorsemast.fleet;

/**
 * How a fleet keeps its view. All times in microseconds.
 *
 * @param period how often each asks one other; a tenth of it is the module's own step, 10,000 or more
 * @param timeout how long an answer may take before others are asked to try, less than the period
 * @param indirect how many others are asked to try, 0 to 16
 * @param suspicionLeast in periods, times the decimal logarithm of the fleet: the least that a suspect has to refute
 * @param suspicionMost times that: what it has while only one suspects it; 1 for plain SWIM
 * @param localHealth whether a process doubts itself first (Lifeguard); without for comparison
 * @param fanout how many others are told of news at each step for that, 1 to 16
 * @param syncPeriods each so many periods all that is known is compared with one other
 * @param settle how long a view must stand before it counts as settled
 * @param remembered how many of the dead are kept at most
 * @param forget how long the dead are kept at most
 */
public record FleetSettings(
        long period,
        long timeout,
        int indirect,
        double suspicionLeast,
        double suspicionMost,
        boolean localHealth,
        int fanout,
        int syncPeriods,
        long settle,
        int remembered,
        long forget) {
    private static final long SECOND = 1_000_000;

    public FleetSettings {
        check(period >= SECOND / 100, "period", "10 ms or more");
        check(timeout > 0 && timeout < period, "timeout", "over 0 and less than the period");
        check(indirect >= 0 && indirect <= 16, "indirect", "0 to 16");
        check(suspicionLeast >= 1 && suspicionLeast <= 100, "suspicion_least", "1 to 100");
        check(suspicionMost >= 1 && suspicionMost <= 100, "suspicion_most", "1 to 100");
        check(fanout >= 1 && fanout <= 16, "fanout", "1 to 16");
        check(syncPeriods >= 1, "sync_periods", "1 or more");
        check(settle >= 0, "settle", "0 or more");
        check(remembered >= 0, "remembered", "0 or more");
        check(forget > 0, "forget", "more than 0");
    }

    private static void check(boolean holds, String key, String right) {
        if (!holds) {
            throw new IllegalArgumentException(key + " has to be " + right);
        }
    }

    /** The usual ones for a period: half of it as the time-out, Lifeguard on, the dead kept for an hour. */
    public static FleetSettings of(long period) {
        return new FleetSettings(period, period / 2, 3, 4, 6, true, 3, 30, 5 * period, 1_024, 3_600 * SECOND);
    }

    /** The same without what Lifeguard adds to SWIM. */
    public FleetSettings plain() {
        return new FleetSettings(
                period, timeout, indirect, suspicionLeast, 1, false, fanout, syncPeriods, settle, remembered, forget);
    }

    /** The module's own step. */
    public long step() {
        return period / 10;
    }
}
