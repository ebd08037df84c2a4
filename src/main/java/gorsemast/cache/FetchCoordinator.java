package gorsemast.cache;

import gorsemast.admission.RetryDelay;
import gorsemast.gossip.Entry;
import gorsemast.gossip.GossipState;
import gorsemast.gossip.Hash;
import gorsemast.gossip.PurgeRequest;
import gorsemast.observe.EventCounters;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;

/**
 * Decides where each requested object comes from: a response cached at this edge, a fetch that is already running,
 * the object's home edge, or its servers. Where only a few edges may fetch from the servers, a home asks one of these
 * fetchers.
 *
 * <p>All requests that arrive during a fetch share it (single flight). A response from another edge is accepted only
 * if that edge, when it sent it, knew of the same purges as this edge did when it asked; so a purge that has reached
 * this edge can't be undone by an edge that has not received it yet. A response that was requested before a purge is
 * checked against that purge before it is cached. If the purge matches, the response is delivered only to the requests
 * that came before the purge, and the object is requested once more for all that came after it. So a purge by tag,
 * which may match any running fetch or none, starts no fetch while another one for the same object is running. The same
 * holds for requests that joined a fetch so late that its response had expired.
 *
 * <p>Fetches from servers count against this edge's share of the service's rate; renewals that nobody waits for may use
 * only half of it.
 *
 * <p>Memory is bounded by {@link ResponseCache} and by one fetch for each open request. There is no I/O, no clock of
 * its own and no thread: {@link ObjectSources} carry out the requests. Not thread-safe; times are in microseconds.
 *
 * @param <A> an answer that can't be cached and is passed on unchanged
 */
public final class FetchCoordinator<A> {
    /** Value of {@code hop} for a request that came from a client. */
    public static final int HOP_CLIENT = 0;

    /** Value of {@code hop} for a request from another edge to the object's home. */
    public static final int HOP_HOME = 1;
    /** Value of {@code hop} for a request from a home to the edge that fetches for it. */
    public static final int HOP_FETCHER = 2;
    /** With less time than this left, other edges are not asked. */
    private static final long MIN_REMAINING_MICROS = 60_000;
    /**
     * A response that is requested after this part of its lifetime is renewed ahead of expiry, by one fetch for all.
     */
    private static final double RENEWAL_AGE_RATIO = 0.8;
    /** How many objects that are too long to be cached are remembered. */
    private static final int MAX_LONG_OBJECTS = 1_024;
    /**
     * A fetch without a permit waits for one at most for this part of the target latency before it is refused: a
     * client that learns early when to retry can still be served in time.
     */
    private static final double MAX_PERMIT_WAIT_RATIO = 0.15;
    /** Part of the requesting edge's time after which it is answered that the fetch is still running. */
    private static final double STILL_FETCHING_REPLY_RATIO = 0.6;
    /** How many other edges are asked for one object. */
    private static final int MAX_EDGES_TRIED = 3;
    /** Part of the remaining time that this edge waits for a home. */
    private static final double HOME_TIMEOUT_RATIO = 0.67;

    /** Part of the remaining time that a home waits for the edge that fetches for it. */
    private static final double FETCHER_TIMEOUT_RATIO = 0.9;
    /**
     * The longest fetch takes the route's timeout this many times: for homes, for servers, and for a response that is
     * still arriving.
     */
    private static final int MAX_ROUTE_TIMEOUTS = 3;

    /** A request that joined a running fetch may get its response if that had expired for no longer than this. */
    private static final long MAX_EXPIRED_MICROS = 2_000_000;

    private static final long OVERDUE_SLACK_MICROS = 1_000_000;
    /** A fetch that was found overdue in this many checks is reported as never ended. */
    private static final int OVERDUE_CHECKS_TO_REPORT = 20;
    /** When a refused client should retry if nothing better is known. */
    public static final long DEFAULT_RETRY_AFTER_MICROS = 300_000;

    /** One fetch, shared by all requests for its object that arrive meanwhile. */
    private final class Fetch {
        private boolean ended;
        private int overdueChecks;
        private final ObjectRequest object;
        private final String key;
        /**
         * The last purge that this edge had applied when it last sent a request: a response to that request is at
         * least as new.
         */
        private long purgeNumber = cache.lastPurgeNumber();

        private final long startedAt = clock.getAsLong();
        private long lastSentAt = startedAt;
        private final List<PendingRequest<A>> pendingRequests = new ArrayList<>();
        private int stage;
        private int edgesTried;

        Fetch(ObjectRequest object, String key, int stage) {
            this.stage = stage;
            this.object = object;
            this.key = key;
            liveFetches.add(this);
        }

        /** Whether the fetch has run for longer than all of its timeouts, one after another, allow. */
        private boolean isOverdue(long now) {
            return now - startedAt > MAX_ROUTE_TIMEOUTS * object.route().timeoutMicros() + OVERDUE_SLACK_MICROS;
        }

        /** Moves the fetch to the map of a later stage; one that a purge has removed from its map stays out. */
        private void moveToStage(int next) {
            if (fetchesByStage.get(stage).remove(key, this)) {
                stage = next;
                fetchesByStage.get(next).putIfAbsent(key, this);
            }
        }

        /** Ends the fetch and returns the requests to be answered; none if it had ended already. */
        private List<PendingRequest<A>> end() {
            if (ended) {
                invariants.record(FetchInvariants.Violation.ENDED_TWICE);
                return List.of();
            }
            ended = true;
            liveFetches.remove(this);
            fetchesByStage.get(stage).remove(key, this);
            return pendingRequests;
        }

        /** Records that a request is sent now. */
        private void requestSent() {
            purgeNumber = cache.lastPurgeNumber();
            lastSentAt = clock.getAsLong();
        }

        /**
         * Whether a response had expired when a request joined this fetch. It never has for requests from before the
         * last sending, as the edges and servers that were asked sent none that had expired then.
         */
        private boolean joinedAfterExpiry(PendingRequest<A> request, CachedResponse response) {
            return request.arrivedAt() > lastSentAt
                    && !response.isFresh(
                            request.arrivedAt() - MAX_EXPIRED_MICROS,
                            object.route().ttlMicros());
        }

        void succeed(CachedResponse response) {
            long firstPurge = cache.firstPurgeSince(purgeNumber, key, response);
            boolean purged = firstPurge != ResponseCache.NO_PURGE;
            hotObjects.recordSize(key, response.body().length);
            if (purged) {
                counters.count(FetchEvent.COPY_PURGED);
            } else if (object.route().ttlMicros() > 0) {
                counters.add(FetchEvent.COPY_EVICTED, cache.put(key, response));
            }
            List<PendingRequest<A>> tooLate = new ArrayList<>();
            for (PendingRequest<A> request : end()) {
                if (request.purgeNumber() >= firstPurge) {
                    counters.count(FetchEvent.JOINED_AFTER_PURGE);
                    tooLate.add(request);
                } else if (joinedAfterExpiry(request, response)) {
                    counters.count(FetchEvent.JOINED_AFTER_EXPIRY);
                    tooLate.add(request);
                } else {
                    request.waiter().onResponse(response, purged);
                }
            }
            tooLate.forEach(FetchCoordinator.this::requestAgain);
        }

        void passThrough(A answer) {
            end().forEach(request -> request.waiter().onUncacheable(answer));
        }

        void refuse(long retryAfter) {
            end().forEach(request -> request.waiter().onRefused(retryAfter));
        }

        void fail() {
            end().forEach(request -> request.waiter().onFailed());
        }

        void failTooLong() {
            longObjects.put(key, Boolean.TRUE);
            end().forEach(request -> request.waiter().onTooLong());
        }
    }

    private final LongSupplier clock;
    private final ResponseCache cache;
    private final HomeSelector homes;
    private final GossipState gossip;
    private final ObjectSources<A> sources;
    private final String self;
    private final long selfHash;
    private final HotObjectTracker hotObjects;
    private final SplittableRandom random;
    private final OriginPermits permits;
    private final RetryDelay retryDelay = new RetryDelay();
    private final Map<String, DemandTracker> demands = new HashMap<>();
    private final ResponseTimeoutEstimator timeoutEstimator = new ResponseTimeoutEstimator();
    /**
     * Running fetches by what they wait for: a home, a fetcher, or servers. A request from another edge joins only a
     * fetch at its own stage or a later one, so that a home never waits for itself.
     */
    private final List<Map<String, Fetch>> fetchesByStage = List.of(new HashMap<>(), new HashMap<>(), new HashMap<>());
    /** Keys of the most recently requested objects that are too long to be cached. */
    private final Map<String, Boolean> longObjects = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_LONG_OBJECTS;
        }
    };

    private final EventCounters<FetchEvent> counters = new EventCounters<>(FetchEvent.class);
    private final FetchInvariants invariants = new FetchInvariants();
    /** All running fetches, including those that a purge has removed from {@link #fetchesByStage}. */
    private final Set<Fetch> liveFetches = new HashSet<>();

    /**
     * Creates the coordinator of one edge.
     *
     * @param self this edge's address
     * @param windowMicros over which the servers' request rate is counted
     * @param linkBytesPerSecond capacity of this edge's link; infinite if it is not a limit
     */
    public FetchCoordinator(
            String self,
            LongSupplier clock,
            ResponseCache cache,
            HomeSelector homes,
            GossipState gossip,
            long windowMicros,
            double linkBytesPerSecond,
            long seed,
            ObjectSources<A> sources) {
        this.self = self;
        this.selfHash = Hash.of(self);
        this.hotObjects = new HotObjectTracker(linkBytesPerSecond);
        this.clock = clock;
        this.cache = cache;
        this.homes = homes;
        this.gossip = gossip;
        this.random = new SplittableRandom(seed);
        this.sources = sources;
        this.permits =
                new OriginPermits(clock, homes, windowMicros, sources::serverRatePerSecond, sources::fetcherCount);
    }

    /** Counts of what has happened to object requests since the start. */
    public EventCounters<FetchEvent> counters() {
        return counters;
    }

    /** This edge's permits to send requests to servers. */
    OriginPermits permits() {
        return permits;
    }

    /** The invariants of all fetches, with their violations. */
    public FetchInvariants invariants() {
        return invariants;
    }

    /**
     * Checks the invariants; call it on each tick. A process that was suspended finds its timers late, so a fetch is
     * reported only after several checks have found it overdue.
     */
    public void checkInvariants() {
        long now = clock.getAsLong();
        for (Fetch fetch : liveFetches) {
            fetch.overdueChecks += fetch.isOverdue(now) ? 1 : 0;
            if (fetch.overdueChecks == OVERDUE_CHECKS_TO_REPORT) {
                invariants.record(FetchInvariants.Violation.NEVER_ENDED);
            }
        }
        if (permits.outstanding() > liveFetches.size()) {
            invariants.record(FetchInvariants.Violation.RIGHT_UNSETTLED);
        }
    }

    /** Applies a purge that this edge has received. */
    public void applyPurge(Entry item) {
        PurgeRequest purge = PurgeRequest.fromEntry(item);
        if (purge != null) {
            cache.purge(purge);
            if (purge.tag().isEmpty()) {
                fetchesByStage.forEach(of -> of.keySet()
                        .removeIf(key -> ResponseCache.matchesPath(purge, key))); // later requests start a new fetch
            }
        }
    }

    /** Whether the object is known to be too long to be cached. */
    public boolean isTooLongToCache(ObjectRequest object) {
        return longObjects.get(object.key()) != null;
    }

    /**
     * Looks up an object for a client and renews it if it is close to expiry; returns the cached response if it may
     * be served now, else null.
     */
    public CachedResponse lookUp(ObjectRequest object) {
        long now = clock.getAsLong();
        String key = object.key();
        demandOf(object.service()).recordRequest(now);
        hotObjects.recordRequest(now, key, object.route().ttlMicros());
        counters.count(FetchEvent.CLIENT_ASKED);
        CachedResponse response = cache.getFresh(now, key, object.route().ttlMicros());
        if (response != null) {
            counters.count(FetchEvent.CLIENT_HAD_COPY);
            renew(now, key, response, object);
        }
        return response;
    }

    /**
     * Requests an object.
     *
     * @param hop who requests it: {@link #HOP_CLIENT}, {@link #HOP_HOME} or {@link #HOP_FETCHER}
     */
    public void request(ObjectRequest object, int hop, long deadline, ObjectWaiter<A> waiter) {
        if (hop <= HOP_CLIENT) {
            findOrFetch(object, HOP_CLIENT, deadline, waiter);
            return;
        }
        counters.count(FetchEvent.EDGE_ASKED);
        long now = clock.getAsLong();
        EdgeWaiter<A> edge = new EdgeWaiter<>(waiter);
        // Others can use the object too, so the fetch may take as long as its route allows.
        findOrFetch(object, Math.min(HOP_FETCHER, hop), now + object.route().timeoutMicros(), edge);
        if (!edge.isAnswered()) {
            sources.schedule((long) (STILL_FETCHING_REPLY_RATIO * (deadline - now)), () -> {
                if (!edge.isAnswered()) {
                    counters.count(FetchEvent.EDGE_TOLD_IN_HAND);
                    edge.onStillFetching();
                }
            });
        }
    }

    private void findOrFetch(ObjectRequest object, int hop, long deadline, ObjectWaiter<A> waiter) {
        String key = object.key();
        CachedResponse response =
                cache.getFresh(clock.getAsLong(), key, object.route().ttlMicros());
        if (response != null) {
            counters.count(FetchEvent.EDGE_HAD_COPY);
            waiter.onResponse(response, false);
            return;
        }
        if (cache.peek(key) != null) {
            counters.count(FetchEvent.COPY_EXPIRED);
        }
        PendingRequest<A> request =
                new PendingRequest<>(object, hop, deadline, clock.getAsLong(), cache.lastPurgeNumber(), waiter);
        for (int at = HOP_FETCHER; at >= hop; at--) {
            Fetch fetch = fetchesByStage.get(at).get(key);
            if (fetch != null) {
                counters.count(FetchEvent.JOINED);
                fetch.pendingRequests.add(request);
                return;
            }
        }
        Fetch fetch = new Fetch(object, key, hop);
        fetch.pendingRequests.add(request);
        fetchesByStage.get(hop).put(key, fetch);
        startNextStage(fetch, hop, deadline);
    }

    /** Requests an object again for a request that came too late for the response that it waited for. */
    private void requestAgain(PendingRequest<A> request) {
        if (request.waiter().isWaiting()) {
            findOrFetch(request.object(), request.hop(), request.deadline(), request.waiter());
        }
    }

    /**
     * Selects where a fetch goes next: from a client's edge to the home, which is one of all edges and so spreads the
     * bytes; from the home, where only some edges fetch, to the fetcher for this key; from there to the servers.
     */
    private void startNextStage(Fetch fetch, int hop, long deadline) {
        long now = clock.getAsLong();
        String service = fetch.object.service();
        int fetcherCount = sources.fetcherCount(service);
        boolean allFetch = fetcherCount >= homes.edgeCount();
        String next =
                hop == HOP_CLIENT ? homes.homeOf(now, homeKey(fetch), allFetch && hasHomesPerZone(service)) : self;
        int nextHop = HOP_HOME;
        if (next.equals(self) && hop < HOP_FETCHER && !homes.isFetcher(service, fetcherCount)) {
            next = homes.homeOf(now, fetch.key, false, service, fetcherCount);
            nextHop = HOP_FETCHER;
        }
        if (homes.skippedHigherRanked()) {
            counters.count(FetchEvent.PASSED_OVER);
        }
        if (next.equals(self) || deadline - now < MIN_REMAINING_MICROS) {
            requestFromServers(fetch, fetch.pendingRequests.isEmpty());
        } else {
            double timeoutRatio = hop == HOP_CLIENT ? HOME_TIMEOUT_RATIO : FETCHER_TIMEOUT_RATIO;
            long estimatedTimeout =
                    timeoutEstimator.timeoutMicros(fetch.object.route().targetLatencyMicros());
            requestFromEdge(
                    fetch, next, nextHop, deadline, (long) Math.min(estimatedTimeout, timeoutRatio * (deadline - now)));
        }
    }

    /**
     * The key by which this edge selects the home: the object's key, with a number appended if the object has several
     * homes.
     */
    private String homeKey(Fetch fetch) {
        int count = hotObjects.homeCount(fetch.key, fetch.object.route().ttlMicros(), homes.edgeCount());
        long homeIndex = Math.floorMod(selfHash, (long) count);
        return homeIndex == 0
                ? fetch.key
                : fetch.key + ' ' + homeIndex; // a URI has no space, so this is no object's key
    }

    /** Continues after an edge did not answer: with the next edge by rank, or with the servers. */
    private void continueAfterSilence(Fetch fetch, int hop, long deadline) {
        if (fetch.edgesTried < MAX_EDGES_TRIED) {
            startNextStage(fetch, hop - 1, deadline);
        } else {
            requestFromServers(fetch, false);
        }
    }

    /** Continues after an unusable answer: with a fetcher if this edge is not one, or with the servers. */
    private void continueAfterUnusable(Fetch fetch, long deadline) {
        String service = fetch.object.service();
        if (fetch.edgesTried < MAX_EDGES_TRIED && !homes.isFetcher(service, sources.fetcherCount(service))) {
            startNextStage(fetch, HOP_HOME, deadline);
        } else {
            requestFromServers(fetch, false);
        }
    }

    /** Refetches a response that is requested close to its expiry; nobody waits for the result. */
    private void renew(long now, String key, CachedResponse response, ObjectRequest object) {
        long lifetime = Math.min(response.ttlMicros(), object.route().ttlMicros());
        if (now - response.requestedAt() > RENEWAL_AGE_RATIO * lifetime
                && fetchesByStage.stream().noneMatch(of -> of.containsKey(key))) {
            counters.count(FetchEvent.RENEWAL);
            Fetch fetch = new Fetch(object, key, HOP_CLIENT);
            fetchesByStage.get(HOP_CLIENT).put(key, fetch);
            startNextStage(fetch, HOP_CLIENT, now + object.route().timeoutMicros());
        }
    }

    private void requestFromEdge(Fetch fetch, String edge, int hop, long deadline, long responseTimeout) {
        fetch.edgesTried++;
        fetch.moveToStage(hop - 1);
        sendRequest(
                fetch,
                new HomeRequest(
                        edge, fetch.object, hop, gossip.purgeDigest(), fetch.startedAt, responseTimeout, deadline));
    }

    private void sendRequest(Fetch fetch, HomeRequest request) {
        fetch.requestSent();
        long requestedAt = clock.getAsLong();
        String edge = request.edge();
        long deadline = request.deadline();
        boolean atHome = request.hop() == HOP_HOME;
        counters.count(atHome ? FetchEvent.HOME_ASKED : FetchEvent.FETCHER_ASKED);
        sources.requestFromEdge(request, new HomeResponseListener<>() {
            private void recordAnswer() {
                long now = clock.getAsLong();
                timeoutEstimator.recordResponse(now - requestedAt);
                homes.recordAnswer(now, edge);
            }

            private void count(FetchEvent ofHome, FetchEvent ofFetcher) {
                counters.count(atHome ? ofHome : ofFetcher, clock.getAsLong() - requestedAt);
            }

            @Override
            public void onResponse(CachedResponse response) {
                recordAnswer();
                count(FetchEvent.HOME_COPY, FetchEvent.FETCHER_COPY);
                fetch.succeed(response);
            }

            @Override
            public void onUncacheable(A answer) {
                recordAnswer();
                fetch.passThrough(answer);
            }

            @Override
            public void onRefused(long retryAfter) {
                recordAnswer();
                count(FetchEvent.HOME_REFUSED, FetchEvent.FETCHER_REFUSED);
                fetch.refuse(retryAfter);
            }

            @Override
            public void onUnusable() {
                recordAnswer();
                count(FetchEvent.HOME_USELESS, FetchEvent.FETCHER_USELESS);
                continueAfterUnusable(fetch, deadline);
            }

            @Override
            public void onSilent(boolean ours) {
                count(FetchEvent.HOME_SILENT, FetchEvent.FETCHER_SILENT);
                if (ours) {
                    fetch.refuse(DEFAULT_RETRY_AFTER_MICROS);
                } else {
                    if (!homes.recordFailure(clock.getAsLong(), edge, requestedAt)) {
                        counters.count(FetchEvent.SILENT_TO_ONE);
                    }
                    continueAfterSilence(fetch, request.hop(), deadline);
                }
            }

            @Override
            public void onStillFetching() {
                homes.recordAnswer(clock.getAsLong(), edge);
                count(FetchEvent.HOME_IN_HAND, FetchEvent.FETCHER_IN_HAND);
                long remaining = deadline - clock.getAsLong();
                if (remaining < MIN_REMAINING_MICROS) {
                    fetch.refuse(
                            DEFAULT_RETRY_AFTER_MICROS); // some waiters have time left to retry and will find it cached
                } else {
                    sendRequest(
                            fetch, request.retry(gossip.purgeDigest(), Math.min(request.responseTimeout(), remaining)));
                }
            }
        });
    }

    /**
     * Takes a permit for one more request to a service's servers, for a further attempt or a request without an
     * object; false if none is available.
     */
    public boolean tryAcquirePermit(String service) {
        OriginPermits.Permit permit = permits.tryAcquire(service);
        if (permit != null) {
            permit.markUsed();
        }
        return permit != null;
    }

    private DemandTracker demandOf(String service) {
        return demands.computeIfAbsent(service, name -> new DemandTracker());
    }

    /**
     * Whether each zone has its own homes: while total demand is so far below the servers' rate that they could serve
     * it with nothing cached.
     */
    private boolean hasHomesPerZone(String service) {
        return demandOf(service)
                .homesPerZone(clock.getAsLong(), sources.serverRatePerSecond(service), homes.edgeCount());
    }

    private void requestFromServers(Fetch fetch, boolean prefetch) {
        long requestedAt = clock.getAsLong();
        fetch.moveToStage(HOP_FETCHER);
        String service = fetch.object.route().selectService(random.nextDouble());
        OriginPermits.Permit permit = prefetch
                ? permits.tryAcquirePrefetch(service)
                : permits.tryAcquire(service, fetch.object.route().name());
        if (permit == null) {
            long wait = permits.microsUntilAvailable(service);
            if (!prefetch
                    && requestedAt + wait - fetch.startedAt
                            < MAX_PERMIT_WAIT_RATIO * fetch.object.route().targetLatencyMicros()) {
                counters.count(FetchEvent.RIGHT_AWAITED);
                sources.schedule(wait, () -> requestFromServers(fetch, false)); // still in time
            } else {
                counters.count(FetchEvent.RIGHT_REFUSED);
                fetch.refuse(retryDelay.recordRefused(wait, random.nextDouble()));
            }
            return;
        }
        counters.count(FetchEvent.RIGHT_TAKEN);
        fetch.requestSent();
        boolean known = sources.requestFromServers(
                service,
                fetch.object,
                requestedAt,
                requestedAt + fetch.object.route().timeoutMicros(),
                new ServerResponseListener<>() {
                    private void count(FetchEvent event) {
                        counters.count(event, clock.getAsLong() - requestedAt);
                    }

                    @Override
                    public void onResponse(CachedResponse response) {
                        count(FetchEvent.SERVERS_COPY);
                        permit.markUsed();
                        retryDelay.recordServed();
                        fetch.succeed(response);
                    }

                    @Override
                    public void onUncacheable(A answer) {
                        count(FetchEvent.SERVERS_OTHER);
                        permit.markUsed();
                        fetch.passThrough(answer);
                    }

                    @Override
                    public void onRefused(long retryAfter) {
                        count(FetchEvent.SERVERS_REFUSED);
                        permit.markUsed();
                        fetch.refuse(retryAfter);
                    }

                    @Override
                    public void onNotSent(long retryAfter) {
                        count(FetchEvent.SERVERS_NOT_SENT);
                        permit.release();
                        fetch.refuse(retryAfter);
                    }

                    @Override
                    public void onFailed() {
                        count(FetchEvent.SERVERS_FAILED);
                        permit.markUsed();
                        fetch.fail();
                    }

                    @Override
                    public void onTooLong() {
                        count(FetchEvent.SERVERS_TOO_LONG);
                        permit.markUsed();
                        fetch.failTooLong();
                    }
                });
        if (!known) {
            permit.release();
            fetch.refuse(DEFAULT_RETRY_AFTER_MICROS);
        }
    }
}
