package gorsemast.register;

/**
 * Which call for the list of cache nodes goes out next, and what an answer to it counts for.
 *
 * <p><b>Idea.</b> One call is out at a time. Until a whole list has come the whole is asked for; from then on a watch
 * waits at the register for what changes, and the next one follows each answer at once, so that nothing is missed in
 * between (the "list, then watch" of etcd and of Kubernetes' informers). What an answer says counts only if it answers
 * what was asked. When to ask again after a failed call is not decided here: the caller's back-off does that, so that a
 * register that is behind is not asked in step by all.
 *
 * <p><b>Bounds.</b> O(1). Times in microseconds of one clock that never goes back; one thread.
 */
public final class ListWatch {
    /** A silent call counts as told this long after its wait at the latest, so it has failed by then. */
    public static final long GRACE_MICROS = 2_000_000;
    /** A whole list takes a busy register longer than a change does. */
    static final long WHOLE_LIST_MICROS = 6_000_000;

    private static final long MOST_WAIT_MICROS = 60_000_000;
    private static final long MILLI = 1_000;

    /**
     * One call.
     *
     * @param whole whether the whole list is asked for, else what changes after {@code after}
     * @param after the version that is known
     * @param waitMicros how long the register may wait for a change
     * @param limitMicros when the call has failed, from its start
     */
    public record Call(boolean whole, long after, long waitMicros, long limitMicros) {}

    private final long waitMicros;
    private boolean out;
    private boolean listed;
    private long confirmed;
    private long version;

    /** A register that has to be asked within {@code askWithinMicros}; at least a millisecond. */
    public ListWatch(long askWithinMicros) {
        waitMicros = Math.max(MILLI, Math.min(MOST_WAIT_MICROS, askWithinMicros / MILLI * MILLI));
    }

    /** The list is wanted from now on: the call to make, or null where one is out already. */
    public Call subscribe() {
        return out ? null : next();
    }

    /** Another register holds from now on, and whatever call is out has been given up: the call to make there. */
    public Call redirected() {
        listed = false;
        return next();
    }

    /**
     * The call that is out was answered.
     *
     * @param changesOnly whether with changes and not with the whole list
     * @return whether the answer counts; where not, the call has failed
     */
    public boolean answers(boolean changesOnly) {
        return out && (listed || !changesOnly);
    }

    /** The answer has been taken over whole: the call that follows. */
    public Call taken(long now, long newVersion) {
        listed = true;
        confirmed = now;
        version = newVersion;
        return next();
    }

    /** The call that was out has failed, or was given up. */
    public void failed() {
        out = false;
    }

    /** Another source than the register has told a list of this version. */
    public void told(long newVersion) {
        version = newVersion;
    }

    private Call next() {
        out = true;
        return listed
                ? new Call(false, version, waitMicros, waitMicros + GRACE_MICROS)
                : new Call(true, version, 0, WHOLE_LIST_MICROS);
    }

    /** Whether a call is out. */
    public boolean out() {
        return out;
    }

    /** Whether the present register itself has told a whole list. */
    public boolean listed() {
        return listed;
    }

    /** How long ago it last told or confirmed the list; negative for never. */
    public long age(long now) {
        return listed ? now - confirmed : -1;
    }

    /** The version of the list that is known. */
    public long version() {
        return version;
    }
}
