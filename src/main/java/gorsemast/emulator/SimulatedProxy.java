package gorsemast.emulator;

import anisebend.Balancer;
import anisebend.Balancer.CacheStatus;
import anisebend.Balancer.Code;
import anisebend.Balancer.ListKind;
import anisebend.Balancer.Server;
import anisebend.Balancer.State;
import anisebend.BalancingPolicy;
import gorsemast.emulator.Tally.Count;
import gorsemast.emulator.Workload.Ask;
import gorsemast.register.ListWatch;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;

/**
 * One proxy with its real decisions: the module, the pools of connections and the list watch; what is modelled is only
 * what carries them out.
 *
 * <p>Follows {@code net.Engine}: the module is never entered while it runs, each attempt has one outcome, and what the
 * module has left unanswered fails shortly before its client's time. One thread.
 */
final class SimulatedProxy implements Balancer.Actions {
    private static final long MARGIN_MICROS = 10_000;
    private static final long BACKSTOP_MICROS = 5_000;
    /** A dead process is up again after so long, and serves from then on. */
    private static final long START_MICROS = 700_000;

    private static final class Exchange {
        final Ask ask;
        Attempt out;
        int attempts;
        boolean answered;

        Exchange(Ask ask) {
            this.ask = ask;
        }
    }

    final int number;
    final int zone;
    private final Cluster cluster;
    private final VirtualTime time;
    private int life;
    private boolean up;
    private boolean ending;
    private Balancer module;
    private ListWatch watch;
    private Connections connections;
    private Runnable giveUpCall;
    private Map<String, Server> nodes = new HashMap<>();
    private long nodesVersion;
    /** When each node that drains or has gone was first told so to this process. */
    private final Map<String, Long> drainTold = new HashMap<>();

    private final Map<String, Exchange> open = new HashMap<>();
    private final Queue<Runnable> events = new ArrayDeque<>();
    private final Queue<Runnable> actions = new ArrayDeque<>();
    private boolean busy;
    private long[] concluded;

    SimulatedProxy(int number, int zone, Cluster cluster) {
        this.number = number;
        this.zone = zone;
        this.cluster = cluster;
        this.time = cluster.time;
    }

    // ---- life

    /** Starts a process from the list that is kept here, or that is given. */
    void start(List<Server> known, long version) {
        life++;
        up = true;
        ending = false;
        module = new BalancingPolicy(this);
        watch = new ListWatch(ClusterSettings.askWithin());
        connections = new Connections(this, cluster);
        nodes = new HashMap<>();
        drainTold.clear();
        open.clear();
        events.clear();
        actions.clear();
        busy = false;
        concluded = new long[Balancer.UnservedReason.values().length];
        tell(() -> module.start(time.now(), cluster.seed(number, life), cluster.settings.module(zone)));
        apply(ListKind.CACHED, known, version);
    }

    /** SIGKILL: what it has in hand is gone; it comes back from the list that it knew after {@code downFor}. */
    void kill(long downFor) {
        if (!up) {
            return;
        }
        up = false;
        life++;
        hangUp();
        connections.closeAll();
        List<Exchange> orphans = new ArrayList<>(open.values());
        open.clear();
        orphans.stream().filter(x -> !x.answered).forEach(x -> cluster.workload.orphaned(x.ask));
        List<Server> known = List.copyOf(nodes.values());
        time.after(downFor + START_MICROS, () -> start(known, nodesVersion));
    }

    /** SIGTERM: takes nothing new any more, finishes what it has, and is started anew. */
    void restart(long finishes) {
        if (up && !ending) {
            ending = true;
            int mine = life;
            time.after(finishes, () -> {
                if (mine == life) {
                    kill(0);
                }
            });
        }
    }

    /** Whether it takes clients. */
    boolean serves() {
        return up && !ending;
    }

    int life() {
        return life;
    }

    boolean runs(int ofLife) {
        return up && life == ofLife;
    }

    /** Whether its register has told it a whole list since its start. */
    boolean listed() {
        return up && watch.listed();
    }

    // ---- requests

    /** Takes a request; false where no connection of its clients is free. */
    boolean take(Ask ask) {
        if (!up || open.size() >= cluster.settings.proxyPlaces()) {
            return false;
        }
        Exchange x = new Exchange(ask);
        open.put(ask.id, x);
        int mine = life;
        time.after(ask.deadline - BACKSTOP_MICROS - time.now(), () -> {
            if (runs(mine) && !x.answered) {
                conclude(x);
                cluster.workload.failed(ask);
                abandon(x);
            }
        });
        Balancer.Request request = new Balancer.Request(
                ask.id,
                ask.type,
                ask.tenant,
                ask.key,
                ask.deadline - MARGIN_MICROS,
                ask.rules().effect() != Balancer.Effect.SAFE);
        tell(() -> module.request(time.now(), request));
        return true;
    }

    /** The client has gone. */
    void left(Ask ask) {
        Exchange x = open.get(ask.id);
        if (x != null && !x.answered) {
            conclude(x);
            abandon(x);
        }
    }

    private void abandon(Exchange x) {
        tell(() -> {
            module.abandoned(time.now(), x.ask.id);
            actions.add(() -> forget(x));
        });
    }

    private void conclude(Exchange x) {
        x.answered = true;
        if (x.out != null) {
            x.out.cancel();
        }
    }

    private void forget(Exchange x) {
        if (x.answered && x.out == null) {
            open.remove(x.ask.id);
        }
    }

    private void tell(Runnable event) {
        events.add(event);
        if (busy) {
            return;
        }
        busy = true;
        while (!events.isEmpty()) {
            events.poll().run();
            while (!actions.isEmpty()) {
                actions.poll().run();
            }
        }
        busy = false;
    }

    // ---- actions

    @Override
    public void send(String request, String server, long until) {
        actions.add(() -> sendNow(request, server, until));
    }

    private void sendNow(String request, String server, long until) {
        Exchange x = open.get(request);
        int attempt = x.attempts++;
        long sentAt = time.now();
        Server node = nodes.get(server);
        long wait = Math.min(until, x.ask.deadline) - sentAt;
        if (x.out != null) {
            cluster.referee.twoOut(time.now(), request);
            x.out.cancel();
        }
        cluster.tally.add(sentAt, Count.ATTEMPTS);
        if (x.answered || node == null || wait <= 0) {
            told(x, attempt, sentAt, Code.NOT_SENT, CacheStatus.NONE);
            return;
        }
        Attempt[] mine = new Attempt[1];
        boolean[] over = new boolean[1];
        mine[0] = connections.send(node, x.ask, wait, (code, note) -> {
            over[0] = true;
            if (x.out == mine[0]) {
                x.out = null;
            }
            if (code == Code.OK && !x.answered) {
                conclude(x);
                cluster.workload.served(x.ask);
            }
            told(x, attempt, sentAt, code, note);
        });
        if (!over[0]) {
            x.out = mine[0];
        }
    }

    private void told(Exchange x, int attempt, long sentAt, Code code, CacheStatus note) {
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
        tell(() -> {
            module.outcome(
                    time.now(), new Balancer.Outcome(x.ask.id, attempt, code, time.now() - sentAt, over, note, null));
            actions.add(() -> forget(x));
        });
    }

    @Override
    public void refuse(String request, long retryAfter) {
        answer(request, x -> cluster.workload.refused(x.ask, retryAfter));
    }

    @Override
    public void fail(String request) {
        answer(request, x -> cluster.workload.failed(x.ask));
    }

    private void answer(String request, java.util.function.Consumer<Exchange> how) {
        actions.add(() -> {
            Exchange x = open.get(request);
            if (x != null && !x.answered) {
                conclude(x);
                how.accept(x);
                forget(x);
            }
        });
    }

    @Override
    public void cancel(String request, int attempt) {
        actions.add(() -> {
            Exchange x = open.get(request);
            if (x != null && x.out != null && x.attempts - 1 == attempt) {
                x.out.cancel();
            }
        });
    }

    @Override
    public void probe(String server) {}

    @Override
    public void closeIdle(String server) {
        actions.add(() -> connections.closeIdle(server));
    }

    @Override
    public void subscribe() {
        actions.add(() -> {
            ListWatch.Call call = watch.subscribe();
            if (call != null) {
                ask(call);
            }
        });
    }

    @Override
    public void timer(long at, long token) {
        int mine = life;
        actions.add(() -> time.after(at - time.now(), () -> {
            if (runs(mine)) {
                tell(() -> module.timer(time.now(), token));
            }
        }));
    }

    @Override
    public void log(String text) {}

    // ---- the list

    private void hangUp() {
        if (giveUpCall != null) {
            giveUpCall.run();
            giveUpCall = null;
        }
    }

    private void ask(ListWatch.Call call) {
        int mine = life;
        cluster.tally.add(time.now(), Count.LIST_CALLS);
        boolean[] over = new boolean[1];
        Runnable giveUp = cluster.register.call(call.whole(), call.after(), call.waitMicros(), new Register.Caller() {
            @Override
            public void answered(ListKind kind, List<Server> entries, long version) {
                if (!runs(mine) || over[0]) {
                    return;
                }
                over[0] = true;
                cluster.tally.add(time.now(), Count.LIST_ANSWERS);
                if (watch.answers(kind == ListKind.CHANGES)) {
                    apply(kind, entries, version);
                    ask(watch.taken(time.now(), version));
                } else {
                    failedCall();
                }
            }

            @Override
            public void failed() {
                if (runs(mine) && !over[0]) {
                    over[0] = true;
                    failedCall();
                }
            }
        });
        giveUpCall = giveUp;
        time.after(call.limitMicros(), () -> {
            if (runs(mine) && !over[0]) {
                over[0] = true;
                giveUp.run();
                failedCall();
            }
        });
    }

    private void failedCall() {
        cluster.tally.add(time.now(), Count.LIST_FAILED);
        watch.failed();
        tell(() -> module.servers(time.now(), ListKind.FAILED, List.of()));
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
                .forEach(entry -> drainTold.remove(entry.id()));
        for (Server old : before.values()) {
            Server now = next.get(old.id());
            if (now == null || now.state() != old.state() || now.startedAt() != old.startedAt()) {
                unusable.add(old.id());
            }
            if (now == null || now.state() != State.READY) {
                drainTold.putIfAbsent(old.id(), time.now());
            }
        }
        unusable.forEach(connections::closeIdle);
        tell(() -> module.servers(time.now(), kind, entries));
    }

    /** Whether the node, as started when {@code entry} was read, may be sent anything new. */
    boolean ready(Server entry) {
        Server present = nodes.get(entry.id());
        return present != null && present.state() == State.READY && present.startedAt() == entry.startedAt();
    }

    /** When this process was told that the node drains or has gone; never where it was not. */
    long drainToldAt(String node) {
        return drainTold.getOrDefault(node, Long.MAX_VALUE - Referee.DRAIN_MICROS);
    }

    /** A node's process has died: its connections break. */
    void reset(String node) {
        if (up) {
            connections.reset(node);
        }
    }

    /** Adds what its module has refused since the last look, by reason, and what it believes now. */
    void look(Tally tally) {
        if (!up) {
            return;
        }
        Balancer.View view = module.view(time.now());
        for (Balancer.UnservedReason why : Balancer.UnservedReason.values()) {
            tally.add(
                    time.now(),
                    Count.valueOf(why.name()),
                    view.unservedByReason()[why.ordinal()] - concluded[why.ordinal()]);
        }
        concluded = view.unservedByReason().clone();
        tally.add(
                time.now(),
                Count.SUSPECTS,
                view.servers().stream().filter(Balancer.ServerView::suspect).count());
        if (!view.servers().isEmpty()) { // last stand the ledger's lanes
            tally.add(
                    time.now(),
                    Count.LANE_MICROS,
                    view.servers().get(view.servers().size() - 1).meanInterval());
        }
    }
}
