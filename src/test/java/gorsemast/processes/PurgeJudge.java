package gorsemast.processes;

import gorsemast.standin.LoopbackNetwork;
import gorsemast.standin.LoopbackNetwork.Answer;
import gorsemast.standin.StandInServer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Changes and purges objects, and judges STALE: no edge in touch serves a version that had been replaced when a purge was sent, to a
 * request sent later than {@code purge} after the purge's acknowledgement. It asks every edge for some objects itself, and is told of the
 * clients' answers. The caller drives it; answers come on other threads.
 */
final class PurgeJudge {
    /** {@code purge}, and a little. */
    private static final long IN_FORCE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_050);

    private static final long GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
    private static final long PATIENCE_MILLIS = 1_000;
    /** Objects that the judge asks for itself. */
    private static final List<String> ASKED = List.of("/objects/0", "/objects/1", "/objects/2");

    private static final Pattern VERSION = Pattern.compile("^object (/objects/\\d+) version (\\d+)\\s*$");
    private static final int OK = 200;

    /** From then on, of {@link System#nanoTime}, at least this version has to be served. */
    private record Bound(int version, long from) {}

    private final ProcessNetwork network;
    private final Operator operator;
    private final List<Integer> edges;
    private final IntPredicate inTouch;
    private final List<StandInServer> servers;
    /** Versions of the objects that have changed. */
    private final Map<String, Integer> versions = new ConcurrentHashMap<>();

    private final Map<String, List<Bound>> bounds = new ConcurrentHashMap<>();
    private final Queue<String> faults = new ConcurrentLinkedQueue<>();
    private long next;
    private int number;
    private int judged;

    /**
     * Creates the judge.
     *
     * @param servers all servers of objects
     * @param inTouch whether an edge is in touch now; from any thread
     */
    PurgeJudge(
            ProcessNetwork network,
            Operator operator,
            List<Integer> edges,
            List<StandInServer> servers,
            IntPredicate inTouch) {
        this.network = network;
        this.operator = operator;
        this.edges = edges;
        this.servers = servers;
        this.inTouch = inTouch;
    }

    /** Changes an object and purges it by its path, at one of these registries after another until one acknowledges. */
    void purgePath(String path, int... cores) {
        change(path);
        Map<String, Integer> replaced = Map.of(path, versions.get(path));
        send(core -> operator.purge(core, path), replaced, 0, cores);
    }

    /** Changes all objects that the judge asks for and purges all objects by their tag. */
    void purgeTag(int... cores) {
        ASKED.forEach(this::change);
        send(core -> operator.purgeTag(core, "all"), Map.copyOf(versions), 0, cores);
    }

    /** The first of the objects that the judge asks for. */
    static String firstObject() {
        return ASKED.get(0);
    }

    private void change(String path) {
        servers.forEach(server -> server.change(path));
        versions.merge(path, 1, Integer::sum);
    }

    private void send(Operator.Call call, Map<String, Integer> replaced, int turn, int... cores) {
        call.to(cores[turn % cores.length]).thenAccept(answer -> {
            if (Operator.confirms(answer)) {
                long from = System.nanoTime() + IN_FORCE_NANOS;
                replaced.forEach((path, version) -> bounds.computeIfAbsent(path, p -> new CopyOnWriteArrayList<>())
                        .add(new Bound(version, from)));
            } else if (turn < 2 * cores.length) {
                send(call, replaced, turn + 1, cores);
            }
        });
    }

    /** Asks every edge for one object, where it is time to. */
    void poll() {
        long now = System.nanoTime();
        if (now < next) {
            return;
        }
        next = now + GAP_NANOS;
        String path = ASKED.get(number++ % ASKED.size());
        for (int edge : edges) {
            boolean before = inTouch.test(edge);
            ask(edge, path).thenAccept(answer -> answered(edge, now, answer.status(), answer.text(), before));
        }
    }

    private CompletableFuture<Answer> ask(int edge, String path) {
        String id = "s" + System.nanoTime() + '-' + edge;
        return network.send(network.front(edge), "GET", path, LoopbackNetwork.client(id), null, PATIENCE_MILLIS);
    }

    /**
     * An edge has answered a request for an object.
     *
     * @param before whether the edge was in touch when the request was sent, at {@code sentNanos}
     */
    void answered(int edge, long sentNanos, int status, String body, boolean before) {
        Matcher object = VERSION.matcher(body.trim());
        if (status != OK || !before || !object.matches() || !inTouch.test(edge)) {
            return;
        }
        String path = object.group(1);
        int served = Integer.parseInt(object.group(2));
        int needed = 0;
        long since = 0;
        for (Bound bound : bounds.getOrDefault(path, List.of())) {
            if (sentNanos > bound.from && bound.version > needed) {
                needed = bound.version;
                since = bound.from;
            }
        }
        synchronized (this) {
            judged += needed > 0 ? 1 : 0;
        }
        if (served < needed) {
            faults.add("edge " + edge + " serves version " + served + " of " + path + ", for which " + needed
                    + " had to be served since "
                    + TimeUnit.NANOSECONDS.toMillis(sentNanos - since) + " ms");
        }
    }

    /** How many answers were subject to a purge's bound since the last call; adds what was wrong to {@code to}. */
    synchronized int judge(List<String> to) {
        List<String> found = new ArrayList<>();
        for (String fault = faults.poll(); fault != null; fault = faults.poll()) {
            found.add(fault);
        }
        to.addAll(found);
        int count = judged;
        judged = 0;
        return count;
    }
}
