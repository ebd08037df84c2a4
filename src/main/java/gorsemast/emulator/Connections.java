package gorsemast.emulator;

import anisebend.Balancer.CacheStatus;
import anisebend.Balancer.Code;
import anisebend.Balancer.Effect;
import anisebend.Balancer.Server;
import gorsemast.emulator.Tally.Count;
import gorsemast.emulator.Workload.Ask;
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
 * A proxy's connections to cache nodes, as the real {@link ConnectionPools} allow them. Follows {@code net.Upstream}: one request a
 * connection at a time, written at most once, and nothing is sent again from here. O(1) an event but for those that wait.
 */
final class Connections {
    private static final long CONNECT_TIMEOUT_MICROS = 250_000;

    /** One connection; at most one attempt is on it. */
    final class Connection {
        final Server node;
        private final CacheNode end;
        private int endLife;
        private boolean closed;
        Attempt attempt;

        private Connection(Server node) {
            this.node = node;
            this.end = cluster.node(node.id());
        }

        private void open() {
            pools.connectStarted(time.now(), node.id());
            cluster.tally.add(time.now(), Count.HANDSHAKES);
            time.after(cluster.oneWay(proxy.zone, end), () -> {
                if (!cluster.reaches(proxy.zone, end)) {
                    ifRunning(CONNECT_TIMEOUT_MICROS, this::failed);
                } else if (end.condition() != CacheNode.Condition.UP || !end.accept()) {
                    ifRunning(cluster.oneWay(proxy.zone, end), this::failed);
                } else {
                    endLife = end.life();
                    ifRunning(cluster.oneWay(proxy.zone, end) + settings.handshakeMicros(), this::up);
                }
            });
        }

        private void up() {
            if (closed || end.life() != endLife) {
                failed();
                return;
            }
            all.add(this);
            pools.connected(node.id());
            offer(0);
        }

        /** See {@code net.Upstream.Connection.failed}. */
        private void failed() {
            closed = true;
            cluster.tally.add(time.now(), Count.CONNECTS_FAILED);
            if (pools.connectFailed(time.now(), node.id())) {
                Attempt met = next(node.id());
                if (met != null) {
                    met.end(Code.CONNECT_FAILED, CacheStatus.NONE);
                }
                while (waits(node.id()) > pools.connectingCount(node.id())) {
                    next(node.id()).end(Code.NOT_SENT, CacheStatus.NONE);
                }
            }
            grow(node);
        }

        private void offer(int others) {
            if (!proxy.ready(node)) {
                close();
                closeIdle(node.id());
                grow(node);
            } else if (waits(node.id()) > others) {
                carry(next(node.id()));
            } else {
                idle.computeIfAbsent(node.id(), id -> new ArrayDeque<>()).addLast(this);
            }
        }

        private void carry(Attempt next) {
            attempt = next;
            next.connection = this;
            pools.acquired(time.now(), node.id());
            if (!proxy.ready(next.node)) {
                next.end(Code.NOT_SENT, CacheStatus.NONE);
                return;
            }
            next.written = true;
            cluster.referee.wroteToDraining(
                    time.now(), "proxy " + proxy.number, node.id(), proxy.drainToldAt(node.id()));
            cluster.tally.add(time.now(), Count.CROSSED, proxy.zone == end.zone ? 0 : 1);
            time.after(cluster.oneWay(proxy.zone, end), () -> arrive(next));
        }

        /** What was written comes there, whatever has become of its sender, unless the connection has been closed. */
        private void arrive(Attempt sent) {
            if (sent.ended || end.life() != endLife || !cluster.reaches(proxy.zone, end)) {
                return;
            }
            boolean answerLost = cluster.losesAnswer();
            if (cluster.breaksConnection()) {
                ifRunning(cluster.oneWay(proxy.zone, end), () -> sent.end(Code.RESET, CacheStatus.NONE));
                return;
            }
            Ask ask = sent.ask;
            sent.work = end.request(
                    ask.key,
                    ask.rules().effect() != Effect.SAFE,
                    ask.took,
                    () -> cluster.referee.ran(
                            time.now(),
                            ask.id,
                            ask.rules().effect(),
                            ask.rules().deduplicationWindow()),
                    new CacheNode.Reply() {
                        @Override
                        public void served(CacheStatus note) {
                            back(Code.OK, note);
                        }

                        @Override
                        public void error() {
                            back(Code.ERROR, CacheStatus.NONE);
                        }

                        @Override
                        public void turnedAway() {
                            back(Code.FULL, CacheStatus.NONE);
                        }

                        private void back(Code code, CacheStatus note) {
                            if (!answerLost && cluster.reaches(proxy.zone, end)) {
                                ifRunning(cluster.oneWay(proxy.zone, end), () -> sent.end(code, note));
                            }
                        }
                    });
        }

        private void close() {
            if (!closed) {
                closed = true;
                Deque<Connection> kept = idle.get(node.id());
                if (kept != null) {
                    kept.remove(this);
                }
                all.remove(this);
                pools.closed(node.id());
                time.after(cluster.oneWay(proxy.zone, end), () -> end.closed(endLife));
            }
        }
    }

    private final SimulatedProxy proxy;
    private final Cluster cluster;
    private final VirtualTime time;
    private final ClusterSettings settings;
    private final int life;
    private final ConnectionPools pools;
    private final Map<String, Deque<Connection>> idle = new HashMap<>();
    private final Map<String, Deque<Attempt>> waiting = new HashMap<>();
    private final Set<Connection> all = new LinkedHashSet<>();

    Connections(SimulatedProxy proxy, Cluster cluster) {
        this.proxy = proxy;
        this.cluster = cluster;
        this.time = cluster.time;
        this.settings = cluster.settings;
        this.life = proxy.life();
        this.pools = new ConnectionPools(
                settings.proxyConnections(), new SplittableRandom(cluster.seed(proxy.number, life)));
    }

    private void ifRunning(long micros, Runnable what) {
        time.after(micros, () -> {
            if (proxy.runs(life)) {
                what.run();
            }
        });
    }

    Attempt send(Server node, Ask ask, long waitMicros, Attempt.Ending ending) {
        Attempt attempt = new Attempt(node, ask, this, ending);
        ifRunning(waitMicros, attempt::expire);
        Deque<Connection> kept = idle.get(node.id());
        Connection connection = kept == null ? null : kept.pollFirst();
        if (connection != null) {
            connection.carry(attempt);
        } else {
            waiting.computeIfAbsent(node.id(), id -> new ArrayDeque<>()).addLast(attempt);
            ifRunning(waitMicros / 2, attempt::tire);
            grow(node);
        }
        return attempt;
    }

    int open(String node) {
        return pools.openCount(node);
    }

    /** An attempt has ended: only a whole answer frees its connection. */
    void over(Attempt attempt, Code code) {
        Connection connection = attempt.connection;
        if (connection == null) {
            return;
        }
        connection.attempt = null;
        pools.released(connection.node.id());
        if (code == Code.OK || code == Code.FULL || code == Code.ERROR) {
            connection.offer(pools.connectingCount(connection.node.id()));
        } else {
            connection.close();
            CacheNode.Work work = attempt.work;
            if (work != null && cluster.reaches(proxy.zone, connection.end)) {
                time.after(cluster.oneWay(proxy.zone, connection.end), work::cancel);
            }
        }
    }

    private int waits(String node) {
        Deque<Attempt> row = waiting.get(node);
        if (row == null) {
            return 0;
        }
        row.removeIf(attempt -> attempt.ended);
        return row.size();
    }

    private Attempt next(String node) {
        return waits(node) == 0 ? null : waiting.get(node).pollFirst();
    }

    private boolean idles(String node) {
        Deque<Connection> kept = idle.get(node);
        return kept != null && !kept.isEmpty();
    }

    private void grow(Server node) {
        while (idles(node.id()) && waits(node.id()) > pools.connectingCount(node.id())) {
            idle.get(node.id()).pollFirst().carry(next(node.id()));
        }
        for (int waits = waits(node.id()); waits > 0; waits = waits(node.id())) {
            OpenDecision room = pools.decideOpen(time.now(), node.id(), waits);
            if (room == OpenDecision.NONE && !closeOneIdle()) {
                next(node.id()).end(Code.NOT_SENT, CacheStatus.NONE);
            } else if (room == OpenDecision.WAIT) {
                long trial = pools.nextTrialAt(node.id()) - time.now();
                if (trial > 0) {
                    ifRunning(trial, () -> grow(node));
                }
                return;
            } else {
                new Connection(node).open();
            }
        }
    }

    private boolean closeOneIdle() {
        String node = pools.nodeWithMostIdle();
        if (node == null || !idles(node)) {
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

    /** The node's process has died. */
    void reset(String node) {
        for (Connection connection : new ArrayList<>(all)) {
            if (connection.node.id().equals(node)) {
                ifRunning(cluster.oneWay(proxy.zone, connection.end), () -> {
                    Attempt out = connection.attempt;
                    connection.close();
                    if (out != null) {
                        out.end(Code.RESET, CacheStatus.NONE);
                    }
                });
            }
        }
    }

    /** This process has died: the nodes see its connections close. */
    void closeAll() {
        for (Connection connection : new ArrayList<>(all)) {
            Attempt out = connection.attempt;
            connection.close();
            if (out != null) {
                out.ended = true;
                if (out.work != null && cluster.reaches(proxy.zone, connection.end)) {
                    time.after(cluster.oneWay(proxy.zone, connection.end), out.work::cancel);
                }
            }
        }
    }
}
