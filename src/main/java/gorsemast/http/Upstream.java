package gorsemast.http;

import anisebend.Balancer.CacheStatus;
import anisebend.Balancer.Code;
import gorsemast.pool.ConnectionPools;
import gorsemast.pool.ConnectionPools.OpenDecision;
import gorsemast.transport.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Connections to servers and the attempts on them: one request per connection at a time, written at most once, and
 * exactly one ending for each attempt. It never retries by itself.
 */
public final class Upstream {
    /**
     * Responses up to this size are buffered, so that another server can be asked if one breaks off; longer ones are
     * streamed.
     */
    public static final int MAX_BUFFERED_BYTES = 64 << 10;
    /** A streamed response without new data for this long is treated as aborted. */
    private static final long STALL_TIMEOUT_MICROS = 10_000_000;
    /** Idle connections are closed after this fraction of the servers' own idle timeout, to avoid racing with it. */
    static final int IDLE_TIMEOUT_DIVISOR = 2;
    /**
     * An attempt that has waited for a connection for this fraction of its time is returned to the caller, who may
     * choose another server.
     */
    private static final int WAIT_TIMEOUT_DIVISOR = 2;
    /** The destination of an attempt. */
    public interface Peer {
        /** The key of its connections; another instance of a server has a different one. */
        String host();

        /** The address to connect to. */
        InetSocketAddress dial();
    }

    /** The dialect of the older proxy's cache nodes. */
    public static final Dialect CACHE_NODE_DIALECT = new Dialect() {
        @Override
        public Code code(HttpResponse answer) {
            int status = answer.status().code();
            boolean notExecuted = (status == 503 || status == 504)
                    && "1".equals(answer.headers().get("X-Unprocessed"));
            return status == 200 ? Code.OK : notExecuted ? Code.FULL : Code.ERROR;
        }

        @Override
        public CacheStatus cacheStatus(HttpResponse answer) {
            String lookup = answer.headers().get("X-Lookup");
            return lookup == null
                    ? CacheStatus.NONE
                    : switch (lookup) {
                        case "hit" -> CacheStatus.HIT;
                        case "miss" -> CacheStatus.MISS;
                        case "pending" -> CacheStatus.MISS_FETCHING;
                        default -> CacheStatus.NONE;
                    };
        }
    };

    /** An attempt in progress. Used on the event loop. */
    public interface Attempt {
        /**
         * Cancels the attempt. The outcome distinguishes attempts that were never written, and so have not run, from
         * those that may have run.
         */
        void cancel();
    }

    /**
     * Receives the outcome of an attempt, exactly once. The answer is null unless a complete one arrived, and is
     * released after the call.
     */
    public interface AttemptListener {
        void ended(Code code, CacheStatus cacheStatus, FullHttpResponse answer);

        /**
         * Called instead if the response is too long to be buffered and is streamed from here on. Returns null to
         * discard it.
         *
         * @param length its bytes, -1 where they are not known in advance
         */
        default ResponseSink streaming(
                CacheStatus cacheStatus, HttpResponse head, long length, ResponseSink.FlowControl flow) {
            return null;
        }
    }

    /** Whether an instance of a server may be sent new requests. */
    public interface Readiness {
        boolean ready(Peer node);
    }

    final EventLoop loop;
    final Bootstrap bootstrap;
    final Readiness readiness;
    final Dialect dialect;
    final ConnectionPools pools;
    final long idleMillis;
    private final Map<String, Deque<UpstreamConnection>> idle = new HashMap<>();
    /** Attempts that wait for a connection, in order of arrival; some may have ended meanwhile. */
    private final Map<String, Deque<PendingAttempt>> waiting = new HashMap<>();

    private final Map<String, Traffic> traffic = new HashMap<>();
    long stallTimeoutMicros = STALL_TIMEOUT_MICROS;
    /** Attempts since the start whose last byte the system has accepted. */
    long attemptsWritten;

    /**
     * Creates connections to peers for one event loop.
     *
     * @param readiness whether a peer may be sent new requests
     * @param maxConnections open or connecting at a time
     * @param idleMillis after how long the peers close idle connections
     */
    public Upstream(
            EventLoop loop,
            Dialect dialect,
            Readiness readiness,
            int maxConnections,
            long idleMillis,
            long connectMillis,
            long seed) {
        this.loop = loop;
        this.dialect = dialect;
        this.readiness = readiness;
        this.pools = new ConnectionPools(maxConnections, new SplittableRandom(seed));
        this.idleMillis = idleMillis / IDLE_TIMEOUT_DIVISOR;
        this.bootstrap = client(loop, connectMillis);
    }

    /**
     * Sets after how long without data a streamed response is treated as aborted. Must be called before the first
     * request.
     */
    public Upstream stallTimeout(long micros) {
        stallTimeoutMicros = micros;
        return this;
    }

    public long attemptsWritten() {
        return attemptsWritten;
    }

    /** Counts for a node; null if it was never used. */
    public Traffic traffic(String host) {
        return traffic.get(host);
    }

    /** Drops the counts of a removed node. */
    public void removeNode(String host) {
        traffic.remove(host);
        pools.removeNode(host);
    }

    /** Changes the limit on connections; connections above it are closed as they become idle. */
    public void setLimit(int connectionsAtMost) {
        pools.setLimit(connectionsAtMost);
    }

    /** Limits the connections to one peer, where many processes share its capacity. */
    public void limitPeer(String host, int connections) {
        pools.setNodeLimit(host, connections);
    }

    /** The bootstrap shared by all outgoing connections. */
    public static Bootstrap client(EventLoop loop, long connectMillis) {
        Bootstrap connections = new Bootstrap()
                .group(loop)
                .channel(Transport.stream(loop))
                .option(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false))
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectMillis);
        Transport.limitUnsent(connections, loop);
        return connections;
    }

    /**
     * Starts an attempt that times out after {@code waitMicros}, and takes over the request's reference. If it may
     * run only {@code once}, it is written so that a dead connection seldom leaves open whether it ran.
     */
    public Attempt send(Peer node, FullHttpRequest request, long waitMicros, boolean once, AttemptListener listener) {
        return send(node, request, waitMicros, once, MAX_BUFFERED_BYTES, listener);
    }

    /** Starts an attempt whose response is buffered up to {@code bufferLimit} bytes. */
    public Attempt send(
            Peer node,
            FullHttpRequest request,
            long waitMicros,
            boolean once,
            int bufferLimit,
            AttemptListener listener) {
        return send(new PendingAttempt(this, node, request, once, bufferLimit, listener), waitMicros);
    }

    /**
     * Starts an attempt that may run again. It ends when nothing of its response has arrived for {@code
     * idleTimeoutMicros}, or after {@code maxMicros} in all: a long response over a slow link is not a timeout.
     */
    public Attempt sendWithIdleTimeout(
            Peer node,
            FullHttpRequest request,
            long idleTimeoutMicros,
            long maxMicros,
            int bufferLimit,
            AttemptListener listener) {
        PendingAttempt attempt = new PendingAttempt(this, node, request, false, bufferLimit, listener);
        attempt.extendWhileReceiving(idleTimeoutMicros, now() + maxMicros);
        return send(attempt, idleTimeoutMicros);
    }

    private Attempt send(PendingAttempt attempt, long waitMicros) {
        Peer node = attempt.node;
        attempt.timeout = loop.schedule(attempt::timeoutReached, Math.max(0, waitMicros), TimeUnit.MICROSECONDS);
        UpstreamConnection connection = takeIdle(node.host(), attempt.atMostOnce && dialect.mayDropIdleEarly());
        if (connection != null) {
            connection.assign(attempt);
        } else {
            waiting.computeIfAbsent(node.host(), host -> new ArrayDeque<>()).addLast(attempt);
            loop.schedule(attempt::giveUpWaiting, waitMicros / WAIT_TIMEOUT_DIVISOR, TimeUnit.MICROSECONDS);
            openForWaiting(node);
        }
        return attempt;
    }

    /**
     * Opens the connections that the pool allows for waiting attempts, and ends those that can't have one. A
     * connection that became idle while another was connecting is used first: if the other connect fails, nothing
     * else would notify the attempts waiting for it.
     */
    void openForWaiting(Peer node) {
        while (idle.containsKey(node.host()) && waitingCount(node.host()) > pools.connectingCount(node.host())) {
            takeIdle(node.host(), false).assign(pollWaiting(node.host()));
        }
        for (int waitingNow = waitingCount(node.host()); waitingNow > 0; waitingNow = waitingCount(node.host())) {
            OpenDecision room = pools.decideOpen(now(), node.host(), waitingNow);
            if (room == OpenDecision.NONE && !closeOneIdle()) {
                PendingAttempt next = pollWaiting(node.host());
                trafficOf(node.host()).noCapacity++;
                next.end(Code.NOT_SENT, CacheStatus.NONE, null); // this process's own limit says nothing about the node
            } else if (room == OpenDecision.WAIT || room == OpenDecision.REPLACE && !closeOneIdle()) {
                long trial = pools.nextTrialAt(node.host()) - now();
                if (trial > 0) {
                    loop.schedule(() -> openForWaiting(node), trial, TimeUnit.MICROSECONDS);
                }
                return;
            } else {
                new UpstreamConnection(this, node).open();
            }
        }
    }

    /**
     * The longest idle connection, null if there is none: its server has had most time to close it. Or the {@code
     * mostRecent} one, which the server has had least time to drop.
     */
    private UpstreamConnection takeIdle(String host, boolean mostRecent) {
        Deque<UpstreamConnection> idleConnections = idle.get(host);
        UpstreamConnection connection =
                idleConnections == null ? null : mostRecent ? idleConnections.pollLast() : idleConnections.pollFirst();
        if (idleConnections != null && idleConnections.isEmpty()) {
            idle.remove(host);
        }
        return connection;
    }

    int waitingCount(String host) {
        Deque<PendingAttempt> queue = waiting.get(host);
        if (queue == null) {
            return 0;
        }
        queue.removeIf(PendingAttempt::isEnded);
        if (queue.isEmpty()) {
            waiting.remove(host);
        }
        return queue.size();
    }

    /** Removes the attempt that has waited longest; null if none waits. */
    PendingAttempt pollWaiting(String host) {
        return waitingCount(host) == 0 ? null : waiting.get(host).pollFirst();
    }

    static long now() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    }

    /**
     * Closes the idle connections to a node. Attempts in progress continue; waiting ones end if the node accepts
     * nothing new.
     */
    public void closeIdle(String host) {
        Deque<UpstreamConnection> idleConnections = idle.remove(host);
        if (idleConnections != null) {
            idleConnections.forEach(UpstreamConnection::close);
        }
        Deque<PendingAttempt> queue = waiting.get(host);
        if (queue != null) {
            List.copyOf(queue).stream()
                    .filter(attempt -> !readiness.ready(attempt.node))
                    .forEach(PendingAttempt::cancel);
        }
    }

    public void closeAllIdle() {
        List.copyOf(idle.keySet()).forEach(this::closeIdle);
    }

    /** At the connection limit, closes one connection of the node with most idle ones. */
    private boolean closeOneIdle() {
        String host = pools.nodeWithMostIdle();
        Deque<UpstreamConnection> idleConnections = host == null ? null : idle.get(host);
        if (idleConnections == null) {
            return false;
        }
        idleConnections.getFirst().close(); // also removes it from the map, and the empty queue too
        return true;
    }

    // ---- used by the connections

    Traffic trafficOf(String host) {
        return traffic.computeIfAbsent(host, name -> new Traffic());
    }

    /** Keeps a free connection for the next attempt. */
    void addIdle(String host, UpstreamConnection connection) {
        idle.computeIfAbsent(host, name -> new ArrayDeque<>()).addLast(connection);
        if (pools.isFull() && !waiting.isEmpty()) {
            List.copyOf(waiting.keySet()).forEach(this::replaceIdle);
        }
    }

    /** A connection to the node has begun to stream: attempts that wait for it may have to wait long. */
    void streamStarted(Peer node) {
        pools.streamStarted(node.host());
        replaceIdle(node.host());
    }

    /** Opens a connection in place of an idle one for attempts that wait behind long responses. */
    private void replaceIdle(String host) {
        int attempts = waitingCount(host);
        if (attempts > 0 && pools.decideOpen(now(), host, attempts) == OpenDecision.REPLACE) {
            openForWaiting(waiting.get(host).peekFirst().node);
        }
    }

    /** Queues an attempt again, ahead of all others. */
    void requeueFirst(PendingAttempt attempt) {
        waiting.computeIfAbsent(attempt.node.host(), host -> new ArrayDeque<>()).addFirst(attempt);
        openForWaiting(attempt.node);
    }

    void removeIdle(String host, UpstreamConnection connection) {
        Deque<UpstreamConnection> idleConnections = idle.get(host);
        if (idleConnections != null && idleConnections.remove(connection) && idleConnections.isEmpty()) {
            idle.remove(host); // ids of removed nodes are never used again
        }
    }
}
