package anisebend;

import java.util.SplittableRandom;

/** A slot for sending requests to a target. While its interval is not 0 it carries one request at a time. */
final class Lane extends AdaptiveInterval {
    /** The shortest and longest interval are the shortest deadline divided by these. */
    static final int INITIAL_DIVISOR = 50;

    static final int MAX_DIVISOR = 5;

    /** When the interval begins: at the last send or, once there is one, its outcome. */
    long idleSince;

    long decreasedAt;
    int inFlight;

    Lane(SplittableRandom random, long deadline) {
        super(random, deadline / INITIAL_DIVISOR, deadline / MAX_DIVISOR);
    }

    /** Decreases the interval once for each idle time in which the threshold could have been reached. */
    void decayWhileIdle(long now) {
        decreasedAt = Math.max(decreasedAt, idleSince);
        while (inFlight == 0 && currentInterval > 0) {
            long step = SUCCESS_THRESHOLD * Math.max(currentInterval, maxInterval / 2);
            if (now - decreasedAt < step) {
                return;
            }
            decreasedAt += step;
            decrease();
        }
    }

    long readyAt() {
        return currentInterval == 0 ? 0 : inFlight > 0 ? Long.MAX_VALUE : idleSince + currentInterval;
    }
}
