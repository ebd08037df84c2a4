package gorsemast.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RetryDelayTest {
    private static final int MANY = 2_000;

    @Test
    void aSingleRefusalComesBackSoonAfterTheWait() {
        long told = new RetryDelay().recordRefused(5_000, 0.5);
        assertTrue(told >= 5_000 + RetryDelay.FIRST_MICROS && told < 5_000 + 2 * RetryDelay.FIRST_MICROS, "" + told);
    }

    @Test
    void itGrowsWhileAStormLastsAndFallsAfterIt() {
        RetryDelay comeBack = new RetryDelay();
        long before = 0;
        for (int i = 0; i < MANY; i++) {
            long told = comeBack.recordRefused(0, 0.5);
            assertTrue(told >= before, "it never falls while all are refused");
            before = told;
        }
        assertEquals(RetryDelay.MOST_MICROS, before, RetryDelay.MOST_MICROS / 100.0);
        for (int i = 0; i < MANY; i++) {
            comeBack.recordServed();
        }
        assertEquals(0, comeBack.refusedFraction(), 0.001);
        assertTrue(comeBack.recordRefused(0, 0.5) < 2 * RetryDelay.FIRST_MICROS);
    }

    @Test
    void whatIsToldIsSpreadOverAFactorOfThree() {
        SplittableRandom random = new SplittableRandom(7);
        long least = Long.MAX_VALUE;
        long most = 0;
        for (int i = 0; i < MANY; i++) {
            RetryDelay comeBack = new RetryDelay();
            long told = comeBack.recordRefused(100_000, random.nextDouble());
            least = Math.min(least, told);
            most = Math.max(most, told);
        }
        assertTrue(most > 2.8 * least && most <= 3 * least + 3, least + " to " + most);
    }

    @Test
    void halfRefusedIsHalfWay() {
        RetryDelay comeBack = new RetryDelay();
        SplittableRandom random = new SplittableRandom(11);
        for (int i = 0; i < MANY; i++) {
            if (random.nextBoolean()) {
                comeBack.recordServed();
            } else {
                comeBack.recordRefused(0, random.nextDouble());
            }
        }
        assertEquals(0.5, comeBack.refusedFraction(), 0.2);
    }
}
