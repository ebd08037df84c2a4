package gorsemast.processes;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/**
 * A core machine is lost with its disk and replaced, and {@code syncTime} after the replacement's start a second one is
 * lost. Orders go on all the while.
 */
class MembershipProcessesTest {
    private static final long START_MILLIS = 20_000;
    private static final long SYNC_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final int SPARE = 4;

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path data;

    private ProcessNetwork network;
    private Operator operator;
    private int version = 1;
    private int first;

    @BeforeEach
    void start() throws IOException {
        network = new ProcessNetwork(data, 4, 0);
        operator = new Operator(network);
        for (int core = 1; core <= 3; core++) {
            network.startCore(core, true, 1, 2, 3);
        }
        ProcessNetwork.until(
                "the first order",
                START_MILLIS,
                () -> operator.replace(1, 1, "v1").join().status() == 200);
        ProcessNetwork.until("a primary's word", START_MILLIS, () -> network.primary() > 0);
        first = network.primary();
    }

    @AfterEach
    void stop() throws IOException {
        network.close();
    }

    /** All but one. */
    private static int[] without(int gone, int... cores) {
        return Arrays.stream(cores).filter(core -> core != gone).toArray();
    }

    private void order(int... cores) {
        ++version;
        operator.order(version, "v" + version, cores);
    }

    /** Sends orders, one after another, until {@code syncTime} after {@code begun}. */
    private void orders(long begun, int... cores) {
        do {
            order(cores);
        } while (System.nanoTime() - begun < SYNC_NANOS);
    }

    /** Reads until then: nothing new is written, so that what the lost one held has to be handed on by itself. */
    private void reads(long begun, int... cores) {
        do {
            operator.clear("a read", operator::read, cores);
        } while (System.nanoTime() - begun < SYNC_NANOS);
    }

    /** The one of these that has to go next: the primary, where it is among them. */
    private int next(int... cores) {
        int primary = network.primary();
        return Arrays.stream(cores).anyMatch(core -> core == primary) ? primary : cores[0];
    }

    /** One more machine is lost with its disk: what was acknowledged is read, and orders are taken. */
    private void second(int lost, int... left) {
        network.kill(lost);
        network.wipe(lost);
        for (int core : left) {
            ProcessNetwork.until(
                    "a read at " + core + " of version " + version + " after " + lost + " was lost too",
                    Operator.ACKNOWLEDGED_MILLIS,
                    () -> operator.reads(core, version, "v" + version));
        }
        order(left);
        for (int core : left) {
            ProcessNetwork.until(
                    "a read at " + core + " of the new version " + version,
                    Operator.ACKNOWLEDGED_MILLIS,
                    () -> operator.reads(core, version, "v" + version));
        }
    }

    @Test
    void afterAnEmptyDiskHasReturnedAnotherMachineIsLost() {
        network.kill(first);
        network.wipe(first);
        int[] others = without(first, 1, 2, 3);
        order(others);
        network.startCore(first, false, 1, 2, 3);
        orders(System.nanoTime(), others);
        int lost = next(others);
        second(lost, first, without(lost, others)[0]);
    }

    @Test
    void afterAReplacementAtAnotherAddressAnotherMachineIsLost() {
        network.kill(first);
        int[] others = without(first, 1, 2, 3);
        order(others);
        network.startCore(SPARE, false, 1, 2, 3);
        reads(System.nanoTime(), others);
        int lost = next(others);
        second(lost, SPARE, without(lost, others)[0]);
    }

    @Test
    void aReplacementThatWasKilledWhileItWasTakenInLosesNothing() {
        network.kill(first);
        network.wipe(first);
        int[] others = without(first, 1, 2, 3);
        network.startCore(SPARE, false, 1, 2, 3);
        order(others);
        network.kill(SPARE);
        network.wipe(SPARE);
        order(others);
        network.startCore(first, false, 1, 2, 3);
        orders(System.nanoTime(), others);
        int lost = next(others);
        second(lost, first, without(lost, others)[0]);
    }

    @Test
    void aPlannedReplacementOfThePrimaryLosesNothing() {
        int[] others = without(first, 1, 2, 3);
        network.startCore(SPARE, false, 1, 2, 3);
        orders(System.nanoTime(), 1, 2, 3);
        network.terminate(first);
        orders(System.nanoTime(), others);
        int lost = next(others);
        second(lost, SPARE, without(lost, others)[0]);
    }

    /** The removed one stops counting as lost at its end, as its successor has had {@code syncTime} by then. */
    @Test
    void rightAfterAPlannedReplacementAnotherMachineIsLost() {
        int[] others = without(first, 1, 2, 3);
        network.startCore(SPARE, false, 1, 2, 3);
        orders(System.nanoTime(), 1, 2, 3);
        network.terminate(first);
        second(others[0], others[1], SPARE);
    }
}
