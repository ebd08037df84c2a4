package anisebend;

import java.util.SplittableRandom;

/** A randomized interval between uses: doubled on failure, halved after a number of successes. */
class AdaptiveInterval {
    private static final double INCREASE_FACTOR = 2;
    private static final double DECREASE_FACTOR = 0.5;
    private static final double JITTER = 0.3;
    static final int SUCCESS_THRESHOLD = 6;

    final SplittableRandom random;
    final long initialInterval;
    final long maxInterval;
    long currentInterval;
    int successes;

    AdaptiveInterval(SplittableRandom random, long initialInterval, long maxInterval) {
        this.random = random;
        this.initialInterval = initialInterval;
        this.maxInterval = maxInterval;
    }

    void increase() {
        currentInterval = currentInterval == 0 ? initialInterval : jitter(currentInterval * INCREASE_FACTOR);
    }

    void recordSuccess() {
        if (currentInterval > 0 && ++successes >= SUCCESS_THRESHOLD) {
            decrease();
            successes = 0;
        }
    }

    void decrease() {
        long next = jitter(currentInterval * DECREASE_FACTOR);
        currentInterval = next < initialInterval ? 0 : next;
    }

    private long jitter(double interval) {
        double delta = Math.min(JITTER * interval, maxInterval / 2.0);
        return (long) Math.min(maxInterval, interval - delta + 2 * delta * random.nextDouble());
    }
}
