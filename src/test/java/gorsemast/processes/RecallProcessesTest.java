package gorsemast.processes;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.standin.StandInServer;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/**
 * A drain or a purge is acknowledged, and at once all processes of the core are killed. No edge has heard of it: what
 * reaches them then comes from the disks.
 */
class RecallProcessesTest {
    private static final int EDGE = 20;
    private static final int LATE_EDGE = 21;
    private static final int REQUESTS = 40;
    private static final long START_MILLIS = 20_000;
    /** {@code contact}, and {@code purge} or {@code drain} after it. */
    private static final long KNOWN_MILLIS = 5_000;

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path data;

    private ProcessNetwork network;
    private Operator operator;
    private StandInServer leaving;

    @BeforeEach
    void start() throws IOException {
        network = new ProcessNetwork(data, 3, 2);
        operator = new Operator(network);
        startCore(true);
        network.startEdge(EDGE, true, 1, 2, 3);
        network.server("i-0", "objects", 40, 1, 2, 3);
        network.server("i-1", "orders", 41, 1, 2, 3);
        leaving = network.server("i-2", "orders", 42);
        ProcessNetwork.until(
                "the first order",
                START_MILLIS,
                () -> operator.replace(1, 1, "first").join().status() == 200);
        int[] seq = {0};
        ProcessNetwork.until("all servers have served", START_MILLIS, () -> {
            beat(1 + seq[0] % 3, "ready", ++seq[0]);
            network.ask(EDGE, "/orders/first" + seq[0]);
            return !leaving.runs().isEmpty()
                    && network.ask(EDGE, "/objects/held").status() == 200;
        });
        network.between(EDGE, List.of(1, 2, 3), network.relay()::refuse);
    }

    @AfterEach
    void stop() throws IOException {
        network.close();
    }

    private void startCore(boolean first) {
        for (int core = 1; core <= 3; core++) {
            network.startCore(core, first, 1, 2, 3);
        }
    }

    private String address() {
        return leaving.address().getAddress().getHostAddress()
                + ':'
                + leaving.address().getPort();
    }

    private void beat(int core, String state, int callSeq) {
        operator.beat(core, leaving.id(), address(), state, callSeq).join();
    }

    /** Sends it as its caller does, to one registry after another until the answer is clear, which is a 200. */
    private void acknowledged(String what, Operator.Call call) {
        assertThat(operator.clear(what, call, 1, 2, 3).status()).as(what).isEqualTo(200);
    }

    private void restartCore() {
        network.kill(1, 2, 3);
        startCore(false);
        for (int core = 1; core <= 3; core++) {
            int each = core;
            ProcessNetwork.until("a read at " + core, START_MILLIS, () -> operator.reads(each, 1, "first"));
        }
    }

    private void nothingReaches(int edge) {
        int before = leaving.runs().size();
        for (int i = 0; i < REQUESTS; i++) {
            assertThat(network.ask(edge, "/orders/after" + i).status()).isEqualTo(200);
        }
        assertThat(leaving.runs().size() - before)
                .as("requests by edge " + edge + " that reached a server whose drain was acknowledged")
                .isZero();
    }

    /** Whatever was acknowledged, with no edge in reach: all are killed, and no edge sends the server anything. */
    private void nothingReachesItAfterTheEndOfAll() {
        restartCore();
        beat(2, "ready", 999); // one that was under way all the while
        network.startEdge(LATE_EDGE, false, 1, 2, 3);
        ProcessNetwork.until("the late edge is ready", START_MILLIS, () -> network.ready(LATE_EDGE));
        nothingReaches(LATE_EDGE);
        network.relay().heal();
        ProcessNetwork.until("the first edge hears that it leaves", KNOWN_MILLIS, () -> {
            int before = leaving.runs().size();
            for (int i = 0; i < REQUESTS; i++) {
                network.ask(EDGE, "/orders/healed" + i);
            }
            return leaving.runs().size() == before;
        });
        nothingReaches(EDGE);
    }

    @Test
    void aDrainOutlivesTheEndOfAllRegistries() {
        String address = address();
        acknowledged("a drain", core -> operator.beat(core, leaving.id(), address, "draining", 1_000));
        nothingReachesItAfterTheEndOfAll();
    }

    @Test
    void aDepartureOutlivesTheEndOfAllRegistries() {
        acknowledged("a departure", core -> operator.deregister(core, leaving.id()));
        nothingReachesItAfterTheEndOfAll();
    }

    @Test
    void aPurgeOutlivesTheEndOfAllRegistries() {
        network.servers().get(0).change("/objects/held");
        assertThat(network.ask(EDGE, "/objects/held").text()).contains("version 0");
        acknowledged("a purge", core -> operator.purge(core, "/objects/held"));
        restartCore();
        network.relay().heal();
        ProcessNetwork.until("the edge hears of the purge", KNOWN_MILLIS, () -> network.ask(EDGE, "/objects/held")
                .text()
                .contains("version 1"));
    }
}
