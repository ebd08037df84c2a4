package gorsemast.lifecycle;

/**
 * State machine of a proxy's service: whether it accepts clients, and how it closes their connections.
 *
 * <p>There are three ways to leave service. <i>Emptying</i>: an operator drains the clients and the process stays.
 * They are told by the readiness probe and may return. No connection is closed until the load balancer has noticed,
 * as a client whose connection closes before that would only reconnect here. Then each connection is closed after its
 * next response, and idle ones are closed gradually, so that the other proxies don't get all reconnects at once.
 * <i>Handing over</i>: another process already listens at the same address, so connections may be closed at once.
 * <i>Stopping</i>: there is no successor, so the proxy serves until shortly before it is killed. This is the drain of
 * load balancers ("lame duck" in the SRE book, chapter 20), with time limits.
 *
 * <p>A load balancer that probes readiness less than three times a second sends clients here for longer than {@link
 * #PROBE_REACTION_MICROS}: they are served, and their connection is closed after the response.
 *
 * <p>O(1) memory and time. Times in microseconds of one monotonic clock; single-threaded.
 */
public final class Lifecycle {
    /** The phase of the proxy's service. */
    public enum Phase {
        STARTING,
        SERVING,
        EMPTYING,
        HANDING_OVER,
        STOPPING
    }

    /** The load balancer probes ten times a second and sends no new clients 0.2 s after a negative response. */
    public static final long PROBE_REACTION_MICROS = 350_000;
    /** Idle connections are closed within this time, well before an operator checks again (4 s). */
    public static final long IDLE_CLOSE_SPREAD_MICROS = 1_000_000;

    private Phase phase = Phase.STARTING;
    /** When connections start to be closed; {@link Long#MAX_VALUE} while clients are accepted. */
    private long closingStartsAt = Long.MAX_VALUE;

    /** The proxy can serve from now on; ignored if it is already leaving service. */
    public void started() {
        if (phase == Phase.STARTING) {
            phase = Phase.SERVING;
        }
    }

    /** Starts to drain the clients. Returns whether the proxy is draining; repeated calls have no effect. */
    public boolean quiesce(long now) {
        if (phase == Phase.SERVING) {
            phase = Phase.EMPTYING;
            closingStartsAt = now + PROBE_REACTION_MICROS;
        }
        return phase == Phase.EMPTYING;
    }

    /** Accepts clients again. Returns whether the proxy does. */
    public boolean resume() {
        if (phase == Phase.EMPTYING) {
            phase = Phase.SERVING;
            closingStartsAt = Long.MAX_VALUE;
        }
        return phase == Phase.SERVING;
    }

    /**
     * The process is to end.
     *
     * @param successor whether another process accepts clients at the same address
     * @param serveOnMicros for how long to serve on if there is none
     */
    public void terminate(long now, boolean successor, long serveOnMicros) {
        long closingAt = successor ? now : now + serveOnMicros;
        // A drained proxy has no clients left to serve.
        closingStartsAt = phase == Phase.STARTING ? now : Math.min(closingStartsAt, closingAt);
        phase = successor ? Phase.HANDING_OVER : Phase.STOPPING;
    }

    /** Another process has started to accept clients at the same address: a stopping proxy need not serve on. */
    public void successorStarted(long now) {
        if (phase == Phase.STOPPING) {
            phase = Phase.HANDING_OVER;
            closingStartsAt = Math.min(closingStartsAt, now);
        }
    }

    /** The current phase. */
    public Phase phase() {
        return phase;
    }

    /** Whether this process accepts clients, for operators and probes. */
    public boolean ready() {
        return phase == Phase.SERVING;
    }

    /**
     * Whether clients are accepted at the shared address. Two processes share it during an upgrade and one of them
     * accepts clients, whichever the probe reaches.
     */
    public boolean addressReady() {
        return phase == Phase.SERVING || phase == Phase.HANDING_OVER;
    }

    /** Whether the process is to end. */
    public boolean isEnding() {
        return phase == Phase.HANDING_OVER || phase == Phase.STOPPING;
    }

    /** Whether connections are closed after their responses, and idle ones at once. */
    public boolean isClosing(long now) {
        return now >= closingStartsAt;
    }

    /** When {@link #isClosing} begins; {@link Long#MAX_VALUE} for never. */
    public long closingStartsAt() {
        return closingStartsAt;
    }

    /**
     * How many idle connections to close now.
     *
     * @param idleConnections how many there are
     * @param periodMicros time until the next call
     */
    public int idleConnectionsToClose(long now, int idleConnections, long periodMicros) {
        if (!isClosing(now)) {
            return 0;
        }
        long remaining = closingStartsAt + IDLE_CLOSE_SPREAD_MICROS - now;
        return phase == Phase.STOPPING || remaining <= periodMicros
                ? idleConnections
                : (int) Math.ceil((double) idleConnections * periodMicros / remaining);
    }
}
