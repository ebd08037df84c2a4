package gorsemast.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.http.NettyLog;
import gorsemast.simulation.Fault.Closing;
import gorsemast.simulation.Fault.Kind;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Core machines are replaced and restarted gracefully, and one is lost once its successor had time to sync. */
class MembershipDayTest {
    private static final long SECOND = 1_000_000;
    /** In some of them no machine is primary when it is asked to leave. */
    private static final int RESTARTED_SCENARIOS = 24;

    @BeforeAll
    static void quiet() {
        NettyLog.install();
    }

    private static Scenario replacedThenWiped(int number) {
        return new Scenario(
                3,
                4,
                700 + number,
                20 * SECOND,
                List.of(
                        new Fault(Kind.REPLACE_PRIMARY_THEN_WIPE, SECOND + number * 50_000L, 0, number),
                        new Fault(Kind.CONFIG, 4 * SECOND, 0, 0),
                        new Fault(Kind.CONFIG, 11 * SECOND, 0, 0)),
                Closing.NONE);
    }

    @Test
    void aLeadingMachineIsReplacedInOrderAndTheNextOneLosesItsDiskAtOnce() {
        assertThat(ScenarioSearch.run(MembershipDayTest::replacedThenWiped, 24, InjectedDefect.NONE, 1)
                        .failures())
                .extracting(found ->
                        found.violation().getMessage() + found.scenario().toTestCode())
                .isEmpty();
    }

    @Test
    void whoEndsWithoutAWordIsFound() {
        assertThat(ScenarioSearch.run(MembershipDayTest::replacedThenWiped, 24, InjectedDefect.LEAVES_AT_ONCE, 1)
                        .failures())
                .isNotEmpty();
    }

    @Test
    void lostReplacedAndLostAgainAfterSyncTime() {
        ScenarioSearch.Result result = ScenarioSearch.run(
                number -> new Scenario(
                        3,
                        4,
                        800 + number,
                        24 * SECOND,
                        List.of(
                                new Fault(Kind.REPLACE_CORE, SECOND, 0, number),
                                new Fault(Kind.CONFIG, 6_200_000, 0, 0),
                                new Fault(Kind.WIPE_AFTER_ACK, 6_100_000, SECOND, number / 3),
                                new Fault(Kind.CONFIG, 14 * SECOND, 0, 0)),
                        Closing.WIPE),
                24,
                InjectedDefect.NONE,
                1);
        assertThat(result.failures())
                .extracting(found ->
                        found.violation().getMessage() + found.scenario().toTestCode())
                .isEmpty();
    }

    private static Scenario restartedInTurn(int number) {
        return new Scenario(
                3,
                4,
                901 + number,
                20 * SECOND,
                List.of(
                        new Fault(Kind.ROLL_CORES, SECOND, 0, 0),
                        new Fault(Kind.CONFIG, 2_200_000, 0, 0),
                        new Fault(Kind.CONFIG, 3_600_000, 0, 0)),
                Closing.KILL_ALL);
    }

    private static List<Long> takeovers(Scenario scenario, InjectedDefect defect) {
        return scenario.run(defect).times().getOrDefault(Outcome.TAKEN_OVER + "SIGTERM", List.of());
    }

    @Test
    void aPrimaryThatIsAskedToLeaveIsFollowedWithoutASilence() {
        List<Long> withoutHandover = new ArrayList<>();
        for (int number = 0; number < RESTARTED_SCENARIOS; number++) {
            Scenario scenario = restartedInTurn(number);
            assertThat(takeovers(scenario, InjectedDefect.NONE))
                    .as(scenario.toTestCode())
                    .isNotEmpty()
                    .allMatch(micros -> micros < 200_000);
            withoutHandover.addAll(takeovers(scenario, InjectedDefect.LEAVES_AT_ONCE));
        }
        assertThat(withoutHandover).isNotEmpty().allMatch(micros -> micros > 500_000);
    }
}
