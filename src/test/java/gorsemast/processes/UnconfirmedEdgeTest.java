package gorsemast.processes;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/**
 * Seen: an edge that has just started goes by an older configuration until it hears of the newest, and says 404 of a route that was
 * added and confirmed before its start. A 404 ends a client's tries.
 *
 * <p>How: the first registry that it reaches tells it what it holds, vouched for or not; on a full machine, behind a cut or after a loss of
 * power that lasts.
 *
 * <p>Cause: what was heard and what is confirmed were one and the same to whoever asks for a route.
 *
 * <p>Proof: an edge that reaches one registry only, which is cut off from the others and says that it can't vouch.
 */
class UnconfirmedEdgeTest {
    private static final int EDGE = 20;
    private static final long START_MILLIS = 30_000;
    /** How long a registry vouches for what it holds after it has last asked for that. */
    private static final long LEASE_NANOS = TimeUnit.SECONDS.toNanos(2);

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path data;

    private ProcessNetwork network;
    private Operator operator;

    @BeforeEach
    void start() throws IOException {
        network = new ProcessNetwork(data, 3, 1);
        operator = new Operator(network);
        for (int core = 1; core <= 3; core++) {
            network.startCore(core, true, 1, 2, 3);
        }
        network.server("i-0", "orders", 40, 1, 2, 3);
        ProcessNetwork.until(
                "the first order",
                START_MILLIS,
                () -> operator.replace(1, 1, "first").join().status() == 200);
        for (int core = 1; core <= 3; core++) {
            int each = core;
            ProcessNetwork.until("a read at " + core, START_MILLIS, () -> operator.reads(each, 1, "first"));
        }
        ProcessNetwork.until("a primary's word", START_MILLIS, () -> network.primary() > 0);
    }

    @AfterEach
    void stop() throws IOException {
        network.close();
    }

    @Test
    void whatNobodyVouchesForDeniesNoRoute() {
        int cutOff = network.primary();
        List<Integer> others =
                List.of(1, 2, 3).stream().filter(core -> core != cutOff).toList();
        network.between(cutOff, others, network.relay()::cut);
        network.between(EDGE, others, network.relay()::cut);
        operator.order(2, "added", others.get(0), others.get(1));
        long acknowledged = System.nanoTime();
        ProcessNetwork.until("the lease's end", START_MILLIS, () -> System.nanoTime() - acknowledged > LEASE_NANOS);
        network.startEdge(EDGE, false, 1, 2, 3);
        ProcessNetwork.until(
                "the edge serves what it has heard of",
                START_MILLIS,
                () -> network.ask(EDGE, "/orders/known").status() == 200);
        assertThat(network.ready(EDGE)).as("nobody vouches").isFalse();
        assertThat(network.ask(EDGE, Operator.route("added") + 'x').status())
                .as("a route that it can't know of yet")
                .isEqualTo(503);
        network.relay().heal();
        ProcessNetwork.until("it goes by the newest", START_MILLIS, () -> operator.goesBy(EDGE, "added"));
        ProcessNetwork.until("it is ready", START_MILLIS, () -> network.ready(EDGE));
        assertThat(network.ask(EDGE, Operator.route("first") + 'x').status())
                .as("a route that the newest has dropped")
                .isEqualTo(404);
    }
}
