package gorsemast.processes;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.peer.Ports;
import gorsemast.standin.LoopbackNetwork.Answer;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/** Two contents under one number, sent to two registries at once; the one that was taken sent again, to all, later. */
class OrdersProcessesTest {
    private static final int EDGE = 20;
    private static final int LATE_EDGE = 21;
    private static final int ROUNDS = 4;
    private static final long START_MILLIS = 20_000;

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path data;

    private ProcessNetwork network;
    private Operator operator;

    @BeforeEach
    void start() throws IOException {
        network = new ProcessNetwork(data, 3, 2);
        operator = new Operator(network);
        startAll(true);
        network.server("i-1", "orders", 41, 1, 2, 3);
        ProcessNetwork.until(
                "the first order",
                START_MILLIS,
                () -> operator.replace(1, 1, "first").join().status() == 200);
        ProcessNetwork.until("the edge's first answers", START_MILLIS, () -> operator.goesBy(EDGE, "first"));
    }

    @AfterEach
    void stop() throws IOException {
        network.close();
    }

    private void startAll(boolean first) {
        for (int core = 1; core <= 3; core++) {
            network.startCore(core, first, 1, 2, 3);
        }
        network.startEdge(EDGE, first, 1, 2, 3);
    }

    /** Sends two contents under one number to two registries at once; returns which was taken. */
    private String race(int version, String one, String other, int first, int second) {
        CompletableFuture<Answer> left = CompletableFuture.supplyAsync(
                () -> operator.clear("the race's first", core -> operator.replace(core, version, one), first, second));
        CompletableFuture<Answer> right = CompletableFuture.supplyAsync(() ->
                operator.clear("the race's second", core -> operator.replace(core, version, other), second, first));
        List<Integer> statuses = List.of(left.join().status(), right.join().status());
        assertThat(Set.copyOf(statuses))
                .as("two contents under number " + version + ": exactly one is taken, of " + statuses)
                .isEqualTo(Set.of(200, 409));
        return statuses.get(0) == 200 ? one : other;
    }

    private void eachAnswers(String what, int wanted, Operator.Call call) {
        for (int core = 1; core <= 3; core++) {
            assertThat(operator.clear(what, call, core).status())
                    .as(what + " to registry " + core)
                    .isEqualTo(wanted);
        }
    }

    private void eachReads(int version, String word) {
        for (int core = 1; core <= 3; core++) {
            int each = core;
            Answer answer = operator.clear("a read", operator::read, each);
            assertThat(answer.text())
                    .as("read at " + core)
                    .isEqualTo(new String(Operator.content(version, word), java.nio.charset.StandardCharsets.UTF_8));
        }
    }

    @Test
    void ofTwoContentsUnderOneNumberOneIsTakenAndStaysSo() {
        List<String> taken = new ArrayList<>();
        int version = 10;
        for (int round = 0; round < ROUNDS; round++) {
            int number = version + 10 * round;
            String one = "one" + round;
            String other = "other" + round;
            String winner = race(number, one, other, 1 + round % 3, 1 + (round + 1) % 3);
            String loser = winner.equals(one) ? other : one;
            taken.add(winner);
            eachAnswers("the taken order again", 200, core -> operator.replace(core, number, winner));
            eachAnswers("the refused order again", 409, core -> operator.replace(core, number, loser));
            eachReads(number, winner);
            ProcessNetwork.until(
                    "the edge goes by " + winner, Operator.CAUGHT_UP_MILLIS, () -> operator.goesBy(EDGE, winner));
            assertThat(operator.goesBy(EDGE, loser)).isFalse();
            if (round > 0) {
                String before = taken.get(round - 1);
                eachAnswers("an overtaken order again", 200, core -> operator.replace(core, number - 10, before));
            }
        }
        int last = version + 10 * (ROUNDS - 1);
        String winner = taken.get(ROUNDS - 1);
        String loser = winner.startsWith("one") ? winner.replace("one", "other") : winner.replace("other", "one");
        network.kill(1, 2, 3, EDGE);
        startAll(false);
        ProcessNetwork.until("a read after the restart", START_MILLIS, () -> operator.reads(1, last, winner));
        eachAnswers("the taken order after a restart of all", 200, core -> operator.replace(core, last, winner));
        eachAnswers("the refused order after a restart of all", 409, core -> operator.replace(core, last, loser));
        eachReads(last, winner);
        ProcessNetwork.until("the edge goes by " + winner, START_MILLIS, () -> operator.goesBy(EDGE, winner));
        assertThat(operator.goesBy(EDGE, loser)).isFalse();
    }

    @Test
    void aRegistryThatHasNotHeardOfTheTakenContentTellsItsEdgesNoOther() {
        network.startEdge(LATE_EDGE, false, 1, 2, 3);
        ProcessNetwork.until(
                "the second edge's first answers", START_MILLIS, () -> operator.goesBy(LATE_EDGE, "first"));
        // Registry 1 hears of the others by its store alone; one edge hears of registry 1, the other of the rest.
        network.between(1, List.of(2, 3), (one, other) -> network.relay().cut(one, other, Ports.REGISTRY.name()));
        network.between(LATE_EDGE, List.of(2, 3, EDGE), network.relay()::cut);
        network.between(EDGE, List.of(1), network.relay()::cut);
        operator.order(5, "taken", 2, 3);
        Answer other = operator.replace(1, 5, "other").join();
        ProcessNetwork.until(
                "edge 20 goes by the taken one", Operator.CAUGHT_UP_MILLIS, () -> operator.goesBy(EDGE, "taken"));
        boolean toldOther = operator.goesBy(LATE_EDGE, "other");
        network.relay().heal();
        ProcessNetwork.until(
                "the second edge goes by the taken content; that it ever went by the other: " + toldOther
                        + ", answer to the other: " + other.status(),
                Operator.CAUGHT_UP_MILLIS,
                () -> operator.goesBy(LATE_EDGE, "taken"));
        assertThat(Operator.confirms(other))
                .as("another content: " + other.status())
                .isFalse();
        assertThat(toldOther).as("an edge went by what was not taken").isFalse();
        assertThat(operator.goesBy(LATE_EDGE, "other")).isFalse();
        assertThat(operator.goesBy(EDGE, "other")).isFalse();
    }

    @Test
    void theSecondContentIsRefusedWhoeverItIsSentTo() {
        operator.order(5, "taken", 1);
        eachAnswers("another content", 409, core -> operator.replace(core, 5, "another"));
        eachAnswers("the same content", 200, core -> operator.replace(core, 5, "taken"));
        eachReads(5, "taken");
    }
}
