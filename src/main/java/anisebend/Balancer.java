package anisebend;

import java.util.List;

/**
 * The decisions of one sidecar, as events in and actions out.
 *
 * <p><b>Threading.</b> Not thread-safe: one caller at a time; instances share nothing, so any number may live
 * in one process. <b>Order.</b> {@link #start} comes first and once, then {@link #servers}, then anything;
 * {@code now} never goes back. Actions are issued during the event method that causes them, in the order
 * they are to be carried out; the sink must not call back into the balancer. <b>Time</b> is the caller's, in
 * integer microseconds from any origin. <b>Lifetime.</b> After a crash, make a new instance. The same
 * settings, seed and events give the same actions. No method blocks, does I/O or keeps a thread.
 */
public interface Balancer {
    /** Begins. Throws {@link IllegalArgumentException} naming a setting that cannot be worked with. */
    void start(long now, long seed, Settings settings);

    /**
     * Goes on with other settings. A class keeps its number and its rules for good, further ones may be added; what is
     * open keeps its number of attempts. Throws as {@link #start}, and then nothing has changed. Times that were taken
     * from the first settings stay.
     */
    void reconfigure(long now, Settings settings);

    /**
     * News of the server list. Entries of {@link ListKind#CHANGES} are laid over the known list; any other
     * kind but FAILED replaces it, and a server that it lacks has gone.
     */
    void servers(long now, ListKind kind, List<Server> entries);

    /** A client's request; it gets one final answer: the first OK outcome, a refusal or a failure. */
    void request(long now, Request request);

    /** How one attempt ended; each {@link Actions#send} gets exactly one. Unknown attempts are ignored. */
    void outcome(long now, Outcome outcome);

    /**
     * The answer to a {@link Actions#probe}; {@code report} may be null. The policy asks for none: paced trials by
     * requests tell more than a sign of life.
     */
    default void probed(long now, String server, boolean alive, Report report) {}

    /** A streamed answer has begun: the request is served, though its attempt is still out. */
    default void responseStarted(long now, String request) {
        abandoned(now, request);
    }

    /** The client has gone: no answer is owed. Its attempt still gets an outcome. Unknown ids are ignored. */
    void abandoned(long now, String request);

    /** A timer set by {@link Actions#timer} is due. Stale and unknown ones are ignored. */
    void timer(long now, long token);

    /** What it believes now; computed when asked, and changes nothing. For observers, not for decisions. */
    View view(long now);

    /** What the balancer wants done. Implementations must not throw and must not call the balancer. */
    interface Actions {
        /** Sends the request's next attempt (they count from 0), to be given up at {@code until}. */
        void send(String request, String server, long until);

        /** Final answer: no, and trying again does no harm; 0 gives no advice on when. */
        void refuse(String request, long retryAfter);

        /** Final answer: failed, promising nothing about the effect. */
        void fail(String request);

        /** Calls an attempt off; its outcome still comes. */
        void cancel(String request, int attempt);

        /** Asks a server for a sign of life and its load. */
        void probe(String server);

        /** Closes this balancer's idle connections to a server. */
        void closeIdle(String server);

        /** Asks for the server list and its changes from now on; answered by {@link Balancer#servers}. */
        void subscribe();

        /** Asks for a {@link Balancer#timer} call at or after {@code at}. */
        void timer(long at, long token);

        /** A line for the operator. */
        void log(String text);
    }

    /** What a request's repetition does: nothing, nothing while its key is remembered, or harm. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The servers that remember a keyed request's key. */
    enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** State of a server in the list. */
    enum State {
        GONE,
        READY,
        DRAINING
    }

    /** What a list event brings; CACHED is the last list known before a restart and may be old. */
    enum ListKind {
        CHANGES,
        FULL,
        CACHED,
        FAILED
    }

    /** How an attempt ended. */
    enum Code {
        OK(true),
        ERROR(true),
        FULL(false),
        TIMEOUT(true),
        CONNECT_FAILED(false),
        RESET(true),
        CANCELLED(true),
        NOT_SENT(false),
        MISS(false);

        /** Whether the request may have run. */
        public final boolean mayHaveRun;
        /** Whether the attempt says nothing of its server, as it ended on this side. */
        public final boolean endedLocally;

        Code(boolean mayHaveRun) {
            this.mayHaveRun = mayHaveRun;
            this.endedLocally = name().equals("CANCELLED") || name().equals("NOT_SENT");
        }
    }

    /** What a miss tells of other fetches: nothing known, none out, or one out for another request. */
    enum CacheStatus {
        NONE,
        HIT,
        MISS,
        MISS_FETCHING
    }

    /** A class of requests: {@code targetLatency} is the wanted, {@code deadline} the longest wait, in microseconds. */
    record RequestClass(
            Effect effect,
            Group group,
            long deduplicationWindow,
            long targetLatency,
            long deadline,
            double importance) {
        // Spelt out: what a record brings by itself is put together at its first use, which costs a starting process 30
        // ms.
        @Override
        public boolean equals(Object other) {
            return other instanceof RequestClass o
                    && effect == o.effect
                    && group == o.group
                    && deduplicationWindow == o.deduplicationWindow
                    && targetLatency == o.targetLatency
                    && deadline == o.deadline
                    && Double.compare(importance, o.importance) == 0;
        }

        @Override
        public int hashCode() {
            return Long.hashCode(targetLatency * 31 + deadline);
        }
    }

    /** A tenant: its part of the service and the rate, over all balancers, that counts in full. */
    record Tenant(double share, double quotaPerSecond) {}

    /** Load as a server last reported it; a value that is not reported is NaN. */
    record Report(double outstanding, double utilization, double serviceMicros) {}

    /**
     * All that is set at start. {@code originKind} is the kind of the list entry that is the origin when
     * servers answer misses (cache-aside), or -1 when they fetch for themselves. Within any {@code resendSpan}
     * the attempts after each request's first number at most {@code freeResends} plus {@code resendShare} of
     * the requests taken in it, one after each miss not counted; a span of 0 means no such ration. Times in
     * microseconds.
     */
    record Settings(
            int balancers,
            int zone,
            int originKind,
            List<RequestClass> classes,
            List<Tenant> tenants,
            double overShareFactor,
            int maxAttempts,
            boolean mayCancel,
            boolean mayProbe,
            boolean retryAfter,
            long maxRetryAfter,
            boolean listMustBeAsked,
            long listAskWithin,
            double coldShare,
            long coldTime,
            double freeResends,
            double resendShare,
            long resendSpan) {
        /** Throws {@link IllegalArgumentException} that names what can't be worked with. */
        void check(long shortestDeadline) {
            check(!classes.isEmpty(), "classes");
            check(balancers > 0, "balancers");
            check(maxAttempts > 0, "maxAttempts");
            check(coldShare > 0 && coldShare <= 1, "coldShare");
            check(coldTime >= 0, "coldTime");
            check(freeResends >= 0, "freeResends");
            check(resendShare >= 0, "resendShare");
            check(resendSpan > 0 || resendSpan == 0 && freeResends + resendShare == 0, "resendSpan");
            check(listAskWithin > 0 || !listMustBeAsked, "listAskWithin");
            for (RequestClass type : classes) {
                check(type.deadline() >= shortestDeadline && type.targetLatency() > 0, "deadline and aim of a class");
            }
        }

        private static void check(boolean holds, String setting) {
            if (!holds) {
                throw new IllegalArgumentException("setting cannot be worked with: " + setting);
            }
        }
    }

    /** One entry of the server list; {@code startedAt} is 0 for long ago. */
    record Server(String id, int zone, int kind, int cell, State state, double weight, long startedAt) {}

    /** One request; {@code key} may be null. The client stops waiting at {@code expiresAt}. */
    record Request(String id, int requestClass, int tenant, String key, long expiresAt, boolean write) {}

    /**
     * Why a request got no answer from a server: its time was up, no server could be had, its attempts or its
     * right to repeat were spent, its tenant was over its share at a pressed server, the server's lanes could
     * not let it out in time, or there was no budget for another retry.
     */
    enum UnservedReason {
        TIME_UP,
        NO_SERVER,
        SPENT,
        OVER_SHARE,
        NO_ROOM,
        NO_BUDGET
    }

    /** One server as believed: intervals in microseconds, warmth from 0 to 1, slowness in parts of the aim. */
    record ServerView(
            String id,
            State state,
            boolean suspect,
            double warmth,
            int lanes,
            long meanInterval,
            int queued,
            int inFlight,
            int excludedClasses,
            double slowness) {}

    /** All servers, last the ledger's lanes where servers fetch for themselves, and what is held; {@code unservedByReason} counts final answers since the start, by {@link UnservedReason}. */
    record View(List<ServerView> servers, int unassigned, int open, double retriesLeft, long[] unservedByReason) {}

    /** End of an attempt; {@code requestFinished}: the request needs no answer any more. {@code report} may be null. */
    record Outcome(
            String request,
            int attempt,
            Code code,
            long elapsed,
            boolean requestFinished,
            CacheStatus cacheStatus,
            Report report) {}
}
