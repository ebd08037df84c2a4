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
 * Judges by the operators' rules what clients and servers have seen; {@link Contents} judges configurations. What has a time
 * bound is asked of machines in touch only, see {@link Contact}. Throws {@link Violation}. Times in microseconds of the world's clock.
 */
final class Referee {
    private static final long PURGE = 2_000_000;
    private static final long STALE_SLACK = 2_000_000;
    private static final double OVERRUN = 1.1;

    private record Change(long at, long version) {}

    private record Purge(String path, long sentAt, long ackedAt) {}

    private final World world;
    private final Map<String, Integer> runs = new HashMap<>();
    private final Set<String> refused = new HashSet<>();
    private final Map<String, List<Change>> changes = new HashMap<>();
    private final List<Purge> purges = new ArrayList<>();
    private final Map<String, Boolean> inTouch = new HashMap<>();
    private final Map<String, Set<String>> arrivedIds = new HashMap<>();
    private final Map<String, Deque<Long>> further = new HashMap<>();
    private final Map<String, Deque<Long>> asked = new HashMap<>();
    private final Deque<Long> fetched = new ArrayDeque<>();

    Referee(World world) {
        this.world = world;
    }

    private long now() {
        return world.time.now();
    }

    private boolean touch(Machine machine) {
        return world.contact.touch(machine);
    }

    /** The highest number of a configuration that is acknowledged. */
    long newest() {
        return world.contents.newest();
    }

    // ---- servers

    void leaves(Servers.Server server, Machine by) {
        if (server.leavesFrom == 0 && touch(by)) {
            server.leavesFrom = now();
            world.kept.leaves(server);
        }
    }

    /** A client asks for something of this service. */
    void asks(String service) {
        asked.computeIfAbsent(service, name -> new ArrayDeque<>()).add(now());
    }

    void sent(Edge edge, Servers.Request request) {
        inTouch.put(request.attempt() + request.target(), touch(edge.machine));
    }

    void arrived(Servers.Server server, Servers.Request request) {
        boolean touched = inTouch.getOrDefault(request.attempt() + request.target(), false);
        if (server.leavesFrom > 0
                && now() > server.leavesFrom + World.DRAIN_MICROS
                && touched
                && request.target().equals(server.id)) {
            throw new Broken(
                    "DRAIN",
                    server.id + " is sent " + request.path() + " " + (now() - server.leavesFrom) / 1_000
                            + " ms after it was acknowledged to leave");
        }
        if (request.service().equals(World.OBJECTS)) {
            fetched.add(now());
            while (fetched.peek() < now() - World.WINDOW_MICROS) {
                fetched.poll();
            }
            double most = World.RATE * World.WINDOW_MICROS / 1e6 * OVERRUN + 5;
            if (fetched.size() > most && world.allCalm()) {
                throw new Broken("CEILING", fetched.size() + " requests in a window that may have " + (int) most);
            }
        }
        if (!arrivedIds
                .computeIfAbsent(request.service(), name -> new HashSet<>())
                .add(request.attempt())) {
            Deque<Long> more = further.computeIfAbsent(request.service(), name -> new ArrayDeque<>());
            more.add(now());
            while (more.peek() < now() - World.BUDGET.windowMicros()) {
                more.poll();
            }
            long requests = asked.getOrDefault(request.service(), new ArrayDeque<>()).stream()
                    .filter(at -> at > now() - World.BUDGET.windowMicros())
                    .count();
            if (more.size() > World.BUDGET.ratio() * requests + World.BUDGET.slack()) {
                throw new Broken(
                        "BUDGET",
                        more.size() + " further attempts for " + requests + " requests of " + request.service());
            }
        }
    }

    void runs(Servers.Server server, Servers.Request request) {
        if (!server.service.equals(request.service())) {
            throw new Broken("ROUTE", server.id + " of " + server.service + " runs " + request.path());
        }
        if (request.unsafe()) {
            if (runs.merge(request.attempt(), 1, Integer::sum) > 1) {
                throw new Broken("TWICE", request.path() + " of " + request.attempt() + " runs twice");
            }
            if (refused.contains(request.attempt())) {
                throw new Broken("REFUSED", request.path() + " of " + request.attempt() + " runs after it was refused");
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

    /** An edge gives an attempt this answer as its own. */
    void owns(Edge edge, Servers.Request asked, Servers.Reply reply) {
        Servers.Request truth = reply.request();
        if (!truth.attempt().equals(asked.attempt()) || !truth.path().equals(asked.path())) {
            throw new Broken(
                    "MIXED",
                    edge.machine.ip + " takes the answer to " + truth.attempt() + " for that to " + asked.attempt());
        }
    }

    /** A client has its answer. */
    void answered(Edge edge, String attempt, String path, boolean unsafe, long sentAt, Edge.Answer answer) {
        switch (answer.told()) {
            case REFUSED -> {
                if (unsafe) {
                    refused.add(attempt);
                    if (runs.containsKey(attempt)) {
                        throw new Broken("REFUSED", path + " of " + attempt + " was refused, and it has run");
                    }
                }
            }
            case NO_ROUTE -> {
                if (touch(edge.machine)) {
                    throw new Broken("DENIED", edge.machine.ip + " knows no route for " + path);
                }
            }
            case SERVED -> {
                if (answer.copy()) {
                    fresh(edge, path, sentAt, answer.version());
                }
            }
            default -> {
                // failed: nothing is promised
            }
        }
    }

    private void fresh(Edge edge, String path, long sentAt, long version) {
        boolean touched = touch(edge.machine);
        if (!touched && !world.contact.well(edge.machine)) {
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
        if (touched && sentAt > replacedAt + World.TTL_MICROS + STALE_SLACK) {
            throw new Broken(
                    "STALE",
                    edge.machine.ip + " serves version " + version + " of " + path + ", replaced "
                            + (sentAt - replacedAt) / 1_000 + " ms ago");
        }
        long within = touched ? PURGE : PURGE + World.STRETCH_MICROS;
        for (Purge purge : purges) {
            boolean bound = touched || world.contact.majorityFor() >= now() - purge.ackedAt;
            if (bound
                    && (purge.path == null || purge.path.equals(path))
                    && replacedAt <= purge.sentAt
                    && sentAt > purge.ackedAt + within) {
                throw new Broken(
                        "STALE",
                        edge.machine.ip + " serves version " + version + " of " + path + " "
                                + (sentAt - purge.ackedAt) / 1_000 + " ms after its purge was acknowledged");
            }
        }
    }
}
