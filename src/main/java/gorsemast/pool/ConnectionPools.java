package gorsemast.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Decides when to open connections to the nodes: one pool for each node, and one limit for all.
 *
 * <p>Opening connections costs a node handshakes and table entries, and when its table is full, many clients that
 * reconnect at once keep it full. So an attempt that finds no free connection waits for the next one that is released
 * or comes up, whichever is first. At most as many are opened at a time as are open already, {@link #MIN_CONNECTING} at
 * the least, which doubles a pool each round trip and no faster. The number that a node accepts is learned: a connect
 * that fails while others are open means that the node accepts no more, not that it is down. From then on the pool
 * stays at its size and tries one more after an interval that failures double up to {@link #MAX_INTERVAL_MICROS}, with
 * jitter so that many processes don't reconnect in step; each connection that comes up raises the limit by one. This is
 * the additive increase and multiplicative back-off of TCP's congestion control (RFC 5681), applied to connections; the
 * jitter is that of the project's adaptive interval.
 *
 * <p>A pool is kept at the peak number in use, which decays by half each {@link #HALF_LIFE_MICROS}: where a node closes
 * connections often, the next request must not pay for it. Spare connections are opened only one for each {@link
 * #USES_PER_SPARE} uses, so that none are opened to a node that only fails.
 *
 * <p>When nearly the whole limit is in use, a node that holds more than twice its share gets no more while it has any.
 * At the limit an attempt waits for a connection in use, but not for one that streams a long response: that may take as
 * long as its client reads, so an idle connection to another node is closed for the attempt, or the next that is idle.
 *
 * <p>Drawback: a node whose listener drops every second connect for another reason than a full table is held to fewer
 * connections than it could serve, and requests wait for these.
 *
 * <p>O(1) a call but for {@link #nodeWithMostIdle}; one small record for each node until {@link #removeNode}.
 */
public final class ConnectionPools {
    /** Number of connections that may be opened at a time to a node to which none is open. */
    static final int MIN_CONNECTING = 4;

    static final long MIN_INTERVAL_MICROS = 100_000;
    static final long MAX_INTERVAL_MICROS = 2_000_000;
    static final long HALF_LIFE_MICROS = 2_000_000;
    static final int USES_PER_SPARE = 5;
    private static final double MAX_SPARE_CREDIT = 4;
    private static final double SCARCE_FRACTION = 0.9;

    /** What an attempt that found no free connection may do. */
    public enum OpenDecision {
        /** Open one more. */
        OPEN,
        /** Wait for one that is being opened or in use. */
        WAIT,
        /**
         * Open one in place of an idle one to another node, or wait until there is one: the limit is reached and all
         * connections to this node stream long responses.
         */
        REPLACE,
        /** The limit is reached and none of the connections goes to this node. */
        NONE
    }

    private static final class Pool {
        int open;
        int connecting;
        int inUse;
        /** Those in use that stream a long response. */
        int streaming;
        /** Learned number of connections that the node accepts; no limit until it has refused one. */
        int learnedLimit = Integer.MAX_VALUE;
        /** This process's share of the connections that the node accepts from all processes. */
        int sharedLimit = Integer.MAX_VALUE;

        long trialInterval;
        long nextTrial;
        double peakInUse;
        long peakAt;
        double spareCredit;
        /** Whether the node was removed; this record goes with its last connection. */
        boolean removed;
    }

    private final Map<String, Pool> pools = new HashMap<>();
    private final SplittableRandom random;
    private int limit;
    private int total;

    /** Creates pools that hold up to {@code limit} connections together, being opened or open; at least 1. */
    public ConnectionPools(int limit, SplittableRandom random) {
        this.random = random;
        setLimit(limit);
    }

    /** Changes the limit; connections above it stay until their owner closes them. */
    public void setLimit(int connections) {
        limit = Math.max(1, connections);
    }

    /** Decides whether to open another to a node for which {@code waiting} attempts wait, this one included. */
    public OpenDecision decideOpen(long now, String node, int waiting) {
        Pool pool = pool(node);
        if (pool.connecting >= waiting || pool.connecting >= Math.max(MIN_CONNECTING, pool.open)) {
            return OpenDecision.WAIT;
        }
        int held = pool.open + pool.connecting;
        if (held >= pool.sharedLimit || held >= pool.learnedLimit && now < pool.nextTrial) {
            return OpenDecision.WAIT;
        }
        if (total >= limit) {
            return decideAtLimit(held, pool.streaming);
        }
        if (held > 0 && total >= SCARCE_FRACTION * limit && held >= Math.max(1, 2 * limit / pools.size())) {
            return OpenDecision.WAIT;
        }
        return OpenDecision.OPEN;
    }

    private static OpenDecision decideAtLimit(int held, int streaming) {
        if (held == 0) {
            return OpenDecision.NONE;
        }
        return streaming == held ? OpenDecision.REPLACE : OpenDecision.WAIT;
    }

    /** Limits the connections to one node whose capacity many processes share; at least 1. */
    public void setNodeLimit(String node, int connections) {
        pool(node).sharedLimit = Math.max(1, connections);
    }

    /** Returns when to try one more connection to a node at its limit, in the caller's time; 0 if no limit is known. */
    public long nextTrialAt(String node) {
        Pool pool = pools.get(node);
        return pool == null || pool.learnedLimit == Integer.MAX_VALUE ? 0 : pool.nextTrial;
    }

    /** Returns whether to open a spare connection; the caller opens it if so. */
    public boolean shouldOpenSpare(long now, String node) {
        Pool pool = pool(node);
        boolean wanted = pool.connecting == 0
                && pool.spareCredit >= 1
                && pool.open < Math.ceil(decayedPeak(now, pool) - 0.5)
                && decideOpen(now, node, 1) == OpenDecision.OPEN
                && total < SCARCE_FRACTION * limit;
        if (wanted) {
            pool.spareCredit--;
        }
        return wanted;
    }

    /** Records that a connection is being opened. */
    public void connectStarted(long now, String node) {
        Pool pool = pool(node);
        pool.connecting++;
        total++;
        if (pool.open + pool.connecting > pool.learnedLimit) {
            pool.nextTrial = now + pool.trialInterval;
        }
    }

    /** Records that a connection was opened. */
    public void connected(String node) {
        Pool pool = pool(node);
        pool.connecting--;
        pool.open++;
        if (pool.open > pool.learnedLimit) {
            pool.learnedLimit = pool.open;
            pool.trialInterval = MIN_INTERVAL_MICROS;
            pool.nextTrial = 0;
        }
    }

    /** Records a failed connect. Returns whether it counts against the node itself, as nothing else is open to it. */
    public boolean connectFailed(long now, String node) {
        Pool pool = pool(node);
        pool.connecting--;
        total--;
        forgetIfUnused(node, pool);
        if (pool.open == 0) {
            pool.learnedLimit = Integer.MAX_VALUE;
            return true;
        }
        pool.learnedLimit = pool.open;
        double next = Math.min(MAX_INTERVAL_MICROS, Math.max(MIN_INTERVAL_MICROS, 2 * pool.trialInterval));
        pool.trialInterval = (long) (next * (0.7 + 0.6 * random.nextDouble()));
        pool.nextTrial = now + pool.trialInterval;
        return false;
    }

    /** Records that an open connection was closed; for its attempt {@link #released} is called before or after. */
    public void closed(String node) {
        Pool pool = pool(node);
        pool.open--;
        total--;
        forgetIfUnused(node, pool);
    }

    /** Records that an attempt uses a connection. */
    public void acquired(long now, String node) {
        Pool pool = pool(node);
        pool.inUse++;
        pool.peakInUse = Math.max(decayedPeak(now, pool), pool.inUse);
        pool.peakAt = now;
    }

    /** Records that an attempt no longer uses its connection. */
    public void released(String node) {
        Pool pool = pools.get(node);
        if (pool == null) {
            return; // the node was removed, and its last connection was closed during this attempt
        }
        pool.inUse--;
        pool.spareCredit = Math.min(MAX_SPARE_CREDIT, pool.spareCredit + 1.0 / USES_PER_SPARE);
    }

    /** Records that a connection in use has begun to stream a long response. */
    public void streamStarted(String node) {
        pool(node).streaming++;
    }

    /** Records that a response is no longer streamed; {@link #released} is called too. */
    public void streamEnded(String node) {
        Pool pool = pools.get(node);
        if (pool != null) {
            pool.streaming--;
        }
    }

    /** Returns the number of open connections to a node. */
    public int openCount(String node) {
        Pool pool = pools.get(node);
        return pool == null ? 0 : pool.open;
    }

    /** Returns the number of connections being opened to a node. */
    public int connectingCount(String node) {
        Pool pool = pools.get(node);
        return pool == null ? 0 : pool.connecting;
    }

    /** Returns the number of connections open or being opened to all nodes. */
    public int total() {
        return total;
    }

    /** Returns whether the limit is reached. */
    public boolean isFull() {
        return total >= limit;
    }

    /** Returns the node with the most unused connections, one of which can be closed; null if there is none. */
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

    /** Removes a node; its open connections are reported as before, and it is forgotten with the last of them. */
    public void removeNode(String node) {
        Pool pool = pools.get(node);
        if (pool != null) {
            pool.removed = true;
            forgetIfUnused(node, pool);
        }
    }

    private void forgetIfUnused(String node, Pool pool) {
        if (pool.removed && pool.open + pool.connecting == 0) {
            pools.remove(node);
        }
    }

    /** Returns the number of known nodes. */
    int nodes() {
        return pools.size();
    }

    private Pool pool(String node) {
        return pools.computeIfAbsent(node, name -> new Pool());
    }

    private static double decayedPeak(long now, Pool pool) {
        return pool.peakInUse * Math.pow(0.5, (double) (now - pool.peakAt) / HALF_LIFE_MICROS);
    }
}
