package anisebend;

import java.util.ArrayDeque;

/**
 * How many fetches may be out at the ledger: what it answers in the wanted time (Little's law), with room for
 * chance; lanes learn from answers, too late past its peak. Out is what it may still work on: what was given
 * up too, but nothing sent well before one that it has answered: that hangs at its cache server. O(1) each;
 * times in microseconds. Could hurt where the ledger gets quicker at once, as the rate follows.
 */
final class FetchLimit {
    /** Deviations of a chance number that the bound leaves room for, and the least that may be out. */
    private static final double CHANCE = 4;

    private static final int LEAST = 2;

    /** One that has been sent. */
    static final class Fetch {
        private long sentAt;
        private boolean over;
    }

    private final ArrayDeque<Fetch> sent = new ArrayDeque<>();
    private int out;
    private long overtaken = Long.MIN_VALUE;

    /** One goes out. */
    Fetch send(long now) {
        Fetch fetch = new Fetch();
        fetch.sentAt = now;
        sent.add(fetch);
        out++;
        return fetch;
    }

    /** It is not at the ledger any more, or has never come there. */
    void over(Fetch fetch) {
        out -= fetch.over ? 0 : 1;
        fetch.over = true;
    }

    /** The ledger has answered it, and so too what was sent earlier by more than {@code slack}. */
    void answered(Fetch fetch, double slack) {
        over(fetch);
        overtaken = Math.max(overtaken, (long) (fetch.sentAt - slack));
    }

    /** Whether one more may go out to a ledger that answers so many a second and is to within {@code aim}. */
    boolean room(long now, double perSecond, long aim, long longest) {
        long gone = Math.max(overtaken, now - longest);
        while (!sent.isEmpty() && (sent.peek().over || sent.peek().sentAt <= gone)) {
            over(sent.poll());
        }
        double usual = perSecond * aim / Measures.MICROS;
        return out < LEAST + usual + CHANCE * Math.sqrt(usual);
    }
}
