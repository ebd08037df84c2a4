package gorsemast.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.http.NettyLog;
import gorsemast.simulation.Trouble.Closing;
import gorsemast.simulation.Trouble.Kind;
import java.util.List;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Days on which core machines are replaced and restarted in order, and one is lost when its successor has had its time. */
class MembershipDayTest {
    private static final long SECOND = 1_000_000;

    @BeforeAll
    static void quiet() {
        NettyLog.install();
    }

    private static Day replacedThenWiped(int number) {
        return new Day(
                3,
                4,
                700 + number,
                20 * SECOND,
                List.of(
                        new Trouble(Kind.REPLACE_PRIMARY_THEN_WIPE, SECOND + number * 50_000L, 0, number),
                        new Trouble(Kind.CONFIG, 4 * SECOND, 0, 0),
                        new Trouble(Kind.CONFIG, 11 * SECOND, 0, 0)),
                Closing.NONE);
    }

    @Test
    void aLeadingMachineIsReplacedInOrderAndTheNextOneLosesItsDiskAtOnce() {
        assertThat(Hunt.run(MembershipDayTest::replacedThenWiped, 24, Plant.NONE, 1)
                        .found())
                .extracting(found -> found.broken().getMessage() + found.day().asTest())
                .isEmpty();
    }

    @Test
    void whoEndsWithoutAWordIsFound() {
        assertThat(Hunt.run(MembershipDayTest::replacedThenWiped, 24, Plant.LEAVES_AT_ONCE, 1)
                        .found())
                .isNotEmpty();
    }

    @Test
    void lostReplacedAndLostAgainAfterSyncTime() {
        Hunt.Result result = Hunt.run(
                number -> new Day(
                        3,
                        4,
                        800 + number,
                        24 * SECOND,
                        List.of(
                                new Trouble(Kind.REPLACE_CORE, SECOND, 0, number),
                                new Trouble(Kind.CONFIG, 6_200_000, 0, 0),
                                new Trouble(Kind.WIPE_AFTER_ACK, 6_100_000, SECOND, number / 3),
                                new Trouble(Kind.CONFIG, 14 * SECOND, 0, 0)),
                        Closing.WIPE),
                24,
                Plant.NONE,
                1);
        assertThat(result.found())
                .extracting(found -> found.broken().getMessage() + found.day().asTest())
                .isEmpty();
    }

    @Test
    void aPrimaryThatIsAskedToLeaveIsFollowedWithoutASilence() {
        Day day = new Day(
                3,
                4,
                901,
                20 * SECOND,
                List.of(
                        new Trouble(Kind.ROLL_CORES, SECOND, 0, 0),
                        new Trouble(Kind.CONFIG, 2_200_000, 0, 0),
                        new Trouble(Kind.CONFIG, 3_600_000, 0, 0)),
                Closing.KILL_ALL);
        List<Long> taken = day.play(Plant.NONE).times().get(Outcome.TAKEN_OVER + "SIGTERM");
        assertThat(taken).isNotEmpty().allMatch(micros -> micros < 200_000);
        List<Long> before = day.play(Plant.LEAVES_AT_ONCE).times().get(Outcome.TAKEN_OVER + "SIGTERM");
        assertThat(before).anyMatch(micros -> micros > 500_000);
    }
}
