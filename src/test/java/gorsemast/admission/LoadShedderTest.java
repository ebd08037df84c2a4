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

    private double shedFraction(int type, int tenant, boolean retry) {
        int shed = 0;
        for (int i = 0; i < 1_000; i++) {
            shed += shedder.shouldShed(type, tenant, retry, random.nextDouble()) ? 1 : 0;
            shedder.shouldShed(type, 1 - tenant, retry, 1); // so that both tenants send equally many
        }
        return shed / 1000.0;
    }

    @Test
    void shedsNothingWithinTheTarget() {
        run(5_000, LoadShedder.TARGET_MICROS);
        assertEquals(0, shedder.level());
        assertEquals(0, shedFraction(READ, 0, true));
    }

    /** A queue that was empty once within the interval is no overload. */
    @Test
    void burstsAreNoOverload() {
        for (int i = 0; i < 100; i++) {
            run(90, 80_000);
            run(20, 0);
        }
        assertEquals(0, shedder.level());
    }

    @Test
    void lastingLatenessShedsTheLeastImportantFirst() {
        double reads = 0;
        double transfers = 0;
        double topups = 0;
        boolean inOrder = true;
        for (int i = 0; i < 60; i++) {
            run(100, 30_000);
            reads = shedFraction(READ, 0, false);
            transfers = shedFraction(TRANSFER, 0, false);
            topups = shedFraction(TOPUP, 0, false);
            inOrder &= reads + 0.1 >= transfers && transfers + 0.1 >= topups && (topups == 0 || reads == 1);
        }
        assertTrue(inOrder);
        assertEquals(1, reads);
        assertEquals(1, transfers);
        assertTrue(topups > 0.8 && topups < 1, "some always pass, so that recovery is noticed: " + topups);
    }

    @Test
    void requestsOverTheirShareAreShedFirst() {
        for (int i = 0; i < 200; i++) {
            shedder.shouldShed(READ, 0, false, 0.5);
        }
        run(300, 30_000);
        int overShare = 0;
        int withinShare = 0;
        for (int i = 0; i < 100; i++) {
            overShare += shedder.shouldShed(TOPUP, 0, false, random.nextDouble()) ? 1 : 0;
            withinShare += i % 4 == 0 && shedder.shouldShed(READ, 1, false, random.nextDouble()) ? 1 : 0;
        }
        assertTrue(overShare > 20, "over the share: " + overShare);
        assertEquals(0, withinShare);
    }

    @Test
    void retriesAreShedBeforeFirstAttempts() {
        run(600, 30_000);
        assertTrue(shedFraction(READ, 0, true) > shedFraction(READ, 0, false) + 0.2);
    }

    /** Once the cause is gone, shedding ends within two seconds, without any request having to succeed. */
    @Test
    void recoversByItself() {
        run(10_000, 500_000);
        assertTrue(shedder.level() > 3);
        run(2_000, 0);
        assertEquals(0, shedder.level());
        assertFalse(shedder.shouldShed(READ, 0, true, 0));
    }

    @Test
    void retryDelayGrowsWithTheOverloadAndIsSpread() {
        long before = shedder.retryAfterMicros(0.5);
        run(2_000, 30_000);
        assertTrue(shedder.retryAfterMicros(0.5) > 2 * before);
        assertEquals(3.0, (double) shedder.retryAfterMicros(1) / shedder.retryAfterMicros(0), 0.01);
    }

    @Test
    void latenessIsKnownBeforeTheTickRuns() {
        Lateness lateness = new Lateness(0, TICK);
        assertEquals(0, lateness.estimate(TICK - 1));
        assertEquals(70_000, lateness.estimate(TICK + 70_000), "the overdue tick has not run yet");
        assertEquals(70_000, lateness.tick(TICK + 70_000));
        assertEquals(70_000, lateness.estimate(TICK + 70_001), "events right after the tick were as late");
        assertEquals(0, lateness.estimate(2 * TICK + 70_000));
    }
}
