package anisebend;

import java.util.SplittableRandom;

/** The paper's sleeper: an interval that failures multiply up and counted successes step down. */
class AdaptiveInterval {
    /** The paper's multipliers and threshold: doubled on failure, halved after a few successes. */
    private static final double UP = 2;

    private static final double DOWN = 0.5;
    private static final double RANDOMIZATION = 0.3;
    static final int THRESHOLD = 6;

    final SplittableRandom random;
    final long initialInterval;
    final long maxInterval;
    long currentInterval;
    int currentSuccess;

    AdaptiveInterval(SplittableRandom random, long initialInterval, long maxInterval) {
        this.random = random;
        this.initialInterval = initialInterval;
        this.maxInterval = maxInterval;
    }

    void goUp() {
        currentInterval = currentInterval == 0 ? initialInterval : draw(currentInterval * UP);
    }

    void success() {
        if (currentInterval > 0 && ++currentSuccess >= THRESHOLD) {
            goDown();
            currentSuccess = 0;
        }
    }

    void goDown() {
        long next = draw(currentInterval * DOWN);
        currentInterval = next < initialInterval ? 0 : next;
    }

    private long draw(double interval) {
        double delta = Math.min(RANDOMIZATION * interval, maxInterval / 2.0);
        return (long) Math.min(maxInterval, interval - delta + 2 * delta * random.nextDouble());
    }
}
