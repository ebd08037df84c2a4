package gorsemast.emulator;

import anisebend.Balancer;
import anisebend.Balancer.CacheStatus;
import anisebend.Balancer.Code;
import anisebend.Balancer.ListKind;
import anisebend.Balancer.Server;
import anisebend.Balancer.State;
import anisebend.BalancingPolicy;
import gorsemast.emulator.Tally.Count;
import gorsemast.emulator.Workload.ClientRequest;
import gorsemast.register.ListWatch;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;

/**
 * One proxy with the real decision module, connection pools and list watch; only what carries out their decisions is
 * modelled.
 *
 * <p>Mirrors {@code net.Engine}: calls into the module never nest, each attempt has one outcome, and a request that the
 * module leaves unanswered fails shortly before its deadline. Single-threaded.
 */
final class SimulatedProxy implements Balancer.Actions {
    private static final long MARGIN_MICROS = 10_000;
    private static final long BACKSTOP_MICROS = 5_000;
    /** Time that a process needs to start and serve. */
    private static final long START_MICROS = 700_000;

    private static final class Exchange {
        final ClientRequest request;
        Attempt current;
        int attempts;
        boolean answered;

        Exchange(ClientRequest request) {
            this.request = request;
        }
    }

    final int number;
    final int zone;
    private final Cluster cluster;
    private final VirtualTime time;
    private int incarnation;
    private boolean up;
    private boolean stopping;
    private Balancer module;
    private ListWatch watch;
    private Connections connections;
    private Runnable cancelListCall;
    private Map<String, Server> nodes = new HashMap<>();
    private long nodesVersion;
    /** When this process first learned that each node drains or has gone. */
    private final Map<String, Long> drainReceivedAt = new HashMap<>();

    private final Map<String, Exchange> open = new HashMap<>();
    private final Queue<Runnable> moduleEvents = new ArrayDeque<>();
    private final Queue<Runnable> moduleActions = new ArrayDeque<>();
    private boolean busy;
    private long[] unservedCounted;

    SimulatedProxy(int number, int zone, Cluster cluster) {
        this.number = number;
        this.zone = zone;
        this.cluster = cluster;
        this.time = cluster.time;
    }

    // ---- lifecycle

    /** Starts a process with a known list of nodes. */
    void start(List<Server> known, long version) {
        incarnation++;
        up = true;
        stopping = false;
        module = new BalancingPolicy(this);
        watch = new ListWatch(ClusterSettings.listCallInterval());
        connections = new Connections(this, cluster);
        nodes = new HashMap<>();
        drainReceivedAt.clear();
        open.clear();
        moduleEvents.clear();
        moduleActions.clear();
        busy = false;
        unservedCounted = new long[Balancer.UnservedReason.values().length];
        dispatch(() ->
                module.start(time.now(), cluster.seed(number, incarnation), cluster.settings.moduleSettings(zone)));
        apply(ListKind.CACHED, known, version);
    }

    /** SIGKILL: requests in flight are lost; the process restarts with the list that it knew after {@code downFor}. */
    void kill(long downMicros) {
        if (!up) {
            return;
        }
        up = false;
        incarnation++;
        cancelOpenListCall();
        connections.closeAll();
        List<Exchange> orphans = new ArrayList<>(open.values());
        open.clear();
        orphans.stream().filter(x -> !x.answered).forEach(x -> cluster.workload.orphaned(x.request));
        List<Server> known = List.copyOf(nodes.values());
        time.after(downMicros + START_MICROS, () -> start(known, nodesVersion));
    }

    /** SIGTERM: accepts no new requests, finishes those in flight, then restarts. */
    void restart(long drainMicros) {
        if (up && !stopping) {
            stopping = true;
            int mine = incarnation;
            time.after(drainMicros, () -> {
                if (mine == incarnation) {
                    kill(0);
                }
            });
        }
    }

    /** Whether it accepts clients. */
    boolean serves() {
        return up && !stopping;
    }

    int incarnation() {
        return incarnation;
    }

    boolean isRunning(int ofIncarnation) {
        return up && incarnation == ofIncarnation;
    }

    /** Whether it has received a full list from the discovery service since its start. */
    boolean hasList() {
        return up && watch.listed();
    }

    // ---- requests

    /** Accepts a request; false if no client connection slot is free. */
    boolean accept(ClientRequest clientRequest) {
        if (!up || open.size() >= cluster.settings.proxySlots()) {
            return false;
        }
        Exchange x = new Exchange(clientRequest);
        open.put(clientRequest.id, x);
        int mine = incarnation;
        time.after(clientRequest.deadline - BACKSTOP_MICROS - time.now(), () -> {
            if (isRunning(mine) && !x.answered) {
                conclude(x);
                cluster.workload.failed(clientRequest);
                abandon(x);
            }
        });
        Balancer.Request request = new Balancer.Request(
                clientRequest.id,
                clientRequest.type,
                clientRequest.tenant,
                clientRequest.key,
                clientRequest.deadline - MARGIN_MICROS,
                clientRequest.rules().effect() != Balancer.Effect.SAFE);
        dispatch(() -> module.request(time.now(), request));
        return true;
    }

    /** Handles a client that has disconnected. */
    void clientLeft(ClientRequest request) {
        Exchange x = open.get(request.id);
        if (x != null && !x.answered) {
            conclude(x);
            abandon(x);
        }
    }

    private void abandon(Exchange x) {
        dispatch(() -> {
            module.abandoned(time.now(), x.request.id);
            moduleActions.add(() -> removeIfDone(x));
        });
    }

    private void conclude(Exchange x) {
        x.answered = true;
        if (x.current != null) {
            x.current.cancel();
        }
    }

    private void removeIfDone(Exchange x) {
        if (x.answered && x.current == null) {
            open.remove(x.request.id);
        }
    }

    private void dispatch(Runnable event) {
        moduleEvents.add(event);
        if (busy) {
            return;
        }
        busy = true;
        while (!moduleEvents.isEmpty()) {
            moduleEvents.poll().run();
            while (!moduleActions.isEmpty()) {
                moduleActions.poll().run();
            }
        }
        busy = false;
    }

    // ---- actions

    @Override
    public void send(String request, String server, long until) {
        moduleActions.add(() -> sendNow(request, server, until));
    }

    private void sendNow(String request, String server, long until) {
        Exchange x = open.get(request);
        int attempt = x.attempts++;
        long sentAt = time.now();
        Server node = nodes.get(server);
        long wait = Math.min(until, x.request.deadline) - sentAt;
        if (x.current != null) {
            cluster.checker.concurrentAttempts(time.now(), request);
            x.current.cancel();
        }
        cluster.tally.add(sentAt, Count.ATTEMPTS);
        if (x.answered || node == null || wait <= 0) {
            reportOutcome(x, attempt, sentAt, Code.NOT_SENT, CacheStatus.NONE);
            return;
        }
        Attempt[] mine = new Attempt[1];
        boolean[] over = new boolean[1];
        mine[0] = connections.send(node, x.request, wait, (code, note) -> {
            over[0] = true;
            if (x.current == mine[0]) {
                x.current = null;
            }
            if (code == Code.OK && !x.answered) {
                conclude(x);
                cluster.workload.served(x.request);
            }
            reportOutcome(x, attempt, sentAt, code, note);
        });
        if (!over[0]) {
            x.current = mine[0];
        }
    }

    private void reportOutcome(Exchange x, int attempt, long sentAt, Code code, CacheStatus cacheStatus) {
        cluster.tally.add(
                time.now(),
                switch (code) {
                    case OK, MISS -> Count.OK;
                    case FULL -> Count.FULL;
                    case ERROR -> Count.ERROR;
                    case TIMEOUT, CANCELLED -> Count.TIMEOUT;
                    case RESET -> Count.RESET;
                    case CONNECT_FAILED -> Count.CONNECT_FAILED;
                    case NOT_SENT -> Count.NOT_SENT;
                });
        boolean over = x.answered;
        dispatch(() -> {
            module.outcome(
                    time.now(),
                    new Balancer.Outcome(x.request.id, attempt, code, time.now() - sentAt, over, cacheStatus, null));
            moduleActions.add(() -> removeIfDone(x));
        });
    }

    @Override
    public void refuse(String request, long retryAfter) {
        answer(request, x -> cluster.workload.refused(x.request, retryAfter));
    }

    @Override
    public void fail(String request) {
        answer(request, x -> cluster.workload.failed(x.request));
    }

    private void answer(String request, java.util.function.Consumer<Exchange> reply) {
        moduleActions.add(() -> {
            Exchange x = open.get(request);
            if (x != null && !x.answered) {
                conclude(x);
                reply.accept(x);
                removeIfDone(x);
            }
        });
    }

    @Override
    public void cancel(String request, int attempt) {
        moduleActions.add(() -> {
            Exchange x = open.get(request);
            if (x != null && x.current != null && x.attempts - 1 == attempt) {
                x.current.cancel();
            }
        });
    }

    @Override
    public void probe(String server) {}

    @Override
    public void closeIdle(String server) {
        moduleActions.add(() -> connections.closeIdle(server));
    }

    @Override
    public void subscribe() {
        moduleActions.add(() -> {
            ListWatch.Call call = watch.subscribe();
            if (call != null) {
                callDiscovery(call);
            }
        });
    }

    @Override
    public void timer(long at, long token) {
        int mine = incarnation;
        moduleActions.add(() -> time.after(at - time.now(), () -> {
            if (isRunning(mine)) {
                dispatch(() -> module.timer(time.now(), token));
            }
        }));
    }

    @Override
    public void log(String text) {}

    // ---- node list

    private void cancelOpenListCall() {
        if (cancelListCall != null) {
            cancelListCall.run();
            cancelListCall = null;
        }
    }

    private void callDiscovery(ListWatch.Call call) {
        int mine = incarnation;
        cluster.tally.add(time.now(), Count.LIST_CALLS);
        boolean[] over = new boolean[1];
        Runnable giveUp = cluster.discovery.call(
                call.whole(), call.after(), call.waitMicros(), new DiscoveryService.ResponseHandler() {
                    @Override
                    public void answered(ListKind kind, List<Server> entries, long version) {
                        if (!isRunning(mine) || over[0]) {
                            return;
                        }
                        over[0] = true;
                        cluster.tally.add(time.now(), Count.LIST_ANSWERS);
                        if (watch.answers(kind == ListKind.CHANGES)) {
                            apply(kind, entries, version);
                            callDiscovery(watch.taken(time.now(), version));
                        } else {
                            listCallFailed();
                        }
                    }

                    @Override
                    public void failed() {
                        if (isRunning(mine) && !over[0]) {
                            over[0] = true;
                            listCallFailed();
                        }
                    }
                });
        cancelListCall = giveUp;
        time.after(call.limitMicros(), () -> {
            if (isRunning(mine) && !over[0]) {
                over[0] = true;
                giveUp.run();
                listCallFailed();
            }
        });
    }

    private void listCallFailed() {
        cluster.tally.add(time.now(), Count.LIST_FAILED);
        watch.failed();
        dispatch(() -> module.servers(time.now(), ListKind.FAILED, List.of()));
    }

    private void apply(ListKind kind, List<Server> entries, long version) {
        nodesVersion = version;
        Map<String, Server> before = nodes;
        Map<String, Server> next = kind == ListKind.CHANGES ? new HashMap<>(nodes) : new HashMap<>();
        for (Server entry : entries) {
            if (entry.state() == State.GONE) {
                next.remove(entry.id());
            } else {
                next.put(entry.id(), entry);
            }
        }
        nodes = next;
        if (kind == ListKind.CACHED) {
            watch.told(version);
        }
        List<String> unusable = new ArrayList<>();
        next.values().stream()
                .filter(entry -> entry.state() == State.READY)
                .forEach(entry -> drainReceivedAt.remove(entry.id()));
        for (Server old : before.values()) {
            Server now = next.get(old.id());
            if (now == null || now.state() != old.state() || now.startedAt() != old.startedAt()) {
                unusable.add(old.id());
            }
            if (now == null || now.state() != State.READY) {
                drainReceivedAt.putIfAbsent(old.id(), time.now());
            }
        }
        unusable.forEach(connections::closeIdle);
        dispatch(() -> module.servers(time.now(), kind, entries));
    }

    /** Whether the node instance in {@code entry} may receive new requests. */
    boolean ready(Server entry) {
        Server present = nodes.get(entry.id());
        return present != null && present.state() == State.READY && present.startedAt() == entry.startedAt();
    }

    /** When this process learned that the node drains or has gone; far in the future if it has not. */
    long drainReceivedAt(String node) {
        return drainReceivedAt.getOrDefault(node, Long.MAX_VALUE - InvariantChecker.DRAIN_MICROS);
    }

    /** Breaks the connections to a node whose process has died. */
    void reset(String node) {
        if (up) {
            connections.reset(node);
        }
    }

    /** Adds the requests that the module has not served since the last sample, by reason, and its current suspicions. */
    void sample(Tally tally) {
        if (!up) {
            return;
        }
        Balancer.View view = module.view(time.now());
        for (Balancer.UnservedReason why : Balancer.UnservedReason.values()) {
            tally.add(
                    time.now(),
                    Count.valueOf(why.name()),
                    view.unservedByReason()[why.ordinal()] - unservedCounted[why.ordinal()]);
        }
        unservedCounted = view.unservedByReason().clone();
        tally.add(
                time.now(),
                Count.SUSPECTS,
                view.servers().stream().filter(Balancer.ServerView::suspect).count());
        if (!view.servers().isEmpty()) { // the origin's lanes come last
            tally.add(
                    time.now(),
                    Count.LANE_MICROS,
                    view.servers().get(view.servers().size() - 1).meanInterval());
        }
    }
}
