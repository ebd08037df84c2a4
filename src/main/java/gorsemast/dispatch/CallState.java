package gorsemast.dispatch;

import anisebend.Balancer.Code;

/**
 * What is known of one call over all of its attempts: whether one is out, whether any may have run, and so whether
 * another may be sent and what its client may be told. No I/O, no clock; one thread.
 *
 * <p>Carried out by {@link ServiceDispatcher} over sockets and by the simulation's sender in virtual time. The decision module goes
 * by the same outcomes; this is the second lock: what the module would get wrong is withheld here.
 */
public class CallState {
    /** The rest of a call's time is kept for its answer's way, in microseconds. */
    public static final long ANSWER_RESERVE_MICROS = 8_000;
    /** The module's own end comes so much before that, in microseconds. */
    public static final long MODULE_MARGIN_MICROS = 12_000;

    private static final int NONE = -1;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int MISDIRECTED = 421;
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;

    private final boolean repeatable;
    private int attempts;
    private int out = NONE;
    private int sent;
    private boolean mayHaveRun;
    private boolean answered;

    /** Of a call that may run more than once, or not. */
    public CallState(boolean repeatable) {
        this.repeatable = repeatable;
    }

    /** Whether a status promises its client that the request has not run and never will. */
    public static boolean promisesNotExecuted(int status) {
        return status == REQUEST_TIMEOUT || status == MISDIRECTED || status == TOO_MANY || status == UNAVAILABLE;
    }

    /** Counts an attempt that the module has asked for; returns its number, from 0 on. */
    public final int nextAttempt() {
        return attempts++;
    }

    /** Whether another attempt may be sent now: none is out, and what may have run may also be repeated. */
    public boolean maySend() {
        return !answered && out == NONE && (repeatable || !mayHaveRun);
    }

    /** That attempt is on its way. */
    public final void attemptSent(int attempt) {
        out = attempt;
        sent++;
    }

    /** Whether any attempt has gone out, so that a server may have got it. */
    public final boolean hasBeenSent() {
        return sent > 0;
    }

    /** It has ended so; false where it is not the one that is out, and nothing follows from it. */
    public final boolean attemptEnded(int attempt, Code code) {
        if (out != attempt) {
            return false;
        }
        out = NONE;
        sent -= code == Code.NOT_SENT ? 1 : 0;
        mayHaveRun |= mayHaveRun(code);
        return true;
    }

    /** Whether an attempt that ended so may have run. */
    protected boolean mayHaveRun(Code code) {
        return code.mayHaveRun;
    }

    /** Whether this attempt is out. */
    public final boolean isInFlight(int attempt) {
        return out == attempt && out != NONE;
    }

    /** Whether any is out. */
    public final boolean isInFlight() {
        return out != NONE;
    }

    /** The number of the attempt that was asked for last; -1 before the first. */
    public final int lastAttempt() {
        return attempts - 1;
    }

    /** Its client has been told; nothing is sent from now on. */
    public final void markAnswered() {
        answered = true;
    }

    /** Whether its client has been told. */
    public final boolean isAnswered() {
        return answered;
    }

    /** Whether a refusal, which promises that it never runs, is true. */
    public boolean mayRefuse() {
        return repeatable || !mayHaveRun && out == NONE;
    }

    /**
     * Whether a server's answer with this status may be passed on. Who answered without {@code Not-Executed} may have run
     * it; a status that would promise the opposite is kept from a client whose call may run once.
     */
    public boolean mayForward(int status) {
        return repeatable || !promisesNotExecuted(status);
    }
}
