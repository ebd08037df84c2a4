package gorsemast.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.simulation.Trouble.Closing;
import gorsemast.simulation.Trouble.Kind;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Operators that race two contents under one number: one is acknowledged, and all edges come to go by it. */
class NumbersTest {
    private static final int DAYS = 40;

    /** The loser's registry may be the one that edges hear, as what the others tell is held up meanwhile. */
    private static Day race(int number) {
        return new Day(
                3,
                4,
                7_000 + number,
                14_000_000,
                List.of(
                        new Trouble(Kind.HOLD_NEWS, 3_900_000, 1_500_000, number),
                        new Trouble(Kind.CONFIG_RACE, 4_000_000, 0, 0)),
                Closing.NONE);
    }

    /** The race is in the air while a core machine goes, and a race follows the next one's lead. */
    private static Day struck(int number) {
        Kind[] kinds = {Kind.POWER_AFTER_ACK, Kind.KILL_CORE, Kind.CUT_CORE, Kind.KILL_CORES, Kind.CUT_ONE_WAY};
        return new Day(
                3,
                4,
                8_000 + number,
                16_000_000,
                List.of(
                        new Trouble(Kind.CONFIG_RACE, 3_998_000, 0, 0),
                        new Trouble(kinds[number % kinds.length], 4_000_000, 2_000_000, number),
                        new Trouble(Kind.CONFIG_RACE, 4_600_000, 0, 0),
                        new Trouble(Kind.CONFIG_RACE, 5_000_000, 0, 0)),
                Closing.values()[number % Closing.values().length]);
    }

    @Test
    void edgesGoByOneContentWhereverTheLosersRegistryTellsThem() {
        assertThat(Hunt.run(NumbersTest::race, DAYS, Plant.NONE, 1).found())
                .extracting(found -> found.broken().getMessage() + found.day().asTest())
                .isEmpty();
    }

    @Test
    void oneContentHoldsWhateverHappensToTheCoreMeanwhile() {
        assertThat(Hunt.run(NumbersTest::struck, DAYS, Plant.NONE, 1).found())
                .extracting(found -> found.broken().getMessage() + found.day().asTest())
                .isEmpty();
    }

    @Test
    void aRegistryThatTellsItsOwnCopyIsFound() {
        assertThat(Hunt.run(NumbersTest::race, DAYS, Plant.PUBLISHES_ITS_OWN, 1).found())
                .extracting(found -> found.broken().rule())
                .containsOnly("CONFIG");
    }

    @Test
    void aSecondContentThatIsAcknowledgedIsFound() {
        assertThat(Hunt.run(NumbersTest::race, DAYS, Plant.CONFLICT_SAYS_DONE, 1)
                        .found())
                .extracting(found -> found.broken().rule())
                .containsOnly("CONFIG");
    }
}
