package gorsemast.emulator;

import anisebend.Balancer.CacheStatus;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * One modelled cache node: hands, a short row before them, places for connections, copies that age, and what goes wrong.
 *
 * <p><b>Model.</b> A read of a key that is kept takes a hand; one that is not waits for the ledger first, together with
 * all others of that key, and at some installations keeps its hand meanwhile. A write goes to the ledger and drops every copy. What finds no place in the row is turned away
 * and has not run. A node that has just started does only a part of its work, growing with time, and one that is sent
 * more than {@value #FALL_MULTIPLE} times what it can do in a second while it is cold falls over: it refuses for
 * {@value #FALL_MICROS} microseconds and is cold again.
 *
 * <p>O(1) an event. One thread.
 */
final class CacheNode {
    /** Process and network of a node, as a proxy meets it. */
    enum Condition {
        UP,
        REFUSING,
        SILENT
    }

    /** What a node answers: in which way, and what it tells of the read. */
    interface Reply {
        void served(CacheStatus note);

        void error();

        void turnedAway();
    }

    /** One request at a node, while it is there. */
    final class Work {
        final String key;
        final boolean write;
        private final long took;
        private final Reply reply;
        private final Runnable ran;
        private boolean over;
        private CacheStatus note = CacheStatus.HIT;

        private Work(String key, boolean write, long took, Runnable ran, Reply reply) {
            this.key = key;
            this.write = write;
            this.took = took;
            this.ran = ran;
            this.reply = reply;
        }

        /** Its connection has closed: nobody waits for it. What has not begun never runs. */
        void cancel() {
            if (!over) {
                over = true;
                held--;
            }
        }
    }

    static final int FALL_MULTIPLE = 3;
    static final long FALL_MICROS = 3_000_000;
    private static final long SECOND = 1_000_000;

    final String id;
    final int zone;
    final int cell;
    private final VirtualTime time;
    private final SplittableRandom random;
    private final Ledger ledger;
    private final Cluster cluster;
    private final ClusterSettings settings;
    final double speed;
    private final ArrayDeque<Work> row = new ArrayDeque<>();
    /** Each kept key, and until when its copy is good. */
    private final Map<String, Long> copies = new HashMap<>();

    private final Map<String, List<Work>> fetching = new HashMap<>();
    private final ArrayDeque<Long> arrivals = new ArrayDeque<>();
    private Condition condition = Condition.UP;
    private int life;
    private int busy;
    private int held;
    private int connections;
    /** 0 for long ago. */
    long born;

    boolean draining;
    boolean gone;
    private double errorShare;
    private double slower = 1;
    long handshakes;
    long requests;

    CacheNode(String id, int zone, int cell, double speed, long born, Cluster cluster, SplittableRandom random) {
        this.id = id;
        this.zone = zone;
        this.cell = cell;
        this.speed = speed;
        this.born = born;
        this.cluster = cluster;
        this.time = cluster.time;
        this.ledger = cluster.ledger;
        this.settings = cluster.settings;
        this.random = random;
    }

    Condition condition() {
        return condition;
    }

    /** So often it answers with an error, and so many times as long its work takes, from now on. */
    void spoil(double errors, double factor) {
        errorShare = errors;
        slower = factor;
    }

    /** The process dies: connections are reset, new ones refused, copies lost. */
    void die() {
        reset(Condition.REFUSING);
    }

    /** Its machine says nothing more. */
    void silence() {
        condition = Condition.SILENT;
    }

    /** It speaks again, as it was. */
    void speak() {
        condition = Condition.UP;
    }

    /** A new process with no copies. */
    void restart() {
        reset(Condition.UP);
        born = time.now();
    }

    private void reset(Condition next) {
        life++;
        condition = next;
        row.clear();
        copies.clear();
        fetching.clear();
        arrivals.clear();
        busy = 0;
        held = 0;
        connections = 0;
        cluster.reset(this);
    }

    /** Whether another connection has a place; it is taken, and {@link #closed} gives it back. */
    boolean accept() {
        if (connections >= settings.nodeConnections()) {
            return false;
        }
        connections++;
        handshakes++;
        return true;
    }

    void closed(int ofLife) {
        if (ofLife == life) {
            connections--;
        }
    }

    int life() {
        return life;
    }

    /** The part of its work that it can do. */
    double warmth() {
        long age = time.now() - born;
        if (born == 0 || age >= settings.coldMicros()) {
            return 1;
        }
        return settings.coldShare() + (1 - settings.coldShare()) * age / settings.coldMicros();
    }

    /**
     * A request whose last byte has come.
     *
     * @param took what it takes a hand of usual speed
     * @param ran told when it takes effect
     */
    Work request(String key, boolean write, long took, Runnable ran, Reply reply) {
        requests++;
        Work work = new Work(key, write, took, ran, reply);
        if (overrun()) {
            return work;
        }
        if (draining || held >= settings.nodeHands() + settings.nodeRow()) {
            work.over = true;
            reply.turnedAway();
            return work;
        }
        held++;
        if (random.nextDouble() < errorShare) {
            time.after(took / 4, () -> end(work, life, () -> reply.error()));
            return work;
        }
        if (write) {
            int mine = life;
            ledger.write(() -> {
                if (!work.over && mine == life) {
                    ran.run(); // at the ledger, whoever waits for the answer
                    cluster.drop(key);
                    work.note = CacheStatus.NONE;
                    queue(work);
                }
            });
        } else if (settings.missHolds() || kept(key)) {
            queue(work);
        } else {
            fetch(work, this::queue);
        }
        return work;
    }

    private boolean kept(String key) {
        return copies.getOrDefault(key, 0L) > time.now();
    }

    private boolean overrun() {
        if (warmth() == 1) {
            return false;
        }
        arrivals.add(time.now());
        while (arrivals.peek() < time.now() - SECOND) {
            arrivals.poll();
        }
        if (arrivals.size() <= FALL_MULTIPLE * Math.max(1, capacity() * warmth())) {
            return false;
        }
        cluster.referee.fell(time.now(), id);
        die();
        int mine = life;
        time.after(FALL_MICROS, () -> {
            if (mine == life && !gone) {
                restart();
            }
        });
        return true;
    }

    /** Requests a second that it can do when it is warm. */
    double capacity() {
        return settings.nodeHands() * speed * SECOND / settings.workMicros();
    }

    /** Has the key fetched, or waits with whoever does; {@code then} goes on with each of them. */
    private void fetch(Work work, Consumer<Work> then) {
        List<Work> waiting = fetching.get(work.key);
        work.note = waiting == null ? CacheStatus.MISS : CacheStatus.MISS_FETCHING;
        if (waiting != null) {
            waiting.add(work);
            return;
        }
        waiting = new ArrayList<>(List.of(work));
        fetching.put(work.key, waiting);
        int mine = life;
        ledger.fetch(work.key, () -> {
            if (mine == life) {
                copies.put(work.key, time.now() + settings.keepMicros());
                fetching.remove(work.key).forEach(then);
            }
        });
    }

    /** It keeps this, from before the day began. */
    void keep(String key, long micros) {
        copies.put(key, time.now() + micros);
    }

    void drop(String key) {
        copies.remove(key);
    }

    private void queue(Work work) {
        if (work.over) {
            return;
        }
        row.add(work);
        pump();
    }

    private void pump() {
        while (busy < settings.nodeHands() && !row.isEmpty()) {
            Work work = row.poll();
            if (work.over) {
                continue;
            }
            busy++;
            if (!work.write && settings.missHolds() && !kept(work.key)) {
                fetch(work, this::carry); // its hand waits for the ledger with it
            } else {
                carry(work);
            }
        }
    }

    private void carry(Work work) {
        int mine = life;
        time.after((long) (work.took * slower / speed / warmth()), () -> {
            if (mine == life) {
                busy--;
                end(work, mine, () -> work.reply.served(work.note));
                pump();
            }
        });
        if (!work.write) {
            work.ran.run();
        }
    }

    private void end(Work work, int ofLife, Runnable answer) {
        if (!work.over && ofLife == life) {
            work.over = true;
            held--;
            answer.run();
        }
    }
}
