package gorsemast.cache;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;

/**
 * This edge's rights to send requests to services whose servers bear only so many a second from all edges.
 *
 * <p><b>Idea.</b> What servers bear within a window is a whole number of rights, and these are dealt out to the edges by their
 * rank, so that the parts sum up to exactly that number: rounding neither loses rights nor makes any. Where only some edges
 * fetch a service's objects these have most of it, and the others the rest, for when one of them fails. A right that was taken
 * for a request which then was not sent is given back. When edges are lost the others' parts grow only after a window: until then
 * what the lost ones have spent still counts at the servers.
 *
 * <p><b>Could hurt</b> where edges disagree on who is there: parts then sum up to a little more or less. O(edges log edges) when
 * edges change, else O(1). One thread; times in microseconds.
 */
public final class OriginPermits {
    /** Of what servers bear, so much is sent: the rest is for what is seen otherwise at the servers than here. */
    private static final double SPENT = 0.95;
    /** Where nearly no edge fetches for all, the others have so much of what is sent; the more fetch, the less the others need. */
    private static final double OTHERS_PART = 0.12;

    private static final double MICROS = 1e6;

    private final LongSupplier clock;
    private final HomeSelector homes;
    private final ToDoubleFunction<String> perSecond;
    private final ToIntFunction<String> fetchers;
    private final long window;
    private final long begun;
    private final Map<String, SlidingWindowLimiter> ceilings = new HashMap<>();
    private final Map<String, SlowGrowingShare> parts = new HashMap<>();
    private int open;

    /** One right that has been taken; it is settled once. */
    public final class Permit {
        /** Null where the servers have no bound. */
        private final SlidingWindowLimiter ceiling;

        private final long step;
        private boolean settled;

        private Permit(SlidingWindowLimiter ceiling, long step) {
            this.ceiling = ceiling;
            this.step = step;
            open++;
        }

        /** A server may have got what it was taken for. */
        public void markUsed() {
            settle();
        }

        /** Nothing was sent for it. */
        public void release() {
            if (settle() && ceiling != null) {
                ceiling.release(step);
            }
        }

        private boolean settle() {
            boolean first = !settled;
            settled = true;
            open -= first ? 1 : 0;
            return first;
        }
    }

    /**
     * Of one edge.
     *
     * @param window what the servers' rate is counted over
     * @param perSecond what a service's servers bear from all edges; infinite where they have no bound
     * @param fetchers how many edges fetch a service's objects
     */
    public OriginPermits(
            LongSupplier clock,
            HomeSelector homes,
            long window,
            ToDoubleFunction<String> perSecond,
            ToIntFunction<String> fetchers) {
        this.clock = clock;
        this.homes = homes;
        this.window = window;
        this.begun = clock.getAsLong();
        this.perSecond = perSecond;
        this.fetchers = fetchers;
    }

    /** What all edges together may send in one window to servers that bear so many a second. */
    static double permitsPerWindow(double perSecond, long window) {
        return SPENT * perSecond * window / MICROS;
    }

    /** How many of {@code permitsPerWindow} rights the one with this index has, out of {@code count} that share them: they sum up to all. */
    static long shareOf(long whole, int index, int count) {
        return whole * (index + 1) / count - whole * index / count;
    }

    /** This edge's rights in one window; more than before only once that has held for a window. */
    long permitShare(String service) {
        return parts.computeIfAbsent(service, name -> new SlowGrowingShare(window))
                .update(clock.getAsLong(), partByRank(service));
    }

    private long partByRank(String service) {
        long whole = Math.max(1, (long) permitsPerWindow(perSecond.applyAsDouble(service), window));
        HomeSelector.SharePosition place = homes.sharePosition(service, fetchers.applyAsInt(service));
        if (place.allFetch()) {
            return shareOf(whole, place.index(), place.count());
        }
        double others = OTHERS_PART
                * (place.isFetcher() ? homes.edgeCount() - place.count() : place.count())
                / homes.edgeCount();
        long ofFetchers = Math.max(1, (long) ((1 - others) * whole));
        return shareOf(place.isFetcher() ? ofFetchers : whole - ofFetchers, place.index(), place.count());
    }

    private SlidingWindowLimiter ceiling(String service) {
        return ceilings.computeIfAbsent(service, name -> new SlidingWindowLimiter(window, begun));
    }

    /**
     * Takes a right to send one request now; null where there is none.
     *
     * @param ahead whether nobody waits for what is asked for
     */
    public Permit tryAcquire(String service, boolean ahead) {
        if (Double.isInfinite(perSecond.applyAsDouble(service))) {
            return new Permit(null, 0);
        }
        SlidingWindowLimiter ceiling = ceiling(service);
        long now = clock.getAsLong();
        return ceiling.tryAcquire(now, permitShare(service), ahead) ? new Permit(ceiling, ceiling.stepOf(now)) : null;
    }

    /** How many are taken and neither used nor given back yet. */
    public int outstanding() {
        return open;
    }

    /** How long until there will be a right again, if no other is taken. */
    public long microsUntilAvailable(String service) {
        return ceiling(service).microsUntilAvailable(clock.getAsLong(), permitShare(service));
    }
}
