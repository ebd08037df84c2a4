package gorsemast.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.http.NettyLog;
import gorsemast.simulation.Fault.Closing;
import gorsemast.simulation.Fault.Kind;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Scenarios for the hard cases of the control plane, each run from many seeds. */
class HardDaysTest {
    private static final long SECOND = 1_000_000;
    private static final int SEEDS = 24;
    private static final int PURGES = 3 * Fault.HOW;
    private static final int DRAINS = 2 * Fault.HOW;

    @BeforeAll
    static void quiet() {
        NettyLog.install();
    }

    private static Fault at(double seconds, Kind kind, double span, int pick) {
        return new Fault(kind, (long) (seconds * SECOND), (long) (span * SECOND), pick);
    }

    private static Scenario scenario(int seed, Fault... faults) {
        return new Scenario(3, 4, seed, 26 * SECOND, List.of(faults), Closing.NONE);
    }

    private static void holds(IntFunction<Scenario> days) {
        ScenarioSearch.Result result = ScenarioSearch.run(days, SEEDS, InjectedDefect.NONE, 1);
        assertThat(result.failures())
                .extracting(found ->
                        found.violation().getMessage() + "\n" + found.scenario().toTestCode())
                .isEmpty();
    }

    /** The kinds of a cut by number: silent, reset, refused. */
    private static int how(int seed) {
        return seed % 3 * Fault.HOW + seed;
    }

    // ---- two contents under one number

    @Test
    void twoContentsUnderOneNumberAtOnce() {
        holds(seed -> scenario(seed, at(3, Kind.SAME_NUMBER, 1, 0), at(6, Kind.SAME_NUMBER, 1, 0)));
    }

    @Test
    void twoContentsUnderOneNumberOneAfterTheOther() {
        holds(seed -> scenario(seed, at(3, Kind.SAME_NUMBER, 1 + seed / 4.0, 1), at(8, Kind.BAD_CONFIG, 0, 5)));
    }

    @Test
    void twoContentsUnderOneNumberInATakeOver() {
        holds(seed -> scenario(
                seed,
                at(3, Kind.CUT_LEADER, 6, how(seed)),
                at(3.05 + seed * 0.05, Kind.SAME_NUMBER, 1, seed),
                at(12, Kind.KILL_CORES, 0, 0),
                at(12.1 + seed * 0.1, Kind.SAME_NUMBER, 1, 0)));
    }

    @Test
    void theLosersMachineTellsTheEdgesOverALinkThatIsHeldUp() {
        holds(seed -> scenario(seed, at(3, Kind.HOLD_LINK, 8, seed), at(6 + seed * 0.05, Kind.SAME_NUMBER, 1, 0)));
    }

    @Test
    void theSameOrderAgainWhoeverIsAskedAndHoweverOften() {
        holds(seed -> scenario(
                seed,
                at(1, Kind.LOSE_ACKS, 20, 0),
                at(2, Kind.CONFIG_THRICE, 0, 0),
                at(3, Kind.CONFIG_MANY, 0, 0),
                at(4, Kind.CONFIG_AGAIN, 0, 0),
                at(5, Kind.CONFIG_AGAIN, 0, 3 + seed),
                at(6, Kind.KILL_CORES, 0, 0),
                at(6.1, Kind.CONFIG_AGAIN, 0, 0),
                at(7, Kind.BAD_CONFIG, 0, 7),
                at(8, Kind.BAD_CONFIG, 0, 6),
                at(14, Kind.POWER_ALL_AFTER_ACK, 1, Fault.HOW),
                at(15, Kind.CONFIG_THRICE, 0, 0),
                at(16, Kind.CONFIG_AGAIN, 0, 1)));
    }

    // ---- a machine that is cut off

    private static Scenario cut(int seed, Kind kind) {
        List<Fault> all = new ArrayList<>();
        all.add(at(2, kind, 20, how(seed)));
        for (int i = 0; i < 9; i++) {
            all.add(at(2.1 + 2 * i + seed * 0.05, Kind.CONFIG, 0, 0));
            all.add(at(2.6 + 2 * i, i % 3 == 0 ? Kind.DRAIN_LONG : Kind.PURGE, 3, seed + i));
            all.add(at(3 + 2 * i, Kind.READ, 0, 0));
        }
        all.add(at(9, Kind.KILL_EDGE, 0, seed));
        all.add(at(22 - 0.01 * (seed % 4), Kind.CONFIG_MANY, 0, 0));
        return new Scenario(3, 4, seed, 28 * SECOND, all, Closing.NONE);
    }

    @Test
    void theLeaderIsCutOff() {
        holds(seed -> cut(seed, Kind.CUT_LEADER));
    }

    @Test
    void theLeaderIsCutOffOneWay() {
        holds(seed -> cut(seed, Kind.CUT_LEADER_ONE_WAY));
    }

    @Test
    void aMachineWithItsEdgesIsCutOff() {
        holds(seed -> cut(seed, Kind.CUT_SIDE));
    }

    @Test
    void bothSidesOfACutAreStartedAnew() {
        holds(seed -> cut(seed, Kind.CUT_BOTH));
    }

    @Test
    void newListsBeginWithTheMachineThatIsCutOff() {
        holds(seed -> cut(seed, Kind.CUT_SEEDS));
    }

    // ---- what was acknowledged survives a power loss

    private static Scenario powerLost(int seed, int what, Kind order) {
        return scenario(
                seed,
                at(4, Kind.FREEZE_EDGES, 3, 0),
                at(4.1, Kind.POWER_ALL_AFTER_ACK, 1, what),
                at(4.2, order, 12, 1 + seed + Fault.HOW));
    }

    @Test
    void aPurgeOutlivesTheLossOfPowerOfAllWhileNoEdgeHears() {
        holds(seed -> powerLost(seed, PURGES, Kind.PURGE));
    }

    @Test
    void aDrainOutlivesTheLossOfPowerOfAllWhileNoEdgeHears() {
        holds(seed -> powerLost(seed, DRAINS, Kind.DRAIN_LONG));
    }

    @Test
    void aPurgeOutlivesAWipeOfOneAndTheLossOfPowerOfTheOthers() {
        holds(seed -> scenario(
                seed,
                at(4, Kind.FREEZE_EDGES, 3, 0),
                at(4.1, Kind.WIPE_REST_POWER, 1, PURGES + seed),
                at(4.2, Kind.PURGE, 0, 1 + seed)));
    }

    // ---- membership changes

    @Test
    void allAreReplacedInTurnAndAllListsAreOld() {
        holds(seed -> new Scenario(
                3,
                4,
                seed,
                44 * SECOND,
                List.of(
                        at(1, Kind.REPLACE_ALL, 0, 0),
                        at(2, Kind.CONFIG_STREAM, 40, 0),
                        at(30, Kind.HERD, 0, seed),
                        at(38, Kind.CUT_LEADER, 4, how(seed))),
                Closing.POWER_ALL));
    }

    @Test
    void lostReplacedAndLostAgain() {
        holds(seed -> new Scenario(
                seed % 2 == 0 ? 3 : 4,
                4,
                seed,
                30 * SECOND,
                List.of(
                        at(1, Kind.REPLACE_CORE, 0, seed),
                        at(2, Kind.CONFIG_STREAM, 26, 0),
                        at(3, Kind.WIPE_CORE, 1, seed + 1),
                        at(4, Kind.REPLACE_CORE_PLANNED, 4, seed + 2),
                        at(5, Kind.POWER_CORE, 2, seed),
                        at(6, Kind.WIPE_REST_POWER, 1, seed)),
                Closing.WIPE));
    }
}
