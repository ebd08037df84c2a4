package anisebend;

import java.util.ArrayDeque;

/**
 * Limits the fetches in flight at the origin to what it answers within the target latency (Little's law)
 * with a margin for variance; lanes alone react only past its peak. Abandoned fetches count, as the origin
 * serves them, but not those sent well before one that it has answered: these hang at their cache server.
 * O(1) a call; microseconds. If the origin gets faster suddenly, the limit follows only with the rate.
 */
final class FetchLimit {
    /** Standard deviations (of a Poisson count) above the mean, and the minimum limit. */
    private static final double DEVIATIONS = 4;

    private static final int MIN_FETCHES = 2;

    /** A fetch in flight. */
    static final class Fetch {
        private long sentAt;
        private boolean finished;
    }

    private final ArrayDeque<Fetch> sent = new ArrayDeque<>();
    private int outstanding;
    private long supersededUntil = Long.MIN_VALUE;

    /** Records a fetch that is sent. */
    Fetch send(long now) {
        Fetch fetch = new Fetch();
        fetch.sentAt = now;
        sent.add(fetch);
        outstanding++;
        return fetch;
    }

    /** Records that a fetch is no longer at the origin, or never got there. */
    void finish(Fetch fetch) {
        outstanding -= fetch.finished ? 0 : 1;
        fetch.finished = true;
    }

    /** Records an answer of the origin; fetches sent more than {@code slack} before it count as finished. */
    void answered(Fetch fetch, double slack) {
        finish(fetch);
        supersededUntil = Math.max(supersededUntil, (long) (fetch.sentAt - slack));
    }

    /** Whether an origin that answers {@code perSecond} fetches may get one more within {@code target}. */
    boolean hasCapacity(long now, double perSecond, long target, long longest) {
        long superseded = Math.max(supersededUntil, now - longest);
        while (!sent.isEmpty() && (sent.peek().finished || sent.peek().sentAt <= superseded)) {
            finish(sent.poll());
        }
        double mean = perSecond * target / Stats.SECOND;
        return outstanding < MIN_FETCHES + mean + DEVIATIONS * Math.sqrt(mean);
    }
}
