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
 * Connections to the cache nodes and the attempts on them: one request a connection at a time, written at
 * most once, and exactly one ending for each attempt. It never sends anything again by itself.
 */
public final class Upstream {
    /** An answer is kept whole up to here, so that it can be had elsewhere if it breaks; a longer one is passed on. */
    public static final int MAX_BUFFERED_BYTES = 64 << 10;
    /** A node that sends nothing more of an answer that is being passed on, for this long, has broken it off. */
    private static final long STALLED_MICROS = 10_000_000;
    /** StoredVersion connections are closed at this part of the cache nodes' own limit, so as never to race it. */
    static final int IDLE_PART = 2;
    /** An attempt that has waited for a connection for this part of its time goes back to whoever chose the node. */
    private static final int WAITING_PART = 2;
    /** Whom an attempt goes to. */
    public interface Peer {
        /** What its connections are kept under; another life of a server has another. */
        String host();

        /** Where it is dialled. */
        InetSocketAddress dial();
    }

    /** What cache nodes in service speak. */
    public static final Dialect CACHE_NODE_DIALECT = new Dialect() {
        @Override
        public Code code(HttpResponse answer) {
            int status = answer.status().code();
            boolean turnedAway = (status == 503 || status == 504)
                    && "1".equals(answer.headers().get("X-Unprocessed"));
            return status == 200 ? Code.OK : turnedAway ? Code.FULL : Code.ERROR;
        }

        @Override
        public CacheStatus note(HttpResponse answer) {
            String word = answer.headers().get("X-Lookup");
            return word == null
                    ? CacheStatus.NONE
                    : switch (word) {
                        case "hit" -> CacheStatus.HIT;
                        case "miss" -> CacheStatus.MISS;
                        case "pending" -> CacheStatus.MISS_FETCHING;
                        default -> CacheStatus.NONE;
                    };
        }
    };

    /** One attempt that is under way. On the event loop. */
    public interface Attempt {
        /** Gives it up. What was never written has never run, so it can be told apart from what might have. */
        void cancel();
    }

    /** Told once how an attempt ended; {@code answer} is there where one came whole, and is released afterwards. */
    public interface AttemptListener {
        void ended(Code code, CacheStatus note, FullHttpResponse answer);

        /**
         * Instead: the answer is too long to be kept and is passed on from here. Null where nobody wants it.
         *
         * @param length its bytes, -1 where they are not known ahead
         */
        default ResponseSink streaming(
                CacheStatus note, HttpResponse head, long length, ResponseSink.FlowControl flow) {
            return null;
        }
    }

    /** Whether a cache node, as last started, may be sent anything new. */
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
    /** Attempts that wait for a connection, in the order in which they came; some may have ended meanwhile. */
    private final Map<String, Deque<PendingAttempt>> waiting = new HashMap<>();

    private final Map<String, Traffic> traffic = new HashMap<>();
    long stalledMicros = STALLED_MICROS;
    /** Attempts whose last byte the system has taken, since the start. */
    long attemptsWritten;

    /**
     * Connections to peers, for one event loop.
     *
     * @param readiness whether a peer may be sent anything new
     * @param maxConnections open or coming up at a time
     * @param idleMillis after how long the peers close what is idle
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
        this.idleMillis = idleMillis / IDLE_PART;
        this.bootstrap = client(loop, connectMillis);
    }

    /** After how long a node has broken off an answer that is being passed on; asked for before anything is sent. */
    public Upstream stallTimeout(long micros) {
        stalledMicros = micros;
        return this;
    }

    public long attemptsWritten() {
        return attemptsWritten;
    }

    /** What passed on the sockets to a node; null where nothing did. */
    public Traffic traffic(String host) {
        return traffic.get(host);
    }

    /** Drops the counts of a node that has gone. */
    public void forget(String host) {
        traffic.remove(host);
        pools.removeNode(host);
    }

    /** Changes the bound on connections; those above it go as they fall idle. */
    public void limit(int connectionsAtMost) {
        pools.setLimit(connectionsAtMost);
    }

    /** Bounds the connections to one peer, where many processes share what it lets in. */
    public void limitPeer(String host, int connections) {
        pools.setNodeLimit(host, connections);
    }

    /** What all outgoing connections have in common. */
    public static Bootstrap client(EventLoop loop, long connectMillis) {
        return new Bootstrap()
                .group(loop)
                .channel(Transport.stream(loop))
                .option(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false))
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectMillis);
    }

    /**
     * Starts an attempt that is given up {@code waitMicros} from now; takes over the request's reference. One that
     * runs {@code once} at most is written with care, so that a dead connection seldom leaves open whether it ran.
     */
    public Attempt send(Peer node, FullHttpRequest request, long waitMicros, boolean once, AttemptListener ending) {
        return send(node, request, waitMicros, once, MAX_BUFFERED_BYTES, ending);
    }

    /** The same, with an answer of up to {@code kept} bytes kept whole. */
    public Attempt send(
            Peer node, FullHttpRequest request, long waitMicros, boolean once, int kept, AttemptListener ending) {
        return send(new PendingAttempt(this, node, request, once, kept, ending), waitMicros);
    }

    /**
     * Starts an attempt that may run again, and that is given up when nothing of its answer has come for so long, or after
     * {@code mostMicros} in all: an answer that is long on its way over a narrow link is no silence.
     */
    public Attempt sendWithIdleTimeout(
            Peer node, FullHttpRequest request, long silentMicros, long mostMicros, int kept, AttemptListener ending) {
        PendingAttempt attempt = new PendingAttempt(this, node, request, false, kept, ending);
        attempt.goesOnWhileItComes(silentMicros, now() + mostMicros);
        return send(attempt, silentMicros);
    }

    private Attempt send(PendingAttempt attempt, long waitMicros) {
        Peer node = attempt.node;
        attempt.limit = loop.schedule(attempt::limited, Math.max(0, waitMicros), TimeUnit.MICROSECONDS);
        UpstreamConnection connection = takeIdle(node.host(), attempt.once && dialect.mayDropIdleEarly());
        if (connection != null) {
            connection.carry(attempt);
        } else {
            waiting.computeIfAbsent(node.host(), host -> new ArrayDeque<>()).addLast(attempt);
            loop.schedule(attempt::tire, waitMicros / WAITING_PART, TimeUnit.MICROSECONDS);
            grow(node);
        }
        return attempt;
    }

    /**
     * Opens what the pool allows for those that wait; who can't have a connection is told so. One that fell idle as
     * another was coming up is taken first: where that other one fails, nothing else would tell who waits of it.
     */
    void grow(Peer node) {
        while (idle.containsKey(node.host()) && waits(node.host()) > pools.connectingCount(node.host())) {
            takeIdle(node.host(), false).carry(next(node.host()));
        }
        for (int waits = waits(node.host()); waits > 0; waits = waits(node.host())) {
            OpenDecision room = pools.decideOpen(now(), node.host(), waits);
            if (room == OpenDecision.NONE && !closeOneIdle()) {
                PendingAttempt next = next(node.host());
                passed(node.host()).noCapacity++;
                next.end(Code.NOT_SENT, CacheStatus.NONE, null); // our own bound says nothing of the node
            } else if (room == OpenDecision.WAIT) {
                long trial = pools.nextTrialAt(node.host()) - now();
                if (trial > 0) {
                    loop.schedule(() -> grow(node), trial, TimeUnit.MICROSECONDS);
                }
                return;
            } else {
                new UpstreamConnection(this, node).open();
            }
        }
    }

    /**
     * The longest idle one, null where none is: what a node sends behind an answer has had most time to close it; or the
     * {@code youngest}, which the node has had least time to forget.
     */
    private UpstreamConnection takeIdle(String host, boolean youngest) {
        Deque<UpstreamConnection> kept = idle.get(host);
        UpstreamConnection connection = kept == null ? null : youngest ? kept.pollLast() : kept.pollFirst();
        if (kept != null && kept.isEmpty()) {
            idle.remove(host);
        }
        return connection;
    }

    int waits(String host) {
        Deque<PendingAttempt> row = waiting.get(host);
        if (row == null) {
            return 0;
        }
        row.removeIf(PendingAttempt::isEnded);
        if (row.isEmpty()) {
            waiting.remove(host);
        }
        return row.size();
    }

    /** Takes out whoever has waited longest; null where nobody does. */
    PendingAttempt next(String host) {
        return waits(host) == 0 ? null : waiting.get(host).pollFirst();
    }

    static long now() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    }

    /** Closes the kept connections to a cache node; attempts that are out go on, those that wait in vain end. */
    public void closeIdle(String host) {
        Deque<UpstreamConnection> kept = idle.remove(host);
        if (kept != null) {
            kept.forEach(UpstreamConnection::close);
        }
        Deque<PendingAttempt> row = waiting.get(host);
        if (row != null) {
            List.copyOf(row).stream()
                    .filter(attempt -> !readiness.ready(attempt.node))
                    .forEach(PendingAttempt::cancel);
        }
    }

    public void closeAllIdle() {
        List.copyOf(idle.keySet()).forEach(this::closeIdle);
    }

    /** At the bound the node with most idle connections gives one up for what is needed now. */
    private boolean closeOneIdle() {
        String host = pools.nodeWithMostIdle();
        Deque<UpstreamConnection> kept = host == null ? null : idle.get(host);
        if (kept == null) {
            return false;
        }
        kept.getFirst().close(); // takes it out, and an empty row too
        return true;
    }

    // ---- what its connections use

    Traffic passed(String host) {
        return traffic.computeIfAbsent(host, name -> new Traffic());
    }

    /** It is free, and kept for the next attempt. */
    void idles(String host, UpstreamConnection connection) {
        idle.computeIfAbsent(host, name -> new ArrayDeque<>()).addLast(connection);
    }

    /** It waits again, before all others. */
    void waitsFirst(PendingAttempt attempt) {
        waiting.computeIfAbsent(attempt.node.host(), host -> new ArrayDeque<>()).addFirst(attempt);
        grow(attempt.node);
    }

    void idlesNoMore(String host, UpstreamConnection connection) {
        Deque<UpstreamConnection> kept = idle.get(host);
        if (kept != null && kept.remove(connection) && kept.isEmpty()) {
            idle.remove(host); // ids of nodes that have gone never come back
        }
    }
}
