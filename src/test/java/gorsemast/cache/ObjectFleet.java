package gorsemast.cache;

import gorsemast.configuration.Route;
import gorsemast.dispatch.EdgeSharing;
import gorsemast.gossip.GossipState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Many edges in virtual time, each with its own {@link FetchCoordinator}, before two object servers that bear only so many requests a
 * second. Clients ask for objects by a Zipf distribution and come back once when they are refused. Links out of an edge have a
 * bandwidth, so that large objects hold up what is sent behind them.
 *
 * <p>{@link #ideal} plays the same requests against one cache that all edges share, with all the servers bear: no fleet can
 * serve more by chance alone. One thread; times in microseconds; the same seed gives the same course.
 */
final class ObjectFleet {
    private static final long SECOND = 1_000_000;
    private static final long START = 100 * SECOND;
    private static final long HOP = 500;
    private static final long KILLED_AT = 12 * SECOND;
    private static final long DOWN = 2_400_000;
    private static final int OBJECTS = 3_400;
    private static final int SMALL = 3_000;
    private static final int SERVER_CONNECTIONS = 65;
    private static final double BITS_PER_BYTE = 8;
    /** An answer without a body. */
    private static final int HEAD_BYTES = 200;
    /** Of the time that a client has left, so much of what it is told to wait it waits at most. */
    private static final double HEEDS = 1.0 / 3;

    private static final long WORK = 120_000;
    private static final double[] SPEEDS = {0.6, 1.4};
    private static final Route NOTICES = route("n", 300_000, 4 * SECOND, 40 * SECOND);
    private static final Route TABLES = route("t", 600_000, 6 * SECOND, 20 * SECOND);

    /** How a fleet is set up. */
    record Setup(
            int edges,
            double requests,
            double perSecond,
            double linkBits,
            double unsent,
            double killed,
            long seconds,
            boolean spreads,
            long seed) {
        /** The twin of a grown deployment: what servers bear is a sixth of what is asked. */
        static Setup twin(long seed) {
            return new Setup(15, 112, 19.1, 7.7e6, 0, 0, 30, true, seed);
        }

        /** The same where the decision modules refuse this part of the fetches without sending them. */
        Setup refusing(double part) {
            return new Setup(edges, requests, perSecond, linkBits, part, killed, seconds, spreads, seed);
        }

        /** The same where this part of the edges is killed once and comes back. */
        Setup killing(double part) {
            return new Setup(edges, requests, perSecond, linkBits, unsent, part, seconds, spreads, seed);
        }

        /** The same where servers bear so much less. */
        Setup bearing(double part) {
            return new Setup(edges, requests, perSecond * part, linkBits, unsent, killed, seconds, spreads, seed);
        }

        /** Many edges whose clients ask for long objects that live for 20 s, over narrow links, and servers that bear much. */
        static Setup popular(long seed) {
            return new Setup(65, 900, 300, 8.4e6, 0, 0, 60, true, seed);
        }

        /** The same where each object has one home. */
        Setup withoutSpreading() {
            return new Setup(edges, requests, perSecond, linkBits, unsent, killed, seconds, false, seed);
        }

        /** At the size of a grown deployment. */
        Setup grown() {
            return new Setup(85, 640, 126, linkBits, unsent, killed, seconds, spreads, seed);
        }
    }

    /** What clients got; {@code duplicates} are fetches of what a sound copy was held of somewhere. */
    record Result(
            long asked,
            long served,
            long inAim,
            long arrivals,
            long duplicates,
            long passedOver,
            long mostInWindow,
            long violations,
            double busiestLink) {
        double share() {
            return (double) served / asked;
        }

        double aimShare() {
            return (double) inAim / asked;
        }
    }

    private record Event(long at, long order, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private record Ask(ObjectRequest what, long begun, boolean again) {}

    private final Setup setup;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final SplittableRandom random;
    private final double[] cumulated = new double[OBJECTS];
    private final List<Edge> edges = new ArrayList<>();
    private final Map<String, Edge> byName = new HashMap<>();
    private final Map<String, Long> fetchedAt = new HashMap<>();
    private final List<Long> arrivals = new ArrayList<>();
    private long now = START;
    private long order;
    private long asked;
    private long served;
    private long inAim;
    private long duplicates;

    private ObjectFleet(Setup setup) {
        this.setup = setup;
        this.random = new SplittableRandom(setup.seed());
        double notices = 0;
        for (int i = 0; i < OBJECTS; i++) {
            boolean small = i < SMALL;
            double weight = (small ? 0.77 : 0.23) / harmonic(small ? SMALL : OBJECTS - SMALL);
            notices += weight / (small ? i + 1 : i - SMALL + 1);
            cumulated[i] = notices;
        }
    }

    private static double harmonic(int terms) {
        double sum = 0;
        for (int i = 1; i <= terms; i++) {
            sum += 1.0 / i;
        }
        return sum;
    }

    private static Route route(String name, long aim, long timeout, long ttl) {
        List<Route.WeightedService> to = List.of(new Route.WeightedService("s", 1));
        return new Route(name, "h", "/" + name + "/", Route.Kind.CACHEABLE, timeout, aim, 1, to, 2, ttl);
    }

    /** Plays a fleet. */
    static Result play(Setup setup) {
        ObjectFleet fleet = new ObjectFleet(setup);
        Map<String, String> names = new HashMap<>();
        for (int i = 0; i < setup.edges(); i++) {
            names.put("10.1.0." + i, "z" + i % 4);
        }
        names.forEach((name, zone) -> {
            Edge edge = fleet.new Edge(name, zone, names);
            fleet.edges.add(edge);
            fleet.byName.put(name, edge);
        });
        fleet.clients(fleet::client);
        if (setup.killed() > 0) {
            fleet.after(KILLED_AT, () -> fleet.kill(names));
        }
        fleet.run();
        return fleet.result();
    }

    /** Some of the edges end at once, and come back as new processes; everybody knows of both at once. */
    private void kill(Map<String, String> names) {
        List<Edge> ended = edges.subList(0, (int) (setup.killed() * edges.size()));
        Map<String, String> left = new HashMap<>(names);
        for (Edge edge : ended) {
            edge.ended = true;
            left.remove(edge.name);
            byName.remove(edge.name);
        }
        List<String> back = ended.stream().map(edge -> edge.name).toList();
        ended.clear();
        edges.forEach(edge -> edge.homes.updateEdges(left));
        after(DOWN, () -> {
            back.forEach(name -> {
                Edge edge = new Edge(name, names.get(name), names);
                edges.add(edge);
                byName.put(name, edge);
            });
            edges.forEach(edge -> edge.homes.updateEdges(names));
        });
    }

    /** Plays the same requests against one cache with all that the servers bear. */
    static Result ideal(Setup setup) {
        ObjectFleet fleet = new ObjectFleet(setup);
        Map<String, Long> held = new HashMap<>();
        SlidingWindowLimiter ceiling = new SlidingWindowLimiter(5 * SECOND, 0);
        fleet.clients(ask -> fleet.askIdeal(ask, held, ceiling));
        fleet.run();
        return fleet.result();
    }

    private void askIdeal(Ask ask, Map<String, Long> held, SlidingWindowLimiter ceiling) {
        Long since = held.get(ask.what.key());
        boolean fresh = since != null && now - since < ask.what.route().ttlMicros();
        if (!fresh && ceiling.tryAcquire(now, OriginPermits.permitsPerWindow(setup.perSecond(), 5 * SECOND), false)) {
            held.put(ask.what.key(), now);
            arrivals.add(now);
            fresh = true;
        }
        if (fresh) {
            served++;
            inAim++;
        } else if (!ask.again) {
            after(SECOND / 2, () -> askIdeal(new Ask(ask.what, ask.begun, true), held, ceiling));
        }
    }

    private Result result() {
        long passed = edges.stream()
                .mapToLong(edge -> edge.fetching.counters().of(FetchEvent.PASSED_OVER))
                .sum();
        edges.forEach(edge -> edge.fetching.checkInvariants());
        long violations = edges.stream()
                .mapToLong(edge -> edge.fetching.invariants().total())
                .sum();
        double busiest =
                edges.stream().mapToLong(edge -> edge.sentBetween).max().orElse(0)
                        * BITS_PER_BYTE
                        / (setup.linkBits() * setup.seconds());
        return new Result(
                asked, served, inAim, arrivals.size(), duplicates, passed, mostInWindow(), violations, busiest);
    }

    private long mostInWindow() {
        long most = 0;
        int first = 0;
        for (int last = 0; last < arrivals.size(); last++) {
            while (arrivals.get(last) - arrivals.get(first) >= 5 * SECOND) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    private void after(long micros, Runnable task) {
        events.add(new Event(now + Math.max(0, micros), order++, task));
    }

    private void run() {
        while (!events.isEmpty()) {
            Event next = events.poll();
            now = next.at;
            next.task.run();
        }
    }

    // ---- clients

    private interface Asks {
        void ask(Ask ask);
    }

    private void clients(Asks asks) {
        SplittableRandom draws = new SplittableRandom(setup.seed() + 1);
        long at = 0;
        while (at < setup.seconds() * SECOND) {
            at += (long) (-Math.log(1 - draws.nextDouble()) / setup.requests() * SECOND);
            ObjectRequest what = object(draws.nextDouble());
            long begun = START + at;
            after(at, () -> {
                asked++;
                asks.ask(new Ask(what, begun, false));
            });
        }
    }

    private ObjectRequest object(double draw) {
        int low = 0;
        int high = OBJECTS - 1;
        while (low < high) {
            int middle = (low + high) / 2;
            if (cumulated[middle] < draw) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        Route route = low < SMALL ? NOTICES : TABLES;
        return new ObjectRequest(route, "h", route.prefix() + low);
    }

    private void client(Ask ask) {
        edges.get(random.nextInt(edges.size())).client(ask);
    }

    private void over(Ask ask, boolean success, long retryAfter) {
        Route route = ask.what.route();
        long left = ask.begun + route.timeoutMicros() - now;
        if (success && left > 0) {
            served++;
            inAim += now - ask.begun <= route.targetLatencyMicros() ? 1 : 0;
        } else if (!success && !ask.again && left > 0) {
            long waits = Math.min(retryAfter, (long) (HEEDS * left));
            after(waits + 2_000, () -> client(new Ask(ask.what, ask.begun, true)));
        }
    }

    private static int bytes(ObjectRequest what) {
        return what.route() == NOTICES ? 6_000 : 120_000;
    }

    // ---- one edge

    private final class Edge implements ObjectSources<String> {
        private final String name;
        private final HomeSelector homes;
        private final FetchCoordinator<String> fetching;
        private long linkFreeAt;
        /** Bytes of objects that other edges were handed. */
        private long sentBetween;

        private boolean ended;

        Edge(String name, String zone, Map<String, String> all) {
            this.name = name;
            this.homes = new HomeSelector(name, zone);
            homes.updateEdges(all);
            this.fetching = new FetchCoordinator<>(
                    name,
                    () -> now,
                    new ResponseCache(9 << 20),
                    homes,
                    new GossipState(),
                    5 * SECOND,
                    setup.spreads() ? setup.linkBits() / BITS_PER_BYTE : Double.POSITIVE_INFINITY,
                    random.nextLong(),
                    this);
        }

        /** Sends so many bytes behind what is on the link already. */
        private void sends(int bytes, Runnable arrives) {
            if (ended) {
                return;
            }
            linkFreeAt = Math.max(now, linkFreeAt) + (long) (bytes * BITS_PER_BYTE / setup.linkBits() * SECOND);
            after(linkFreeAt - now + HOP, arrives);
        }

        void client(Ask ask) {
            ObjectRequest what = ask.what;
            if (fetching.lookUp(what) != null) {
                sends(bytes(what), () -> over(ask, true, 0));
                return;
            }
            long giveUp = ask.begun + what.route().timeoutMicros();
            fetching.request(what, FetchCoordinator.HOP_CLIENT, giveUp, new Told() {
                @Override
                void end(CachedResponse copy, long retryAfter) {
                    if (copy != null) {
                        sends(bytes(what), () -> over(ask, true, 0));
                    } else {
                        over(ask, false, retryAfter);
                    }
                }
            });
        }

        @Override
        public void requestFromEdge(HomeRequest question, HomeResponseListener<String> ending) {
            boolean[] over = new boolean[1];
            boolean[] comes = new boolean[1];
            Runnable silent = () -> {
                if (!over[0]) {
                    over[0] = true;
                    ending.onSilent(false);
                }
            };
            after(question.responseTimeout(), () -> {
                if (!comes[0]) {
                    silent.run();
                }
            });
            after(question.deadline() - now, silent);
            Edge other = byName.get(question.edge());
            if (other == null) {
                after(HOP, silent);
                return;
            }
            after(
                    HOP,
                    () -> other.fetching.request(
                            question.object(), question.hop(), now + question.responseTimeout(), new Told() {
                                private void answers(int bytes, Runnable ends) {
                                    if (other.ended) {
                                        return;
                                    }
                                    other.sentBetween += bytes;
                                    comes[0] = true; // connections share the link, so that something of each comes soon
                                    other.sends(bytes, () -> {
                                        if (!over[0]) {
                                            over[0] = true;
                                            ends.run();
                                        }
                                    });
                                }

                                @Override
                                void end(CachedResponse copy, long retryAfter) {
                                    if (copy == null) {
                                        answers(HEAD_BYTES, () -> ending.onRefused(retryAfter));
                                    } else {
                                        answers(bytes(question.object()), () -> ending.onResponse(copy));
                                    }
                                }

                                @Override
                                public void onStillFetching() {
                                    answers(HEAD_BYTES, ending::onStillFetching);
                                }
                            }));
        }

        @Override
        public boolean requestFromServers(
                String service, ObjectRequest what, long at, long giveUp, ServerResponseListener<String> ending) {
            if (random.nextDouble() < setup.unsent()) {
                ending.onNotSent(SECOND / 2);
                return true;
            }
            if (ended) {
                return true;
            }
            arrivals.add(now);
            Long before = fetchedAt.put(what.key(), now);
            duplicates += before != null && now - before < what.route().ttlMicros() / 2 ? 1 : 0;
            double speed = SPEEDS[random.nextInt(SPEEDS.length)];
            long work = (long) (WORK * speed * Math.exp(0.4 * gaussian()));
            long transfer = (long) (bytes(what) * BITS_PER_BYTE / setup.linkBits() * SECOND);
            CachedResponse copy = new CachedResponse(
                    200,
                    List.of(),
                    new byte[bytes(what)],
                    Set.of(),
                    now,
                    what.route().ttlMicros());
            after(work + transfer, () -> ending.onResponse(copy));
            return true;
        }

        private double gaussian() {
            return Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
        }

        @Override
        public double serverRatePerSecond(String service) {
            return setup.perSecond();
        }

        @Override
        public void schedule(long micros, Runnable task) {
            after(micros, task);
        }

        @Override
        public int fetcherCount(String service) {
            return EdgeSharing.fetcherCount(homes.edgeCount(), SERVER_CONNECTIONS, setup.perSecond());
        }
    }

    /** Told once; a copy, or when to come back. */
    private abstract static class Told implements ObjectWaiter<String> {
        /** @param copy null for none */
        abstract void end(CachedResponse copy, long retryAfter);

        @Override
        public void onResponse(CachedResponse copy, boolean once) {
            end(copy, 0);
        }

        @Override
        public void onUncacheable(String answer) {
            end(null, SECOND / 2);
        }

        @Override
        public void onRefused(long retryAfterMicros) {
            end(null, retryAfterMicros);
        }

        @Override
        public void onFailed() {
            end(null, SECOND / 2);
        }

        @Override
        public void onTooLong() {
            end(null, SECOND / 2);
        }

        @Override
        public void onStillFetching() {
            throw new IllegalStateException("only edges are told so");
        }
    }
}
