package gorsemast.processes;

import gorsemast.standin.LoopbackNetwork;
import gorsemast.standin.LoopbackNetwork.Answer;
import gorsemast.standin.StandInServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;

/**
 * Real processes on loopback under overlapping troubles, while clients ask for more objects than their servers bear: 3 core
 * machines, 6 edges, 2 object servers. One course a seed, of some seconds; the processes live on between courses. What was seen is
 * judged afterwards. One caller; nothing sleeps, waits are bounded polls.
 */
final class ObjectSoak implements AutoCloseable {
    private static final int CORES = 3;
    private static final List<Integer> EDGES = List.of(20, 21, 22, 23, 24, 25);
    private static final int OBJECTS = 2_000;
    private static final int CLIENTS = 16;
    private static final long THINK_MILLIS = 90;
    private static final long WORK_MICROS = 40_000;
    private static final long SLOW_MICROS = 700_000;
    private static final long START_MILLIS = 30_000;
    private static final long RECOVERS_MILLIS = 15_000;
    private static final long COURSE_MILLIS = 5_000;
    /** A client whose edge was in no trouble has an answer by then: its own limit is 1.5 s. */
    private static final long ANSWER_MILLIS = 6_000;

    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final double PER_SECOND = 60;
    private static final double OVERRUN = 1.1;
    private static final int WINDOW_SLACK = 5;
    private static final long WINDOW_MILLIS = 5_000;

    /** A client's request and what came of it. */
    private record Asked(int edge, String path, long sentMillis, Answer answer) {}

    /** How many requests had reached servers by a time. */
    private record Arrived(long millis, long count) {}

    /** What a course has shown; {@code faults} is empty where all held. */
    record Verdict(long seed, List<SoakTrouble> troubles, int asked, int served, List<String> faults) {}

    private final ProcessNetwork network;
    private final ScheduledExecutorService clients = Executors.newSingleThreadScheduledExecutor();
    private final List<StandInServer> servers = new ArrayList<>();
    private final List<Arrived> arrived = new ArrayList<>();
    private final long begun = System.nanoTime();

    ObjectSoak(Path data) throws IOException {
        network = new ProcessNetwork(data, CORES, EDGES.size());
        for (int core = 1; core <= CORES; core++) {
            network.startCore(core, true, 1, 2, 3);
        }
        EDGES.forEach(edge -> network.startEdge(edge, true, 1, 2, 3));
        for (int i = 0; i < 2; i++) {
            StandInServer server = network.server("i-" + i, "objects", 40 + i, 1, 2, 3);
            server.setWorkMicros(WORK_MICROS);
            servers.add(server);
        }
        ProcessNetwork.until("the first configuration", START_MILLIS, () -> configure());
        ProcessNetwork.until(
                "objects at all edges", START_MILLIS, () -> EDGES.stream().allMatch(this::serves));
    }

    private boolean configure() {
        byte[] content = new String(LoopbackNetwork.configuration(1, "4s"), StandardCharsets.UTF_8)
                .replace("\"ratePerS\":880.0", "\"ratePerS\":" + PER_SECOND)
                .getBytes(StandardCharsets.UTF_8);
        return network.control(1, "POST", "/v1/configuration/replace", content, START_MILLIS)
                        .join()
                        .status()
                == 200;
    }

    private boolean serves(int edge) {
        return network.ready(edge) && network.ask(edge, "/objects/hot").status() == 200;
    }

    private long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
    }

    /** Plays one course. */
    Verdict play(long seed) {
        List<SoakTrouble> troubles = SoakTrouble.draw(seed, EDGES, CORES, servers.size());
        Queue<Asked> asked = new ConcurrentLinkedQueue<>();
        AtomicBoolean over = new AtomicBoolean();
        List<CompletableFuture<Void>> ends = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < CLIENTS; i++) {
            CompletableFuture<Void> end = new CompletableFuture<>();
            ends.add(end);
            ask(random.split(), asked, over, end);
        }
        long start = millis();
        strike(troubles, start);
        over.set(true);
        ends.forEach(CompletableFuture::join);
        List<String> faults = new ArrayList<>();
        recover(faults);
        judgeAnswers(asked, troubles, start, faults);
        judgeArrivals(faults);
        judgeLogs(faults);
        int served =
                (int) asked.stream().filter(one -> one.answer.status() == 200).count();
        return new Verdict(seed, troubles, asked.size(), served, faults);
    }

    private void ask(SplittableRandom random, Queue<Asked> asked, AtomicBoolean over, CompletableFuture<Void> end) {
        if (over.get()) {
            end.complete(null);
            return;
        }
        int edge = EDGES.get(random.nextInt(EDGES.size()));
        int object = (int) Math.pow(OBJECTS, random.nextDouble()); // about as a Zipf distribution has it
        String path = "/objects/" + object;
        long sent = millis();
        Map<String, String> headers = LoopbackNetwork.client("s" + Long.toHexString(random.nextLong()));
        network.send(network.front(edge), "GET", path, headers, null, ANSWER_MILLIS)
                .thenAccept(answer -> {
                    asked.add(new Asked(edge, path, sent, answer));
                    clients.schedule(() -> ask(random, asked, over, end), THINK_MILLIS, TimeUnit.MILLISECONDS);
                });
    }

    private void strike(List<SoakTrouble> troubles, long start) {
        Deque<SoakTrouble> waiting = new ArrayDeque<>(troubles.stream()
                .sorted(Comparator.comparing(SoakTrouble::beginMillis))
                .toList());
        List<SoakTrouble> under = new ArrayList<>();
        while (millis() - start < COURSE_MILLIS || !under.isEmpty()) {
            long now = millis() - start;
            while (!waiting.isEmpty() && now >= waiting.peek().beginMillis()) {
                begin(waiting.peek());
                under.add(waiting.poll());
            }
            for (SoakTrouble trouble : List.copyOf(under)) {
                if (now >= trouble.endMillis()) {
                    under.remove(trouble);
                    end(trouble, under);
                }
            }
            arrived.add(new Arrived(
                    millis(),
                    servers.stream().mapToLong(server -> server.runs().size()).sum()));
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    private static String name(int edge) {
        return "edge-" + edge;
    }

    private void begin(SoakTrouble trouble) {
        int one = trouble.machine();
        switch (trouble.kind()) {
            case EDGE_KILLED -> network.kill(one);
            case EDGE_PAUSED, CORE_PAUSED -> network.pause(one);
            case EDGES_CUT -> network.relay().cut(name(one), name(trouble.other()));
            case EDGES_RESET -> network.relay().reset(name(one), name(trouble.other()));
            case ANSWERS_LOST -> servers.get(one).setBehavior(StandInServer.Behavior.NEVER_RESPONDS);
            case ANSWERS_CUT_SHORT -> servers.get(one).setBehavior(StandInServer.Behavior.TRUNCATES_RESPONSE);
            case ANSWERS_LATE_AGAIN -> servers.get(one).setBehavior(StandInServer.Behavior.REPEATS_PREVIOUS_RESPONSE);
            case SERVER_RESETS -> servers.get(one).setBehavior(StandInServer.Behavior.RESETS);
            case SERVER_SLOW -> servers.get(one).setWorkMicros(SLOW_MICROS);
        }
    }

    private void end(SoakTrouble trouble, List<SoakTrouble> others) {
        int one = trouble.machine();
        switch (trouble.kind()) {
            case EDGE_KILLED -> network.startEdge(one, false, 1, 2, 3);
            case EDGE_PAUSED, CORE_PAUSED -> network.resume(one);
            case EDGES_CUT, EDGES_RESET -> {
                network.relay().heal(); // all links; what is still cut is cut again
                others.stream().filter(SoakTrouble::isOnLinks).forEach(this::begin);
            }
            case SERVER_SLOW -> servers.get(one).setWorkMicros(WORK_MICROS);
            default -> servers.get(one).setBehavior(StandInServer.Behavior.SERVES);
        }
    }

    // ---- the verdict

    private void recover(List<String> faults) {
        for (int edge : EDGES) {
            try {
                ProcessNetwork.until("edge " + edge + " serves", RECOVERS_MILLIS, () -> serves(edge));
            } catch (AssertionError e) {
                faults.add(e.getMessage());
            }
        }
    }

    private static void judgeAnswers(Queue<Asked> asked, List<SoakTrouble> troubles, long start, List<String> faults) {
        for (Asked one : asked) {
            boolean excused = troubles.stream()
                    .anyMatch(trouble -> trouble.strikes(one.edge)
                            && one.sentMillis + ANSWER_MILLIS > start + trouble.beginMillis()
                            && one.sentMillis < start + trouble.endMillis() + ANSWER_MILLIS);
            if (one.answer.status() == 0 && !excused) {
                faults.add(one.path + " at edge " + one.edge + ", sent at " + (one.sentMillis - start)
                        + " ms, was never answered");
            }
            if (one.answer.status() == 200 && !one.answer.text().startsWith("object " + one.path + " version ")) {
                faults.add(one.path + " at edge " + one.edge + " was answered with " + one.answer.text());
            }
        }
    }

    private void judgeArrivals(List<String> faults) {
        double most = PER_SECOND * WINDOW_MILLIS / 1_000 * OVERRUN + WINDOW_SLACK;
        int first = 0;
        for (int last = 0; last < arrived.size(); last++) {
            while (arrived.get(last).millis - arrived.get(first).millis > WINDOW_MILLIS) {
                first++;
            }
            long count = arrived.get(last).count - arrived.get(first).count;
            if (count > most) {
                faults.add(count + " requests reached the servers in a window, where " + most + " may");
                return;
            }
        }
    }

    private void judgeLogs(List<String> faults) {
        for (int edge : EDGES) {
            network.log("proxy" + edge)
                    .lines()
                    .filter(line -> line.contains("invariant violated") || line.contains("Exception"))
                    .limit(3)
                    .forEach(line -> faults.add("edge " + edge + ": " + line));
        }
    }

    @Override
    public void close() throws IOException {
        clients.shutdownNow();
        network.close();
    }
}
