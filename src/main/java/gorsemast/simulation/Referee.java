package gorsemast.simulation;

import gorsemast.configuration.Configuration;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Judges by the operators' rules what clients, servers and operators have seen. A machine is in touch when nothing has
 * troubled it, nor the core, for {@link World#CONTACT_MICROS}; what has a time bound is asked of these only. Throws
 * {@link Broken}. Times in microseconds of the world's clock.
 */
final class Referee {
    private static final long CONFIG_APPLY = 2_000_000;
    private static final long PURGE = 2_000_000;
    private static final long STALE_SLACK = 2_000_000;
    private static final double OVERRUN = 1.1;

    private record Change(long at, long version) {}

    private record Purge(String path, long sentAt, long ackedAt) {}

    private final World world;
    private final Map<Long, Long> acknowledged = new HashMap<>();
    /** What was acknowledged under each number, and when a content was refused. */
    private final Map<Long, String> contents = new HashMap<>();

    private final Map<String, Long> refusedContents = new HashMap<>();
    private final Map<String, Integer> runs = new HashMap<>();
    private final Set<String> refused = new HashSet<>();
    private final Map<String, List<Change>> changes = new HashMap<>();
    private final List<Purge> purges = new ArrayList<>();
    private final Map<String, Boolean> inTouch = new HashMap<>();
    private final Map<String, Set<String>> arrivedIds = new HashMap<>();
    private final Map<String, Deque<Long>> further = new HashMap<>();
    private final Map<String, Deque<Long>> asked = new HashMap<>();
    private final Deque<Long> fetched = new ArrayDeque<>();
    private long newest;

    Referee(World world) {
        this.world = world;
    }

    private long now() {
        return world.time.now();
    }

    boolean touch(Machine machine) {
        return machine.calmFor(now()) >= World.CONTACT_MICROS && world.coreCalmFor() >= World.CONTACT_MICROS;
    }

    // ---- configuration

    /** The operator has read that a version is acknowledged, with this content. */
    void acknowledged(long version, String body) {
        acknowledged.putIfAbsent(version, now());
        newest = Math.max(newest, version);
        String before = contents.putIfAbsent(version, body);
        if (before != null && !before.equals(body)) {
            throw new Broken("CONFIG", "two contents are acknowledged as version " + version);
        }
        if (refusedContents.containsKey(body)) {
            throw new Broken("CONFIG", "version " + version + " is acknowledged after it was refused");
        }
    }

    /** The operator has read that another content has its number. */
    void refused(long version, String body) {
        if (body.equals(contents.get(version))) {
            throw new Broken("CONFIG", "version " + version + " was acknowledged, is sent again and is refused");
        }
        refusedContents.putIfAbsent(body, now());
    }

    /** An edge handles a request that was sent then by this configuration. */
    void goesBy(Edge edge, Configuration by, long sentAt) {
        String body = new String(by.body(), StandardCharsets.UTF_8);
        String known = contents.get(by.version());
        Long at = known == null || known.equals(body) ? refusedContents.get(body) : acknowledged.get(by.version());
        if (at != null && sentAt > at + CONFIG_APPLY && touch(edge.machine)) {
            throw new Broken(
                    "CONFIG",
                    edge.machine.ip + " goes by another content of version " + by.version() + " "
                            + (sentAt - at) / 1_000 + " ms after the number was taken");
        }
    }

    long newest() {
        return newest;
    }

    /** An edge handles a request that was sent then, by this version. */
    void handles(Edge edge, long version, long sentAt) {
        if (version < edge.seenVersion) {
            throw new Broken(
                    "CONFIG", edge.machine.ip + " goes back from version " + edge.seenVersion + " to " + version);
        }
        edge.seenVersion = version;
        if (!touch(edge.machine)) {
            return;
        }
        acknowledged.forEach((known, at) -> {
            if (known > version && sentAt > at + CONFIG_APPLY) {
                throw new Broken(
                        "CONFIG",
                        edge.machine.ip + " goes by version " + version + " " + (sentAt - at) / 1_000 + " ms after "
                                + known + " was acknowledged");
            }
        });
    }

    /** What is read back at the end. */
    void readBack(long version, String body) {
        if (contents.containsKey(version) && !contents.get(version).equals(body) || refusedContents.containsKey(body)) {
            throw new Broken("CONFIG", "version " + version + " is read back with other content");
        }
        if (version < newest) {
            throw new Broken("LOST", "version " + version + " is read back where " + newest + " was acknowledged");
        }
    }

    // ---- servers

    void leaves(Servers.Server server, Machine by) {
        if (server.leavesFrom == 0 && touch(by)) {
            server.leavesFrom = now();
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
            while (more.peek() < now() - World.BUDGET.window()) {
                more.poll();
            }
            long requests = asked.getOrDefault(request.service(), new ArrayDeque<>()).stream()
                    .filter(at -> at > now() - World.BUDGET.window())
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
        if (!touch(edge.machine)) {
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
        if (sentAt > replacedAt + World.TTL_MICROS + STALE_SLACK) {
            throw new Broken(
                    "STALE",
                    edge.machine.ip + " serves version " + version + " of " + path + ", replaced "
                            + (sentAt - replacedAt) / 1_000 + " ms ago");
        }
        for (Purge purge : purges) {
            if ((purge.path == null || purge.path.equals(path))
                    && replacedAt <= purge.sentAt
                    && sentAt > purge.ackedAt + PURGE) {
                throw new Broken(
                        "STALE",
                        edge.machine.ip + " serves version " + version + " of " + path + " "
                                + (sentAt - purge.ackedAt) / 1_000 + " ms after its purge was acknowledged");
            }
        }
    }
}
