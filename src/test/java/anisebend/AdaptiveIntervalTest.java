package anisebend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class AdaptiveIntervalTest {
    private final AdaptiveInterval sleeper = new AdaptiveInterval(new SplittableRandom(1), 100, 1600);

    @Test
    void growsFromZeroToTheUnjitteredInitialInterval() {
        sleeper.increase();
        assertEquals(100, sleeper.currentInterval);
    }

    @Test
    void growsByTheMultiplierWithinTheJitter() {
        long least = Long.MAX_VALUE;
        long most = 0;
        for (int i = 0; i < 1000; i++) {
            sleeper.currentInterval = 100;
            sleeper.increase();
            least = Math.min(least, sleeper.currentInterval);
            most = Math.max(most, sleeper.currentInterval);
        }
        assertTrue(least >= 140 && least < 145, "200 less 30 percent, was " + least);
        assertTrue(most <= 260 && most > 255, "200 and 30 percent, was " + most);
    }

    @Test
    void isCapped() {
        for (int i = 0; i < 20; i++) {
            sleeper.increase();
        }
        assertEquals(1600, sleeper.currentInterval);
    }

    @Test
    void countsSuccessesOnlyWhilePacedAndKeepsThemThroughFailures() {
        sleeper.recordSuccess();
        assertEquals(0, sleeper.successes);
        sleeper.increase();
        sleeper.recordSuccess();
        sleeper.increase();
        assertEquals(1, sleeper.successes);
    }

    @Test
    void stepsDownAfterCountedSuccessesAndResetsTheCount() {
        sleeper.currentInterval = 1000;
        for (int i = 1; i < AdaptiveInterval.SUCCESS_THRESHOLD; i++) {
            sleeper.recordSuccess();
            assertEquals(1000, sleeper.currentInterval);
        }
        sleeper.recordSuccess();
        assertTrue(sleeper.currentInterval >= 350 && sleeper.currentInterval <= 650, "500 with 30 percent");
        assertEquals(0, sleeper.successes);
    }

    @Test
    void stepsToZeroBelowTheInitialInterval() {
        sleeper.currentInterval = 120;
        for (int i = 0; i < AdaptiveInterval.SUCCESS_THRESHOLD; i++) {
            sleeper.recordSuccess();
        }
        assertEquals(0, sleeper.currentInterval);
    }
}
