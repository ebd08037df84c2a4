package gorsemast.processes;

import gorsemast.standin.LoopbackNetwork.Answer;
import gorsemast.standin.StandInServer;
import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;

/**
 * A phase of a soak: one core machine is cut off from the others, or stands still, for as long as the operators' troubles last, and all
 * else is calm. The others acknowledge a change, purges and a drain. From {@code contact} on all edges are in touch, so these have to be
 * in force: {@link RouteJudge} and {@link PurgeJudge} judge the first two, this class the third.
 */
final class CoreLoss {
    private static final long LASTING_MILLIS = 6_000;
    private static final long CONTACT_MILLIS = 3_000;
    /** {@code drain}, and a little. */
    private static final long DRAINED_MILLIS = 2_050;

    private static final long MARGIN_MILLIS = 50;
    private static final long JOINS_MILLIS = 5_000;
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final int CORES = 3;
    /** Later than any heartbeat of the server itself. */
    private static final int LAST_CALL = 1_000_000;

    private final ProcessNetwork network;
    private final Operator operator;
    private final Disturbances disturbances;
    private final PurgeJudge purges;

    CoreLoss(ProcessNetwork network, Operator operator, Disturbances disturbances, PurgeJudge purges) {
        this.network = network;
        this.operator = operator;
        this.disturbances = disturbances;
        this.purges = purges;
    }

    /**
     * Plays the phase.
     *
     * @param id of the server that comes for this phase and leaves in it
     * @param change makes a change of the configuration at these core machines
     * @param poll asks the edges what is to be judged; called often
     */
    void play(SplittableRandom random, String id, int address, Change change, Runnable poll, List<String> faults)
            throws IOException {
        StandInServer leaving = network.server(id, "orders", address, 1, 2, 3);
        pass(poll, JOINS_MILLIS);
        int core = 1 + random.nextInt(CORES);
        int[] others =
                IntStream.rangeClosed(1, CORES).filter(one -> one != core).toArray();
        CoreTrouble trouble = CoreTrouble.values()[random.nextInt(CoreTrouble.values().length)];
        long begun = System.nanoTime();
        disturbances.trouble(
                core,
                LASTING_MILLIS,
                () -> trouble.begin(network, core, others),
                () -> trouble.end(network, core, others));
        purges.purgePath(PurgeJudge.firstObject(), others);
        drain(leaving, others, faults);
        long drainedAt = millisSince(begun) + DRAINED_MILLIS;
        change.at(others);
        purges.purgeTag(others);
        while (millisSince(begun) < LASTING_MILLIS) {
            poll.run();
            LockSupport.parkNanos(POLL_NANOS);
        }
        long from = Math.max(drainedAt, CONTACT_MILLIS) + MARGIN_MILLIS;
        long late = leaving.runs().stream()
                .filter(run -> !run.uri().equals(RouteJudge.DIRECT)) // no edge sent it
                .mapToLong(run -> TimeUnit.NANOSECONDS.toMillis(run.nanos() - begun))
                .filter(at -> at > from && at < LASTING_MILLIS)
                .count();
        if (late > 0) {
            faults.add(late + " requests ran at a server whose drain was acknowledged, with core machine " + core + ' '
                    + trouble);
        }
        disturbances.endAll();
        leaving.close();
    }

    /** A change of the configuration that is acknowledged when the method returns. */
    interface Change {
        void at(int... cores);
    }

    private void drain(StandInServer leaving, int[] others, List<String> faults) {
        leaving.setHeartbeatsEnabled(false);
        String address = leaving.address().getAddress().getHostAddress()
                + ':'
                + leaving.address().getPort();
        Answer answer = operator.clear(
                "a drain", core -> operator.beat(core, leaving.id(), address, "draining", LAST_CALL), others);
        if (answer.status() != 200) {
            faults.add("a drain is answered " + answer.status());
        }
    }

    private static void pass(Runnable poll, long millis) {
        long begun = System.nanoTime();
        while (millisSince(begun) < millis) {
            poll.run();
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }
}
