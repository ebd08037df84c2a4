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
 * Models one cache node: workers with a bounded queue, connection slots, cached entries that expire, and faults.
 *
 * <p>A read of a cached key occupies a worker. A miss first waits for the origin, together with all other reads of that
 * key, and in some installations occupies its worker meanwhile. A write goes to the origin and invalidates every cached
 * entry of its key. A request that finds the queue full is rejected without being executed. A node that has just
 * started has only part of its capacity, which grows with time. A cold node that receives more than
 * {@value #OVERLOAD_MULTIPLE} times its current capacity within a second crashes: it refuses connections for
 * {@value #OVERLOAD_DOWN_MICROS} microseconds and is then cold again.
 *
 * <p>O(1) per event. Single-threaded.
 */
final class CacheNode {
    /** State of a node and its network, as proxies observe it. */
    enum Condition {
        UP,
        REFUSING,
        SILENT
    }

    /** Receives the response of a node, with the cache status of a read. */
    interface Reply {
        void served(CacheStatus cacheStatus);

        void error();

        void rejected();
    }

    /** One request that a node has received. */
    final class PendingRequest {
        final String key;
        final boolean write;
        private final long serviceMicros;
        private final Reply reply;
        private final Runnable onExecuted;
        private boolean finished;
        private CacheStatus cacheStatus = CacheStatus.HIT;

        private PendingRequest(String key, boolean write, long serviceMicros, Runnable onExecuted, Reply reply) {
            this.key = key;
            this.write = write;
            this.serviceMicros = serviceMicros;
            this.onExecuted = onExecuted;
            this.reply = reply;
        }

        /** Called when its connection has closed. A request that has not begun is never executed. */
        void cancel() {
            if (!finished) {
                finished = true;
                pendingCount--;
            }
        }
    }

    static final int OVERLOAD_MULTIPLE = 3;
    static final long OVERLOAD_DOWN_MICROS = 3_000_000;
    private static final long SECOND = 1_000_000;

    final String id;
    final int zone;
    final int cell;
    private final VirtualTime time;
    private final SplittableRandom random;
    private final Origin origin;
    private final Cluster cluster;
    private final ClusterSettings settings;
    final double speed;
    private final ArrayDeque<PendingRequest> queue = new ArrayDeque<>();
    /** When the cached entry of each key expires. */
    private final Map<String, Long> expiryByKey = new HashMap<>();

    private final Map<String, List<PendingRequest>> fetching = new HashMap<>();
    private final ArrayDeque<Long> arrivals = new ArrayDeque<>();
    private Condition condition = Condition.UP;
    private int incarnation;
    private int busyWorkers;
    private int pendingCount;
    private int openConnections;
    /** 0 if it started before the simulation. */
    long startedAt;

    boolean draining;
    boolean removed;
    private double errorShare;
    private double slowdown = 1;
    long handshakes;
    long requests;

    CacheNode(String id, int zone, int cell, double speed, long startedAt, Cluster cluster, SplittableRandom random) {
        this.id = id;
        this.zone = zone;
        this.cell = cell;
        this.speed = speed;
        this.startedAt = startedAt;
        this.cluster = cluster;
        this.time = cluster.time;
        this.origin = cluster.origin;
        this.settings = cluster.settings;
        this.random = random;
    }

    Condition condition() {
        return condition;
    }

    /** From now on, this share of requests fails and service takes this many times as long. */
    void degrade(double errorShare, double slowdown) {
        this.errorShare = errorShare;
        this.slowdown = slowdown;
    }

    /** Crashes the process: connections are reset, new ones are refused, and the cache is lost. */
    void crash() {
        reset(Condition.REFUSING);
    }

    /** Makes its machine silent. */
    void becomeUnreachable() {
        condition = Condition.SILENT;
    }

    /** Makes its machine reachable again with its state intact. */
    void becomeReachable() {
        condition = Condition.UP;
    }

    /** Starts a new process with an empty cache. */
    void restart() {
        reset(Condition.UP);
        startedAt = time.now();
    }

    private void reset(Condition next) {
        incarnation++;
        condition = next;
        queue.clear();
        expiryByKey.clear();
        fetching.clear();
        arrivals.clear();
        busyWorkers = 0;
        pendingCount = 0;
        openConnections = 0;
        cluster.resetConnections(this);
    }

    /** Takes a connection slot if one is free; {@link #connectionClosed} releases it. */
    boolean acceptConnection() {
        if (openConnections >= settings.nodeConnections()) {
            return false;
        }
        openConnections++;
        handshakes++;
        return true;
    }

    void connectionClosed(int ofIncarnation) {
        if (ofIncarnation == incarnation) {
            openConnections--;
        }
    }

    int incarnation() {
        return incarnation;
    }

    /** Share of its full capacity that it has now. */
    double warmUpShare() {
        long age = time.now() - startedAt;
        if (startedAt == 0 || age >= settings.coldMicros()) {
            return 1;
        }
        return settings.coldShare() + (1 - settings.coldShare()) * age / settings.coldMicros();
    }

    /**
     * Handles a request that has arrived completely.
     *
     * @param serviceMicros service time at a worker of normal speed
     * @param onExecuted called when the request takes effect
     */
    PendingRequest request(String key, boolean write, long serviceMicros, Runnable onExecuted, Reply reply) {
        requests++;
        PendingRequest work = new PendingRequest(key, write, serviceMicros, onExecuted, reply);
        if (crashIfOverloaded()) {
            return work;
        }
        if (draining || pendingCount >= settings.nodeWorkers() + settings.nodeQueue()) {
            work.finished = true;
            reply.rejected();
            return work;
        }
        pendingCount++;
        if (random.nextDouble() < errorShare) {
            time.after(serviceMicros / 4, () -> finish(work, incarnation, () -> reply.error()));
            return work;
        }
        if (write) {
            int mine = incarnation;
            origin.write(() -> {
                if (!work.finished && mine == incarnation) {
                    onExecuted.run(); // takes effect at the origin even if nobody waits for the response
                    cluster.invalidateEverywhere(key);
                    work.cacheStatus = CacheStatus.NONE;
                    enqueue(work);
                }
            });
        } else if (settings.missHoldsWorker() || isCached(key)) {
            enqueue(work);
        } else {
            fetch(work, this::enqueue);
        }
        return work;
    }

    private boolean isCached(String key) {
        return expiryByKey.getOrDefault(key, 0L) > time.now();
    }

    private boolean crashIfOverloaded() {
        if (warmUpShare() == 1) {
            return false;
        }
        arrivals.add(time.now());
        while (arrivals.peek() < time.now() - SECOND) {
            arrivals.poll();
        }
        if (arrivals.size() <= OVERLOAD_MULTIPLE * Math.max(1, requestsPerSecond() * warmUpShare())) {
            return false;
        }
        cluster.checker.overloadedWhileCold(time.now(), id);
        crash();
        int mine = incarnation;
        time.after(OVERLOAD_DOWN_MICROS, () -> {
            if (mine == incarnation && !removed) {
                restart();
            }
        });
        return true;
    }

    /** Its capacity in requests per second when warm. */
    double requestsPerSecond() {
        return settings.nodeWorkers() * speed * SECOND / settings.workMicros();
    }

    /** Fetches the key, or joins a fetch in progress; {@code then} receives each waiting request. */
    private void fetch(PendingRequest work, Consumer<PendingRequest> then) {
        List<PendingRequest> waiting = fetching.get(work.key);
        work.cacheStatus = waiting == null ? CacheStatus.MISS : CacheStatus.MISS_FETCHING;
        if (waiting != null) {
            waiting.add(work);
            return;
        }
        waiting = new ArrayList<>(List.of(work));
        fetching.put(work.key, waiting);
        int mine = incarnation;
        origin.fetch(work.key, () -> {
            if (mine == incarnation) {
                expiryByKey.put(work.key, time.now() + settings.cacheTtlMicros());
                fetching.remove(work.key).forEach(then);
            }
        });
    }

    /** Adds a cached entry from before the run. */
    void preload(String key, long micros) {
        expiryByKey.put(key, time.now() + micros);
    }

    void invalidate(String key) {
        expiryByKey.remove(key);
    }

    private void enqueue(PendingRequest work) {
        if (work.finished) {
            return;
        }
        queue.add(work);
        dispatchQueued();
    }

    private void dispatchQueued() {
        while (busyWorkers < settings.nodeWorkers() && !queue.isEmpty()) {
            PendingRequest work = queue.poll();
            if (work.finished) {
                continue;
            }
            busyWorkers++;
            if (!work.write && settings.missHoldsWorker() && !isCached(work.key)) {
                fetch(work, this::execute); // the worker stays occupied while the origin responds
            } else {
                execute(work);
            }
        }
    }

    private void execute(PendingRequest work) {
        int mine = incarnation;
        time.after((long) (work.serviceMicros * slowdown / speed / warmUpShare()), () -> {
            if (mine == incarnation) {
                busyWorkers--;
                finish(work, mine, () -> work.reply.served(work.cacheStatus));
                dispatchQueued();
            }
        });
        if (!work.write) {
            work.onExecuted.run();
        }
    }

    private void finish(PendingRequest work, int ofIncarnation, Runnable answer) {
        if (!work.finished && ofIncarnation == incarnation) {
            work.finished = true;
            pendingCount--;
            answer.run();
        }
    }
}
