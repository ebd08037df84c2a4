package gorsemast.proxy;

/**
 * When an edge that has been told to end takes which step, and which requests it may still start. Times in microseconds
 * of the edge's clock.
 *
 * <p>A request is started only if it can end before the process does. One that arrives early is started all the same, as
 * it hardly takes that long, and if it does, its server is still working on it when the process ends.
 */
final class ShutdownSchedule {
    /** The platform probes readiness each second and reacts after two failures; until then new clients still arrive. */
    private static final long PROBE_REACTION_MICROS = 2_400_000;
    /** Remaining requests are abandoned this long before the platform kills the process. */
    private static final long RESERVE_MICROS = 500_000;
    /** Idle connections are closed this long after the edge began to close connections after their responses. */
    private static final long IDLE_CLOSE_DELAY_MICROS = 600_000;
    /** Stops accepting this long before remaining requests are abandoned: later clients might not get a response. */
    private static final long STOP_ACCEPTING_RESERVE_MICROS = 1_000_000;
    /** Requests that arrive no later than this are started whatever their deadline. */
    private static final long START_ANY_MICROS = 3_000_000;

    private final long startedAt;
    private final long graceMicros;

    /** @param graceMicros how long after {@code startedAt} the platform kills the process */
    ShutdownSchedule(long startedAt, long graceMicros) {
        this.startedAt = startedAt;
        this.graceMicros = graceMicros;
    }

    /** From when on connections are closed after their responses. */
    long closesAfterResponsesAt() {
        return startedAt + Math.min(PROBE_REACTION_MICROS, graceMicros / 2);
    }

    /** From when on idle connections are closed. */
    long closesIdleAt() {
        return closesAfterResponsesAt() + IDLE_CLOSE_DELAY_MICROS;
    }

    /** When the edge stops accepting connections, if it has not ended before. */
    long stopsAcceptingAt() {
        return abandonsAt() - STOP_ACCEPTING_RESERVE_MICROS;
    }

    /** When requests that are still in progress are abandoned. */
    long abandonsAt() {
        return startedAt + graceMicros - RESERVE_MICROS;
    }

    /** Whether a request that arrived at this time may be started. */
    boolean mayStart(long arrivedAt, long deadline) {
        return deadline <= abandonsAt() || arrivedAt - startedAt <= Math.min(START_ANY_MICROS, graceMicros / 2);
    }

    /** Time since the edge was told to end. */
    long elapsed(long now) {
        return now - startedAt;
    }
}
