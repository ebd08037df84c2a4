package gorsemast.simulation;

import gorsemast.cache.CachedResponse;
import gorsemast.cache.FetchCoordinator;
import gorsemast.cache.HomeRequest;
import gorsemast.cache.HomeResponseListener;
import gorsemast.cache.ObjectRequest;
import gorsemast.cache.ObjectSources;
import gorsemast.cache.ObjectWaiter;
import gorsemast.cache.ResponseCache;
import gorsemast.cache.ServerResponseListener;
import gorsemast.configuration.Configuration;
import gorsemast.configuration.Route;
import gorsemast.dispatch.EdgeSharing;
import gorsemast.dispatch.ModuleConfiguration;
import gorsemast.gossip.Entry;
import gorsemast.gossip.ServerInfo;
import gorsemast.peer.Neighbour;
import gorsemast.peer.PeerMessage;
import gorsemast.peer.PeerMessage.Program;
import gorsemast.proxy.ProxyNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * An edge's program round its decisions: {@link ProxyNode}, {@link FetchCoordinator}, and a sender for each service. Requests and
 * answers between edges and servers are calls in virtual time where HTTP stands in service.
 */
final class Edge extends Process implements ProxyNode.Listener, ObjectSources<String> {
    private static final long OBJECT_MICROS = 1_500_000;

    /** How a client's request ended. */
    enum Told {
        SERVED,
        REFUSED,
        NO_ROUTE,
        FAILED
    }

    /** What a client is told: of an object the version, and whether a copy was served. */
    record Answer(Told told, long version, boolean copy) {}

    final ProxyNode lookout;
    private final FetchCoordinator<String> fetching;
    private final Map<String, EdgeSender> senders = new HashMap<>();
    boolean leaving;
    /** The highest version that anybody has seen the effect of in this life. */
    long seenVersion;
    /** The content of it. */
    String seenContent = "";

    private Configuration newest;
    private Configuration before;
    private Configuration read;
    private String text;

    Edge(World world, Machine machine) {
        super(world, machine, Program.PROXY);
        this.lookout =
                new ProxyNode(machine.ip, machine.zone, 2, 2, wall(), world.seeds(), this::now, this, this::seen, this);
        this.fetching = new FetchCoordinator<>(
                machine.ip,
                this::now,
                new ResponseCache(1 << 20),
                lookout.homes(),
                lookout.gossipState(),
                World.WINDOW_MICROS,
                Double.POSITIVE_INFINITY,
                world.random.nextLong(),
                this);
        each(ProxyNode.TICK_MICROS, this::tick);
    }

    private void tick() {
        lookout.tick();
        fetching.checkInvariants();
        if (fetching.invariants().total() > 0) {
            throw new IllegalStateException("objects: " + fetching.invariants().describe());
        }
        Set<Target> wanted = new LinkedHashSet<>();
        lookout.targetRegistries().forEach(ip -> wanted.add(new Target(Program.REGISTRY, ip)));
        lookout.targetEdges().forEach(ip -> wanted.add(new Target(Program.PROXY, ip)));
        keep(wanted);
    }

    private Map<String, double[]> seen() {
        Map<String, double[]> all = new HashMap<>();
        senders.values().forEach(sender -> sender.briefing.collectObservations(all));
        return all;
    }

    boolean ready() {
        boolean planted = world.plant == Plant.NEVER_READY && machine.stops > 0 && machine.zone.equals("a");
        return lookout.ready() && !leaving && !planted;
    }

    /** The configuration that a request is handled by; null before the first. */
    Configuration goesBy() {
        Configuration now = lookout.configuration();
        if (now != newest) {
            before = newest;
            newest = now;
        }
        boolean planted = world.plant == Plant.GOES_BACK && before != null && world.random.nextInt(50) == 0;
        return planted ? before : now;
    }

    /** The content of a configuration, as text. */
    String content(Configuration of) {
        if (of != read) {
            read = of;
            text = new String(of.body(), StandardCharsets.UTF_8);
        }
        return text;
    }

    @Override
    void leave() {
        leaving = true;
        after(3_000_000, () -> end(false));
    }

    // ---- clients

    /** A request has come whole; {@code answer} is called once, unless the process ends before. */
    void request(String attempt, String path, Consumer<Answer> answer) {
        Configuration now = lookout.configuration();
        Route route = now == null ? null : now.route(World.HOST, path);
        if (now == null) {
            answer.accept(new Answer(Told.REFUSED, 0, false));
        } else if (route == null) {
            answer.accept(new Answer(Told.NO_ROUTE, 0, false));
        } else if (route.kind() == Route.Kind.CACHEABLE) {
            object(new ObjectRequest(route, World.HOST, path), answer);
        } else {
            EdgeSender sender = senders.get(route.selectService(world.random.nextDouble()));
            if (sender == null) {
                answer.accept(new Answer(Told.REFUSED, 0, false));
                return;
            }
            sender.take(
                    attempt,
                    route,
                    path,
                    now() + route.timeoutMicros(),
                    false,
                    result -> answer.accept(new Answer(
                            result.code() == EdgeSender.End.SERVED
                                    ? Told.SERVED
                                    : result.code() == EdgeSender.End.REFUSED ? Told.REFUSED : Told.FAILED,
                            0,
                            false)));
        }
    }

    private void object(ObjectRequest what, Consumer<Answer> answer) {
        CachedResponse held = fetching.lookUp(what);
        if (held != null) {
            answer.accept(new Answer(Told.SERVED, version(held), true));
            return;
        }
        boolean[] over = new boolean[1];
        after(OBJECT_MICROS, () -> {
            if (!over[0]) {
                over[0] = true;
                answer.accept(new Answer(Told.FAILED, 0, false));
            }
        });
        fetching.request(what, FetchCoordinator.HOP_CLIENT, now() + OBJECT_MICROS, new ObjectWaiter<>() {
            private void end(Answer with) {
                if (!over[0]) {
                    over[0] = true;
                    answer.accept(with);
                }
            }

            @Override
            public void onResponse(CachedResponse copy, boolean once) {
                end(new Answer(Told.SERVED, version(copy), true));
            }

            @Override
            public void onUncacheable(String status) {
                end(new Answer(Told.FAILED, 0, false));
            }

            @Override
            public void onRefused(long retryAfterMicros) {
                end(new Answer(Told.REFUSED, 0, false));
            }

            @Override
            public void onFailed() {
                end(new Answer(Told.FAILED, 0, false));
            }

            @Override
            public void onTooLong() {
                end(new Answer(Told.FAILED, 0, false));
            }

            @Override
            public void onStillFetching() {
                throw new IllegalStateException("only edges are told so");
            }
        });
    }

    private static long version(CachedResponse copy) {
        return ByteBuffer.wrap(copy.body()).getLong();
    }

    private static CachedResponse copy(long version, long asked, long ttl) {
        return new CachedResponse(
                200, List.of(), ByteBuffer.allocate(Long.BYTES).putLong(version).array(), Set.of("all"), asked, ttl);
    }

    // ---- objects, from homes and servers

    @Override
    public void requestFromEdge(HomeRequest question, HomeResponseListener<String> ending) {
        boolean[] over = new boolean[1];
        after(question.responseTimeout(), () -> {
            if (!over[0]) {
                over[0] = true;
                ending.onSilent(false);
            }
        });
        world.message(machine, question.edge(), Program.PROXY, there -> ((Edge) there)
                .asked(
                        question,
                        (end, version, age, ttl) -> world.message(there.machine, machine.ip, Program.PROXY, here -> {
                            if (here == this && !over[0]) {
                                over[0] = true;
                                switch (end) {
                                    case COPY -> ending.onResponse(copy(version, question.fetchStartedAt() - age, ttl));
                                    case USELESS -> ending.onUnusable();
                                    case IN_HAND -> ending.onStillFetching();
                                    case REFUSED -> ending.onRefused(FetchCoordinator.DEFAULT_RETRY_AFTER_MICROS);
                                }
                            }
                        })));
    }

    /** How a home answers. */
    private enum HomeEnd {
        COPY,
        USELESS,
        REFUSED,
        IN_HAND
    }

    private interface Handed {
        /** @param version of the copy, its age and its life; 0 for none */
        void answer(HomeEnd end, long version, long age, long ttl);

        default void answer(HomeEnd end) {
            answer(end, 0, 0, 0);
        }
    }

    private void asked(HomeRequest question, Handed handed) {
        ObjectRequest what = question.object();
        Configuration now = lookout.configuration();
        Route route = now == null ? null : now.route(what.host(), what.uri());
        if (route == null || route.kind() != Route.Kind.CACHEABLE) {
            handed.answer(HomeEnd.USELESS);
            return;
        }
        fetching.request(
                new ObjectRequest(route, what.host(), what.uri()),
                question.hop(),
                now() + question.responseTimeout(),
                new ObjectWaiter<>() {
                    @Override
                    public void onResponse(CachedResponse copy, boolean once) {
                        boolean inStep = !once && lookout.gossipState().purgeDigest() == question.purgeDigest();
                        if (inStep) {
                            handed.answer(HomeEnd.COPY, version(copy), now() - copy.requestedAt(), copy.ttlMicros());
                        } else {
                            handed.answer(HomeEnd.USELESS);
                        }
                    }

                    @Override
                    public void onUncacheable(String status) {
                        handed.answer(HomeEnd.USELESS);
                    }

                    @Override
                    public void onRefused(long retryAfterMicros) {
                        handed.answer(HomeEnd.REFUSED);
                    }

                    @Override
                    public void onFailed() {
                        handed.answer(HomeEnd.USELESS);
                    }

                    @Override
                    public void onTooLong() {
                        handed.answer(HomeEnd.USELESS);
                    }

                    @Override
                    public void onStillFetching() {
                        handed.answer(HomeEnd.IN_HAND);
                    }
                });
    }

    @Override
    public boolean requestFromServers(
            String service, ObjectRequest what, long asked, long giveUp, ServerResponseListener<String> ending) {
        EdgeSender sender = senders.get(service);
        if (sender == null) {
            return false;
        }
        sender.take("o" + Long.toHexString(world.random.nextLong()), what.route(), what.uri(), giveUp, true, result -> {
            if (!result.sent()) {
                ending.onNotSent(FetchCoordinator.DEFAULT_RETRY_AFTER_MICROS);
                return;
            }
            switch (result.code()) {
                case SERVED ->
                    ending.onResponse(copy(result.version(), asked, what.route().ttlMicros()));
                case REFUSED -> ending.onRefused(300_000);
                case ANSWERED_ERROR -> ending.onUncacheable("500");
                default -> ending.onFailed();
            }
        });
        return true;
    }

    boolean another(String service) {
        return fetching.tryAcquirePermit(service);
    }

    @Override
    public void schedule(long micros, Runnable task) {
        after(micros, task);
    }

    @Override
    public int fetcherCount(String service) {
        return EdgeSharing.fetcherCount(lookout.homes().edgeCount(), World.CONNECTIONS, serverRatePerSecond(service));
    }

    @Override
    public double serverRatePerSecond(String service) {
        Configuration now = lookout.configuration();
        Configuration.Service known = now == null ? null : now.services().get(service);
        return known == null || world.plant == Plant.NO_CEILING ? Double.POSITIVE_INFINITY : known.ratePerSecond();
    }

    // ---- what the lookout tells

    @Override
    public void configurationChanged(Configuration now, int edges) {
        now.routesByService().forEach((service, of) -> {
            EdgeSender sender = senders.get(service);
            if (sender == null) {
                senders.put(
                        service,
                        new EdgeSender(
                                this, service, new ModuleConfiguration(machine.ip, 100, World.BUDGET, 0, of, edges)));
            } else {
                sender.retune(of, edges);
            }
            senders.get(service)
                    .briefing
                    .setConnectionLimit(
                            World.CONNECTIONS,
                            service.equals(World.OBJECTS) ? Math.min(edges, fetcherCount(service)) : edges);
        });
    }

    @Override
    public void serversChanged(Map<String, List<ServerInfo>> by, Map<String, Long> coldUntil) {
        by.forEach((service, known) -> {
            EdgeSender sender = senders.get(service);
            if (sender != null) {
                List<ServerInfo> told = known;
                if (world.plant == Plant.SENDS_TO_LEAVING) {
                    told = known.stream()
                            .map(one -> one.state() == ServerInfo.State.DRAINING
                                    ? one.withState(ServerInfo.State.READY, one.seq())
                                    : one)
                            .toList();
                }
                sender.servers(told, coldUntil);
            }
        });
    }

    @Override
    public void purged(Entry purge) {
        fetching.applyPurge(purge);
    }

    @Override
    public void speedsReceived(Map<String, double[]> pooled) {
        senders.values().forEach(sender -> sender.heard(pooled));
    }

    @Override
    public void runAfterwards(Runnable task) {
        after(0, task);
    }

    // ---- links

    @Override
    PeerMessage.Hello ownHello() {
        return lookout.hello();
    }

    @Override
    void linked(Neighbour one) {
        lookout.up(one);
    }

    @Override
    void unlinked(Neighbour one) {
        // what it told holds on
    }

    @Override
    void heardFrom(Neighbour one, PeerMessage record) {
        boolean mends = record instanceof PeerMessage.Digest || record instanceof PeerMessage.Summary;
        if (world.plant == Plant.MENDS_NOTHING
                && lookout.ready()
                && (mends || record instanceof PeerMessage.Updates && world.random.nextBoolean())) {
            return;
        }
        lookout.received(one, record);
    }
}
