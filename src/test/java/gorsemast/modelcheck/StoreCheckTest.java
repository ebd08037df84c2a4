package gorsemast.modelcheck;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Acknowledged changes survive machine losses, in random scenarios and all short event sequences. */
class StoreCheckTest {
    @Test
    void drawnCoursesOfThreeMembersKeepWhatWasAcknowledged() {
        StoreCheck.Result result = StoreCheck.random(3, 0, 11, 400, 1_200, StoreDefect.NONE);
        assertThat(result.violation()).as(String.join("\n", result.eventLog())).isNull();
        assertThat(result.answered()).isGreaterThan(400);
    }

    @Test
    void drawnCoursesWithASpareMachineKeepIt() {
        StoreCheck.Result result = StoreCheck.random(3, 1, 12, 300, 1_200, StoreDefect.NONE);
        assertThat(result.violation()).as(String.join("\n", result.eventLog())).isNull();
    }

    @Test
    void allRowsOfTwoEventsKeepIt() {
        StoreCheck.Result result = StoreCheck.all(3, 2, StoreDefect.NONE);
        assertThat(result.violation()).as(String.join("\n", result.eventLog())).isNull();
        assertThat(result.scenarios()).isEqualTo(28 * 28);
    }

    @Test
    void ordersAreAcknowledgedWhileOneDiskEndsNothing() {
        StoreCheck.Result three = StoreCheck.stalled(3, 0, StoreDefect.NONE);
        assertThat(three.violation()).as(String.join("\n", three.eventLog())).isNull();
        assertThat(three.scenarios()).isEqualTo(3 * 3 * 13);
        StoreCheck.Result spare = StoreCheck.stalled(3, 1, StoreDefect.NONE);
        assertThat(spare.violation()).as(String.join("\n", spare.eventLog())).isNull();
        assertThat(StoreCheck.stalled(3, 0, StoreDefect.WAITS_FOR_ANY_DISK).violation())
                .contains("is not acknowledged in 4000 ms");
    }

    @Test
    void aMemberThatWasAwayForSixHundredChangesNeverLeadsWithOldState() {
        StoreCheck.Result three = StoreCheck.away(3, 0, 21, 12, 600, StoreDefect.NONE);
        assertThat(three.violation()).as(String.join("\n", three.eventLog())).isNull();
        assertThat(three.answered()).isGreaterThan(12 * 600);
        StoreCheck.Result spare = StoreCheck.away(3, 1, 22, 12, 600, StoreDefect.NONE);
        assertThat(spare.violation()).as(String.join("\n", spare.eventLog())).isNull();
    }

    @Test
    void allRowsOfOrdersKeepOneContentUnderEachNumber() {
        StoreCheck.Result result = StoreCheck.orders(3, 3, StoreDefect.NONE);
        assertThat(result.violation()).as(String.join("\n", result.eventLog())).isNull();
        assertThat(result.scenarios()).isEqualTo(20 * 20 * 20);
    }

    @ParameterizedTest
    @EnumSource(
            value = StoreDefect.class,
            names = {"VOTE_WITHOUT_KEPT", "STATE_WITHOUT_VERSION", "FOLDER_NOT_SYNCED", "NO_BACKUP"})
    void oldStateThatLeadsIsFound(StoreDefect defect) {
        assertThat(StoreCheck.away(3, 0, 23, 40, 60, defect).violation()).isNotNull();
    }

    @ParameterizedTest
    @EnumSource(
            value = StoreDefect.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = {
                "NONE",
                "WAITS_FOR_ANY_DISK",
                "LEAVES_AT_ONCE",
                "JOINS_EMPTY",
                "CHANGES_OVERLAP",
                "ZONES_UNKNOWN",
                "OUTSIDER_VOTES"
            }) // the others concern membership changes: MembershipTest finds them
    void eachPlantedDefectIsFound(StoreDefect defect) {
        // A spare machine takes the place of the second content's machine, which has to return for this defect.
        int spares = defect == StoreDefect.FIRST_TERM_STAYS ? 0 : 1;
        assertThat(StoreCheck.random(3, spares, 13, 3_000, 1_200, defect).violation())
                .isNotNull();
    }
}
