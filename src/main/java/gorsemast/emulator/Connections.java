package gorsemast.emulator;

import anisebend.Balancer.CacheStatus;
import anisebend.Balancer.Code;
import anisebend.Balancer.Effect;
import anisebend.Balancer.Server;
import gorsemast.emulator.Tally.Count;
import gorsemast.emulator.Workload.ClientRequest;
import gorsemast.pool.ConnectionPools;
import gorsemast.pool.ConnectionPools.OpenDecision;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A proxy's connections to cache nodes, governed by the real {@link ConnectionPools}. Mirrors {@code net.Upstream}: each
 * connection carries one request at a time, which is written at most once; nothing is retried here. O(1) per event apart
 * from waiting attempts.
 */
final class Connections {
    private static final long CONNECT_TIMEOUT_MICROS = 250_000;

    /** A connection; carries at most one attempt. */
    final class Connection {
        final Server node;
        private final CacheNode peer;
        private int peerIncarnation;
        private boolean closed;
        Attempt attempt;

        private Connection(Server node) {
            this.node = node;
            this.peer = cluster.node(node.id());
        }

        private void open() {
            pools.connectStarted(time.now(), node.id());
            cluster.tally.add(time.now(), Count.HANDSHAKES);
            time.after(cluster.oneWayMicros(proxy.zone, peer), () -> {
                if (!cluster.reaches(proxy.zone, peer)) {
                    afterIfRunning(CONNECT_TIMEOUT_MICROS, this::failed);
                } else if (peer.condition() != CacheNode.Condition.UP || !peer.acceptConnection()) {
                    afterIfRunning(cluster.oneWayMicros(proxy.zone, peer), this::failed);
                } else {
                    peerIncarnation = peer.incarnation();
                    afterIfRunning(
                            cluster.oneWayMicros(proxy.zone, peer) + settings.handshakeMicros(), this::established);
                }
            });
        }

        private void established() {
            if (closed || peer.incarnation() != peerIncarnation) {
                failed();
                return;
            }
            established.add(this);
            pools.connected(node.id());
            assignOrIdle(0);
        }

        /** See {@code net.Upstream.Connection.failed}. */
        private void failed() {
            closed = true;
            cluster.tally.add(time.now(), Count.CONNECTS_FAILED);
            if (pools.connectFailed(time.now(), node.id())) {
                Attempt first = pollWaiting(node.id());
                if (first != null) {
                    first.end(Code.CONNECT_FAILED, CacheStatus.NONE);
                }
                while (waitingCount(node.id()) > pools.connectingCount(node.id())) {
                    pollWaiting(node.id()).end(Code.NOT_SENT, CacheStatus.NONE);
                }
            }
            openForWaiting(node);
        }

        private void assignOrIdle(int reservedForConnecting) {
            if (!proxy.ready(node)) {
                close();
                closeIdle(node.id());
                openForWaiting(node);
            } else if (waitingCount(node.id()) > reservedForConnecting) {
                write(pollWaiting(node.id()));
            } else {
                idle.computeIfAbsent(node.id(), id -> new ArrayDeque<>()).addLast(this);
            }
        }

        private void write(Attempt next) {
            attempt = next;
            next.connection = this;
            pools.acquired(time.now(), node.id());
            if (!proxy.ready(next.node)) {
                next.end(Code.NOT_SENT, CacheStatus.NONE);
                return;
            }
            next.written = true;
            cluster.checker.wroteToDraining(
                    time.now(), "proxy " + proxy.number, node.id(), proxy.drainReceivedAt(node.id()));
            cluster.tally.add(time.now(), Count.CROSSED, proxy.zone == peer.zone ? 0 : 1);
            time.after(cluster.oneWayMicros(proxy.zone, peer), () -> deliver(next));
        }

        /** Delivers a written request, whatever has become of its sender, unless the connection has been closed. */
        private void deliver(Attempt sent) {
            if (sent.ended || peer.incarnation() != peerIncarnation || !cluster.reaches(proxy.zone, peer)) {
                return;
            }
            boolean responseLost = cluster.losesResponse();
            if (cluster.breaksConnection()) {
                afterIfRunning(cluster.oneWayMicros(proxy.zone, peer), () -> sent.end(Code.RESET, CacheStatus.NONE));
                return;
            }
            ClientRequest ask = sent.request;
            sent.work = peer.request(
                    ask.key,
                    ask.rules().effect() != Effect.SAFE,
                    ask.serviceMicros,
                    () -> cluster.checker.executed(
                            time.now(),
                            ask.id,
                            ask.rules().effect(),
                            ask.rules().deduplicationWindow()),
                    new CacheNode.Reply() {
                        @Override
                        public void served(CacheStatus note) {
                            respond(Code.OK, note);
                        }

                        @Override
                        public void error() {
                            respond(Code.ERROR, CacheStatus.NONE);
                        }

                        @Override
                        public void rejected() {
                            respond(Code.FULL, CacheStatus.NONE);
                        }

                        private void respond(Code code, CacheStatus cacheStatus) {
                            if (!responseLost && cluster.reaches(proxy.zone, peer)) {
                                afterIfRunning(
                                        cluster.oneWayMicros(proxy.zone, peer), () -> sent.end(code, cacheStatus));
                            }
                        }
                    });
        }

        private void close() {
            if (!closed) {
                closed = true;
                Deque<Connection> idleHere = idle.get(node.id());
                if (idleHere != null) {
                    idleHere.remove(this);
                }
                established.remove(this);
                pools.closed(node.id());
                time.after(cluster.oneWayMicros(proxy.zone, peer), () -> peer.connectionClosed(peerIncarnation));
            }
        }
    }

    private final SimulatedProxy proxy;
    private final Cluster cluster;
    private final VirtualTime time;
    private final ClusterSettings settings;
    private final int incarnation;
    private final ConnectionPools pools;
    private final Map<String, Deque<Connection>> idle = new HashMap<>();
    private final Map<String, Deque<Attempt>> waiting = new HashMap<>();
    private final Set<Connection> established = new LinkedHashSet<>();

    Connections(SimulatedProxy proxy, Cluster cluster) {
        this.proxy = proxy;
        this.cluster = cluster;
        this.time = cluster.time;
        this.settings = cluster.settings;
        this.incarnation = proxy.incarnation();
        this.pools = new ConnectionPools(
                settings.proxyConnections(), new SplittableRandom(cluster.seed(proxy.number, incarnation)));
    }

    private void afterIfRunning(long micros, Runnable action) {
        time.after(micros, () -> {
            if (proxy.isRunning(incarnation)) {
                action.run();
            }
        });
    }

    Attempt send(Server node, ClientRequest request, long waitMicros, Attempt.OutcomeListener listener) {
        Attempt attempt = new Attempt(node, request, this, listener);
        afterIfRunning(waitMicros, attempt::expire);
        Deque<Connection> kept = idle.get(node.id());
        Connection connection = kept == null ? null : kept.pollFirst();
        if (connection != null) {
            connection.write(attempt);
        } else {
            waiting.computeIfAbsent(node.id(), id -> new ArrayDeque<>()).addLast(attempt);
            afterIfRunning(waitMicros / 2, attempt::giveUpWaiting);
            openForWaiting(node);
        }
        return attempt;
    }

    int openCount(String node) {
        return pools.openCount(node);
    }

    /** Handles the end of an attempt: only a complete response leaves its connection reusable. */
    void attemptEnded(Attempt attempt, Code code) {
        Connection connection = attempt.connection;
        if (connection == null) {
            return;
        }
        connection.attempt = null;
        pools.released(connection.node.id());
        if (code == Code.OK || code == Code.FULL || code == Code.ERROR) {
            connection.assignOrIdle(pools.connectingCount(connection.node.id()));
        } else {
            connection.close();
            CacheNode.PendingRequest work = attempt.work;
            if (work != null && cluster.reaches(proxy.zone, connection.peer)) {
                time.after(cluster.oneWayMicros(proxy.zone, connection.peer), work::cancel);
            }
        }
    }

    private int waitingCount(String node) {
        Deque<Attempt> row = waiting.get(node);
        if (row == null) {
            return 0;
        }
        row.removeIf(attempt -> attempt.ended);
        return row.size();
    }

    private Attempt pollWaiting(String node) {
        return waitingCount(node) == 0 ? null : waiting.get(node).pollFirst();
    }

    private boolean hasIdle(String node) {
        Deque<Connection> kept = idle.get(node);
        return kept != null && !kept.isEmpty();
    }

    private void openForWaiting(Server node) {
        while (hasIdle(node.id()) && waitingCount(node.id()) > pools.connectingCount(node.id())) {
            idle.get(node.id()).pollFirst().write(pollWaiting(node.id()));
        }
        for (int waits = waitingCount(node.id()); waits > 0; waits = waitingCount(node.id())) {
            OpenDecision decision = pools.decideOpen(time.now(), node.id(), waits);
            if (decision == OpenDecision.NONE && !closeOneIdle()) {
                pollWaiting(node.id()).end(Code.NOT_SENT, CacheStatus.NONE);
            } else if (decision == OpenDecision.WAIT || decision == OpenDecision.REPLACE && !closeOneIdle()) {
                long untilTrial = pools.nextTrialAt(node.id()) - time.now();
                if (untilTrial > 0) {
                    afterIfRunning(untilTrial, () -> openForWaiting(node));
                }
                return;
            } else {
                new Connection(node).open();
            }
        }
    }

    private boolean closeOneIdle() {
        String node = pools.nodeWithMostIdle();
        if (node == null || !hasIdle(node)) {
            return false;
        }
        idle.get(node).getFirst().close();
        return true;
    }

    void closeIdle(String node) {
        Deque<Connection> kept = idle.remove(node);
        if (kept != null) {
            kept.forEach(Connection::close);
        }
        Deque<Attempt> row = waiting.get(node);
        if (row != null) {
            List.copyOf(row).stream()
                    .filter(attempt -> !proxy.ready(attempt.node))
                    .forEach(Attempt::cancel);
        }
    }

    /** Breaks the connections to a node whose process has died. */
    void reset(String node) {
        for (Connection connection : new ArrayList<>(established)) {
            if (connection.node.id().equals(node)) {
                afterIfRunning(cluster.oneWayMicros(proxy.zone, connection.peer), () -> {
                    Attempt out = connection.attempt;
                    connection.close();
                    if (out != null) {
                        out.end(Code.RESET, CacheStatus.NONE);
                    }
                });
            }
        }
    }

    /** Closes all connections after this process has died. */
    void closeAll() {
        for (Connection connection : new ArrayList<>(established)) {
            Attempt out = connection.attempt;
            connection.close();
            if (out != null) {
                out.ended = true;
                if (out.work != null && cluster.reaches(proxy.zone, connection.peer)) {
                    time.after(cluster.oneWayMicros(proxy.zone, connection.peer), out.work::cancel);
                }
            }
        }
    }
}
