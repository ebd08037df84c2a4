package gorsemast.processes;

import gorsemast.standin.LoopbackNetwork;
import gorsemast.standin.LoopbackNetwork.Answer;
import gorsemast.standin.StandInServer;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntPredicate;

/**
 * Asks every edge for the route that the last confirmed change has added, and for the one that it has dropped: directly, on a connection of
 * its own, with little patience and no further try. Begins when the change has to be in force, and ends with the next one; what
 * edges in touch answer is judged. Driven by the soak's loop; one caller, answers come on the network's loop.
 */
final class RouteJudge {
    /** {@code configApply}, and a little. */
    private static final long IN_FORCE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_050);

    /** What servers are asked without any edge. */
    static final String DIRECT = "/orders/direct";

    private static final long GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
    private static final long PATIENCE_MILLIS = 500;
    private static final int NOT_FOUND = 404;
    private static final int OK = 200;
    /** From so many requests on the rule holds. */
    private static final int ENOUGH = 20;
    /** From so many on one edge is judged by itself, and serves this part at least, however busy its first routes are. */
    private static final int ENOUGH_OF_ONE = 15;

    private static final double PART_OF_ONE = 0.5;

    /** A test request that no newer change has overtaken, and what came of it. */
    private record Tried(int edge, boolean added, boolean inTouch, int change, int status) {}

    /**
     * How test requests on added routes ended at edges in touch, by status, and at the others; 0 for no answer. And how such requests ended
     * that went to servers without any edge: where these have no answer in time, the machine is too busy to tell.
     */
    record Tally(Map<Integer, Integer> inTouch, Map<Integer, Integer> others, Map<Integer, Integer> direct) {
        private static Tally of(List<Tried> all) {
            Tally tally = new Tally(new TreeMap<>(), new TreeMap<>(), new TreeMap<>());
            all.stream().filter(one -> one.added).forEach(one -> (one.inTouch ? tally.inTouch : tally.others)
                    .merge(one.status, 1, Integer::sum));
            return tally;
        }

        int asked() {
            return inTouch.values().stream().mapToInt(Integer::intValue).sum();
        }

        int served() {
            return inTouch.getOrDefault(OK, 0);
        }
    }

    private final ProcessNetwork network;
    private final List<Integer> edges;
    private final IntPredicate inTouch;
    private final Queue<Tried> tried = new ConcurrentLinkedQueue<>();
    private final Queue<Integer> direct = new ConcurrentLinkedQueue<>();
    private final AtomicInteger change = new AtomicInteger();
    private String added;
    private String dropped;
    private long from;
    private long next;
    private int number;

    /** @param inTouch whether an edge, and the core, have been in no trouble for {@code contact}; from any thread */
    RouteJudge(ProcessNetwork network, List<Integer> edges, IntPredicate inTouch) {
        this.network = network;
        this.edges = edges;
        this.inTouch = inTouch;
    }

    /** A change has been sent: what is known of routes no longer holds. */
    void sent() {
        change.incrementAndGet();
        added = null;
    }

    /** It has been confirmed, now. */
    void confirmed(String nowAdded, String nowDropped) {
        added = nowAdded;
        dropped = nowDropped;
        from = System.nanoTime() + IN_FORCE_NANOS;
    }

    /** Asks, where it is time to. */
    void poll() {
        long now = System.nanoTime();
        if (added == null || now < from || now < next) {
            return;
        }
        next = now + GAP_NANOS;
        for (int edge : edges) {
            ask(edge, true);
            ask(edge, false);
        }
        for (StandInServer server : network.servers()) {
            send(server.address(), DIRECT).thenAccept(answer -> direct.add(answer.status()));
        }
    }

    private CompletableFuture<Answer> send(InetSocketAddress to, String path) {
        String id = "t" + System.nanoTime() + '-' + number;
        return network.send(to, "GET", path, LoopbackNetwork.client(id), null, PATIENCE_MILLIS);
    }

    private void ask(int edge, boolean asksAdded) {
        String path = Operator.route(asksAdded ? added : dropped) + "t" + number++;
        int asked = change.get();
        boolean before = inTouch.test(edge);
        send(network.front(edge), path).thenAccept(answer -> {
            if (asked == change.get()) {
                boolean touched = before && inTouch.test(edge);
                tried.add(new Tried(edge, asksAdded, touched, asked, answer.status()));
            }
        });
    }

    /** Judges what has been tried since it last did; of requests that a newer change has overtaken nothing is held. */
    Tally judge(double servedOfFirst, List<String> faults) {
        List<Tried> all = new ArrayList<>();
        for (Tried one = tried.poll(); one != null; one = tried.poll()) {
            all.add(one);
        }
        for (Tried one : all) {
            if (one.added && one.status == NOT_FOUND) {
                // Whoever is out of touch does not know that, and has to say so.
                faults.add("edge " + one.edge + " says 404 of an added route of change " + one.change
                        + (one.inTouch ? "" : ", out of touch"));
            } else if (!one.added && one.status == OK && one.inTouch) {
                faults.add("edge " + one.edge + " serves a dropped route of change " + one.change);
            }
        }
        Tally tally = Tally.of(all);
        for (Integer status = direct.poll(); status != null; status = direct.poll()) {
            tally.direct.merge(status, 1, Integer::sum);
        }
        if (tally.asked() >= ENOUGH && tally.served() < tally.asked() * servedOfFirst / 4) {
            faults.add(tally + ": of the first routes' requests " + servedOfFirst + " were served");
        }
        judgeEach(all, faults);
        return tally;
    }

    private void judgeEach(List<Tried> all, List<String> faults) {
        for (int edge : edges) {
            Tally tally = Tally.of(all.stream().filter(one -> one.edge == edge).toList());
            if (tally.asked() >= ENOUGH_OF_ONE && tally.served() < PART_OF_ONE * tally.asked()) {
                faults.add("edge " + edge + " serves its added routes seldom: " + tally.inTouch);
            }
        }
    }
}
