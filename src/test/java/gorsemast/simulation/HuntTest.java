package gorsemast.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.http.NettyLog;
import java.util.List;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Random scenarios of the whole network in virtual time, and injected defects that the checkers have to find. */
class HuntTest {
    @BeforeAll
    static void quiet() {
        NettyLog.install();
    }

    @Test
    void noRuleIsBrokenOnDrawnDays() {
        ScenarioSearch.Result result = ScenarioSearch.run(3, 4, 1, 160, InjectedDefect.NONE, 1);
        assertThat(result.failures())
                .extracting(found ->
                        found.violation().getMessage() + found.scenario().toTestCode())
                .isEmpty();
        assertThat(result.runs()).isEqualTo(160);
    }

    @Test
    void norWithFourCoreMachines() {
        ScenarioSearch.Result result = ScenarioSearch.run(4, 6, 5_000, 40, InjectedDefect.NONE, 1);
        assertThat(result.failures())
                .extracting(found ->
                        found.violation().getMessage() + found.scenario().toTestCode())
                .isEmpty();
    }

    @Test
    void norWhereOrdersComeAllTheWhileAndTheCoreIsStruckAgainAndAgain() {
        ScenarioSearch.Result result = ScenarioSearch.run(
                number -> Scenario.generateIntense(3, 4, 70_000 + number), 60, InjectedDefect.NONE, 1);
        assertThat(result.failures())
                .extracting(found ->
                        found.violation().getMessage() + found.scenario().toTestCode())
                .isEmpty();
    }

    @Test
    void norWithFiveCoreMachinesOfWhichTwoMayBeLost() {
        ScenarioSearch.Result result = ScenarioSearch.run(
                number -> Scenario.generate(5, 6, 9_000 + number).withTolerableLosses(2), 24, InjectedDefect.NONE, 1);
        assertThat(result.failures())
                .extracting(found ->
                        found.violation().getMessage() + found.scenario().toTestCode())
                .isEmpty();
    }

    @ParameterizedTest
    @EnumSource(
            value = InjectedDefect.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = {
                "NONE",
                "ACKS_ALONE",
                "SAVED_TOO_EARLY",
                "WAITS_FOR_ANY_DISK",
                "ACKS_ANY_CONTENT",
                "REFUSES_AGAIN",
                "TELLS_ITS_OWN",
                "READS_ALONE",
                "ANSWERS_NOTHING",
                "NEVER_READY"
            })
    void plantedDefectsAreFound(InjectedDefect defect) {
        assertThat(ScenarioSearch.run(3, 4, 1, 160, defect, 1).failures()).isNotEmpty();
    }

    /** Few random scenarios lose power between a save's notification and the save, so these are made for it. */
    @Test
    void aSaveThatCountsBeforeItIsOnDiskIsFound() {
        ScenarioSearch.Result early =
                ScenarioSearch.run(this::powerLostAfterAChange, 300, InjectedDefect.SAVED_TOO_EARLY, 300);
        assertThat(early.failures())
                .extracting(found -> found.violation().rule())
                .contains("LOST");
        assertThat(ScenarioSearch.run(this::powerLostAfterAChange, 300, InjectedDefect.NONE, 1)
                        .failures())
                .isEmpty();
    }

    private Scenario powerLostAfterAChange(int number) {
        return new Scenario(
                3,
                1,
                number,
                3_000_000L,
                List.of(new Fault(Fault.Kind.CONFIG, 1_000_000L, 0L, 0)),
                Fault.Closing.POWER_ALL);
    }

    /** Random scenarios seldom have a purge acknowledged by just the machine that fails, so these are made for it. */
    @Test
    void whatOnlyTheMachineKnewThatAcknowledgedItIsFoundMissing() {
        ScenarioSearch.Result alone = ScenarioSearch.run(this::struckAfterAPurge, 40, InjectedDefect.ACKS_ALONE, 40);
        // KEPT reports the purge that registries have lost before a stale cached response is served, which is STALE.
        assertThat(alone.failures())
                .extracting(found -> found.violation().rule())
                .contains("KEPT", "STALE");
        assertThat(ScenarioSearch.run(this::struckAfterAPurge, 40, InjectedDefect.NONE, 1)
                        .failures())
                .isEmpty();
    }

    private Scenario struckAfterAPurge(int number) {
        return new Scenario(
                3,
                4,
                40 + number,
                14_000_000L,
                List.of(
                        new Fault(Fault.Kind.POWER_AFTER_ACK, 3_900_000L, 600_000L, 0),
                        new Fault(Fault.Kind.PURGE, 4_000_000L, 0L, 1)),
                Fault.Closing.NONE);
    }

    /** Servers answer late, twice, without an id, or reset, and drop idle connections, while machines fail. */
    @Test
    void confusedServersGiveNobodyAnothersAnswerAndRunNothingTwice() {
        ScenarioSearch.Result result = ScenarioSearch.run(this::confused, 120, InjectedDefect.NONE, 1);
        assertThat(result.failures())
                .extracting(found ->
                        found.violation().getMessage() + found.scenario().toTestCode())
                .isEmpty();
        assertThat(ScenarioSearch.run(this::confused, 120, InjectedDefect.TAKES_NAMELESS_ANSWERS, 1)
                        .failures())
                .extracting(found -> found.violation().rule())
                .contains("MIXED");
        assertThat(ScenarioSearch.run(this::confused, 120, InjectedDefect.RESET_NEVER_RAN, 1)
                        .failures())
                .extracting(found -> found.violation().rule())
                .contains("TWICE");
    }

    private Scenario confused(int number) {
        Fault.Kind[] kinds = {
            Fault.Kind.KILL_EDGE, Fault.Kind.REUSE, Fault.Kind.DRAIN, Fault.Kind.ROLL, Fault.Kind.CONFIG
        };
        return new Scenario(
                3,
                4,
                7_000 + number,
                14_000_000L,
                List.of(
                        new Fault(Fault.Kind.CONFUSED, 1_000_000L, 10_000_000L, 1),
                        new Fault(Fault.Kind.CONFUSED, 3_000_000L, 6_000_000L, 3),
                        new Fault(kinds[number % kinds.length], 4_000_000L, 2_000_000L, number)),
                Fault.Closing.NONE);
    }

    @Test
    void anEdgeThatStartsInAStormOfPurgesIsReadyAtOnce() {
        Scenario scenario = new Scenario(
                3,
                40,
                11,
                8_000_000,
                List.of(
                        new Fault(Fault.Kind.PURGE_STORM, 1_500_000, 4_000_000, 3),
                        new Fault(Fault.Kind.KILL_EDGE, 2_000_000, 0, 5)),
                Fault.Closing.NONE);
        Outcome outcome = scenario.run(InjectedDefect.NONE);
        List<Long> readies = outcome.times().get(Outcome.READY);
        assertThat(readies).hasSize(41);
        // It listens 0.5 to 0.75 s after its start; it catches up in a few round trips, however many others there are.
        assertThat(readies.get(40)).isLessThan(1_600_000);
    }

    /** Found by a random search: edges killed in a storm of purges restarted with their whole share of the rate limit. */
    @Test
    void aHerdThatComesBackStaysUnderTheCeiling() {
        Scenario scenario = new Scenario(
                3,
                4,
                300_135L,
                24_000_000L,
                List.of(
                        new Fault(Fault.Kind.SLOW_SERVER, 1_798_893L, 2_941_120L, 182),
                        new Fault(Fault.Kind.DRAIN, 7_223_553L, 0L, 686),
                        new Fault(Fault.Kind.CONFIG, 8_317_149L, 0L, 0),
                        new Fault(Fault.Kind.PURGE_STORM, 9_074_239L, 4_717_284L, 572),
                        new Fault(Fault.Kind.HERD, 10_781_721L, 4_491_893L, 887)),
                Fault.Closing.KILL_ALL);
        assertThat(scenario.run(InjectedDefect.NONE).served()).isPositive();
    }

    @Test
    void aDayIsTheSameFromTheSameSeedAndCutDownToWhatItTakes() {
        ScenarioSearch.Failure found = ScenarioSearch.run(3, 4, 1, 60, InjectedDefect.SENDS_TO_LEAVING, 1)
                .failures()
                .get(0);
        ScenarioSearch.Failure least = ScenarioSearch.minimize(found, InjectedDefect.SENDS_TO_LEAVING);
        assertThat(least.violation().rule()).isEqualTo("DRAIN");
        assertThat(least.scenario().faults().size())
                .isLessThan(found.scenario().faults().size());
        ScenarioSearch.Failure again = ScenarioSearch.minimize(found, InjectedDefect.SENDS_TO_LEAVING);
        assertThat(again.eventLog()).isEqualTo(least.eventLog());
    }
}
