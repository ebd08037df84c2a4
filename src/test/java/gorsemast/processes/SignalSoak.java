package gorsemast.processes;

import gorsemast.processes.KeptConnection.Ended;
import gorsemast.processes.KeptConnection.Request;
import gorsemast.standin.LoopbackNetwork.Answer;
import gorsemast.standin.StandInServer;
import gorsemast.transport.Transport;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;

/**
 * Real processes on loopback under signals, restarts and changes that come in series and overlap, while clients keep using their
 * connections until the process at the other end is gone. Every second edge has twenty sockets only. One course a seed, of some
 * seconds; the processes live on between courses. One caller; nothing sleeps, waits are bounded polls.
 */
final class SignalSoak implements AutoCloseable {
    /** What happens; each comes several times in a course. */
    enum Event {
        EDGE_TERMINATED,
        EDGE_KILLED,
        EDGE_HUNG_UP,
        CORE_KILLED,
        CONFIGURATION,
        PURGE,
        /** From here on: only where {@link Plan#wide}. */
        EDGES_KILLED_TOGETHER,
        EDGE_PAUSED,
        EDGE_CUT_OFF,
        EDGE_RESET,
        CORE_PAUSED,
        CORE_CUT_OFF,
        CORES_KILLED_TOGETHER
    }

    /**
     * How large a soak is.
     *
     * @param edges how many
     * @param crowded whether all of them have twenty sockets only; else every second one
     * @param clientsPerEdge that ask one thing after the other
     * @param courseMillis in which things happen
     * @param wide whether machines are also paused, cut off, reset and killed together, and routes are asked for as soon as they have to be
     *     in force; else a seed plays what it always has
     * @param lastingMillis longest time that a machine is paused or cut off
     * @param congested whether the links between every third edge and the core are held most of the time, as where they are full
     */
    record Plan(
            int edges,
            boolean crowded,
            int clientsPerEdge,
            long courseMillis,
            boolean wide,
            long lastingMillis,
            boolean congested) {
        /** Signals, kills of one process and changes. */
        static Plan signals(int edges) {
            return new Plan(edges, false, CLIENTS_PER_EDGE, COURSE_MILLIS, false, LASTING_MILLIS, false);
        }

        /** Also where a machine has stood still for the longest time in between. */
        private long patienceMillis() {
            return wide ? PATIENCE_MILLIS + lastingMillis : PATIENCE_MILLIS;
        }

        private int kinds() {
            return wide ? Event.values().length : Event.EDGES_KILLED_TOGETHER.ordinal();
        }
    }

    private static final int CORES = 3;
    /** Last byte of the address of the first server that comes and leaves within a course. */
    private static final int FIRST_LEAVING = 100;

    private static final int FIRST_EDGE = 20;
    private static final int FEW_DESCRIPTORS = 220;
    private static final int MANY_DESCRIPTORS = 4_096;
    private static final int CLIENTS_PER_EDGE = 3;
    private static final int OBJECTS = 60;
    private static final long THINK_MILLIS = 25;
    private static final long WORK_MICROS = 30_000;
    private static final long START_MILLIS = 60_000;
    private static final long COURSE_MILLIS = 4_500;
    private static final long LONGEST_GAP_MILLIS = 700;
    private static final long DOWN_MILLIS = 300;
    /** Longest that a machine is paused or cut off, where nothing else is said; a client waits longer. */
    static final long LASTING_MILLIS = 2_500;

    private static final long SHORTEST_LASTING_MILLIS = 300;
    /** How long edges in touch are asked for routes at the end of a wide course. */
    private static final long CALM_MILLIS = 3_000;

    private static final int CONGESTED_EDGES = 3;
    private static final long CONGESTION_NANOS = TimeUnit.MILLISECONDS.toNanos(800);
    private static final long CONGESTION_HELD_NANOS = TimeUnit.MILLISECONDS.toNanos(650);
    private static final long RECOVERS_MILLIS = 20_000;
    /** Longer than an edge holds a request: the clients' budget is 1.5 s. */
    private static final long PATIENCE_MILLIS = 4_000;

    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    /**
     * What a course has shown; {@code asked} counts what reached an edge, {@code purged} the answers that were subject to a purge, and
     * {@code faults} is empty where all held.
     */
    record Verdict(
            long seed,
            List<String> events,
            int asked,
            int served,
            RouteJudge.Tally added,
            int purged,
            List<String> faults) {}

    private record Asked(int edge, Ended ended) {}

    /** A machine's processes were ended without notice: when that was ordered, and when all that were killed with them had ended. */
    private record Killed(int machine, long nanos, long overNanos) {}

    private final ProcessNetwork network;
    private final Operator operator;
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, Transport.handlers()).next();
    private final List<Integer> edges;
    private final List<StandInServer> servers = new ArrayList<>();
    private final List<StandInServer> objectServers = new ArrayList<>();
    private final List<Killed> kills = new ArrayList<>();
    /** Machines whose processes are to start again, and from when on, of {@link System#nanoTime}. */
    private final Map<Integer, Long> down = new HashMap<>();

    private final Set<Integer> leaving = new HashSet<>();
    /** When each edge has last got SIGTERM, of {@link System#nanoTime}. */
    private final Map<Integer, Long> leftAt = new HashMap<>();

    private final Plan plan;
    private final Disturbances disturbances;
    private final RouteJudge routes;
    private final PurgeJudge purges;

    private boolean congestedNow;
    private int losses;
    private int version = 1;
    private String word = "first";

    SignalSoak(Path data, Plan plan) throws IOException {
        this.plan = plan;
        edges = IntStream.range(FIRST_EDGE, FIRST_EDGE + plan.edges).boxed().toList();
        network = new ProcessNetwork(data, CORES, plan.edges);
        operator = new Operator(network);
        disturbances = new Disturbances(network);
        routes = new RouteJudge(network, edges, disturbances::inTouch);
        purges = new PurgeJudge(network, operator, edges, objectServers, disturbances::inTouch);
        for (int core = 1; core <= CORES; core++) {
            network.startCore(core, true, 1, 2, 3);
        }
        edges.forEach(edge -> startEdge(edge, true));
        for (int i = 0; i < 3; i++) {
            StandInServer server = network.server("i-" + i, i == 0 ? "objects" : "orders", 200 + i, 1, 2, 3);
            server.setWorkMicros(WORK_MICROS);
            servers.add(server);
            if (i == 0) {
                objectServers.add(server);
            }
        }
        ProcessNetwork.until(
                "the first configuration",
                START_MILLIS,
                () -> Operator.confirms(operator.replace(1, version, word).join()));
        ProcessNetwork.until("all edges", START_MILLIS, () -> edges.stream().allMatch(this::serves));
    }

    private void startEdge(int edge, boolean first) {
        boolean few = plan.crowded || edge % 2 == 0;
        network.edgeDescriptors(few ? FEW_DESCRIPTORS : MANY_DESCRIPTORS);
        network.startEdge(edge, first, 1, 2, 3);
    }

    private boolean serves(int edge) {
        return network.ready(edge) && operator.goesBy(edge, word);
    }

    /** Plays one course. */
    Verdict play(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Queue<Asked> asked = new ConcurrentLinkedQueue<>();
        AtomicBoolean over = new AtomicBoolean();
        List<CompletableFuture<Void>> ends = new ArrayList<>();
        for (int edge : edges) {
            for (int i = 0; i < plan.clientsPerEdge; i++) {
                CompletableFuture<Void> end = new CompletableFuture<>();
                ends.add(end);
                KeptConnection connection = new KeptConnection(loop, network.front(edge), plan.patienceMillis());
                SplittableRandom own = random.split();
                loop.execute(() -> ask(connection, edge, own, asked, over, end));
            }
        }
        List<String> faults = new ArrayList<>();
        List<String> events = strike(random, faults);
        if (plan.wide) {
            calm(faults);
            loseOneCoreMachine(seed, faults);
        }
        over.set(true);
        ends.forEach(CompletableFuture::join);
        recover(faults);
        judge(asked, faults);
        judgeLogs(faults);
        int served =
                (int) asked.stream().filter(one -> one.ended.status() == 200).count();
        int reached = (int) asked.stream().filter(one -> one.ended.connected()).count();
        RouteJudge.Tally added = routes.judge((double) served / Math.max(1, reached), faults);
        int purged = purges.judge(faults);
        return new Verdict(seed, events, reached, served, added, purged, faults);
    }

    private void ask(
            KeptConnection connection,
            int edge,
            SplittableRandom random,
            Queue<Asked> asked,
            AtomicBoolean over,
            CompletableFuture<Void> end) {
        if (over.get()) {
            connection.close();
            end.complete(null);
            return;
        }
        String id = Long.toHexString(random.nextLong());
        Request request =
                switch (random.nextInt(4)) {
                    case 0 -> new Request(id, "GET", "/orders/" + id);
                    case 1 -> new Request(id, "POST", "/orders/pay/" + id);
                    default -> new Request(id, "GET", "/objects/" + random.nextInt(OBJECTS));
                };
        boolean inTouch = disturbances.inTouch(edge);
        connection.ask(request, ended -> {
            asked.add(new Asked(edge, ended));
            purges.answered(edge, ended.sentNanos(), ended.status(), ended.body(), inTouch);
            loop.schedule(() -> ask(connection, edge, random, asked, over, end), THINK_MILLIS, TimeUnit.MILLISECONDS);
        });
    }

    // ---- troubles

    private List<String> strike(SplittableRandom random, List<String> faults) {
        List<String> events = new ArrayList<>();
        long begun = System.nanoTime();
        long next = begun;
        CompletableFuture<Answer> order = null;
        int orderedVersion = version;
        String orderedWord = word;
        while (System.nanoTime() - begun < TimeUnit.MILLISECONDS.toNanos(plan.courseMillis) || order != null) {
            bringBack();
            disturbances.poll();
            congest();
            if (order != null && order.isDone()) {
                Answer answer = order.join();
                if (Operator.confirms(answer)) {
                    if (plan.wide) {
                        routes.confirmed(orderedWord, word);
                    }
                    version = orderedVersion;
                    word = orderedWord;
                    order = null;
                } else if (Operator.refuses(answer)) {
                    faults.add("configuration " + orderedVersion + " is refused with " + answer.status());
                    order = null;
                } else {
                    order = operator.replace(1 + random.nextInt(CORES), orderedVersion, orderedWord);
                }
            }
            boolean striking = System.nanoTime() - begun < TimeUnit.MILLISECONDS.toNanos(plan.courseMillis);
            if (striking && System.nanoTime() >= next) {
                next += TimeUnit.MILLISECONDS.toNanos(1 + random.nextLong(LONGEST_GAP_MILLIS));
                Event event = Event.values()[random.nextInt(plan.kinds())];
                int edge = edges.get(random.nextInt(edges.size()));
                int core = 1 + random.nextInt(CORES);
                if (event == Event.CONFIGURATION && order == null) {
                    orderedVersion = version + 1 + random.nextInt(3);
                    orderedWord = "w" + orderedVersion;
                    routes.sent();
                    order = operator.replace(core, orderedVersion, orderedWord);
                    events.add(event + " " + orderedVersion);
                } else if (event != Event.CONFIGURATION && strike(event, edge, core, random)) {
                    events.add(event + " " + (event.name().startsWith("CORE") ? core : edge));
                }
            }
            poll();
            LockSupport.parkNanos(POLL_NANOS);
        }
        return events;
    }

    private boolean strike(Event event, int edge, int core, SplittableRandom random) {
        boolean edgeIsUp = isUp(edge);
        boolean coresAreUp = IntStream.rangeClosed(1, CORES).allMatch(this::isUp);
        boolean strikes =
                switch (event) {
                    case EDGE_TERMINATED, EDGE_KILLED, EDGE_PAUSED, EDGE_CUT_OFF, EDGE_RESET -> edgeIsUp;
                    case EDGE_HUNG_UP ->
                        edgeIsUp && listens(edge); // before that a virtual machine's own handler ends it
                    case CORE_KILLED, CORE_PAUSED, CORE_CUT_OFF, CORES_KILLED_TOGETHER -> coresAreUp;
                    default -> true;
                };
        if (!strikes) {
            return false;
        }
        switch (event) {
            case EDGE_TERMINATED -> terminate(edge);
            case EDGE_KILLED -> kill(List.of(edge));
            case EDGE_HUNG_UP -> network.hangUp(edge);
            case CORE_KILLED -> kill(List.of(core));
            case EDGES_KILLED_TOGETHER ->
                kill(edges.stream()
                        .filter(this::isUp)
                        .filter(one -> random.nextBoolean())
                        .toList());
            case EDGE_PAUSED -> disturbances.pause(edge, lasting(random));
            case EDGE_CUT_OFF -> disturbances.cut(edge, coreMachines(), lasting(random));
            case EDGE_RESET -> disturbances.reset(edge, coreMachines());
            case CORE_PAUSED -> disturbances.pause(core, lasting(random));
            case CORE_CUT_OFF ->
                disturbances.cut(
                        core, coreMachines().stream().filter(one -> one != core).toList(), lasting(random));
            case CORES_KILLED_TOGETHER -> kill(coreMachines());
            default -> purges.purgePath("/objects/" + edge, core, 1 + core % CORES, 1 + (core + 1) % CORES);
        }
        return true;
    }

    /** All troubles end, and a last change is confirmed; clients go on until every edge has been asked for it while in touch. */
    private void calm(List<String> faults) {
        endCongestion();
        disturbances.endAll();
        try {
            ProcessNetwork.until("all processes are up", RECOVERS_MILLIS, () -> {
                bringBack();
                return leaving.isEmpty() && down.isEmpty();
            });
            change(1, 2, 3);
            ProcessNetwork.until("all edges are in touch", RECOVERS_MILLIS, () -> {
                poll();
                return edges.stream().allMatch(disturbances::inTouch);
            });
        } catch (AssertionError e) {
            faults.add(e.getMessage());
        }
        long begun = System.nanoTime();
        while (System.nanoTime() - begun < TimeUnit.MILLISECONDS.toNanos(CALM_MILLIS)) {
            poll();
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    private void poll() {
        routes.poll();
        if (plan.wide) {
            purges.poll();
        }
    }

    /** One core machine is lost to the others, while all else is calm. Leaves the random course of the other events as it is. */
    private void loseOneCoreMachine(long seed, List<String> faults) {
        try {
            new CoreLoss(network, operator, disturbances, purges)
                    .play(
                            new SplittableRandom(~seed),
                            "leaving-" + seed,
                            FIRST_LEAVING + losses++,
                            this::change,
                            this::poll,
                            faults);
        } catch (IOException | AssertionError e) {
            faults.add(e.getMessage());
        }
    }

    private void change(int... cores) {
        routes.sent();
        String before = word;
        version++;
        word = "w" + version;
        operator.order(version, word, cores);
        routes.confirmed(word, before);
    }

    private long lasting(SplittableRandom random) {
        return SHORTEST_LASTING_MILLIS + random.nextLong(plan.lastingMillis - SHORTEST_LASTING_MILLIS);
    }

    /** Holds the links of the congested edges for most of each period, and lets what waits pass in the rest. */
    private void congest() {
        boolean holds = System.nanoTime() % CONGESTION_NANOS < CONGESTION_HELD_NANOS;
        if (!plan.congested || holds == congestedNow) {
            return;
        }
        congestedNow = holds;
        LinkRelay relay = network.relay();
        for (int edge : edges) {
            if (edge % CONGESTED_EDGES == 0 && !disturbances.goesOnAt(edge)) {
                network.between(edge, coreMachines(), holds ? relay::cut : relay::heal);
                disturbances.happened(edge);
            }
        }
    }

    private void endCongestion() {
        if (congestedNow) {
            congestedNow = false;
            edges.forEach(edge -> network.between(edge, coreMachines(), network.relay()::heal));
        }
    }

    private static List<Integer> coreMachines() {
        return IntStream.rangeClosed(1, CORES).boxed().toList();
    }

    private boolean isUp(int machine) {
        return !down.containsKey(machine) && !leaving.contains(machine) && !disturbances.goesOnAt(machine);
    }

    private void terminate(int edge) {
        network.process("proxy" + edge).destroy();
        leaving.add(edge);
        leftAt.put(edge, System.nanoTime());
        disturbances.stopped(edge);
    }

    private boolean listens(int edge) {
        return network.send(network.probe(edge), "GET", "/v1/readiness", Map.of(), null, PATIENCE_MILLIS)
                        .join()
                        .status()
                != 0;
    }

    private void kill(List<Integer> machines) {
        long ordered = System.nanoTime();
        network.kill(machines.stream().mapToInt(Integer::intValue).toArray());
        long over = System.nanoTime();
        machines.forEach(machine -> kills.add(new Killed(machine, ordered, over)));
        for (int machine : machines) {
            disturbances.stopped(machine);
            down.put(machine, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DOWN_MILLIS));
        }
    }

    /** Starts what was killed for long enough, and what has ended after SIGTERM. */
    private void bringBack() {
        for (int edge : Set.copyOf(leaving)) {
            if (!network.process("proxy" + edge).isAlive()) {
                leaving.remove(edge);
                disturbances.started(edge);
                startEdge(edge, false);
            }
        }
        for (Map.Entry<Integer, Long> one : Map.copyOf(down).entrySet()) {
            if (System.nanoTime() >= one.getValue()) {
                down.remove(one.getKey());
                disturbances.started(one.getKey());
                if (one.getKey() < FIRST_EDGE) {
                    network.startCore(one.getKey(), false, 1, 2, 3);
                } else {
                    startEdge(one.getKey(), false);
                }
            }
        }
    }

    // ---- the verdict

    private void recover(List<String> faults) {
        try {
            ProcessNetwork.until("all processes are up", RECOVERS_MILLIS, () -> {
                bringBack();
                return leaving.isEmpty() && down.isEmpty();
            });
            for (int edge : edges) {
                ProcessNetwork.until("edge " + edge + " goes by " + word, RECOVERS_MILLIS, () -> serves(edge));
            }
            ProcessNetwork.until(
                    "the newest configuration is read", RECOVERS_MILLIS, () -> IntStream.rangeClosed(1, CORES)
                            .allMatch(core -> operator.reads(core, version, word)));
        } catch (AssertionError e) {
            faults.add(e.getMessage());
        }
    }

    private String describe(Asked one) {
        long tookMillis = TimeUnit.NANOSECONDS.toMillis(one.ended.endedNanos() - one.ended.sentNanos());
        Long left = leftAt.get(one.edge);
        String leaving = left == null
                ? ""
                : ", sent " + TimeUnit.NANOSECONDS.toMillis(one.ended.sentNanos() - left)
                        + " ms after its last SIGTERM";
        Request request = one.ended.request();
        return request.method() + ' ' + request.path() + " at edge " + one.edge + ", answered " + one.ended.status()
                + " after " + tookMillis + " ms" + leaving + nearestKill(one);
    }

    private String nearestKill(Asked one) {
        long sent = one.ended.sentNanos();
        return kills.stream()
                .filter(kill -> kill.machine == one.edge)
                .min(Comparator.comparingLong(kill -> Math.abs(kill.nanos - sent)))
                .map(kill -> ", sent " + TimeUnit.NANOSECONDS.toMillis(sent - kill.nanos)
                        + " ms after a kill was ordered, which took "
                        + TimeUnit.NANOSECONDS.toMillis(kill.overNanos - kill.nanos) + " ms")
                .orElse("");
    }

    private void judge(Queue<Asked> asked, List<String> faults) {
        Map<String, Integer> runs = new HashMap<>();
        servers.forEach(server -> server.runs().forEach(run -> runs.merge(run.attemptId(), 1, Integer::sum)));
        for (Asked one : asked) {
            Ended ended = one.ended;
            Request request = ended.request();
            int ran = runs.getOrDefault(request.id(), 0);
            String what = describe(one);
            if (!request.isRepeatable() && ran > 1) {
                faults.add(what + ", ran " + ran + " times");
            }
            if (!request.isRepeatable() && ran > 0 && PROMISES.contains(ended.status())) {
                faults.add(what + ", has run");
            }
            if (ended.status() == 200 && !ended.body().startsWith("object " + request.path() + " version ")) {
                faults.add(what + " with " + ended.body());
            }
            if (isDenied(ended.status())) {
                faults.add(what + ", though it is proper and its route is always there");
            }
            if (ended.status() == 0 && ended.connected() && ran > 0 && !wasKilled(one)) {
                faults.add(what + ", has run, and its edge was not killed");
            }
        }
    }

    /** A 3xx or 4xx that promises nothing; servers of the soak give none. */
    private static boolean isDenied(int status) {
        boolean redirectsOrDenies = status >= 300 && status < 500;
        return redirectsOrDenies && !PROMISES.contains(status);
    }

    private boolean wasKilled(Asked one) {
        return kills.stream()
                .anyMatch(kill -> kill.machine == one.edge
                        && kill.overNanos >= one.ended.sentNanos()
                        && kill.nanos <= one.ended.endedNanos());
    }

    private void judgeLogs(List<String> faults) {
        for (int edge : edges) {
            network.log("proxy" + edge)
                    .lines()
                    .filter(line -> line.contains("invariant violated") || line.contains("Exception"))
                    .limit(3)
                    .forEach(line -> faults.add("edge " + edge + ": " + line));
        }
    }

    @Override
    public void close() throws IOException {
        network.close();
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
