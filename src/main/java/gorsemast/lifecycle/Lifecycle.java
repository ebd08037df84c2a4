package gorsemast.lifecycle;

/**
 * Whether a proxy takes clients, and how it gets rid of them.
 *
 * <p><b>Idea.</b> There are three ways to leave service, and each has other clients. <i>Emptying</i>: an operator sends
 * the clients away and the process stays. They are told by the readiness probe and may come back; nothing closes until
 * whoever deals out connections has noticed, as a client whose connection closes before that would only come in again.
 * Then each connection ends with its next answer, and those on which nothing is asked go one after another, so that the
 * neighbours don't get all of the connects in one wave. <i>Handing over</i>: another process already listens at the same
 * address, so connections may end at once. <i>Stopping</i>: nobody else is there, so the proxy serves on until a kill is
 * near. This is the drain of load balancers ("lame duck" in the SRE book, chapter 20), with its times.
 *
 * <p><b>When it could hurt.</b> A front that asks for readiness less than three times a second sends clients here for
 * longer than {@link #PROBE_REACTION_MICROS}: they are served, and their connection ends with the answer.
 *
 * <p><b>Bounds.</b> O(1) memory and time. Times in microseconds of one clock that never goes back; one thread.
 */
public final class Lifecycle {
    /** What the proxy is doing. */
    public enum Phase {
        STARTING,
        SERVING,
        EMPTYING,
        HANDING_OVER,
        STOPPING
    }

    /** The front asks ten times a second and sends nobody new 0.2 s after a no. */
    public static final long PROBE_REACTION_MICROS = 350_000;
    /** Idle connections are closed within this time; the last of them long before an operator looks again (4 s). */
    public static final long IDLE_CLOSE_SPREAD_MICROS = 1_000_000;

    private Phase phase = Phase.STARTING;
    /** From when on connections end; never for as long as clients are welcome. */
    private long closesFrom = Long.MAX_VALUE;

    /** It can serve from now on; ignored where it is already leaving. */
    public void started() {
        if (phase == Phase.STARTING) {
            phase = Phase.SERVING;
        }
    }

    /** Sends the clients away. Returns whether it does; again is harmless. */
    public boolean quiesce(long now) {
        if (phase == Phase.SERVING) {
            phase = Phase.EMPTYING;
            closesFrom = now + PROBE_REACTION_MICROS;
        }
        return phase == Phase.EMPTYING;
    }

    /** Takes clients again. Returns whether it does. */
    public boolean resume() {
        if (phase == Phase.EMPTYING) {
            phase = Phase.SERVING;
            closesFrom = Long.MAX_VALUE;
        }
        return phase == Phase.SERVING;
    }

    /**
     * The process is to end.
     *
     * @param successor whether another process takes clients at the same address
     * @param serveOnMicros for how long it serves on where there is none
     */
    public void terminate(long now, boolean successor, long serveOnMicros) {
        long from = successor ? now : now + serveOnMicros;
        // A proxy that has been emptied has no clients who would miss it.
        closesFrom = phase == Phase.STARTING ? now : Math.min(closesFrom, from);
        phase = successor ? Phase.HANDING_OVER : Phase.STOPPING;
    }

    /** Another process has come to take clients at the same address: whoever stops need not serve on. */
    public void successorStarted(long now) {
        if (phase == Phase.STOPPING) {
            phase = Phase.HANDING_OVER;
            closesFrom = Math.min(closesFrom, now);
        }
    }

    /** What it is doing. */
    public Phase phase() {
        return phase;
    }

    /** Whether this process takes clients, as an operator or a probe asks it. */
    public boolean ready() {
        return phase == Phase.SERVING;
    }

    /**
     * What a probe at the clients' address is told. Two processes share it during an upgrade, and one of them takes
     * clients, whichever the probe happens to reach.
     */
    public boolean addressReady() {
        return phase == Phase.SERVING || phase == Phase.HANDING_OVER;
    }

    /** Whether the process is to end. */
    public boolean isEnding() {
        return phase == Phase.HANDING_OVER || phase == Phase.STOPPING;
    }

    /** Whether connections end with their answers, and idle ones go. */
    public boolean isClosing(long now) {
        return now >= closesFrom;
    }

    /** When {@link #isClosing} begins; {@link Long#MAX_VALUE} for never. */
    public long closingStartsAt() {
        return closesFrom;
    }

    /**
     * How many connections on which nothing is asked are to be closed now.
     *
     * @param free how many there are
     * @param period until the next such call
     */
    public int idleConnectionsToClose(long now, int free, long period) {
        if (!isClosing(now)) {
            return 0;
        }
        long left = closesFrom + IDLE_CLOSE_SPREAD_MICROS - now;
        return phase == Phase.STOPPING || left <= period ? free : (int) Math.ceil((double) free * period / left);
    }
}
