package gorsemast.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RetryDelayTest {
    private static final int MANY = 2_000;

    @Test
    void singleRefusalIsRetriedSoonAfterTheWait() {
        long delay = new RetryDelay().recordRefused(5_000, 0.5);
        assertTrue(delay >= 5_000 + RetryDelay.FIRST_MICROS && delay < 5_000 + 2 * RetryDelay.FIRST_MICROS, "" + delay);
    }

    @Test
    void delayGrowsWhileAllAreRefusedAndFallsAfterwards() {
        RetryDelay retryDelay = new RetryDelay();
        long before = 0;
        for (int i = 0; i < MANY; i++) {
            long delay = retryDelay.recordRefused(0, 0.5);
            assertTrue(delay >= before, "it never falls while all are refused");
            before = delay;
        }
        assertEquals(RetryDelay.MOST_MICROS, before, RetryDelay.MOST_MICROS / 100.0);
        for (int i = 0; i < MANY; i++) {
            retryDelay.recordServed();
        }
        assertEquals(0, retryDelay.refusedFraction(), 0.001);
        assertTrue(retryDelay.recordRefused(0, 0.5) < 2 * RetryDelay.FIRST_MICROS);
    }

    @Test
    void delayIsSpreadOverAFactorOfThree() {
        SplittableRandom random = new SplittableRandom(7);
        long least = Long.MAX_VALUE;
        long most = 0;
        for (int i = 0; i < MANY; i++) {
            RetryDelay retryDelay = new RetryDelay();
            long delay = retryDelay.recordRefused(100_000, random.nextDouble());
            least = Math.min(least, delay);
            most = Math.max(most, delay);
        }
        assertTrue(most > 2.8 * least && most <= 3 * least + 3, least + " to " + most);
    }

    @Test
    void fractionIsHalfIfHalfAreRefused() {
        RetryDelay retryDelay = new RetryDelay();
        SplittableRandom random = new SplittableRandom(11);
        for (int i = 0; i < MANY; i++) {
            if (random.nextBoolean()) {
                retryDelay.recordServed();
            } else {
                retryDelay.recordRefused(0, random.nextDouble());
            }
        }
        assertEquals(0.5, retryDelay.refusedFraction(), 0.2);
    }
}
