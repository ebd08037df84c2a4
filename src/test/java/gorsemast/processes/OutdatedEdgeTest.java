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
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/** An edge that was ready, and misses a change because it stands still or reaches no registry. */
class OutdatedEdgeTest {
    private static final int CORES = 3;
    private static final int EDGE = 20;
    private static final int REQUESTS = 20;
    private static final String OBJECT = "/objects/";
    private static final long START_MILLIS = 30_000;
    private static final long PATIENCE_MILLIS = 4_000;
    /** {@code configApply}, after which an acknowledged change must be in force, and a little. */
    private static final long IN_FORCE_MILLIS = 2_050;
    /** Registries have given up their links to a process that is silent for this long. */
    private static final long LINKS_LOST_MILLIS = 2_500;

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path data;

    private ProcessNetwork network;
    private Operator operator;
    private StandInServer objects;
    private int number;

    @BeforeEach
    void start() throws IOException {
        network = new ProcessNetwork(data, CORES, 1);
        operator = new Operator(network);
        for (int core = 1; core <= CORES; core++) {
            network.startCore(core, true, 1, 2, 3);
        }
        network.startEdge(EDGE, true, 1, 2, 3);
        network.server("i-0", "orders", 40, 1, 2, 3);
        objects = network.server("i-1", "objects", 41, 1, 2, 3);
        ProcessNetwork.until(
                "the first order",
                START_MILLIS,
                () -> operator.replace(1, 1, "first").join().status() == 200);
        ProcessNetwork.until(
                "the edge is ready", START_MILLIS, () -> network.ready(EDGE) && operator.goesBy(EDGE, "first"));
    }

    @AfterEach
    void stop() throws IOException {
        network.close();
    }

    private static void pass(long millis) {
        long begun = System.nanoTime();
        ProcessNetwork.until(
                millis + " ms pass",
                START_MILLIS,
                () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun) > millis);
    }

    private List<CompletableFuture<Answer>> send(String route) {
        List<CompletableFuture<Answer>> answers = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            answers.add(network.send(
                    network.front(EDGE),
                    "GET",
                    route + number,
                    LoopbackNetwork.client("a" + number++),
                    null,
                    PATIENCE_MILLIS));
        }
        return answers;
    }

    private static List<Integer> statuses(List<CompletableFuture<Answer>> answers) {
        return answers.stream().map(answer -> answer.join().status()).toList();
    }

    /** CONFIG: an edge that had stood still said 404 on a route that had been added more than 2 s before. */
    @Test
    void anEdgeThatStoodStillDeniesNoAddedRouteAndServesNoDroppedOne() {
        network.pause(EDGE);
        pass(LINKS_LOST_MILLIS);
        operator.order(2, "added", 1, 2, 3);
        pass(IN_FORCE_MILLIS);
        List<CompletableFuture<Answer>> onAdded = send(Operator.route("added"));
        List<CompletableFuture<Answer>> onDropped = send(Operator.route("first"));
        network.resume(EDGE);
        assertThat(statuses(onAdded)).as("on the added route").doesNotContain(404);
        assertThat(statuses(onDropped)).as("on the dropped route").doesNotContain(200);
        ProcessNetwork.until("the edge goes by the newest", START_MILLIS, () -> operator.goesBy(EDGE, "added"));
        ProcessNetwork.until(
                "it knows that the dropped route is gone",
                START_MILLIS,
                () -> network.ask(EDGE, Operator.route("first") + 'x').status() == 404);
    }

    /** STALE: an edge that had stood still served copies that had been purged more than 2 s before. */
    @Test
    void anEdgeThatStoodStillServesNoPurgedCopy() {
        ProcessNetwork.until("the copies", START_MILLIS, () -> IntStream.range(0, REQUESTS)
                .allMatch(i -> network.ask(EDGE, OBJECT + i).status() == 200));
        network.pause(EDGE);
        pass(LINKS_LOST_MILLIS);
        for (int i = 0; i < REQUESTS; i++) {
            String path = OBJECT + i;
            objects.change(path);
            operator.clear("a purge", core -> operator.purge(core, path), 1, 2, 3);
        }
        pass(IN_FORCE_MILLIS);
        List<CompletableFuture<Answer>> answers = send(OBJECT);
        network.resume(EDGE);
        assertThat(answers.stream().map(answer -> answer.join().text()))
                .as("answers after the purge")
                .noneMatch(text -> text.contains("version 0"));
    }

    /** CONFIG: an edge that reached no registry said 404 on a route that had been added more than 2 s before. */
    @Test
    void anEdgeThatReachesNoRegistryDeniesNoAddedRoute() {
        network.between(EDGE, List.of(1, 2, 3), network.relay()::cut);
        operator.order(2, "added", 1, 2, 3);
        pass(IN_FORCE_MILLIS);
        assertThat(statuses(send(Operator.route("added"))))
                .as("on the added route")
                .containsOnly(503);
        assertThat(statuses(send("/orders/"))).as("on a route that it knows").containsOnly(200);
        network.relay().heal();
        ProcessNetwork.until("the edge goes by the newest", START_MILLIS, () -> operator.goesBy(EDGE, "added"));
        ProcessNetwork.until(
                "it knows that the dropped route is gone",
                START_MILLIS,
                () -> network.ask(EDGE, Operator.route("first") + 'x').status() == 404);
    }
}
