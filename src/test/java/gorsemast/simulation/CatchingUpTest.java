package gorsemast.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.http.NettyLog;
import gorsemast.simulation.Fault.Closing;
import gorsemast.simulation.Fault.Kind;
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

/** Stores whose disks hang or that were down, in scenarios with many changes. */
class CatchingUpTest {
    private static final long SECOND = 1_000_000;

    @BeforeAll
    static void quiet() {
        NettyLog.install();
    }

    private static Scenario stalled(int cores, int disk) {
        List<Fault> faults = new ArrayList<>();
        faults.add(new Fault(Kind.STALL, 5 * SECOND, 20 * SECOND, disk));
        for (int order = 0; order < 20; order++) {
            faults.add(new Fault(Kind.CONFIG, (5 + order) * SECOND + 300_000, 0, 0));
        }
        return new Scenario(cores, 4, 71, 32 * SECOND, faults, Closing.NONE);
    }

    /** Each change has to be acknowledged in 4 s, as a stalled disk does not unsettle the core. */
    @ParameterizedTest
    @CsvSource({"3, 0", "3, 1", "3, 2", "4, 0", "4, 1", "4, 2", "4, 3", "5, 0", "5, 2", "5, 4"})
    void ordersAreAcknowledgedWhileADiskStallsForTwentySeconds(int cores, int disk) {
        List<Long> took = stalled(cores, disk).run(InjectedDefect.NONE).times().get(Outcome.ACKNOWLEDGED);
        assertThat(took).hasSize(21);
        assertThat(Collections.max(took.subList(1, 21))).isLessThan(4 * SECOND);
    }

    @Test
    void aLeadThatWaitsForItsDiskIsFound() {
        assertThat(IntStream.range(0, 3).filter(disk -> broken(stalled(3, disk), InjectedDefect.WAITS_FOR_ANY_DISK)))
                .hasSize(2);
    }

    private static final int CHANGES = 600;
    private static final int TENTHS = 10;
    private static final long TENTH = 14 * SECOND;

    /** The given number of changes, evenly spaced, with a purge after every twentieth and a draining server in every tenth. */
    private static List<Fault> changes() {
        List<Fault> all = new ArrayList<>();
        for (int change = 0; change < CHANGES; change++) {
            long at = SECOND + change * (TENTHS * TENTH / CHANGES);
            all.add(new Fault(Kind.CONFIG, at, 0, 0));
            if (change % 20 == 10) {
                all.add(new Fault(Kind.PURGE, at, 0, change));
            }
            if (change % (CHANGES / TENTHS) == 5) {
                all.add(new Fault(Kind.RELEASE, at, 0, change));
            }
        }
        return all;
    }

    private static Outcome played(List<Fault> faults, long seed, Closing closing) {
        return scenario(faults, seed, closing).run(InjectedDefect.NONE);
    }

    private static Scenario scenario(List<Fault> faults, long seed, Closing closing) {
        faults.sort(Comparator.comparingLong(Fault::at));
        return new Scenario(3, 4, seed, (TENTHS + 1) * TENTH, faults, closing);
    }

    @Test
    void aVersionThatIsNotOnTheDiskIsFoundMissing() {
        List<Fault> faults = changes();
        for (int tenth = 0; tenth < TENTHS; tenth++) {
            faults.add(new Fault(Kind.STALL, 5 * SECOND + tenth * TENTH, 4 * SECOND, tenth));
        }
        assertThat(IntStream.range(0, 10)
                        .anyMatch(seed -> broken(
                                scenario(faults, seed, Closing.POWER_ALL), InjectedDefect.STATE_WITHOUT_VERSION)))
                .isTrue();
    }

    private static boolean broken(Scenario scenario, InjectedDefect defect) {
        try {
            scenario.run(defect);
            return false;
        } catch (Violation e) {
            return true;
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Kind.class,
            names = {"KILL_CORE", "POWER_CORE", "POWER_AFTER_ACK", "WIPE_AFTER_ACK", "FREEZE_CORE", "STALL", "CUT_CORE"
            })
    void sixHundredChangesWithAMemberTroubledInEachTenth(Kind kind) {
        List<Fault> faults = changes();
        for (int tenth = 0; tenth < TENTHS; tenth++) {
            faults.add(new Fault(kind, 5 * SECOND + tenth * TENTH, 4 * SECOND, tenth));
        }
        Outcome outcome = played(faults, 600 + kind.ordinal(), Closing.WIPE);
        assertThat(outcome.times().get(Outcome.ACKNOWLEDGED)).hasSizeGreaterThanOrEqualTo(CHANGES);
    }

    /** It returns after the last change and is in sync within the 4 s allowed: then another one is lost. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void aMemberThatWasAwayForSixHundredChangesServesAsACopyWhenItIsBack(int away) {
        List<Fault> faults = changes();
        faults.add(new Fault(Kind.POWER_CORE, 500_000, TENTHS * TENTH + 2 * SECOND, away));
        for (Closing closing : new Closing[] {Closing.WIPE, Closing.POWER_ALL}) {
            Outcome outcome = played(new ArrayList<>(faults), 700 + away, closing);
            assertThat(outcome.times().get(Outcome.ACKNOWLEDGED)).hasSizeGreaterThanOrEqualTo(CHANGES);
        }
    }
}
