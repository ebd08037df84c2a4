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
public final class OriginRights {
    /** Of what servers bear, so much is sent: the rest is for what is seen otherwise at the servers than here. */
    private static final double SPENT = 0.95;
    /** Where nearly no edge fetches for all, the others have so much of what is sent; the more fetch, the less the others need. */
    private static final double OTHERS_PART = 0.12;

    private static final double MICROS = 1e6;

    private final LongSupplier clock;
    private final Homes homes;
    private final ToDoubleFunction<String> perSecond;
    private final ToIntFunction<String> fetchers;
    private final long window;
    private final long begun;
    private final Map<String, Ceiling> ceilings = new HashMap<>();
    private final Map<String, GrowingPart> parts = new HashMap<>();
    private int open;

    /** One right that has been taken; it is settled once. */
    public final class Right {
        /** Null where the servers have no bound. */
        private final Ceiling ceiling;

        private final long step;
        private boolean settled;

        private Right(Ceiling ceiling, long step) {
            this.ceiling = ceiling;
            this.step = step;
            open++;
        }

        /** A server may have got what it was taken for. */
        public void used() {
            settle();
        }

        /** Nothing was sent for it. */
        public void giveBack() {
            if (settle() && ceiling != null) {
                ceiling.giveBack(step);
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
    public OriginRights(
            LongSupplier clock,
            Homes homes,
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
    static double whole(double perSecond, long window) {
        return SPENT * perSecond * window / MICROS;
    }

    /** How many of {@code whole} rights the one with this index has, out of {@code count} that share them: they sum up to all. */
    static long dealt(long whole, int index, int count) {
        return whole * (index + 1) / count - whole * index / count;
    }

    /** This edge's rights in one window; more than before only once that has held for a window. */
    long part(String service) {
        return parts.computeIfAbsent(service, name -> new GrowingPart(window))
                .of(clock.getAsLong(), partByRank(service));
    }

    private long partByRank(String service) {
        long whole = Math.max(1, (long) whole(perSecond.applyAsDouble(service), window));
        Homes.Place place = homes.place(service, fetchers.applyAsInt(service));
        if (place.all()) {
            return dealt(whole, place.index(), place.count());
        }
        double others = OTHERS_PART * (place.fetches() ? homes.count() - place.count() : place.count()) / homes.count();
        long ofFetchers = Math.max(1, (long) ((1 - others) * whole));
        return dealt(place.fetches() ? ofFetchers : whole - ofFetchers, place.index(), place.count());
    }

    private Ceiling ceiling(String service) {
        return ceilings.computeIfAbsent(service, name -> new Ceiling(window, begun));
    }

    /**
     * Takes a right to send one request now; null where there is none.
     *
     * @param ahead whether nobody waits for what is asked for
     */
    public Right take(String service, boolean ahead) {
        if (Double.isInfinite(perSecond.applyAsDouble(service))) {
            return new Right(null, 0);
        }
        Ceiling ceiling = ceiling(service);
        long now = clock.getAsLong();
        return ceiling.take(now, part(service), ahead) ? new Right(ceiling, ceiling.step(now)) : null;
    }

    /** How many are taken and neither used nor given back yet. */
    public int open() {
        return open;
    }

    /** How long until there will be a right again, if no other is taken. */
    public long roomIn(String service) {
        return ceiling(service).roomIn(clock.getAsLong(), part(service));
    }
}
