package gorsemast.dispatch;

import anisebend.Balancer;
import gorsemast.configuration.Route;
import gorsemast.gossip.ServerInfo;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;

/**
 * The configuration of one service's decision module: its request classes, its limits, and its servers with their
 * weights.
 *
 * <p>Routes map to the module's request classes. A class keeps its number for good; a changed route gets a new one.
 * The budget for attempts beyond each request's first one is this edge's share of the service's budget. A server's
 * weight is its capacity, adjusted by its speed relative to the others ({@link ServerSpeeds}) and, for objects, by
 * its zone. No I/O, clock or threads; times are in microseconds.
 */
public final class ModuleConfiguration {
    /** Part of the retry budget of all edges that is used; the rest allows for differences in counting. */
    private static final double USED_BUDGET_RATIO = 0.75;
    /** Assumed speed of a server that reports that it is cold, until more is known. */
    private static final double COLD_SPEED_RATIO = 0.5;

    private static final long COLD_MICROS = 3_000_000;
    private static final long MAX_RETRY_AFTER_MICROS = 1_000_000;
    private static final long MIN_DEADLINE_MICROS = 50_000;
    /** Shortest time between updates of the module for changed speeds. */
    private static final long MIN_WEIGHT_UPDATE_MICROS = 400_000;
    /** Weight factor of servers in the edge's own zone, for objects: their bytes are expensive between zones. */
    private static final double SAME_ZONE_WEIGHT = 4;

    /** Limits further attempts over all edges. */
    public record RetryBudget(double ratio, double slack, long windowMicros) {}

    private final String self;
    private final int ownConnections;
    private final RetryBudget budget;
    private final int zone;
    private final List<Balancer.RequestClass> classes = new ArrayList<>();
    private final ServerSpeeds serverSpeeds = new ServerSpeeds();
    private final Map<String, Balancer.Server> entries = new LinkedHashMap<>();
    private Map<String, ServerInstance> servers = Map.of();
    private int connectionsPerServer = Integer.MAX_VALUE;
    private int sharingEdges;
    private int connectionShare = Integer.MAX_VALUE;
    private long listedAt = Long.MIN_VALUE / 2;
    private int edges;
    private int maxAttempts = 1;
    private boolean cacheable;

    /**
     * Creates the configuration for the edge {@code self} in the zone with this number, one of {@code edges}.
     *
     * @param ownConnections how many connections this edge may have to the service's servers
     */
    public ModuleConfiguration(
            String self, int ownConnections, RetryBudget budget, int zone, List<Route> routes, int edges) {
        this.self = self;
        this.ownConnections = ownConnections;
        this.budget = budget;
        this.zone = zone;
        this.edges = Math.max(1, edges);
        this.sharingEdges = this.edges;
        addClasses(routes);
    }

    /** Sets how many connections one server accepts from all callers, and how many edges share them. */
    public void setConnectionLimit(int serverConnections, int sharedBy) {
        connectionsPerServer = serverConnections;
        sharingEdges = Math.max(1, sharedBy);
    }

    /** How many connections this edge may have to each of its servers. */
    public int connectionShare() {
        return connectionShare;
    }

    /** The module's settings. */
    public Balancer.Settings settings() {
        double edgeShare = USED_BUDGET_RATIO / edges;
        // No server in the list is an origin behind the others, so the settings for misses do not apply.
        return new Balancer.Settings(
                edges,
                zone,
                Integer.MAX_VALUE,
                List.copyOf(classes),
                List.of(),
                1,
                maxAttempts,
                true,
                false,
                true,
                MAX_RETRY_AFTER_MICROS,
                false,
                0,
                COLD_SPEED_RATIO,
                COLD_MICROS,
                budget.slack * edgeShare,
                budget.ratio * USED_BUDGET_RATIO,
                budget.windowMicros);
    }

    private static Balancer.RequestClass requestClass(Route route) {
        return new Balancer.RequestClass(
                route.isRepeatable() ? Balancer.Effect.SAFE : Balancer.Effect.UNSAFE,
                Balancer.Group.ALL,
                0,
                Math.max(1, route.targetLatencyMicros()),
                Math.max(MIN_DEADLINE_MICROS, route.timeoutMicros()),
                1.0 / (1 + Math.max(0, route.priority())));
    }

    private boolean addClasses(List<Route> routes) {
        int knownClasses = classes.size();
        for (Route route : routes) {
            if (!classes.contains(requestClass(route))) {
                classes.add(requestClass(route));
            }
        }
        cacheable = routes.stream().anyMatch(route -> route.kind() == Route.Kind.CACHEABLE);
        int minAttempts =
                Math.max(1, routes.stream().mapToInt(Route::maxAttempts).min().orElse(1));
        boolean changed = classes.size() != knownClasses || minAttempts != maxAttempts;
        maxAttempts = minAttempts;
        return changed;
    }

    /**
     * Sets the routes to this service and the number of edges that share its limits; returns whether anything
     * changed.
     */
    public boolean updateRoutes(List<Route> routes, int edgeCount) {
        boolean changed = addClasses(routes) || edgeCount != edges;
        edges = Math.max(1, edgeCount);
        return changed;
    }

    /** The number of a route's class; -1 if the module does not know it yet. */
    public int classNumber(Route route) {
        return classes.indexOf(requestClass(route));
    }

    /**
     * Adds a class for a route of a configuration that has just been replaced; the module has to be retuned
     * afterwards.
     */
    public int addClass(Route route) {
        classes.add(requestClass(route));
        return classes.size() - 1;
    }

    /** Sets the known servers and returns the previous ones. Silent servers are used only if no server is ready. */
    public Map<String, ServerInstance> updateServers(
            long now, Collection<ServerInfo> news, Map<String, Long> coldUntil, ToIntFunction<String> zones) {
        boolean someReady = news.stream().anyMatch(one -> one.state() == ServerInfo.State.READY);
        List<String> ready = news.stream()
                .filter(one -> one.socketAddress() != null
                        && (one.state() == ServerInfo.State.READY
                                || !someReady && one.state() == ServerInfo.State.SILENT))
                .map(ServerInfo::id)
                .toList();
        EdgeSharing sharing = new EdgeSharing(sharingEdges, ready.size(), connectionsPerServer, ownConnections);
        Set<String> chosen = new HashSet<>(EdgeSharing.chosenServers(self, ready, sharing.serverCount()));
        connectionShare = sharing.connectionShare();
        Map<String, ServerInstance> next = new HashMap<>();
        entries.clear();
        for (ServerInfo one : news) {
            boolean usable = chosen.contains(one.id());
            if (one.state() == ServerInfo.State.GONE || one.socketAddress() == null) {
                continue;
            }
            next.put(
                    one.id(),
                    new ServerInstance(
                            one.id(),
                            one.socketAddress(),
                            usable ? ServerInfo.State.READY : ServerInfo.State.DRAINING));
            Long cold = coldUntil.get(one.id());
            long started = cold == null || cold <= now ? 0 : cold - COLD_MICROS;
            entries.put(
                    one.id(),
                    new Balancer.Server(
                            one.id(),
                            zones.applyAsInt(one.zone()),
                            0,
                            0,
                            usable ? Balancer.State.READY : Balancer.State.DRAINING,
                            Math.max(1e-3, one.capacity()),
                            Math.max(0, started)));
        }
        Map<String, ServerInstance> before = servers;
        servers = next;
        serverSpeeds.retainOnly(next.keySet());
        return before;
    }

    /** A server by its id; null if it is unknown or has left. */
    public ServerInstance server(String id) {
        return servers.get(id);
    }

    /** Whether new requests may be sent to a server. */
    public boolean isReady(String id) {
        ServerInstance server = servers.get(id);
        return server != null && server.state() == ServerInfo.State.READY;
    }

    /** All servers with their current weights, which count as passed to the module. */
    public List<Balancer.Server> weightedServers(long now) {
        listedAt = now;
        List<Balancer.Server> list = new ArrayList<>();
        entries.values()
                .forEach(e -> list.add(new Balancer.Server(
                        e.id(),
                        e.zone(),
                        e.kind(),
                        e.cell(),
                        e.state(),
                        e.weight()
                                * serverSpeeds.weightFactor(now, e.id())
                                * (cacheable && e.zone() == zone ? SAME_ZONE_WEIGHT : 1),
                        e.startedAt())));
        return list;
    }

    /**
     * Records how long a server took for a request of a route; returns whether the module needs the server list
     * again.
     */
    public boolean recordAnswer(long now, String id, Route route, long elapsed) {
        serverSpeeds.recordAnswer(id, classNumber(route), elapsed);
        return isWeightOutdated(now, id);
    }

    /**
     * Applies what all edges together have observed, of this service's servers among others; returns whether the
     * module needs the server list again.
     */
    public boolean applyPooledObservations(long now, Map<String, double[]> pooled) {
        Map<String, ServerSpeeds.Observation> knownServers = new HashMap<>();
        pooled.forEach((id, seen) -> {
            if (entries.containsKey(id)) {
                knownServers.put(id, new ServerSpeeds.Observation(seen[0], seen[1]));
            }
        });
        serverSpeeds.applyPooled(now, knownServers);
        return knownServers.keySet().stream().anyMatch(id -> isWeightOutdated(now, id));
    }

    private boolean isWeightOutdated(long now, String id) {
        return now - listedAt > MIN_WEIGHT_UPDATE_MICROS && serverSpeeds.hasChanged(now, id);
    }

    /** Adds this edge's observations of the service's servers to {@code target}, for other edges. */
    public void collectObservations(Map<String, double[]> target) {
        serverSpeeds
                .ownObservations()
                .forEach((id, seen) -> target.put(id, new double[] {seen.slowness(), seen.answers()}));
    }
}
