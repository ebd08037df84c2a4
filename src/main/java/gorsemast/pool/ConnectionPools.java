package gorsemast.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The pools of connections to all nodes, under one bound.
 *
 * <p><b>Idea.</b> New connections are work that begets work: each costs its node a handshake and a place in its
 * table, and when a table is full a crowd that dials again at once keeps it full. So an attempt that finds no free
 * connection waits for the next one, freed or new, whichever is first; at most as many are opened at a time as are
 * open already, {@link #FIRST} at the least, which doubles a pool each round trip and no faster. What a node has let
 * in is learned: a connect that fails while others are open says that there is no room for more, not that the node
 * is down. From then on the pool stays at what it holds and tries one more after an interval that failures double up
 * to {@link #LONGEST_MICROS}, drawn with jitter so that many processes do not dial in step; each that comes up widens
 * it by one. This is the additive increase and multiplicative back-off of TCP's congestion control (RFC 5681),
 * applied to connections; the jitter is that of the project's sleepers.
 *
 * <p>A pool is kept at the number lately in use at once, which is forgotten by half each {@link #HALF_LIFE_MICROS}:
 * where a node closes connections often, the next request must not pay for it. Connections opened ahead are earned,
 * one for each {@link #USES_PER_SPARE} uses, so that nothing is dialled for a node that only fails.
 *
 * <p>When nearly all places are taken a node that holds more than twice its share gets no more while it has any.
 *
 * <p><b>When it could hurt.</b> A node whose listener drops every second connect for another reason than a full
 * table is held to fewer connections than it could serve, and requests wait for these.
 *
 * <p><b>Bounds.</b> O(1) a call but for {@link #nodeWithMostIdle}; one small record a node until {@link #removeNode}.
 */
public final class ConnectionPools {
    /** So many may come up at a time for a node to which none is open. */
    static final int FIRST = 4;

    static final long SHORTEST_MICROS = 100_000;
    static final long LONGEST_MICROS = 2_000_000;
    static final long HALF_LIFE_MICROS = 2_000_000;
    static final int USES_PER_SPARE = 5;
    private static final double SPARES_SAVED = 4;
    private static final double SCARCE = 0.9;

    /** What an attempt that found no free connection may do. */
    public enum OpenDecision {
        /** Open one more. */
        OPEN,
        /** Wait for one that is coming up or in use. */
        WAIT,
        /** All places are taken and none of them is this node's. */
        NONE
    }

    private static final class Pool {
        int open;
        int opening;
        int inUse;
        /** What the node has let in, once it has refused more. */
        int bound = Integer.MAX_VALUE;
        /** This process's part of what the node lets in from all callers together. */
        int part = Integer.MAX_VALUE;

        long interval;
        long trialAt;
        double usual;
        long usualAt;
        double spares;
        /** Its node has left; the last connection takes this record along. */
        boolean left;
    }

    private final Map<String, Pool> pools = new HashMap<>();
    private final SplittableRandom random;
    private int atMost;
    private int total;

    /** Pools that hold {@code atMost} connections together, coming up or open; at least 1. */
    public ConnectionPools(int atMost, SplittableRandom random) {
        this.random = random;
        setLimit(atMost);
    }

    /** Changes the bound; those above it stay until their owner closes them. */
    public void setLimit(int connections) {
        atMost = Math.max(1, connections);
    }

    /** Whether another may be opened for a node for which {@code waiting} attempts, this one among them, wait. */
    public OpenDecision decideOpen(long now, String node, int waiting) {
        Pool pool = pool(node);
        if (pool.opening >= waiting || pool.opening >= Math.max(FIRST, pool.open)) {
            return OpenDecision.WAIT;
        }
        int held = pool.open + pool.opening;
        if (held >= pool.part || held >= pool.bound && now < pool.trialAt) {
            return OpenDecision.WAIT;
        }
        if (total >= atMost) {
            return held > 0 ? OpenDecision.WAIT : OpenDecision.NONE;
        }
        if (held > 0 && total >= SCARCE * atMost && held >= Math.max(1, 2 * atMost / pools.size())) {
            return OpenDecision.WAIT;
        }
        return OpenDecision.OPEN;
    }

    /** Bounds the connections to one node, where many processes share what it lets in; at least 1. */
    public void setNodeLimit(String node, int connections) {
        pool(node).part = Math.max(1, connections);
    }

    /** When a node that lets no more in is to be tried again, in the caller's time; 0 where nothing is known. */
    public long nextTrialAt(String node) {
        Pool pool = pools.get(node);
        return pool == null || pool.bound == Integer.MAX_VALUE ? 0 : pool.trialAt;
    }

    /** Whether to open one before it is asked for; the caller opens it if so. */
    public boolean shouldOpenSpare(long now, String node) {
        Pool pool = pool(node);
        boolean wanted = pool.opening == 0
                && pool.spares >= 1
                && pool.open < Math.ceil(usual(now, pool) - 0.5)
                && decideOpen(now, node, 1) == OpenDecision.OPEN
                && total < SCARCE * atMost;
        if (wanted) {
            pool.spares--;
        }
        return wanted;
    }

    /** A connection is being opened. */
    public void connectStarted(long now, String node) {
        Pool pool = pool(node);
        pool.opening++;
        total++;
        if (pool.open + pool.opening > pool.bound) {
            pool.trialAt = now + pool.interval;
        }
    }

    /** It has come up. */
    public void connected(String node) {
        Pool pool = pool(node);
        pool.opening--;
        pool.open++;
        if (pool.open > pool.bound) {
            pool.bound = pool.open;
            pool.interval = SHORTEST_MICROS;
            pool.trialAt = 0;
        }
    }

    /** It has not come up. Returns whether that tells of the node itself, as nothing else is open to it. */
    public boolean connectFailed(long now, String node) {
        Pool pool = pool(node);
        pool.opening--;
        total--;
        drop(node, pool);
        if (pool.open == 0) {
            pool.bound = Integer.MAX_VALUE;
            return true;
        }
        pool.bound = pool.open;
        double next = Math.min(LONGEST_MICROS, Math.max(SHORTEST_MICROS, 2 * pool.interval));
        pool.interval = (long) (next * (0.7 + 0.6 * random.nextDouble()));
        pool.trialAt = now + pool.interval;
        return false;
    }

    /** An open one has closed; the attempt on it has been told of by {@link #released}, or will be. */
    public void closed(String node) {
        Pool pool = pool(node);
        pool.open--;
        total--;
        drop(node, pool);
    }

    /** An attempt goes onto a connection. */
    public void acquired(long now, String node) {
        Pool pool = pool(node);
        pool.inUse++;
        pool.usual = Math.max(usual(now, pool), pool.inUse);
        pool.usualAt = now;
    }

    /** The connection is free again. */
    public void released(String node) {
        Pool pool = pools.get(node);
        if (pool == null) {
            return; // it has left, and its last connection was closed under this attempt
        }
        pool.inUse--;
        pool.spares = Math.min(SPARES_SAVED, pool.spares + 1.0 / USES_PER_SPARE);
    }

    /** How many are open to a node. */
    public int openCount(String node) {
        Pool pool = pools.get(node);
        return pool == null ? 0 : pool.open;
    }

    /** How many are coming up for a node. */
    public int connectingCount(String node) {
        Pool pool = pools.get(node);
        return pool == null ? 0 : pool.opening;
    }

    /** How many are open or coming up in all. */
    public int total() {
        return total;
    }

    /** Whether the bound is reached. */
    public boolean isFull() {
        return total >= atMost;
    }

    /** The node with most connections that nobody uses, which can give one up; null where there is none. */
    public String nodeWithMostIdle() {
        String most = null;
        int idle = 0;
        for (Map.Entry<String, Pool> entry : pools.entrySet()) {
            int free = entry.getValue().open - entry.getValue().inUse;
            if (free > idle) {
                idle = free;
                most = entry.getKey();
            }
        }
        return most;
    }

    /** The node has left; what is still open to it is told of as before and forgotten with the last. */
    public void removeNode(String node) {
        Pool pool = pools.get(node);
        if (pool != null) {
            pool.left = true;
            drop(node, pool);
        }
    }

    private void drop(String node, Pool pool) {
        if (pool.left && pool.open + pool.opening == 0) {
            pools.remove(node);
        }
    }

    /** How many nodes are known. */
    int nodes() {
        return pools.size();
    }

    private Pool pool(String node) {
        return pools.computeIfAbsent(node, name -> new Pool());
    }

    private static double usual(long now, Pool pool) {
        return pool.usual * Math.pow(0.5, (double) (now - pool.usualAt) / HALF_LIFE_MICROS);
    }
}
