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
 * What one service's decision module is told: its classes, its bounds, and its servers with their weights.
 *
 * <p>Routes become the module's classes; a class keeps its number for good, and a route that changes gets another. What
 * may be sent beyond each request's first attempt is this edge's part of the service's budget. A server weighs as much as
 * it has room, by its speed beside the others ({@link ServerSpeeds}), and for objects by how near it is. No I/O, no clock, no
 * threads; times in microseconds.
 */
public final class ModuleConfiguration {
    /** Of the budget that the rules leave to all edges, so much is spent; the rest is for what they count otherwise. */
    private static final double SPENT_OF_BUDGET = 0.75;
    /** How slow a server is that says it is cold, until nothing else is known. */
    private static final double COLD_SHARE = 0.5;

    private static final long COLD_MICROS = 3_000_000;
    private static final long MOST_RETRY_AFTER = 1_000_000;
    private static final long LEAST_DEADLINE = 50_000;
    /** The module is told of changed speeds not more often than this. */
    private static final long SPEED_MICROS = 400_000;
    /** So many times as much goes to servers of the own zone, for objects, whose bytes are dear between zones. */
    private static final double NEAR = 4;

    /** What bounds further attempts over all edges. */
    public record RetryBudget(double ratio, double slack, long windowMicros) {}

    private final String self;
    private final int ownConnections;
    private final RetryBudget budget;
    private final int zone;
    private final List<Balancer.RequestClass> classes = new ArrayList<>();
    private final ServerSpeeds speeds = new ServerSpeeds();
    private final Map<String, Balancer.Server> entries = new LinkedHashMap<>();
    private Map<String, ServerInstance> servers = Map.of();
    private int mostConnections = Integer.MAX_VALUE;
    private int users;
    private int part = Integer.MAX_VALUE;
    private long toldAt = Long.MIN_VALUE / 2;
    private int edges;
    private int attempts = 1;
    private boolean objects;

    /**
     * For the edge with this name, in the zone with this number, one of {@code edges}.
     *
     * @param ownConnections to this service's servers that it may have
     */
    public ModuleConfiguration(
            String self, int ownConnections, RetryBudget budget, int zone, List<Route> routes, int edges) {
        this.self = self;
        this.ownConnections = ownConnections;
        this.budget = budget;
        this.zone = zone;
        this.edges = Math.max(1, edges);
        this.users = this.edges;
        learn(routes);
    }

    /** How many connections one server takes from all callers, and how many edges are those. */
    public void setConnectionLimit(int connections, int sharedBy) {
        mostConnections = connections;
        users = Math.max(1, sharedBy);
    }

    /** How many connections this edge may have to each of its servers. */
    public int connectionShare() {
        return part;
    }

    /** What bounds the module. */
    public Balancer.Settings settings() {
        double part = SPENT_OF_BUDGET / edges;
        // No entry of the list is an origin behind the others, so misses are no part of this.
        return new Balancer.Settings(
                edges,
                zone,
                Integer.MAX_VALUE,
                List.copyOf(classes),
                List.of(),
                1,
                attempts,
                true,
                false,
                true,
                MOST_RETRY_AFTER,
                false,
                0,
                COLD_SHARE,
                COLD_MICROS,
                budget.slack * part,
                budget.ratio * SPENT_OF_BUDGET,
                budget.windowMicros);
    }

    private static Balancer.RequestClass type(Route route) {
        return new Balancer.RequestClass(
                route.isRepeatable() ? Balancer.Effect.SAFE : Balancer.Effect.UNSAFE,
                Balancer.Group.ALL,
                0,
                Math.max(1, route.targetLatencyMicros()),
                Math.max(LEAST_DEADLINE, route.timeoutMicros()),
                1.0 / (1 + Math.max(0, route.priority())));
    }

    private boolean learn(List<Route> routes) {
        int before = classes.size();
        for (Route route : routes) {
            if (!classes.contains(type(route))) {
                classes.add(type(route));
            }
        }
        objects = routes.stream().anyMatch(route -> route.kind() == Route.Kind.CACHEABLE);
        int least =
                Math.max(1, routes.stream().mapToInt(Route::maxAttempts).min().orElse(1));
        boolean changed = classes.size() != before || least != attempts;
        attempts = least;
        return changed;
    }

    /** The routes that lead here, and by how many edges what is bounded over all is divided; whether anything changes. */
    public boolean updateRoutes(List<Route> routes, int sharedBy) {
        boolean changed = learn(routes) || sharedBy != edges;
        edges = Math.max(1, sharedBy);
        return changed;
    }

    /** The class of a route; -1 where the module does not know it yet. */
    public int classNumber(Route route) {
        return classes.indexOf(type(route));
    }

    /** Makes a class for a route of a version that has only just been replaced; the module is to be retuned then. */
    public int addClass(Route route) {
        classes.add(type(route));
        return classes.size() - 1;
    }

    /** Who there is. What is silent is tried only where nobody else is there. Returns whom it knew before. */
    public Map<String, ServerInstance> updateServers(
            long now, Collection<ServerInfo> news, Map<String, Long> coldUntil, ToIntFunction<String> zones) {
        boolean someReady = news.stream().anyMatch(one -> one.state() == ServerInfo.State.READY);
        List<String> ready = news.stream()
                .filter(one -> one.socketAddress() != null
                        && (one.state() == ServerInfo.State.READY
                                || !someReady && one.state() == ServerInfo.State.SILENT))
                .map(ServerInfo::id)
                .toList();
        EdgeSharing crowd = new EdgeSharing(users, ready.size(), mostConnections, ownConnections);
        Set<String> chosen = new HashSet<>(EdgeSharing.chosenServers(self, ready, crowd.serverCount()));
        part = crowd.connectionShare();
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
        speeds.retainOnly(next.keySet());
        return before;
    }

    /** A server by its id; null where it is none or has left. */
    public ServerInstance server(String id) {
        return servers.get(id);
    }

    /** Whether a server may be sent anything new. */
    public boolean isReady(String id) {
        ServerInstance server = servers.get(id);
        return server != null && server.state() == ServerInfo.State.READY;
    }

    /** All servers with their weights; the module counts as told of them. */
    public List<Balancer.Server> weightedServers(long now) {
        toldAt = now;
        List<Balancer.Server> list = new ArrayList<>();
        entries.values()
                .forEach(e -> list.add(new Balancer.Server(
                        e.id(),
                        e.zone(),
                        e.kind(),
                        e.cell(),
                        e.state(),
                        e.weight() * speeds.weightFactor(now, e.id()) * (objects && e.zone() == zone ? NEAR : 1),
                        e.startedAt())));
        return list;
    }

    /** A server has answered a route's request after so long; whether the module is to be told the list again. */
    public boolean recordAnswer(long now, String id, Route route, long elapsed) {
        speeds.recordAnswer(id, classNumber(route), elapsed);
        return outdated(now, id);
    }

    /** What all edges together have seen, of this service's servers among others; whether the module is to be told. */
    public boolean applyPooledObservations(long now, Map<String, double[]> pooled) {
        Map<String, ServerSpeeds.Observation> known = new HashMap<>();
        pooled.forEach((id, seen) -> {
            if (entries.containsKey(id)) {
                known.put(id, new ServerSpeeds.Observation(seen[0], seen[1]));
            }
        });
        speeds.applyPooled(now, known);
        return known.keySet().stream().anyMatch(id -> outdated(now, id));
    }

    private boolean outdated(long now, String id) {
        return now - toldAt > SPEED_MICROS && speeds.hasChanged(now, id);
    }

    /** What was seen here of this service's servers, added to {@code to}, for other edges. */
    public void collectObservations(Map<String, double[]> to) {
        speeds.ownObservations().forEach((id, seen) -> to.put(id, new double[] {seen.slowness(), seen.answers()}));
    }
}
