package anisebend;

import java.util.List;

/**
 * The load balancing decisions of one proxy: events in, actions out.
 *
 * <p>Not thread-safe: one caller at a time. Instances share nothing, so any number may exist in one process.
 * {@link #start} is called first and once, then {@link #servers}, then any event; {@code now} never decreases.
 * Actions are issued during the event method that causes them, in the order in which they are to be carried out;
 * they must not call back into the balancer. Times are integer microseconds from any origin. After a crash,
 * create a new instance. The same settings, seed and events give the same actions. No method blocks, does I/O or
 * starts a thread.
 */
public interface Balancer {
    /** Starts the balancer. Throws {@link IllegalArgumentException} naming an invalid setting. */
    void start(long now, long seed, Settings settings);

    /**
     * Changes the settings. A class keeps its number and its rules, and classes may be added; open requests keep their
     * maximum number of attempts. Throws as {@link #start} does, and then nothing has changed. Time spans derived from
     * the first settings stay.
     */
    void reconfigure(long now, Settings settings);

    /**
     * An update of the server list. Entries of {@link ListKind#CHANGES} are merged into the known list; any other kind
     * except FAILED replaces it, and a server missing from it is gone.
     */
    void servers(long now, ListKind kind, List<Server> entries);

    /** A client's request. It gets exactly one final answer: the first OK outcome, a refusal or a failure. */
    void request(long now, Request request);

    /** The end of an attempt; each {@link Actions#send} gets exactly one. Unknown attempts are ignored. */
    void outcome(long now, Outcome outcome);

    /**
     * The answer to a {@link Actions#probe}; {@code report} may be null. The policy sends no probes: paced trial
     * requests say more about a server than a health check.
     */
    default void probed(long now, String server, boolean alive, Report report) {}

    /** A streamed response has begun: the request counts as served while its attempt is still in flight. */
    default void responseStarted(long now, String request) {
        abandoned(now, request);
    }

    /** The client has gone, so no answer is owed. Its attempt still gets an outcome. Unknown ids are ignored. */
    void abandoned(long now, String request);

    /** A timer set by {@link Actions#timer} is due. Stale and unknown ones are ignored. */
    void timer(long now, long token);

    /** A snapshot of the present state, for monitoring; changes nothing. */
    View view(long now);

    /** The actions of a balancer. Implementations must not throw and must not call the balancer. */
    interface Actions {
        /** Sends the request's next attempt (numbered from 0), which times out at {@code until}. */
        void send(String request, String server, long until);

        /** Final answer: refused, and safe to retry after {@code retryAfter}; 0 states no time. */
        void refuse(String request, long retryAfter);

        /** Final answer: failed; the request may have been executed. */
        void fail(String request);

        /** Cancels an attempt; its outcome still follows. */
        void cancel(String request, int attempt);

        /** Checks the health and load of a server. */
        void probe(String server);

        /** Closes this balancer's idle connections to a server. */
        void closeIdle(String server);

        /** Subscribes to the server list and its changes; answered by {@link Balancer#servers}. */
        void subscribe();

        /** Requests a {@link Balancer#timer} call at or after {@code at}. */
        void timer(long at, long token);

        /** Logs a line for the operator. */
        void log(String text);
    }

    /** Whether a request may be repeated: always, while its idempotency key is remembered, or never. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The servers that remember the idempotency key of a request. */
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

    /** Kind of a list update; CACHED is the last list known before a restart and may be stale. */
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

        /** Whether the request may have been executed. */
        public final boolean mayHaveRun;
        /** Whether the attempt was ended on this side and so says nothing about its server. */
        public final boolean endedLocally;

        Code(boolean mayHaveRun) {
            this.mayHaveRun = mayHaveRun;
            this.endedLocally = name().equals("CANCELLED") || name().equals("NOT_SENT");
        }
    }

    /** Cache status of a response: unknown, a hit, a miss, or a miss whose fetch was already in flight. */
    enum CacheStatus {
        NONE,
        HIT,
        MISS,
        MISS_FETCHING
    }

    /** A class of requests; {@code deadline} is the longest wait. Times in microseconds. */
    record RequestClass(
            Effect effect,
            Group group,
            long deduplicationWindow,
            long targetLatency,
            long deadline,
            double importance) {
        // Written out, as the generated methods are linked at their first use, which costs a starting process 30 ms.
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

    /** A tenant: its share of the service, and its guaranteed rate over all balancers. */
    record Tenant(double share, double quotaPerSecond) {}

    /** Load last reported by a server; NaN for a value that it does not report. */
    record Report(double outstanding, double utilization, double serviceMicros) {}

    /**
     * The settings of a balancer. {@code originKind} is the kind of the list entry that is the origin if servers
     * report misses (cache-aside), or -1 if they fetch from the origin themselves. Within any {@code resendSpan}
     * there are at most {@code freeResends} plus {@code resendShare} times its requests further attempts, not
     * counting the one after each miss; a span of 0 disables this limit. Times in microseconds.
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
        /** Throws {@link IllegalArgumentException} naming an invalid setting. */
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
                check(
                        type.deadline() >= shortestDeadline && type.targetLatency() > 0,
                        "deadline and target latency of a class");
            }
        }

        private static void check(boolean holds, String setting) {
            if (!holds) {
                throw new IllegalArgumentException("invalid setting: " + setting);
            }
        }
    }

    /** An entry of the server list; {@code startedAt} is 0 if the server started long ago. */
    record Server(String id, int zone, int kind, int cell, State state, double weight, long startedAt) {}

    /** A request; {@code key} may be null. The client stops waiting at {@code expiresAt}. */
    record Request(String id, int requestClass, int tenant, String key, long expiresAt, boolean write) {}

    /**
     * Why a request was not served: it timed out, no server was available, its attempts were used up or it must not
     * be repeated, its tenant was over its share at a busy server, the server's lanes could not send it in time, or
     * the retry budget was used up.
     */
    enum UnservedReason {
        TIME_UP,
        NO_SERVER,
        SPENT,
        OVER_SHARE,
        NO_ROOM,
        NO_BUDGET
    }

    /** State of a server: intervals in microseconds, warmth from 0 to 1, slowness as latency over target latency. */
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

    /**
     * All servers, last the pacer of fetches if servers fetch from the origin themselves, and the requests in hand;
     * {@code unservedByReason} counts requests since the start, by {@link UnservedReason}.
     */
    record View(List<ServerView> servers, int unassigned, int open, double retriesLeft, long[] unservedByReason) {}

    /** End of an attempt; {@code requestFinished}: the request needs no further answer. {@code report} may be null. */
    record Outcome(
            String request,
            int attempt,
            Code code,
            long elapsed,
            boolean requestFinished,
            CacheStatus cacheStatus,
            Report report) {}
}
