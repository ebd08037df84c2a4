package anisebend;

import java.util.SplittableRandom;

/** One of a target's paced ways out. While paced it carries one request, as the paper's workers do. */
final class Lane extends AdaptiveInterval {
    /** Both bounds of an interval, as parts of the shortest deadline. */
    static final int INITIAL_PART = 50;

    static final int MAX_PART = 5;

    /** Since when it rests: its last send or, like the paper's sleep after a call, the answer to it. */
    long restSince;

    long steppedAt;
    int out;

    Lane(SplittableRandom random, long deadline) {
        super(random, deadline / INITIAL_PART, deadline / MAX_PART);
    }

    /** Steps down for each time in which a threshold of successes could have been earned, unused. */
    void rest(long now) {
        steppedAt = Math.max(steppedAt, restSince);
        while (out == 0 && currentInterval > 0) {
            long step = THRESHOLD * Math.max(currentInterval, maxInterval / 2);
            if (now - steppedAt < step) {
                return;
            }
            steppedAt += step;
            goDown();
        }
    }

    long readyAt() {
        return currentInterval == 0 ? 0 : out > 0 ? Long.MAX_VALUE : restSince + currentInterval;
    }
}
