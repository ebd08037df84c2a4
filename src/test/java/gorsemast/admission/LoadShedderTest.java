package gorsemast.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class LoadShedderTest {
    private static final int READ = 0;
    private static final int TOPUP = 1;
    private static final int TRANSFER = 2;
    private static final long TICK = 10_000;

    private final LoadShedder shedder = new LoadShedder(new double[] {1, 10, 2}, new double[] {0.5, 0.5});
    private final SplittableRandom random = new SplittableRandom(5);
    private long now = 1_000_000;

    private void run(long millis, long late) {
        for (long left = millis * 1000; left > 0; left -= TICK) {
            now += TICK;
            shedder.recordLateness(now, late);
        }
    }

    private double part(int type, int tenant, boolean repeat) {
        int gone = 0;
        for (int i = 0; i < 1_000; i++) {
            gone += shedder.shouldShed(type, tenant, repeat, random.nextDouble()) ? 1 : 0;
            shedder.shouldShed(type, 1 - tenant, repeat, 1); // so that both tenants ask for the same
        }
        return gone / 1000.0;
    }

    @Test
    void turnsNobodyAwayWhileItIsInTime() {
        run(5_000, LoadShedder.TARGET_MICROS);
        assertEquals(0, shedder.level());
        assertEquals(0, part(READ, 0, true));
    }

    /** A full queue for a moment is no overload: once within an interval it was empty. */
    @Test
    void burstsAreNoOverload() {
        for (int i = 0; i < 100; i++) {
            run(90, 80_000);
            run(20, 0);
        }
        assertEquals(0, shedder.level());
    }

    @Test
    void standingLatenessTurnsTheLeastWorthAwayFirst() {
        double reads = 0;
        double transfers = 0;
        double topups = 0;
        boolean inOrder = true;
        for (int i = 0; i < 60; i++) {
            run(100, 30_000);
            reads = part(READ, 0, false);
            transfers = part(TRANSFER, 0, false);
            topups = part(TOPUP, 0, false);
            inOrder &= reads + 0.1 >= transfers && transfers + 0.1 >= topups && (topups == 0 || reads == 1);
        }
        assertTrue(inOrder);
        assertEquals(1, reads);
        assertEquals(1, transfers);
        assertTrue(topups > 0.8 && topups < 1, "some always pass, or recovery could not show: " + topups);
    }

    @Test
    void whatIsBeyondAShareGoesBeforeAnythingWithin() {
        for (int i = 0; i < 200; i++) {
            shedder.shouldShed(READ, 0, false, 0.5);
        }
        run(300, 30_000);
        int beyond = 0;
        int within = 0;
        for (int i = 0; i < 100; i++) {
            beyond += shedder.shouldShed(TOPUP, 0, false, random.nextDouble()) ? 1 : 0;
            within += i % 4 == 0 && shedder.shouldShed(READ, 1, false, random.nextDouble()) ? 1 : 0;
        }
        assertTrue(beyond > 20, "beyond: " + beyond);
        assertEquals(0, within);
    }

    @Test
    void repeatsGoBeforeFirstTries() {
        run(600, 30_000);
        assertTrue(part(READ, 0, true) > part(READ, 0, false) + 0.2);
    }

    /** What broke is over: within two seconds nothing is turned away, without anything having to succeed. */
    @Test
    void comesBackByItself() {
        run(10_000, 500_000);
        assertTrue(shedder.level() > 3);
        run(2_000, 0);
        assertEquals(0, shedder.level());
        assertFalse(shedder.shouldShed(READ, 0, true, 0));
    }

    @Test
    void toldToComeBackLaterTheLongerItLastsAndSpread() {
        long before = shedder.retryAfterMicros(0.5);
        run(2_000, 30_000);
        assertTrue(shedder.retryAfterMicros(0.5) > 2 * before);
        assertEquals(3.0, (double) shedder.retryAfterMicros(1) / shedder.retryAfterMicros(0), 0.01);
    }

    @Test
    void latenessShowsBeforeTheTickRuns() {
        Lateness lateness = new Lateness(0, TICK);
        assertEquals(0, lateness.estimate(TICK - 1));
        assertEquals(70_000, lateness.estimate(TICK + 70_000), "the loop was away and has not run it yet");
        assertEquals(70_000, lateness.tick(TICK + 70_000));
        assertEquals(70_000, lateness.estimate(TICK + 70_001), "what is handled right behind it was as late");
        assertEquals(0, lateness.estimate(2 * TICK + 70_000));
    }
}
