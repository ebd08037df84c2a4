package gorsemast.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.http.NettyLog;
import gorsemast.simulation.Trouble.Closing;
import gorsemast.simulation.Trouble.Kind;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Stores whose disks hang and that were away, over days with many changes. */
class CatchingUpTest {
    private static final long SECOND = 1_000_000;

    @BeforeAll
    static void quiet() {
        NettyLog.install();
    }

    private static Day stalled(int cores, int disk) {
        List<Trouble> troubles = new ArrayList<>();
        troubles.add(new Trouble(Kind.STALL, 5 * SECOND, 20 * SECOND, disk));
        for (int order = 0; order < 20; order++) {
            troubles.add(new Trouble(Kind.CONFIG, (5 + order) * SECOND + 300_000, 0, 0));
        }
        return new Day(cores, 4, 71, 32 * SECOND, troubles, Closing.NONE);
    }

    /** Each order is held to its 4 s, as the referee counts a stalled disk as no trouble of the core. */
    @ParameterizedTest
    @CsvSource({"3, 0", "3, 1", "3, 2", "4, 0", "4, 1", "4, 2", "4, 3", "5, 0", "5, 2", "5, 4"})
    void ordersAreAcknowledgedWhileADiskStallsForTwentySeconds(int cores, int disk) {
        List<Long> took = stalled(cores, disk).play(Plant.NONE).times().get(Outcome.ACKNOWLEDGED);
        assertThat(took).hasSize(21);
        assertThat(Collections.max(took.subList(1, 21))).isLessThan(4 * SECOND);
    }

    @Test
    void aLeadThatWaitsForItsDiskIsFound() {
        assertThat(IntStream.range(0, 3).filter(disk -> broken(stalled(3, disk), Plant.WAITS_FOR_ANY_DISK)))
                .hasSize(2);
    }

    private static final int CHANGES = 600;
    private static final int TENTHS = 10;
    private static final long TENTH = 14 * SECOND;

    /** As many changes as asked for, evenly, with a purge after each twentieth and a server that drains in each tenth. */
    private static List<Trouble> changes() {
        List<Trouble> all = new ArrayList<>();
        for (int change = 0; change < CHANGES; change++) {
            long at = SECOND + change * (TENTHS * TENTH / CHANGES);
            all.add(new Trouble(Kind.CONFIG, at, 0, 0));
            if (change % 20 == 10) {
                all.add(new Trouble(Kind.PURGE, at, 0, change));
            }
            if (change % (CHANGES / TENTHS) == 5) {
                all.add(new Trouble(Kind.RELEASE, at, 0, change));
            }
        }
        return all;
    }

    private static Outcome played(List<Trouble> troubles, long seed, Closing closing) {
        return day(troubles, seed, closing).play(Plant.NONE);
    }

    private static Day day(List<Trouble> troubles, long seed, Closing closing) {
        troubles.sort(Comparator.comparingLong(Trouble::at));
        return new Day(3, 4, seed, (TENTHS + 1) * TENTH, troubles, closing);
    }

    @Test
    void aVersionThatIsNotOnTheDiskIsFoundMissing() {
        List<Trouble> troubles = changes();
        for (int tenth = 0; tenth < TENTHS; tenth++) {
            troubles.add(new Trouble(Kind.STALL, 5 * SECOND + tenth * TENTH, 4 * SECOND, tenth));
        }
        assertThat(IntStream.range(0, 10)
                        .anyMatch(seed -> broken(day(troubles, seed, Closing.POWER_ALL), Plant.STATE_WITHOUT_VERSION)))
                .isTrue();
    }

    private static boolean broken(Day day, Plant plant) {
        try {
            day.play(plant);
            return false;
        } catch (Broken e) {
            return true;
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Kind.class,
            names = {"KILL_CORE", "POWER_CORE", "POWER_AFTER_ACK", "WIPE_AFTER_ACK", "FREEZE_CORE", "STALL", "CUT_CORE"
            })
    void sixHundredChangesWithAMemberTroubledInEachTenth(Kind kind) {
        List<Trouble> troubles = changes();
        for (int tenth = 0; tenth < TENTHS; tenth++) {
            troubles.add(new Trouble(kind, 5 * SECOND + tenth * TENTH, 4 * SECOND, tenth));
        }
        Outcome outcome = played(troubles, 600 + kind.ordinal(), Closing.WIPE);
        assertThat(outcome.times().get(Outcome.ACKNOWLEDGED)).hasSizeGreaterThanOrEqualTo(CHANGES);
    }

    /** It comes back after the last change and is whole within the 4 s that a lost one has: then another one is lost. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void aMemberThatWasAwayForSixHundredChangesServesAsACopyWhenItIsBack(int away) {
        List<Trouble> troubles = changes();
        troubles.add(new Trouble(Kind.POWER_CORE, 500_000, TENTHS * TENTH + 2 * SECOND, away));
        for (Closing closing : new Closing[] {Closing.WIPE, Closing.POWER_ALL}) {
            Outcome outcome = played(new ArrayList<>(troubles), 700 + away, closing);
            assertThat(outcome.times().get(Outcome.ACKNOWLEDGED)).hasSizeGreaterThanOrEqualTo(CHANGES);
        }
    }
}
