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
 * Simulates many edges in virtual time, each with its own {@link FetchCoordinator}, in front of two object servers
 * with a limited request rate. Clients request objects by a Zipf distribution and retry once when they are refused.
 * Links out of an edge have a bandwidth, so that large objects delay what is sent after them.
 *
 * <p>{@link #simulateSharedCache} runs the same requests against one cache shared by all edges, with the servers'
 * whole rate: no fleet can serve more except by chance. Not thread-safe; times are in microseconds; the same seed
 * gives the same run.
 */
final class ObjectFleet {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long START_MICROS = 100 * SECOND_MICROS;
    private static final long HOP_MICROS = 500;
    private static final long KILL_AT_MICROS = 12 * SECOND_MICROS;
    private static final long RESTART_AFTER_MICROS = 2_400_000;
    private static final int OBJECT_COUNT = 3_400;
    private static final int SMALL_OBJECT_COUNT = 3_000;
    private static final int SERVER_CONNECTIONS = 65;
    private static final double BITS_PER_BYTE = 8;
    /** Size of an answer without a body. */
    private static final int HEAD_BYTES = 200;
    /** A client waits for at most this part of its remaining time, whatever retry time it gets. */
    private static final double MAX_WAIT_RATIO = 1.0 / 3;

    private static final long SERVER_WORK_MICROS = 120_000;
    private static final double[] SERVER_SPEEDS = {0.6, 1.4};
    private static final Route NOTICES = route("n", 300_000, 4 * SECOND_MICROS, 40 * SECOND_MICROS);
    private static final Route TABLES = route("t", 600_000, 6 * SECOND_MICROS, 20 * SECOND_MICROS);

    private static final long ADD_ROUTE_MICROS = 1_500_000;
    /** How long the clients request a route's objects after it was added. */
    private static final long REQUEST_ADDED_MICROS = 6 * SECOND_MICROS;

    private static final int OBJECTS_OF_ADDED_ROUTE = 4;
    private static final double ADDED_REQUESTS_PER_SECOND = 5;

    /** Parameters of a simulated fleet. */
    record Setup(
            int edges,
            double requestsPerSecond,
            double serverRatePerSecond,
            double linkBitsPerSecond,
            double unsentRatio,
            double killedRatio,
            long seconds,
            boolean spreadHotObjects,
            long seed) {
        /** A large deployment scaled down: the servers' rate is a sixth of the request rate. */
        static Setup scaledDown(long seed) {
            return new Setup(15, 112, 19.1, 7.7e6, 0, 0, 30, true, seed);
        }

        /** The same, with decision modules that refuse this part of the fetches without sending them. */
        Setup withUnsent(double part) {
            return new Setup(
                    edges,
                    requestsPerSecond,
                    serverRatePerSecond,
                    linkBitsPerSecond,
                    part,
                    killedRatio,
                    seconds,
                    spreadHotObjects,
                    seed);
        }

        /** The same, with this part of the edges killed once and restarted. */
        Setup withKilled(double part) {
            return new Setup(
                    edges,
                    requestsPerSecond,
                    serverRatePerSecond,
                    linkBitsPerSecond,
                    unsentRatio,
                    part,
                    seconds,
                    spreadHotObjects,
                    seed);
        }

        /** The same, with the servers' rate multiplied by this factor. */
        Setup withServerRate(double part) {
            return new Setup(
                    edges,
                    requestsPerSecond,
                    serverRatePerSecond * part,
                    linkBitsPerSecond,
                    unsentRatio,
                    killedRatio,
                    seconds,
                    spreadHotObjects,
                    seed);
        }

        /**
         * Many edges whose clients request large objects with a lifetime of 20 s, narrow links, and servers with a
         * high rate.
         */
        static Setup popularObjects(long seed) {
            return new Setup(65, 900, 300, 8.4e6, 0, 0, 60, true, seed);
        }

        /** The same, with one home for each object. */
        Setup withoutSpreading() {
            return new Setup(
                    edges,
                    requestsPerSecond,
                    serverRatePerSecond,
                    linkBitsPerSecond,
                    unsentRatio,
                    killedRatio,
                    seconds,
                    false,
                    seed);
        }

        /** The same, at the size of a large deployment. */
        Setup fullSize() {
            return new Setup(
                    85, 640, 126, linkBitsPerSecond, unsentRatio, killedRatio, seconds, spreadHotObjects, seed);
        }
    }

    /** What clients got; {@code duplicates} are fetches of objects for which some edge held a valid response. */
    record Result(
            long requested,
            long served,
            long inTarget,
            long serverRequests,
            long duplicates,
            long skippedEdges,
            long maxInWindow,
            long violations,
            double busiestLink) {
        double servedRatio() {
            return (double) served / requested;
        }

        double inTargetRatio() {
            return (double) inTarget / requested;
        }
    }

    /** Served parts of the requests on the first routes, and on those that were added. */
    record AddedRoutes(double firstServedRatio, double addedServedRatio) {}

    private record Event(long at, long order, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private record ClientRequest(ObjectRequest object, long startedAt, boolean isRetry) {}

    private final Setup setup;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final SplittableRandom random;
    private final double[] cumulativeWeights = new double[OBJECT_COUNT];
    private final List<Edge> edges = new ArrayList<>();
    private final Map<String, Edge> edgesByName = new HashMap<>();
    private final Map<String, Long> fetchedAt = new HashMap<>();
    private final List<Long> serverRequests = new ArrayList<>();
    private long now = START_MICROS;
    private long nextOrder;
    private long requested;
    private long served;
    private long inTarget;
    private long duplicates;
    private long requestedOfAdded;
    private long servedOfAdded;

    private ObjectFleet(Setup setup) {
        this.setup = setup;
        this.random = new SplittableRandom(setup.seed());
        double cumulative = 0;
        for (int i = 0; i < OBJECT_COUNT; i++) {
            boolean small = i < SMALL_OBJECT_COUNT;
            double weight =
                    (small ? 0.77 : 0.23) / harmonic(small ? SMALL_OBJECT_COUNT : OBJECT_COUNT - SMALL_OBJECT_COUNT);
            cumulative += weight / (small ? i + 1 : i - SMALL_OBJECT_COUNT + 1);
            cumulativeWeights[i] = cumulative;
        }
    }

    private static double harmonic(int terms) {
        double sum = 0;
        for (int i = 1; i <= terms; i++) {
            sum += 1.0 / i;
        }
        return sum;
    }

    private static Route route(String name, long targetLatency, long timeout, long ttl) {
        List<Route.WeightedService> services = List.of(new Route.WeightedService("s", 1));
        return new Route(
                name, "h", "/" + name + "/", Route.Kind.CACHEABLE, timeout, targetLatency, 1, services, 2, ttl);
    }

    /** Runs a fleet. */
    static Result simulate(Setup setup) {
        return simulate(new ObjectFleet(setup));
    }

    /** Runs a fleet to whose service a route with few objects is added again and again. */
    static AddedRoutes simulateAddedRoutes(Setup setup) {
        ObjectFleet fleet = new ObjectFleet(setup);
        fleet.scheduleAddedRoutes();
        double firstServedRatio = simulate(fleet).servedRatio();
        return new AddedRoutes(firstServedRatio, (double) fleet.servedOfAdded / fleet.requestedOfAdded);
    }

    private static Result simulate(ObjectFleet fleet) {
        Setup setup = fleet.setup;
        Map<String, String> names = new HashMap<>();
        for (int i = 0; i < setup.edges(); i++) {
            names.put("10.1.0." + i, "z" + i % 4);
        }
        names.forEach((name, zone) -> {
            Edge edge = fleet.new Edge(name, zone, names);
            fleet.edges.add(edge);
            fleet.edgesByName.put(name, edge);
        });
        fleet.scheduleClients(fleet::client);
        if (setup.killedRatio() > 0) {
            fleet.after(KILL_AT_MICROS, () -> fleet.kill(names));
        }
        fleet.run();
        return fleet.result();
    }

    /** Kills some edges at once and restarts them as new processes; all edges learn of both immediately. */
    private void kill(Map<String, String> names) {
        List<Edge> stopped = edges.subList(0, (int) (setup.killedRatio() * edges.size()));
        Map<String, String> remaining = new HashMap<>(names);
        for (Edge edge : stopped) {
            edge.stopped = true;
            remaining.remove(edge.name);
            edgesByName.remove(edge.name);
        }
        List<String> restarted = stopped.stream().map(edge -> edge.name).toList();
        stopped.clear();
        edges.forEach(edge -> edge.homes.updateEdges(remaining));
        after(RESTART_AFTER_MICROS, () -> {
            restarted.forEach(name -> {
                Edge edge = new Edge(name, names.get(name), names);
                edges.add(edge);
                edgesByName.put(name, edge);
            });
            edges.forEach(edge -> edge.homes.updateEdges(names));
        });
    }

    /** Runs the same requests against one shared cache with the servers' whole rate. */
    static Result simulateSharedCache(Setup setup) {
        ObjectFleet fleet = new ObjectFleet(setup);
        Map<String, Long> cachedAt = new HashMap<>();
        SlidingWindowLimiter limiter = new SlidingWindowLimiter(5 * SECOND_MICROS, 0);
        fleet.scheduleClients(request -> fleet.requestFromSharedCache(request, cachedAt, limiter));
        fleet.run();
        return fleet.result();
    }

    private void requestFromSharedCache(
            ClientRequest request, Map<String, Long> cachedAt, SlidingWindowLimiter limiter) {
        Long since = cachedAt.get(request.object.key());
        boolean fresh = since != null && now - since < request.object.route().ttlMicros();
        if (!fresh
                && limiter.tryAcquire(
                        now, OriginPermits.permitsPerWindow(setup.serverRatePerSecond(), 5 * SECOND_MICROS), 0)) {
            cachedAt.put(request.object.key(), now);
            serverRequests.add(now);
            fresh = true;
        }
        if (fresh) {
            served++;
            inTarget++;
        } else if (!request.isRetry) {
            after(
                    SECOND_MICROS / 2,
                    () -> requestFromSharedCache(
                            new ClientRequest(request.object, request.startedAt, true), cachedAt, limiter));
        }
    }

    private Result result() {
        long skipped = edges.stream()
                .mapToLong(edge -> edge.coordinator.counters().of(FetchEvent.PASSED_OVER))
                .sum();
        edges.forEach(edge -> edge.coordinator.checkInvariants());
        long violations = edges.stream()
                .mapToLong(edge -> edge.coordinator.invariants().total())
                .sum();
        double busiestLink =
                edges.stream().mapToLong(edge -> edge.bytesToEdges).max().orElse(0)
                        * BITS_PER_BYTE
                        / (setup.linkBitsPerSecond() * setup.seconds());
        return new Result(
                requested,
                served,
                inTarget,
                serverRequests.size(),
                duplicates,
                skipped,
                maxInWindow(),
                violations,
                busiestLink);
    }

    private long maxInWindow() {
        long max = 0;
        int first = 0;
        for (int last = 0; last < serverRequests.size(); last++) {
            while (serverRequests.get(last) - serverRequests.get(first) >= 5 * SECOND_MICROS) {
                first++;
            }
            max = Math.max(max, last - first + 1);
        }
        return max;
    }

    private void after(long micros, Runnable task) {
        events.add(new Event(now + Math.max(0, micros), nextOrder++, task));
    }

    private void run() {
        while (!events.isEmpty()) {
            Event next = events.poll();
            now = next.at;
            next.task.run();
        }
    }

    // ---- clients

    private interface ClientRequestHandler {
        void request(ClientRequest request);
    }

    private void scheduleClients(ClientRequestHandler handler) {
        SplittableRandom draws = new SplittableRandom(setup.seed() + 1);
        long at = 0;
        while (at < setup.seconds() * SECOND_MICROS) {
            at += (long) (-Math.log(1 - draws.nextDouble()) / setup.requestsPerSecond() * SECOND_MICROS);
            ObjectRequest object = object(draws.nextDouble());
            long startedAt = START_MICROS + at;
            after(at, () -> {
                requested++;
                handler.request(new ClientRequest(object, startedAt, false));
            });
        }
    }

    private void scheduleAddedRoutes() {
        SplittableRandom draws = new SplittableRandom(setup.seed() + 2);
        long end = setup.seconds() * SECOND_MICROS;
        for (long added = 0; added < end; added += ADD_ROUTE_MICROS) {
            Route route = route("added" + added, 300_000, 4 * SECOND_MICROS, 40 * SECOND_MICROS);
            long at = added;
            while (at < Math.min(end, added + REQUEST_ADDED_MICROS)) {
                at += (long) (-Math.log(1 - draws.nextDouble()) / ADDED_REQUESTS_PER_SECOND * SECOND_MICROS);
                ObjectRequest object =
                        new ObjectRequest(route, "h", route.prefix() + draws.nextInt(OBJECTS_OF_ADDED_ROUTE));
                long startedAt = START_MICROS + at;
                requestedOfAdded++;
                after(at, () -> client(new ClientRequest(object, startedAt, false)));
            }
        }
    }

    private static boolean isAdded(ObjectRequest object) {
        return object.route() != NOTICES && object.route() != TABLES;
    }

    private ObjectRequest object(double draw) {
        int low = 0;
        int high = OBJECT_COUNT - 1;
        while (low < high) {
            int middle = (low + high) / 2;
            if (cumulativeWeights[middle] < draw) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        Route route = low < SMALL_OBJECT_COUNT ? NOTICES : TABLES;
        return new ObjectRequest(route, "h", route.prefix() + low);
    }

    private void client(ClientRequest request) {
        edges.get(random.nextInt(edges.size())).client(request);
    }

    private void finish(ClientRequest request, boolean success, long retryAfter) {
        Route route = request.object.route();
        long remaining = request.startedAt + route.timeoutMicros() - now;
        if (success && remaining > 0 && isAdded(request.object)) {
            servedOfAdded++;
        } else if (success && remaining > 0) {
            served++;
            inTarget += now - request.startedAt <= route.targetLatencyMicros() ? 1 : 0;
        } else if (!success && !request.isRetry && remaining > 0) {
            long wait = Math.min(retryAfter, (long) (MAX_WAIT_RATIO * remaining));
            after(wait + 2_000, () -> client(new ClientRequest(request.object, request.startedAt, true)));
        }
    }

    private static int bytes(ObjectRequest object) {
        return object.route() == TABLES ? 120_000 : 6_000;
    }

    // ---- one edge

    private final class Edge implements ObjectSources<String> {
        private final String name;
        private final HomeSelector homes;
        private final FetchCoordinator<String> coordinator;
        private long linkFreeAt;
        /** Bytes of objects sent to other edges. */
        private long bytesToEdges;

        private boolean stopped;

        Edge(String name, String zone, Map<String, String> all) {
            this.name = name;
            this.homes = new HomeSelector(name, zone);
            homes.updateEdges(all);
            this.coordinator = new FetchCoordinator<>(
                    name,
                    () -> now,
                    new ResponseCache(9 << 20),
                    homes,
                    new GossipState(),
                    5 * SECOND_MICROS,
                    setup.spreadHotObjects() ? setup.linkBitsPerSecond() / BITS_PER_BYTE : Double.POSITIVE_INFINITY,
                    random.nextLong(),
                    this);
        }

        /** Sends bytes after those that are queued on the link already. */
        private void send(int bytes, Runnable arrives) {
            if (stopped) {
                return;
            }
            linkFreeAt = Math.max(now, linkFreeAt)
                    + (long) (bytes * BITS_PER_BYTE / setup.linkBitsPerSecond() * SECOND_MICROS);
            after(linkFreeAt - now + HOP_MICROS, arrives);
        }

        void client(ClientRequest request) {
            ObjectRequest object = request.object;
            if (coordinator.lookUp(object) != null) {
                send(bytes(object), () -> finish(request, true, 0));
                return;
            }
            long deadline = request.startedAt + object.route().timeoutMicros();
            coordinator.request(object, FetchCoordinator.HOP_CLIENT, deadline, new FetchOutcome() {
                @Override
                void end(CachedResponse response, long retryAfter) {
                    if (response != null) {
                        send(bytes(object), () -> finish(request, true, 0));
                    } else {
                        finish(request, false, retryAfter);
                    }
                }
            });
        }

        @Override
        public void requestFromEdge(HomeRequest edgeRequest, HomeResponseListener<String> listener) {
            boolean[] over = new boolean[1];
            boolean[] answering = new boolean[1];
            Runnable silent = () -> {
                if (!over[0]) {
                    over[0] = true;
                    listener.onSilent(false);
                }
            };
            after(edgeRequest.responseTimeout(), () -> {
                if (!answering[0]) {
                    silent.run();
                }
            });
            after(edgeRequest.deadline() - now, silent);
            Edge other = edgesByName.get(edgeRequest.edge());
            if (other == null) {
                after(HOP_MICROS, silent);
                return;
            }
            after(
                    HOP_MICROS,
                    () -> other.coordinator.request(
                            edgeRequest.object(),
                            edgeRequest.hop(),
                            now + edgeRequest.responseTimeout(),
                            new FetchOutcome() {
                                private void answer(int bytes, Runnable deliver) {
                                    if (other.stopped) {
                                        return;
                                    }
                                    other.bytesToEdges += bytes;
                                    answering[0] =
                                            true; // connections share the link, so the first bytes of each response
                                    // arrive soon
                                    other.send(bytes, () -> {
                                        if (!over[0]) {
                                            over[0] = true;
                                            deliver.run();
                                        }
                                    });
                                }

                                @Override
                                void end(CachedResponse response, long retryAfter) {
                                    if (response == null) {
                                        answer(HEAD_BYTES, () -> listener.onRefused(retryAfter));
                                    } else {
                                        answer(bytes(edgeRequest.object()), () -> listener.onResponse(response));
                                    }
                                }

                                @Override
                                public void onStillFetching() {
                                    answer(HEAD_BYTES, listener::onStillFetching);
                                }
                            }));
        }

        @Override
        public boolean requestFromServers(
                String service, ObjectRequest object, long at, long deadline, ServerResponseListener<String> listener) {
            if (random.nextDouble() < setup.unsentRatio()) {
                listener.onNotSent(SECOND_MICROS / 2);
                return true;
            }
            if (stopped) {
                return true;
            }
            serverRequests.add(now);
            Long previousFetch = fetchedAt.put(object.key(), now);
            duplicates += previousFetch != null
                            && now - previousFetch < object.route().ttlMicros() / 2
                    ? 1
                    : 0;
            double speed = SERVER_SPEEDS[random.nextInt(SERVER_SPEEDS.length)];
            long work = (long) (SERVER_WORK_MICROS * speed * Math.exp(0.4 * gaussian()));
            long transfer = (long) (bytes(object) * BITS_PER_BYTE / setup.linkBitsPerSecond() * SECOND_MICROS);
            CachedResponse response = new CachedResponse(
                    200,
                    List.of(),
                    new byte[bytes(object)],
                    Set.of(),
                    now,
                    object.route().ttlMicros());
            after(work + transfer, () -> listener.onResponse(response));
            return true;
        }

        private double gaussian() {
            return Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
        }

        @Override
        public double serverRatePerSecond(String service) {
            return setup.serverRatePerSecond();
        }

        @Override
        public void schedule(long micros, Runnable task) {
            after(micros, task);
        }

        @Override
        public int fetcherCount(String service) {
            return EdgeSharing.fetcherCount(homes.edgeCount(), SERVER_CONNECTIONS, setup.serverRatePerSecond());
        }
    }

    /** Reduces the outcome to a response or a time to retry after. */
    private abstract static class FetchOutcome implements ObjectWaiter<String> {
        /**
         * @param response null for none
         */
        abstract void end(CachedResponse response, long retryAfter);

        @Override
        public void onResponse(CachedResponse response, boolean purged) {
            end(response, 0);
        }

        @Override
        public void onUncacheable(String answer) {
            end(null, SECOND_MICROS / 2);
        }

        @Override
        public void onRefused(long retryAfterMicros) {
            end(null, retryAfterMicros);
        }

        @Override
        public void onFailed() {
            end(null, SECOND_MICROS / 2);
        }

        @Override
        public void onTooLong() {
            end(null, SECOND_MICROS / 2);
        }

        @Override
        public void onStillFetching() {
            throw new IllegalStateException("onStillFetching called for a client");
        }
    }
}
