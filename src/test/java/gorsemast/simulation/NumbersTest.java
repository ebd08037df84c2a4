package gorsemast.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.simulation.Fault.Closing;
import gorsemast.simulation.Fault.Kind;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Operators that race two contents under one number: one is acknowledged, and all edges come to apply it. */
class NumbersTest {
    private static final int DAYS = 40;

    /** Edges may receive updates only from the loser's registry, as those of the others are blocked meanwhile. */
    private static Scenario race(int number) {
        return new Scenario(
                3,
                4,
                7_000 + number,
                14_000_000,
                List.of(
                        new Fault(Kind.HOLD_NEWS, 3_900_000, 1_500_000, number),
                        new Fault(Kind.CONFIG_RACE, 4_000_000, 0, 0)),
                Closing.NONE);
    }

    /** A race is pending while a core machine leaves, and another follows under the next primary. */
    private static Scenario struck(int number) {
        Kind[] kinds = {Kind.POWER_AFTER_ACK, Kind.KILL_CORE, Kind.CUT_CORE, Kind.KILL_CORES, Kind.CUT_ONE_WAY};
        return new Scenario(
                3,
                4,
                8_000 + number,
                16_000_000,
                List.of(
                        new Fault(Kind.CONFIG_RACE, 3_998_000, 0, 0),
                        new Fault(kinds[number % kinds.length], 4_000_000, 2_000_000, number),
                        new Fault(Kind.CONFIG_RACE, 4_600_000, 0, 0),
                        new Fault(Kind.CONFIG_RACE, 5_000_000, 0, 0)),
                Closing.values()[number % Closing.values().length]);
    }

    @Test
    void edgesGoByOneContentWhereverTheLosersRegistryTellsThem() {
        assertThat(ScenarioSearch.run(NumbersTest::race, DAYS, InjectedDefect.NONE, 1)
                        .failures())
                .extracting(found ->
                        found.violation().getMessage() + found.scenario().toTestCode())
                .isEmpty();
    }

    @Test
    void oneContentHoldsWhateverHappensToTheCoreMeanwhile() {
        assertThat(ScenarioSearch.run(NumbersTest::struck, DAYS, InjectedDefect.NONE, 1)
                        .failures())
                .extracting(found ->
                        found.violation().getMessage() + found.scenario().toTestCode())
                .isEmpty();
    }

    @Test
    void aRegistryThatTellsItsOwnCopyIsFound() {
        assertThat(ScenarioSearch.run(NumbersTest::race, DAYS, InjectedDefect.PUBLISHES_ITS_OWN, 1)
                        .failures())
                .extracting(found -> found.violation().rule())
                .containsOnly("CONFIG");
    }

    @Test
    void aSecondContentThatIsAcknowledgedIsFound() {
        assertThat(ScenarioSearch.run(NumbersTest::race, DAYS, InjectedDefect.CONFLICT_SAYS_DONE, 1)
                        .failures())
                .extracting(found -> found.violation().rule())
                .containsOnly("CONFIG");
    }
}
