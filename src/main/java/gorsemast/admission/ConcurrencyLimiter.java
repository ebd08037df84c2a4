package gorsemast.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Who has one of the few places for requests that take time, where sockets are short.
 *
 * <p><b>Idea.</b> A request that needs another machine, or whose answer is long, holds its client's socket for as long as that takes.
 * With so few sockets that all may be held, those that come meanwhile would wait unaccepted, where nobody can see their age, answer
 * them or drop them once their clients have left; such a queue is served first in, first out, and once it is longer than its clients'
 * patience all work is for clients that have left. So places are counted here, fewer than sockets, and who finds none is refused at
 * once: the sockets beyond them turn requests around that take no time.
 *
 * <p>Requests of a kind that usually hold a place for longer than their aim may have a part of the places only, so that long answers
 * alone can't take all of them. What a kind usually takes is learned from its requests.
 *
 * <p>A kind that wants well under its fair share of the places may wait, briefly and on one of those sockets, and has the next place that
 * comes free. Who wants least goes first; who must give way to it is refused. So a kind that is seldom asked for is served beside busy ones,
 * whose clients come back again and again, and no place stands idle for it. What counts is what a kind asks for, not what it gets: of one
 * that gets little because it asks for far too much every request would wait, and that socket would turn nobody round any more.
 *
 * <p><b>Could hurt</b> where requests would have waited briefly and are refused: they come back, which costs a connection; and where one
 * waits in vain, as long as it does nobody else is accepted on its socket. O(1), and O(kinds of late) where no place is free; one record
 * a kind of request; no clock, no I/O; one thread; times in microseconds.
 */
public final class ConcurrencyLimiter {
    /** Places where nothing is short: nobody is refused and nothing counted. */
    public static final int UNBOUNDED = Integer.MAX_VALUE;

    private static final double NEW_PART = 0.1;
    /** Beyond so many kinds those that hold nothing are forgotten. */
    private static final int MOST_KINDS = 4_096;
    /** Over about so long what a kind asks for is averaged. */
    private static final double OF_LATE_MICROS = 1e6;
    /** A kind that wants fewer places on average takes no part in the shares. */
    private static final double UNUSED = 0.01;
    /** Who wants less than this part of its fair share may wait. */
    private static final double LIGHT_PART = 0.5;
    /** A request counts for so long at least: one that ends at once, as what it needs is taken, has waited no less for its place. */
    private static final long LEAST_MICROS = 20_000;
    /** Nobody waits longer, nor for more than half of its aim. */
    private static final long LONGEST_WAIT_MICROS = 100_000;

    /**
     * Requests that are alike.
     *
     * @param name what is known of them is kept under
     * @param targetLatencyMicros within which their answers are wanted
     * @param maxSlotsIfSlow places that they may hold where they usually take longer than that
     */
    public record Kind(String name, long targetLatencyMicros, int maxSlotsIfSlow) {
        /** How long one of them may wait for a place. */
        public long maxWaitMicros() {
            return Math.min(LONGEST_WAIT_MICROS, targetLatencyMicros / 2);
        }
    }

    /** One request that asks for a place; told once, unless it was answered at once or withdrawn. */
    public interface Waiter {
        /** It has the place that came free. */
        void admitted();

        /** It gives way to another. */
        void refused();
    }

    /** What a request is told at once. */
    public enum Admission {
        /** It has a place, which {@link #release} gives back. */
        ADMITTED,
        /** It is told later, unless it is withdrawn. */
        QUEUED,
        /** There is none for it. */
        REFUSED
    }

    /** What is known of a kind. */
    private static final class Usage {
        private int held;
        /** For how long one of its requests usually has a place; no number before the first. */
        private double usual = Double.NaN;
        /** How many of its requests have come of late, those long ago counting less, as of then. */
        private double asked;

        private long askedAt;

        private double asked(long now) {
            return asked * Math.exp(-Math.max(0, now - askedAt) / OF_LATE_MICROS);
        }

        void ask(long now) {
            asked = asked(now) + 1;
            askedAt = now;
        }

        /** How many places it would hold on average if none of its requests were refused; before that is known, those that it holds. */
        double wanted(long now) {
            return Double.isNaN(usual) ? held : asked(now) * Math.max(LEAST_MICROS, usual) / OF_LATE_MICROS;
        }
    }

    private record Waiting(Kind kind, Waiter waiter) {}

    private final int places;
    private final int mostWaiting;
    private final Map<String, Usage> kinds = new HashMap<>();
    private final List<Waiting> queue = new ArrayList<>();
    private int taken;
    /** Whether one has waited in vain since a place last came free. */
    private boolean stuck;

    /**
     * For so many requests at a time.
     *
     * @param places in all; {@link #UNBOUNDED} where nothing is short
     * @param mostWaiting how many may wait for one
     */
    public ConcurrencyLimiter(int places, int mostWaiting) {
        this.places = Math.max(1, places);
        this.mostWaiting = mostWaiting;
    }

    /** Asks for a place for a request; where it waits, {@code waiter} is told. */
    public Admission acquire(Kind kind, long now, Waiter waiter) {
        if (places == UNBOUNDED) {
            return Admission.ADMITTED;
        }
        Usage usage = usage(kind);
        usage.ask(now);
        if (usage.held >= Math.max(1, kind.maxSlotsIfSlow) && usage.usual > kind.targetLatencyMicros) {
            return Admission.REFUSED;
        }
        if (taken < places) {
            take(usage);
            return Admission.ADMITTED;
        }
        return !stuck && isLight(usage, now) && queue(new Waiting(kind, waiter), now)
                ? Admission.QUEUED
                : Admission.REFUSED;
    }

    private Usage usage(Kind kind) {
        return kinds.computeIfAbsent(kind.name, name -> new Usage());
    }

    private void take(Usage usage) {
        taken++;
        usage.held++;
    }

    private boolean isLight(Usage usage, long now) {
        long active = kinds.values().stream()
                .filter(one -> one != usage && one.wanted(now) > UNUSED)
                .count();
        return usage.wanted(now) < LIGHT_PART * places / (active + 1);
    }

    /** Whether it may wait, where need be in the place of one whose kind wants more. */
    private boolean queue(Waiting one, long now) {
        if (queue.size() >= mostWaiting) {
            Waiting heaviest = heaviest(now);
            if (heaviest == null || wanted(heaviest, now) <= wanted(one, now)) {
                return false;
            }
            queue.remove(heaviest);
            queue.add(one);
            heaviest.waiter.refused();
        } else {
            queue.add(one);
        }
        return true;
    }

    private double wanted(Waiting one, long now) {
        return usage(one.kind).wanted(now);
    }

    private Waiting heaviest(long now) {
        Waiting heaviest = null;
        for (Waiting one : queue) {
            if (heaviest == null || wanted(one, now) > wanted(heaviest, now)) {
                heaviest = one;
            }
        }
        return heaviest;
    }

    private Waiting lightest(long now) {
        Waiting lightest = null;
        for (Waiting one : queue) {
            if (lightest == null || wanted(one, now) < wanted(lightest, now)) {
                lightest = one;
            }
        }
        return lightest;
    }

    /** A request waits no longer, as its client has left; it is not told any more. Returns whether it waited. */
    public boolean withdraw(Waiter waiter) {
        return queue.removeIf(one -> one.waiter == waiter);
    }

    /**
     * A request has waited for as long as it may; it is not told any more. Returns whether it waited. Where no place comes free in such a
     * time the next ones would wait in vain too, each on a socket that turns others round: they are refused until one does.
     */
    public boolean expire(Waiter waiter) {
        boolean waited = withdraw(waiter);
        stuck |= waited;
        return waited;
    }

    /** A place that was taken for a request is free again after so long. */
    public void release(Kind kind, long heldMicros, long now) {
        if (places == UNBOUNDED) {
            return;
        }
        taken--;
        stuck = false;
        Usage usage = usage(kind);
        usage.held--;
        usage.usual = Double.isNaN(usage.usual) ? heldMicros : usage.usual + NEW_PART * (heldMicros - usage.usual);
        if (kinds.size() > MOST_KINDS) {
            kinds.values().removeIf(one -> one.held == 0);
        }
        Waiting next = lightest(now);
        if (next != null) {
            queue.remove(next);
            take(usage(next.kind));
            next.waiter.admitted();
        }
    }

    /** How many places are taken. */
    public int slotsInUse() {
        return taken;
    }

    /** How many requests wait for one. */
    public int waiting() {
        return queue.size();
    }
}
