package gorsemast.processes;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.standin.LoopbackNetwork;
import gorsemast.standin.LoopbackNetwork.Answer;
import gorsemast.standin.StandInServer;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * STALE, CONFIG, DRAIN: edges that were linked to a partitioned registry alone served purged copies and dropped routes, and sent to a
 * server that was leaving, for as long as the partition lasted. Here the registry to which most edges are linked is partitioned from the
 * other two, or stands still, while an object changes and is purged, a route is dropped and a server drains. From {@code contact} on
 * the edges are in touch again, and each answer is judged.
 */
class PartitionedRegistryTest {
    private static final int CORES = 3;
    private static final int EDGES = 6;
    private static final int FIRST_EDGE = 20;
    private static final String OBJECT = "/objects/a";
    private static final String TAG = "all";
    private static final String DRAINED = "i-1";
    private static final long START_MILLIS = 30_000;
    private static final long PATIENCE_MILLIS = 1_500;
    private static final long CONTACT_MILLIS = 3_000;
    /** {@code purge}, {@code configApply} and {@code drain}. */
    private static final long IN_FORCE_MILLIS = 2_000;

    private static final long TROUBLE_MILLIS = 5_500;
    private static final long MARGIN_MILLIS = 50;

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path data;

    private final List<Integer> edges =
            IntStream.range(FIRST_EDGE, FIRST_EDGE + EDGES).boxed().toList();
    private ProcessNetwork network;
    private Operator operator;
    private StandInServer objects;
    private StandInServer drained;
    private int number;

    private void start(int descriptors) throws IOException {
        network = new ProcessNetwork(data, CORES, EDGES);
        operator = new Operator(network);
        for (int core = 1; core <= CORES; core++) {
            network.startCore(core, true, 1, 2, 3);
        }
        network.edgeDescriptors(descriptors);
        edges.forEach(edge -> network.startEdge(edge, true, 1, 2, 3));
        network.server("i-0", "orders", 40, 1, 2, 3);
        drained = network.server(DRAINED, "orders", 41, 1, 2, 3);
        objects = network.server("i-2", "objects", 42, 1, 2, 3);
        ProcessNetwork.until(
                "the first configuration",
                START_MILLIS,
                () -> operator.replace(1, 1, "first").join().status() == 200);
        for (int edge : edges) {
            ProcessNetwork.until(
                    "edge " + edge + " is ready",
                    START_MILLIS,
                    () -> network.ready(edge) && operator.goesBy(edge, "first"));
        }
    }

    @AfterEach
    void stop() throws IOException {
        network.close();
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    private static void passUntil(long begun, long millis) {
        ProcessNetwork.until(millis + " ms", START_MILLIS, () -> millisSince(begun) >= millis);
    }

    private int mostLinked() {
        int most = 1;
        for (int core = 2; core <= CORES; core++) {
            most = linkedTo(core) > linkedTo(most) ? core : most;
        }
        return most;
    }

    private long linkedTo(int core) {
        return edges.stream().filter(edge -> network.isLinked(edge, core)).count();
    }

    private static int[] others(int core) {
        return IntStream.rangeClosed(1, CORES).filter(other -> other != core).toArray();
    }

    private CompletableFuture<Answer> send(int edge, String method, String path) {
        return network.send(
                network.front(edge),
                method,
                path,
                LoopbackNetwork.client("p" + number++),
                method.equals("POST") ? new byte[] {'x'} : null,
                PATIENCE_MILLIS);
    }

    /** The version that an edge serves; negative where it serves none. */
    private int version(Answer answer) {
        String text = answer.text();
        return answer.status() == 200
                ? Integer.parseInt(text.substring(text.lastIndexOf(' ') + 1).trim())
                : -1;
    }

    private void fillCaches(int expected) {
        for (int edge : edges) {
            ProcessNetwork.until(
                    "a copy at edge " + edge,
                    START_MILLIS,
                    () -> version(send(edge, "GET", OBJECT).join()) == expected);
        }
    }

    /** The latest time, since {@code begun}, from which what was changed must be in force at edges in touch. */
    private long change(int core, int version, String added, long begun) {
        objects.change(OBJECT);
        operator.clear(
                "a purge",
                other -> version % 2 == 0 ? operator.purge(other, OBJECT) : operator.purgeTag(other, TAG),
                others(core));
        operator.order(version, added, others(core));
        return Math.max(CONTACT_MILLIS, millisSince(begun) + IN_FORCE_MILLIS) + MARGIN_MILLIS;
    }

    private void drain(int core) {
        drained.setHeartbeatsEnabled(false);
        Answer answer = operator.clear(
                "a drain",
                other -> operator.beat(
                        other,
                        DRAINED,
                        drained.address().getAddress().getHostAddress()
                                + ':'
                                + drained.address().getPort(),
                        "draining",
                        1_000_000),
                others(core));
        assertThat(answer.status()).isEqualTo(200);
    }

    /** Asks all edges again and again until {@code until}; returns what they must not have done. */
    private List<String> judge(long begun, long until, int version, String dropped) {
        List<String> faults = new ArrayList<>();
        while (millisSince(begun) < until) {
            for (int edge : edges) {
                long at = millisSince(begun);
                CompletableFuture<Answer> object = send(edge, "GET", OBJECT);
                CompletableFuture<Answer> route = send(edge, "GET", Operator.route(dropped) + number);
                send(edge, "POST", "/orders/pay/" + number).join();
                int served = version(object.join());
                if (served >= 0 && served < version) {
                    faults.add("edge " + edge + " serves version " + served + " after " + at + " ms");
                }
                if (route.join().status() == 200) {
                    faults.add("edge " + edge + " serves the dropped route " + dropped + " after " + at + " ms");
                }
            }
        }
        return faults;
    }

    private long drainedRunsAfter(long begun, long millis) {
        return drained.runs().stream()
                .filter(run -> TimeUnit.NANOSECONDS.toMillis(run.nanos() - begun) > millis)
                .count();
    }

    @ParameterizedTest
    @CsvSource({"CUT_OFF,220", "CUT_OFF_OUTWARDS,220", "CUT_OFF_INWARDS,220", "STANDS_STILL,220", "CUT_OFF,4096"})
    void edgesInTouchFollowTheOtherRegistries(CoreTrouble trouble, int descriptors) throws IOException {
        start(descriptors);
        fillCaches(0);
        int core = mostLinked();
        long begun = System.nanoTime();
        trouble.begin(network, core, others(core));
        drain(core);
        long inForce = change(core, 2, "second", begun);
        passUntil(begun, inForce);
        List<String> faults = judge(begun, TROUBLE_MILLIS, 1, "first");
        long late = drainedRunsAfter(begun, inForce);
        trouble.end(network, core, others(core));
        assertThat(faults).isEmpty();
        assertThat(late).as("requests that the leaving server ran").isZero();
    }

    /** A second partition begins once the edges have moved: of the registry to which most of them are linked by then. */
    @Test
    void edgesInTouchFollowTheOthersAgainWhenTheNextRegistryIsCutOff() throws IOException {
        start(220);
        fillCaches(0);
        List<String> faults = new ArrayList<>();
        for (int round = 1; round <= 3; round++) {
            int core = mostLinked();
            long begun = System.nanoTime();
            CoreTrouble.CUT_OFF.begin(network, core, others(core));
            passUntil(begun, round * 200L);
            long inForce = change(core, 1 + round, "round" + round, begun);
            passUntil(begun, inForce);
            faults.addAll(judge(begun, TROUBLE_MILLIS, round, round == 1 ? "first" : "round" + (round - 1)));
            network.relay().heal();
        }
        assertThat(faults).isEmpty();
    }

    /** Edges start, stand still and wake within a partition, and find the others all the same. */
    @Test
    void edgesThatStartOrResumeWithinAPartitionFollowTheOthers() throws IOException {
        start(220);
        fillCaches(0);
        int core = mostLinked();
        List<Integer> linked =
                edges.stream().filter(edge -> network.isLinked(edge, core)).toList();
        CoreTrouble.CUT_OFF.begin(network, core, others(core));
        for (int edge : edges) {
            network.pause(edge);
        }
        passUntil(System.nanoTime(), CONTACT_MILLIS);
        change(core, 2, "second", System.nanoTime());
        edges.forEach(network::resume);
        network.kill(linked.get(0));
        network.startEdge(linked.get(0), false, core, others(core)[0], others(core)[1]);
        long begun = System.nanoTime();
        passUntil(begun, CONTACT_MILLIS + MARGIN_MILLIS);
        assertThat(judge(begun, TROUBLE_MILLIS, 1, "first")).isEmpty();
    }
}
