package gorsemast.dispatch;

import anisebend.Balancer.Code;

/**
 * The state of one call over all of its attempts: whether one is in flight and whether any may have been executed,
 * and so whether another may be sent and what the client may be told. No I/O or clock; not thread-safe.
 *
 * <p>Used by {@link ServiceDispatcher} over sockets and by the simulation in virtual time. The decision module
 * follows the same outcomes; this class is a second safeguard that blocks what the module would get wrong.
 */
public class CallState {
    /** Time at the end of a call that is reserved for the answer's way back to the client. */
    public static final long ANSWER_RESERVE_MICROS = 8_000;
    /** How much earlier than that the module's own deadline is. */
    public static final long MODULE_MARGIN_MICROS = 12_000;

    private static final int NONE = -1;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int MISDIRECTED = 421;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final boolean repeatable;
    private int attempts;
    private int inFlight = NONE;
    private int sentAttempts;
    private boolean mayHaveRun;
    private boolean answered;

    /** Creates the state of a call that may or may not be executed more than once. */
    public CallState(boolean repeatable) {
        this.repeatable = repeatable;
    }

    /** Whether a status promises the client that the request was not executed and never will be. */
    public static boolean promisesNotExecuted(int status) {
        return status == REQUEST_TIMEOUT
                || status == MISDIRECTED
                || status == TOO_MANY_REQUESTS
                || status == SERVICE_UNAVAILABLE;
    }

    /** Counts an attempt that the module requested; returns its number, from 0. */
    public final int nextAttempt() {
        return attempts++;
    }

    /**
     * Whether another attempt may be sent now: none is in flight, and what may have been executed may be repeated.
     */
    public boolean maySend() {
        return !answered && inFlight == NONE && (repeatable || !mayHaveRun);
    }

    /** Records that an attempt was sent. */
    public final void attemptSent(int attempt) {
        inFlight = attempt;
        sentAttempts++;
    }

    /** Whether any attempt was sent, so that a server may have received it. */
    public final boolean hasBeenSent() {
        return sentAttempts > 0;
    }

    /** Records an attempt's outcome; returns false, without effect, if it is not the one in flight. */
    public final boolean attemptEnded(int attempt, Code code) {
        if (inFlight != attempt) {
            return false;
        }
        inFlight = NONE;
        sentAttempts -= code == Code.NOT_SENT ? 1 : 0;
        mayHaveRun |= mayHaveRun(code);
        return true;
    }

    /** Whether an attempt with this outcome may have been executed. */
    protected boolean mayHaveRun(Code code) {
        return code.mayHaveRun;
    }

    /** Whether this attempt is in flight. */
    public final boolean isInFlight(int attempt) {
        return inFlight == attempt && inFlight != NONE;
    }

    /** Whether any attempt is in flight. */
    public final boolean isInFlight() {
        return inFlight != NONE;
    }

    /** The number of the last requested attempt; -1 before the first. */
    public final int lastAttempt() {
        return attempts - 1;
    }

    /** Records that the client has its answer; nothing is sent from now on. */
    public final void markAnswered() {
        answered = true;
    }

    /** Whether the client has its answer. */
    public final boolean isAnswered() {
        return answered;
    }

    /** Whether a refusal, which promises that the call is never executed, would be true. */
    public boolean mayRefuse() {
        return repeatable || !mayHaveRun && inFlight == NONE;
    }

    /**
     * Whether a server's answer with this status may be forwarded. A server that answered without {@code
     * Not-Executed} may have executed the call; a status that would promise the opposite is withheld if the call must
     * not be repeated.
     */
    public boolean mayForward(int status) {
        return repeatable || !promisesNotExecuted(status);
    }
}
