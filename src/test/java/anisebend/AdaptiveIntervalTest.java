package anisebend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class AdaptiveIntervalTest {
    private final AdaptiveInterval interval = new AdaptiveInterval(new SplittableRandom(1), 100, 1600);

    @Test
    void growsFromZeroToTheUnjitteredInitialInterval() {
        interval.increase();
        assertEquals(100, interval.currentInterval);
    }

    @Test
    void growsByTheMultiplierWithinTheJitter() {
        long least = Long.MAX_VALUE;
        long most = 0;
        for (int i = 0; i < 1000; i++) {
            interval.currentInterval = 100;
            interval.increase();
            least = Math.min(least, interval.currentInterval);
            most = Math.max(most, interval.currentInterval);
        }
        assertTrue(least >= 140 && least < 145, "200 less 30 percent, was " + least);
        assertTrue(most <= 260 && most > 255, "200 and 30 percent, was " + most);
    }

    @Test
    void isCapped() {
        for (int i = 0; i < 20; i++) {
            interval.increase();
        }
        assertEquals(1600, interval.currentInterval);
    }

    @Test
    void countsSuccessesOnlyWhilePacedAndKeepsThemThroughFailures() {
        interval.recordSuccess();
        assertEquals(0, interval.successes);
        interval.increase();
        interval.recordSuccess();
        interval.increase();
        assertEquals(1, interval.successes);
    }

    @Test
    void stepsDownAfterCountedSuccessesAndResetsTheCount() {
        interval.currentInterval = 1000;
        for (int i = 1; i < AdaptiveInterval.SUCCESS_THRESHOLD; i++) {
            interval.recordSuccess();
            assertEquals(1000, interval.currentInterval);
        }
        interval.recordSuccess();
        assertTrue(interval.currentInterval >= 350 && interval.currentInterval <= 650, "500 with 30 percent");
        assertEquals(0, interval.successes);
    }

    @Test
    void stepsToZeroBelowTheInitialInterval() {
        interval.currentInterval = 120;
        for (int i = 0; i < AdaptiveInterval.SUCCESS_THRESHOLD; i++) {
            interval.recordSuccess();
        }
        assertEquals(0, interval.currentInterval);
    }
}
