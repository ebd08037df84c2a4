package gorsemast.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks by the operators' rules what clients and servers observe; {@link ConfigurationChecker} checks configurations. Time
 * bounds apply to connected machines only, see {@link Connectivity}. Throws {@link Violation}. Times in microseconds of the simulation's clock.
 */
final class RequestChecker {
    private static final long PURGE = 2_000_000;
    private static final long STALE_SLACK = 2_000_000;
    private static final double OVERRUN = 1.1;

    private record Change(long at, long version) {}

    private record Purge(String path, long sentAt, long ackedAt) {}

    private final Simulation simulation;
    private final Map<String, Integer> runs = new HashMap<>();
    private final Set<String> refused = new HashSet<>();
    private final Map<String, List<Change>> changes = new HashMap<>();
    private final List<Purge> purges = new ArrayList<>();
    private final Map<String, Boolean> inTouch = new HashMap<>();
    private final Map<String, Set<String>> arrivedIds = new HashMap<>();
    private final Map<String, Deque<Long>> further = new HashMap<>();
    private final Map<String, Deque<Long>> asked = new HashMap<>();
    private final Deque<Long> fetched = new ArrayDeque<>();

    RequestChecker(Simulation simulation) {
        this.simulation = simulation;
    }

    private long now() {
        return simulation.time.now();
    }

    private boolean isConnected(Machine machine) {
        return simulation.connectivity.isConnected(machine);
    }

    /** The highest acknowledged configuration number. */
    long newest() {
        return simulation.configurationChecker.newest();
    }

    // ---- servers

    void recordLeaving(Servers.Server server, Machine by) {
        if (server.leavesFrom == 0 && isConnected(by)) {
            server.leavesFrom = now();
            simulation.durabilityChecker.leaves(server);
        }
    }

    /** A client sends a request for this service. */
    void recordRequest(String service) {
        asked.computeIfAbsent(service, name -> new ArrayDeque<>()).add(now());
    }

    void sent(Edge edge, Servers.Request request) {
        inTouch.put(request.attempt() + request.target(), isConnected(edge.machine));
    }

    void arrived(Servers.Server server, Servers.Request request) {
        boolean touched = inTouch.getOrDefault(request.attempt() + request.target(), false);
        if (server.leavesFrom > 0
                && now() > server.leavesFrom + Simulation.DRAIN_MICROS
                && touched
                && request.target().equals(server.id)) {
            throw new Violation(
                    "DRAIN",
                    server.id + " is sent " + request.path() + " " + (now() - server.leavesFrom) / 1_000
                            + " ms after it was acknowledged to leave");
        }
        if (request.service().equals(Simulation.OBJECTS)) {
            fetched.add(now());
            while (fetched.peek() < now() - Simulation.WINDOW_MICROS) {
                fetched.poll();
            }
            double most = Simulation.RATE * Simulation.WINDOW_MICROS / 1e6 * OVERRUN + 5;
            if (fetched.size() > most && simulation.isAllCalm()) {
                throw new Violation("CEILING", fetched.size() + " requests in a window that may have " + (int) most);
            }
        }
        if (!arrivedIds
                .computeIfAbsent(request.service(), name -> new HashSet<>())
                .add(request.attempt())) {
            Deque<Long> more = further.computeIfAbsent(request.service(), name -> new ArrayDeque<>());
            more.add(now());
            while (more.peek() < now() - Simulation.BUDGET.windowMicros()) {
                more.poll();
            }
            long requests = asked.getOrDefault(request.service(), new ArrayDeque<>()).stream()
                    .filter(at -> at > now() - Simulation.BUDGET.windowMicros())
                    .count();
            if (more.size() > Simulation.BUDGET.ratio() * requests + Simulation.BUDGET.slack()) {
                throw new Violation(
                        "BUDGET",
                        more.size() + " further attempts for " + requests + " requests of " + request.service());
            }
        }
    }

    void checkExecution(Servers.Server server, Servers.Request request) {
        if (!server.service.equals(request.service())) {
            throw new Violation("ROUTE", server.id + " of " + server.service + " runs " + request.path());
        }
        if (request.unsafe()) {
            if (runs.merge(request.attempt(), 1, Integer::sum) > 1) {
                throw new Violation("TWICE", request.path() + " of " + request.attempt() + " runs twice");
            }
            if (refused.contains(request.attempt())) {
                throw new Violation(
                        "REFUSED", request.path() + " of " + request.attempt() + " runs after it was refused");
            }
        }
    }

    // ---- objects

    /** An object has changed. */
    void changes(String path, long version) {
        changes.computeIfAbsent(path, p -> new ArrayList<>()).add(new Change(now(), version));
    }

    /** A purge of it is acknowledged; {@code path} null for all. */
    void purged(String path, long sentAt) {
        purges.add(new Purge(path, sentAt, now()));
    }

    // ---- clients

    /** An edge matches this answer to an attempt. */
    void checkOwnAnswer(Edge edge, Servers.Request asked, Servers.Reply reply) {
        Servers.Request truth = reply.request();
        if (!truth.attempt().equals(asked.attempt()) || !truth.path().equals(asked.path())) {
            throw new Violation(
                    "MIXED", edge.machine.ip + " matches the answer to " + truth.attempt() + " to " + asked.attempt());
        }
    }

    /** A client receives its answer. */
    void answered(Edge edge, String attempt, String path, boolean unsafe, long sentAt, Edge.Answer answer) {
        switch (answer.result()) {
            case REFUSED -> {
                if (unsafe) {
                    refused.add(attempt);
                    if (runs.containsKey(attempt)) {
                        throw new Violation("REFUSED", path + " of " + attempt + " was refused, and it has run");
                    }
                }
            }
            case NO_ROUTE -> {
                if (isConnected(edge.machine)) {
                    throw new Violation("DENIED", edge.machine.ip + " knows no route for " + path);
                }
            }
            case SERVED -> {
                if (answer.copy()) {
                    checkFreshness(edge, path, sentAt, answer.version());
                }
            }
            default -> {
                // failed: no guarantee applies
            }
        }
    }

    private void checkFreshness(Edge edge, String path, long sentAt, long version) {
        boolean touched = isConnected(edge.machine);
        if (!touched && !simulation.connectivity.isHealthy(edge.machine)) {
            return;
        }
        long replacedAt = 0;
        for (Change change : changes.getOrDefault(path, List.of())) {
            if (change.version > version) {
                replacedAt = change.at;
                break;
            }
        }
        if (replacedAt == 0) {
            return;
        }
        if (touched && sentAt > replacedAt + Simulation.TTL_MICROS + STALE_SLACK) {
            throw new Violation(
                    "STALE",
                    edge.machine.ip + " serves version " + version + " of " + path + ", replaced "
                            + (sentAt - replacedAt) / 1_000 + " ms ago");
        }
        long within = touched ? PURGE : PURGE + Simulation.STRETCH_MICROS;
        for (Purge purge : purges) {
            boolean bound = touched || simulation.connectivity.majorityFor() >= now() - purge.ackedAt;
            if (bound
                    && (purge.path == null || purge.path.equals(path))
                    && replacedAt <= purge.sentAt
                    && sentAt > purge.ackedAt + within) {
                throw new Violation(
                        "STALE",
                        edge.machine.ip + " serves version " + version + " of " + path + " "
                                + (sentAt - purge.ackedAt) / 1_000 + " ms after its purge was acknowledged");
            }
        }
    }
}
