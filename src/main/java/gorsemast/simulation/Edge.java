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
import gorsemast.proxy.ConfigurationStatus;
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
 * An edge's process around its decision code: {@link ProxyNode}, {@link FetchCoordinator}, and a sender for each service. Requests and
 * answers between edges and servers are calls in virtual time in place of HTTP.
 */
final class Edge extends Process implements ProxyNode.Listener, ObjectSources<String> {
    private static final long OBJECT_MICROS = 1_500_000;
    private static final long CONFIG_APPLY_MICROS = 2_000_000;
    /** Links to registries, and to other edges, of an edge that has many sockets. */
    private static final int LINKS = 2;

    /** How a client's request ended. */
    enum RequestResult {
        SERVED,
        REFUSED,
        NO_ROUTE,
        FAILED
    }

    /** A client's answer: the object's version, and whether it came from a cached response. */
    record Answer(RequestResult result, long version, boolean copy) {}

    final ProxyNode proxyNode;
    private final FetchCoordinator<String> fetchCoordinator;
    private final Map<String, EdgeSender> senders = new HashMap<>();
    boolean leaving;
    /** The highest version whose effect was observed since this process started. */
    long seenVersion;
    /** The content of {@link #seenVersion}. */
    String seenContent = "";

    private Configuration newest;
    private Configuration before;
    private Configuration read;
    private String text;

    Edge(Simulation simulation, Machine machine) {
        super(simulation, machine, Program.PROXY);
        this.proxyNode = new ProxyNode(
                machine.ip,
                machine.zone,
                machine.fewLinks ? 1 : LINKS,
                machine.fewLinks ? 0 : LINKS,
                wall(),
                CONFIG_APPLY_MICROS,
                simulation.seeds(),
                this::now,
                this,
                this::collectObservations,
                this);
        this.fetchCoordinator = new FetchCoordinator<>(
                machine.ip,
                this::now,
                new ResponseCache(1 << 20),
                proxyNode.homes(),
                proxyNode.gossipState(),
                Simulation.WINDOW_MICROS,
                Double.POSITIVE_INFINITY,
                simulation.random.nextLong(),
                this);
        runPeriodically(ProxyNode.TICK_MICROS, this::tick);
    }

    private void tick() {
        proxyNode.tick();
        fetchCoordinator.checkInvariants();
        if (fetchCoordinator.invariants().total() > 0) {
            throw new IllegalStateException(
                    "objects: " + fetchCoordinator.invariants().describe());
        }
        Set<Target> wanted = new LinkedHashSet<>();
        proxyNode.targetRegistries().forEach(ip -> wanted.add(new Target(Program.REGISTRY, ip)));
        proxyNode.targetEdges().forEach(ip -> wanted.add(new Target(Program.PROXY, ip)));
        maintainLinks(wanted);
    }

    private Map<String, double[]> collectObservations() {
        Map<String, double[]> all = new HashMap<>();
        senders.values().forEach(sender -> sender.moduleConfiguration.collectObservations(all));
        return all;
    }

    boolean ready() {
        boolean defective =
                simulation.defect == InjectedDefect.NEVER_READY && machine.stops > 0 && machine.zone.equals("a");
        return proxyNode.ready() && !leaving && !defective;
    }

    /** The configuration under which a request is handled; null before the first. */
    Configuration currentConfiguration() {
        Configuration now = proxyNode.configuration();
        if (now != newest) {
            before = newest;
            newest = now;
        }
        boolean defective =
                simulation.defect == InjectedDefect.GOES_BACK && before != null && simulation.random.nextInt(50) == 0;
        return defective ? before : now;
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

    /** Handles a complete request; {@code answer} is called once, unless the process ends before. */
    void request(String attempt, String path, Consumer<Answer> answer) {
        Configuration now = proxyNode.configuration();
        Route route = now == null ? null : now.route(Simulation.HOST, path);
        ConfigurationStatus status = proxyNode.configurationStatus();
        boolean isConfirmed = status == ConfigurationStatus.CONFIRMED;
        if (now == null || status == ConfigurationStatus.CHECKING || route == null && !isConfirmed) {
            answer.accept(new Answer(RequestResult.REFUSED, 0, false));
        } else if (route == null) {
            answer.accept(new Answer(RequestResult.NO_ROUTE, 0, false));
        } else if (route.kind() == Route.Kind.CACHEABLE) {
            requestObject(new ObjectRequest(route, Simulation.HOST, path), answer);
        } else {
            EdgeSender sender = senders.get(route.selectService(simulation.random.nextDouble()));
            if (sender == null) {
                answer.accept(new Answer(RequestResult.REFUSED, 0, false));
                return;
            }
            sender.submit(
                    attempt,
                    route,
                    path,
                    now() + route.timeoutMicros(),
                    false,
                    result -> answer.accept(new Answer(
                            result.code() == EdgeSender.End.SERVED
                                    ? RequestResult.SERVED
                                    : result.code() == EdgeSender.End.REFUSED
                                            ? RequestResult.REFUSED
                                            : RequestResult.FAILED,
                            0,
                            false)));
        }
    }

    private void requestObject(ObjectRequest what, Consumer<Answer> answer) {
        CachedResponse held = fetchCoordinator.lookUp(what);
        if (held != null) {
            answer.accept(new Answer(RequestResult.SERVED, version(held), true));
            return;
        }
        boolean[] over = new boolean[1];
        after(OBJECT_MICROS, () -> {
            if (!over[0]) {
                over[0] = true;
                answer.accept(new Answer(RequestResult.FAILED, 0, false));
            }
        });
        fetchCoordinator.request(what, FetchCoordinator.HOP_CLIENT, now() + OBJECT_MICROS, new ObjectWaiter<>() {
            private void end(Answer with) {
                if (!over[0]) {
                    over[0] = true;
                    answer.accept(with);
                }
            }

            @Override
            public void onResponse(CachedResponse copy, boolean purged) {
                end(new Answer(RequestResult.SERVED, version(copy), true));
            }

            @Override
            public void onUncacheable(String status) {
                end(new Answer(RequestResult.FAILED, 0, false));
            }

            @Override
            public void onRefused(long retryAfterMicros) {
                end(new Answer(RequestResult.REFUSED, 0, false));
            }

            @Override
            public void onFailed() {
                end(new Answer(RequestResult.FAILED, 0, false));
            }

            @Override
            public void onTooLong() {
                end(new Answer(RequestResult.FAILED, 0, false));
            }

            @Override
            public void onStillFetching() {
                throw new IllegalStateException("only edges receive this");
            }

            @Override
            public boolean isWaiting() {
                return !over[0];
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
        simulation.message(machine, question.edge(), Program.PROXY, there -> ((Edge) there)
                .handleHomeRequest(
                        question,
                        (end, version, age, ttl) ->
                                simulation.message(there.machine, machine.ip, Program.PROXY, here -> {
                                    if (here == this && !over[0]) {
                                        over[0] = true;
                                        switch (end) {
                                            case COPY ->
                                                ending.onResponse(copy(version, question.fetchStartedAt() - age, ttl));
                                            case USELESS -> ending.onUnusable();
                                            case IN_HAND -> ending.onStillFetching();
                                            case REFUSED ->
                                                ending.onRefused(FetchCoordinator.DEFAULT_RETRY_AFTER_MICROS);
                                        }
                                    }
                                })));
    }

    /** How a home edge answers. */
    private enum HomeEnd {
        COPY,
        USELESS,
        REFUSED,
        IN_HAND
    }

    private interface HomeResponseCallback {
        /** @param version of the copy, its age and its life; 0 for none */
        void answer(HomeEnd end, long version, long age, long ttl);

        default void answer(HomeEnd end) {
            answer(end, 0, 0, 0);
        }
    }

    private void handleHomeRequest(HomeRequest question, HomeResponseCallback handed) {
        ObjectRequest what = question.object();
        Configuration now = proxyNode.configuration();
        Route route = now == null ? null : now.route(what.host(), what.uri());
        if (route == null || route.kind() != Route.Kind.CACHEABLE) {
            handed.answer(HomeEnd.USELESS);
            return;
        }
        fetchCoordinator.request(
                new ObjectRequest(route, what.host(), what.uri()),
                question.hop(),
                now() + question.responseTimeout(),
                new ObjectWaiter<>() {
                    @Override
                    public void onResponse(CachedResponse copy, boolean purged) {
                        boolean inStep = !purged && proxyNode.gossipState().purgeDigest() == question.purgeDigest();
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
        sender.submit(
                "o" + Long.toHexString(simulation.random.nextLong()),
                what.route(),
                what.uri(),
                giveUp,
                true,
                result -> {
                    if (!result.sent()) {
                        ending.onNotSent(FetchCoordinator.DEFAULT_RETRY_AFTER_MICROS);
                        return;
                    }
                    switch (result.code()) {
                        case SERVED ->
                            ending.onResponse(
                                    copy(result.version(), asked, what.route().ttlMicros()));
                        case REFUSED -> ending.onRefused(300_000);
                        case ANSWERED_ERROR -> ending.onUncacheable("500");
                        default -> ending.onFailed();
                    }
                });
        return true;
    }

    boolean tryAcquirePermit(String service) {
        return fetchCoordinator.tryAcquirePermit(service);
    }

    @Override
    public void schedule(long micros, Runnable task) {
        after(micros, task);
    }

    @Override
    public int fetcherCount(String service) {
        return EdgeSharing.fetcherCount(
                proxyNode.homes().edgeCount(), Simulation.CONNECTIONS, serverRatePerSecond(service));
    }

    @Override
    public double serverRatePerSecond(String service) {
        Configuration now = proxyNode.configuration();
        Configuration.Service known = now == null ? null : now.services().get(service);
        return known == null || simulation.defect == InjectedDefect.NO_CEILING
                ? Double.POSITIVE_INFINITY
                : known.ratePerSecond();
    }

    // ---- callbacks of the proxy node

    @Override
    public void configurationChanged(Configuration now, int edges) {
        now.routesByService().forEach((service, of) -> {
            EdgeSender sender = senders.get(service);
            if (sender == null) {
                senders.put(
                        service,
                        new EdgeSender(
                                this,
                                service,
                                new ModuleConfiguration(machine.ip, 100, Simulation.BUDGET, 0, of, edges)));
            } else {
                sender.updateRoutes(of, edges);
            }
            senders.get(service)
                    .moduleConfiguration
                    .setConnectionLimit(
                            Simulation.CONNECTIONS,
                            service.equals(Simulation.OBJECTS) ? Math.min(edges, fetcherCount(service)) : edges);
        });
    }

    @Override
    public void serversChanged(Map<String, List<ServerInfo>> by, Map<String, Long> coldUntil) {
        by.forEach((service, known) -> {
            EdgeSender sender = senders.get(service);
            if (sender != null) {
                List<ServerInfo> told = known;
                if (simulation.defect == InjectedDefect.SENDS_TO_LEAVING) {
                    told = known.stream()
                            .map(one -> one.state() == ServerInfo.State.DRAINING
                                    ? one.withState(ServerInfo.State.READY, one.seq())
                                    : one)
                            .toList();
                }
                sender.updateServers(told, coldUntil);
            }
        });
    }

    @Override
    public void purged(Entry purge) {
        fetchCoordinator.applyPurge(purge);
    }

    @Override
    public void speedsReceived(Map<String, double[]> pooled) {
        senders.values().forEach(sender -> sender.applyObservations(pooled));
    }

    @Override
    public void runAfterwards(Runnable task) {
        after(0, task);
    }

    // ---- links

    @Override
    PeerMessage.Hello ownHello() {
        return proxyNode.hello();
    }

    @Override
    void linkUp(Neighbour one) {
        proxyNode.up(one);
    }

    @Override
    void linkDown(Neighbour one) {
        // its state remains valid
    }

    @Override
    void recordReceived(Neighbour one, PeerMessage record) {
        boolean mends = record instanceof PeerMessage.Digest || record instanceof PeerMessage.Summary;
        if (simulation.defect == InjectedDefect.MENDS_NOTHING
                && proxyNode.ready()
                && (mends || record instanceof PeerMessage.Updates && simulation.random.nextBoolean())) {
            return;
        }
        proxyNode.received(one, record);
    }
}
