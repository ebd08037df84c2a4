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
 * Decides where each object that is asked for comes from: a copy held here, a fetch that is out already, the object's home,
 * or its servers. Where few edges fetch, a home asks one of these.
 *
 * <p><b>Idea.</b> One fetch for all who ask meanwhile. A copy that another edge hands over is taken only where that edge knew
 * of the same purges when it handed it over as this one did when it asked; so a purge that has come here first can't be
 * undone by an edge that has not heard of it. What was asked for before a purge is held against that purge before it is put
 * on the shelf, and given at most to those who had asked by then. Fetches from servers count at this edge's part of what the
 * service bears; those that nobody waits for have half of it.
 *
 * <p><b>Bounds.</b> {@link ResponseCache}'s and as many fetches as there are requests. No I/O, no clock of its own, no threads:
 * {@link ObjectSources} carry out. One caller; times in microseconds.
 *
 * @param <A> an answer that is no copy, passed on as it is
 */
public final class FetchCoordinator<A> {
    /** Who asks: a client; an edge, as the object's home; a home, as the edge that fetches for it. */
    public static final int HOP_CLIENT = 0;

    public static final int HOP_HOME = 1;
    public static final int HOP_FETCHER = 2;
    private static final long LEAST_LEFT = 60_000;
    /** Renewed ahead, by one for all, in this last part of its time, where it is asked for often. */
    private static final double RENEW_FROM = 0.8;
    /** So many objects that are too long to be held are remembered. */
    private static final int MOST_LONG = 1_024;
    /**
     * What finds no room among what servers bear waits for so much of its aim at most, before it is refused: who is told early when
     * to come back can still be served in time then.
     */
    private static final double WAITS_OF_AIM = 0.15;
    /** Of the time that another edge waits, so much passes at most before it is answered. */
    private static final double ANSWERS_WITHIN = 0.6;
    /** So many homes are asked for one object. */
    private static final int MOST_HOMES = 3;
    /** Of the time that is left, so much is waited for a home, and by a home for who fetches for it. */
    private static final double WAITS_FOR_HOME = 0.67;

    private static final double WAITS_FOR_FETCHER = 0.9;
    /** A fetch has the time that its route allows at most so often: for homes, for servers, and for an answer that is coming in. */
    private static final int MOST_LIMITS = 3;

    private static final long OVERDUE_SLACK = 1_000_000;
    private static final int OVERDUE_CHECKS = 20;
    /** When to come back where nothing better is known. */
    public static final long DEFAULT_RETRY_AFTER_MICROS = 300_000;

    /** One fetch for all who ask meanwhile. */
    private final class Fetch {
        private boolean over;
        private int overdueChecks;
        private final ObjectRequest what;
        private final String key;
        private final long purges = shelf.lastPurgeNumber();
        private final long begun = clock.getAsLong();
        private final List<ObjectWaiter<A>> waiters = new ArrayList<>();
        private int level;
        private int homes;

        Fetch(ObjectRequest what, String key, int level) {
            this.level = level;
            this.what = what;
            this.key = key;
            live.add(this);
        }

        /** Whether it has been out for longer than its limits, one behind the other, allow. */
        private boolean isOverdue(long now) {
            return now - begun > MOST_LIMITS * what.route().timeoutMicros() + OVERDUE_SLACK;
        }

        /** It waits for somebody else from now on; one that a purge has taken out stays so. */
        private void waitsAt(int next) {
            if (fetches.get(level).remove(key, this)) {
                level = next;
                fetches.get(next).putIfAbsent(key, this);
            }
        }

        /** Those who are to be told now; nobody where they have been told already. */
        private List<ObjectWaiter<A>> over() {
            if (over) {
                invariants.record(FetchInvariants.Violation.ENDED_TWICE);
                return List.of();
            }
            over = true;
            live.remove(this);
            fetches.get(level).remove(key, this);
            return waiters;
        }

        void here(CachedResponse copy) {
            boolean once = shelf.purgedSince(purges, key, copy);
            hot.recordSize(key, copy.body().length);
            if (!once && what.route().ttlMicros() > 0) {
                counters.add(FetchEvent.COPY_EVICTED, shelf.put(key, copy));
            }
            over().forEach(waiter -> waiter.onResponse(copy, once));
        }

        void other(A answer) {
            over().forEach(waiter -> waiter.onUncacheable(answer));
        }

        void refused(long retryAfter) {
            over().forEach(waiter -> waiter.onRefused(retryAfter));
        }

        void failed() {
            over().forEach(ObjectWaiter::onFailed);
        }

        void tooLong() {
            longs.put(key, Boolean.TRUE);
            over().forEach(ObjectWaiter::onTooLong);
        }
    }

    private final LongSupplier clock;
    private final ResponseCache shelf;
    private final HomeSelector homes;
    private final GossipState board;
    private final ObjectSources<A> sources;
    private final String self;
    private final long selfHash;
    private final HotObjectTracker hot;
    private final SplittableRandom random;
    private final OriginPermits rights;
    private final RetryDelay comeBack = new RetryDelay();
    private final Map<String, DemandTracker> demands = new HashMap<>();
    private final ResponseTimeoutEstimator patience = new ResponseTimeoutEstimator();
    /**
     * By whom they wait for: a home, who fetches for it, servers. Who asks as one of these joins only what waits for somebody
     * beyond him, so that a home never waits for itself.
     */
    private final List<Map<String, Fetch>> fetches = List.of(new HashMap<>(), new HashMap<>(), new HashMap<>());
    /** Keys of objects that are too long to be held, those asked for last. */
    private final Map<String, Boolean> longs = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MOST_LONG;
        }
    };

    private final EventCounters<FetchEvent> counters = new EventCounters<>(FetchEvent.class);
    private final FetchInvariants invariants = new FetchInvariants();
    /** All that are out; also those that a purge has taken out of {@link #fetches}. */
    private final Set<Fetch> live = new HashSet<>();

    /**
     * At the edge with this address.
     *
     * @param window what the servers' rate is counted over
     * @param linkBytes that its link carries a second; infinite where that is no bound
     */
    public FetchCoordinator(
            String self,
            LongSupplier clock,
            ResponseCache shelf,
            HomeSelector homes,
            GossipState board,
            long window,
            double linkBytes,
            long seed,
            ObjectSources<A> sources) {
        this.self = self;
        this.selfHash = Hash.of(self);
        this.hot = new HotObjectTracker(linkBytes);
        this.clock = clock;
        this.shelf = shelf;
        this.homes = homes;
        this.board = board;
        this.random = new SplittableRandom(seed);
        this.sources = sources;
        this.rights = new OriginPermits(clock, homes, window, sources::serverRatePerSecond, sources::fetcherCount);
    }

    /** What has happened to requests for objects since the start. */
    public EventCounters<FetchEvent> counters() {
        return counters;
    }

    /** What this edge may send to servers. */
    OriginPermits permits() {
        return rights;
    }

    /** What must hold, and how often it did not. */
    public FetchInvariants invariants() {
        return invariants;
    }

    /**
     * Checks what must hold; to be called each tick. A process that was stopped finds its timers late, so that a fetch counts only
     * once it has been found overdue several times.
     */
    public void checkInvariants() {
        long now = clock.getAsLong();
        for (Fetch fetch : live) {
            fetch.overdueChecks += fetch.isOverdue(now) ? 1 : 0;
            if (fetch.overdueChecks == OVERDUE_CHECKS) {
                invariants.record(FetchInvariants.Violation.NEVER_ENDED);
            }
        }
        if (rights.outstanding() > live.size()) {
            invariants.record(FetchInvariants.Violation.RIGHT_UNSETTLED);
        }
    }

    /** A purge has become known. */
    public void applyPurge(Entry item) {
        PurgeRequest purge = PurgeRequest.fromEntry(item);
        if (purge != null) {
            shelf.purge(purge);
            if (purge.tag().isEmpty()) {
                fetches.forEach(of -> of.keySet()
                        .removeIf(key -> ResponseCache.matchesPath(purge, key))); // who asks from now on gets another
            }
        }
    }

    /** Whether it is known to be too long to be held. */
    public boolean isTooLongToCache(ObjectRequest what) {
        return longs.get(what.key()) != null;
    }

    /** A client asks: a copy that may be served now, which is renewed where its time is nearly over; null for none. */
    public CachedResponse lookUp(ObjectRequest what) {
        long now = clock.getAsLong();
        String key = what.key();
        demand(what.service()).recordRequest(now);
        hot.recordRequest(now, key, what.route().ttlMicros());
        counters.count(FetchEvent.CLIENT_ASKED);
        CachedResponse copy = shelf.getFresh(now, key, what.route().ttlMicros());
        if (copy != null) {
            counters.count(FetchEvent.CLIENT_HAD_COPY);
            renew(now, key, copy, what);
        }
        return copy;
    }

    /** Asks for an object; {@code hop} says who asks, from {@link #HOP_CLIENT} on. */
    public void request(ObjectRequest what, int hop, long giveUp, ObjectWaiter<A> waiter) {
        if (hop <= HOP_CLIENT) {
            find(what, HOP_CLIENT, giveUp, waiter);
            return;
        }
        counters.count(FetchEvent.EDGE_ASKED);
        long now = clock.getAsLong();
        EdgeWaiter<A> edge = new EdgeWaiter<>(waiter);
        // What it asks for is of use to others too, so it is fetched for as long as its route allows.
        find(what, Math.min(HOP_FETCHER, hop), now + what.route().timeoutMicros(), edge);
        if (!edge.isOver()) {
            sources.schedule((long) (ANSWERS_WITHIN * (giveUp - now)), () -> {
                if (!edge.isOver()) {
                    counters.count(FetchEvent.EDGE_TOLD_IN_HAND);
                    edge.onStillFetching();
                }
            });
        }
    }

    private void find(ObjectRequest what, int asked, long giveUp, ObjectWaiter<A> waiter) {
        String key = what.key();
        CachedResponse copy =
                shelf.getFresh(clock.getAsLong(), key, what.route().ttlMicros());
        if (copy != null) {
            counters.count(FetchEvent.EDGE_HAD_COPY);
            waiter.onResponse(copy, false);
            return;
        }
        if (shelf.peek(key) != null) {
            counters.count(FetchEvent.COPY_EXPIRED);
        }
        for (int at = HOP_FETCHER; at >= asked; at--) {
            Fetch fetch = fetches.get(at).get(key);
            if (fetch != null) {
                counters.count(FetchEvent.JOINED);
                fetch.waiters.add(waiter);
                return;
            }
        }
        Fetch fetch = new Fetch(what, key, asked);
        fetch.waiters.add(waiter);
        fetches.get(asked).put(key, fetch);
        begin(fetch, asked, giveUp);
    }

    /**
     * Where an object comes from next: its home, which is one of all edges and carries the bytes; from there, where only a
     * part of the edges fetch, the one of them that does so for this key; from there its servers.
     */
    private void begin(Fetch fetch, int hop, long giveUp) {
        long now = clock.getAsLong();
        String service = fetch.what.service();
        int many = sources.fetcherCount(service);
        boolean all = many >= homes.edgeCount();
        String next = hop == HOP_CLIENT ? homes.homeOf(now, homeKey(fetch), all && zoned(service)) : self;
        int told = HOP_HOME;
        if (next.equals(self) && hop < HOP_FETCHER && !homes.isFetcher(service, many)) {
            next = homes.homeOf(now, fetch.key, false, service, many);
            told = HOP_FETCHER;
        }
        if (homes.skippedHigherRanked()) {
            counters.count(FetchEvent.PASSED_OVER);
        }
        if (next.equals(self) || giveUp - now < LEAST_LEFT) {
            servers(fetch, fetch.waiters.isEmpty());
        } else {
            double part = hop == HOP_CLIENT ? WAITS_FOR_HOME : WAITS_FOR_FETCHER;
            long patient = patience.timeoutMicros(fetch.what.route().targetLatencyMicros());
            home(fetch, next, told, giveUp, (long) Math.min(patient, part * (giveUp - now)));
        }
    }

    /** What names the home that this edge asks: the object's key, with a number where it has several homes. */
    private String homeKey(Fetch fetch) {
        int count = hot.homeCount(fetch.key, fetch.what.route().ttlMicros(), homes.edgeCount());
        long which = Math.floorMod(selfHash, (long) count);
        return which == 0 ? fetch.key : fetch.key + ' ' + which; // no key has a space
    }

    /** Who was asked did not answer: the next one by rank, or else the servers. */
    private void afterSilence(Fetch fetch, int hop, long giveUp) {
        if (fetch.homes < MOST_HOMES) {
            begin(fetch, hop - 1, giveUp);
        } else {
            servers(fetch, false);
        }
    }

    /** A home was of no use: the edge that fetches, where this is none, or else the servers. */
    private void beyond(Fetch fetch, long giveUp) {
        String service = fetch.what.service();
        if (fetch.homes < MOST_HOMES && !homes.isFetcher(service, sources.fetcherCount(service))) {
            begin(fetch, HOP_HOME, giveUp);
        } else {
            servers(fetch, false);
        }
    }

    /** A copy that is asked for near its end is fetched anew before it has ended; nobody waits for that. */
    private void renew(long now, String key, CachedResponse copy, ObjectRequest what) {
        long life = Math.min(copy.ttlMicros(), what.route().ttlMicros());
        if (now - copy.requestedAt() > RENEW_FROM * life && fetches.stream().noneMatch(of -> of.containsKey(key))) {
            counters.count(FetchEvent.RENEWAL);
            Fetch fetch = new Fetch(what, key, HOP_CLIENT);
            fetches.get(HOP_CLIENT).put(key, fetch);
            begin(fetch, HOP_CLIENT, now + what.route().timeoutMicros());
        }
    }

    private void home(Fetch fetch, String home, int hop, long giveUp, long wait) {
        fetch.homes++;
        fetch.waitsAt(hop - 1);
        ask(fetch, new HomeRequest(home, fetch.what, hop, board.purgeDigest(), fetch.begun, wait, giveUp));
    }

    private void ask(Fetch fetch, HomeRequest question) {
        long asked = clock.getAsLong();
        String home = question.edge();
        long giveUp = question.deadline();
        boolean atHome = question.hop() == HOP_HOME;
        counters.count(atHome ? FetchEvent.HOME_ASKED : FetchEvent.FETCHER_ASKED);
        sources.requestFromEdge(question, new HomeResponseListener<>() {
            private void answered() {
                long now = clock.getAsLong();
                patience.recordResponse(now - asked);
                homes.recordAnswer(now, home);
            }

            private void count(FetchEvent ofHome, FetchEvent ofFetcher) {
                counters.count(atHome ? ofHome : ofFetcher, clock.getAsLong() - asked);
            }

            @Override
            public void copy(CachedResponse copy) {
                answered();
                count(FetchEvent.HOME_COPY, FetchEvent.FETCHER_COPY);
                fetch.here(copy);
            }

            @Override
            public void onUncacheable(A answer) {
                answered();
                fetch.other(answer);
            }

            @Override
            public void onRefused(long retryAfter) {
                answered();
                count(FetchEvent.HOME_REFUSED, FetchEvent.FETCHER_REFUSED);
                fetch.refused(retryAfter);
            }

            @Override
            public void onUnusable() {
                answered();
                count(FetchEvent.HOME_USELESS, FetchEvent.FETCHER_USELESS);
                beyond(fetch, giveUp);
            }

            @Override
            public void onSilent(boolean ours) {
                count(FetchEvent.HOME_SILENT, FetchEvent.FETCHER_SILENT);
                if (ours) {
                    fetch.refused(DEFAULT_RETRY_AFTER_MICROS);
                } else {
                    if (!homes.recordFailure(clock.getAsLong(), home, asked)) {
                        counters.count(FetchEvent.SILENT_TO_ONE);
                    }
                    afterSilence(fetch, question.hop(), giveUp);
                }
            }

            @Override
            public void onStillFetching() {
                homes.recordAnswer(clock.getAsLong(), home);
                count(FetchEvent.HOME_IN_HAND, FetchEvent.FETCHER_IN_HAND);
                long left = giveUp - clock.getAsLong();
                if (left < LEAST_LEFT) {
                    fetch.refused(
                            DEFAULT_RETRY_AFTER_MICROS); // some of those who wait have time left to come back, and will
                    // find it
                } else {
                    ask(fetch, question.retry(board.purgeDigest(), Math.min(question.responseTimeout(), left)));
                }
            }
        });
    }

    /** Whether one more may go to a service's servers now, a further attempt or one for no object; it is counted if so. */
    public boolean tryAcquirePermit(String service) {
        OriginPermits.Permit right = rights.tryAcquire(service, false);
        if (right != null) {
            right.markUsed();
        }
        return right != null;
    }

    private DemandTracker demand(String service) {
        return demands.computeIfAbsent(service, name -> new DemandTracker());
    }

    /**
     * Whether each zone has a home for itself: while all that is asked for is well below what the servers bear, so that
     * they would bear it even if nothing were held.
     */
    private boolean zoned(String service) {
        return demand(service).homesPerZone(clock.getAsLong(), sources.serverRatePerSecond(service), homes.edgeCount());
    }

    private void servers(Fetch fetch, boolean ahead) {
        long asked = clock.getAsLong();
        fetch.waitsAt(HOP_FETCHER);
        String service = fetch.what.route().selectService(random.nextDouble());
        OriginPermits.Permit right = rights.tryAcquire(service, ahead);
        if (right == null) {
            long roomIn = rights.microsUntilAvailable(service);
            if (!ahead
                    && asked + roomIn - fetch.begun
                            < WAITS_OF_AIM * fetch.what.route().targetLatencyMicros()) {
                counters.count(FetchEvent.RIGHT_AWAITED);
                sources.schedule(roomIn, () -> servers(fetch, false)); // in time yet
            } else {
                counters.count(FetchEvent.RIGHT_REFUSED);
                fetch.refused(comeBack.recordRefused(roomIn, random.nextDouble()));
            }
            return;
        }
        counters.count(FetchEvent.RIGHT_TAKEN);
        boolean known = sources.requestFromServers(
                service, fetch.what, asked, asked + fetch.what.route().timeoutMicros(), new ServerResponseListener<>() {
                    private void count(FetchEvent event) {
                        counters.count(event, clock.getAsLong() - asked);
                    }

                    @Override
                    public void copy(CachedResponse copy) {
                        count(FetchEvent.SERVERS_COPY);
                        right.markUsed();
                        comeBack.recordServed();
                        fetch.here(copy);
                    }

                    @Override
                    public void onUncacheable(A answer) {
                        count(FetchEvent.SERVERS_OTHER);
                        right.markUsed();
                        fetch.other(answer);
                    }

                    @Override
                    public void onRefused(long retryAfter) {
                        count(FetchEvent.SERVERS_REFUSED);
                        right.markUsed();
                        fetch.refused(retryAfter);
                    }

                    @Override
                    public void onNotSent(long retryAfter) {
                        count(FetchEvent.SERVERS_NOT_SENT);
                        right.release();
                        fetch.refused(retryAfter);
                    }

                    @Override
                    public void onFailed() {
                        count(FetchEvent.SERVERS_FAILED);
                        right.markUsed();
                        fetch.failed();
                    }

                    @Override
                    public void onTooLong() {
                        count(FetchEvent.SERVERS_TOO_LONG);
                        right.markUsed();
                        fetch.tooLong();
                    }
                });
        if (!known) {
            right.release();
            fetch.refused(DEFAULT_RETRY_AFTER_MICROS);
        }
    }
}
