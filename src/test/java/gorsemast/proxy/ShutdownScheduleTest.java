package gorsemast.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Times in microseconds. */
class ShutdownScheduleTest {
    private static final long BEGIN = 40_000_000;
    private static final long SECOND = 1_000_000;
    private static final long LONG_TIMEOUT = 20 * SECOND;

    private final ShutdownSchedule schedule = new ShutdownSchedule(BEGIN, 6 * SECOND);

    private boolean mayStart(long afterBegin, long timeout) {
        return schedule.mayStart(BEGIN + afterBegin, BEGIN + afterBegin + timeout);
    }

    @Test
    void whatArrivesEarlyIsStartedWhateverItsTimeout() {
        assertThat(mayStart(0, LONG_TIMEOUT)).isTrue();
        assertThat(mayStart(3 * SECOND, LONG_TIMEOUT)).isTrue();
    }

    @Test
    void whatArrivesLateIsStartedOnlyIfItEndsBeforeTheProcess() {
        assertThat(mayStart(3 * SECOND + 1, LONG_TIMEOUT)).isFalse();
        assertThat(mayStart(4 * SECOND, 3 * SECOND / 2)).isTrue();
        assertThat(mayStart(4 * SECOND, 3 * SECOND / 2 + 1)).isFalse();
    }

    @Test
    void aShortGracePeriodHasAnEarlierLimit() {
        ShutdownSchedule hasty = new ShutdownSchedule(BEGIN, 2 * SECOND);
        assertThat(hasty.mayStart(BEGIN + SECOND, BEGIN + LONG_TIMEOUT)).isTrue();
        assertThat(hasty.mayStart(BEGIN + SECOND + 1, BEGIN + LONG_TIMEOUT)).isFalse();
    }

    @Test
    void connectionsAreClosedBeforeRequestsAreAbandonedAndTheProcessIsKilled() {
        assertThat(schedule.closesIdleAt()).isGreaterThan(schedule.closesAfterResponsesAt());
        assertThat(schedule.stopsAcceptingAt()).isGreaterThan(schedule.closesIdleAt());
        assertThat(schedule.abandonsAt()).isGreaterThan(schedule.stopsAcceptingAt());
        assertThat(BEGIN + 6 * SECOND).isGreaterThan(schedule.abandonsAt());
    }
}
