package gorsemast.cache;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;

/**
 * This edge's permits to send requests to services whose servers accept only so many per second from all edges.
 *
 * <p>The rate allows a whole number of permits per window, divided among the edges by rank so that the shares add up
 * to exactly that number: rounding neither loses nor creates permits. Where only some edges fetch a service's
 * objects, they get most of the permits and the other edges the rest, for when a fetcher fails. A permit whose
 * request was not sent is released. When edges are lost, the shares of the others grow only after a window: until
 * then the servers still count what the lost edges have sent.
 *
 * <p>Edges that disagree on which edges are up have shares that add up to a little more or less. O(edges log edges)
 * when the edges change, else O(1). Not thread-safe; times are in microseconds.
 */
public final class OriginPermits {
    /**
     * Part of the servers' rate that is used; the rest allows for differences between what servers and edges count.
     */
    private static final double USED_RATIO = 0.95;
    /**
     * Part of the permits left to the edges that do not fetch if there are hardly any fetchers; it shrinks as the
     * fetchers become more.
     */
    private static final double NON_FETCHER_RATIO = 0.12;

    /** Part of the permits that requests ahead of need leave to those for which somebody waits. */
    private static final double PREFETCH_RESERVED_RATIO = 0.5;

    private static final double MICROS_PER_SECOND = 1e6;

    private final LongSupplier clock;
    private final HomeSelector homes;
    private final ToDoubleFunction<String> serverRatePerSecond;
    private final ToIntFunction<String> fetcherCount;
    private final long windowMicros;
    private final long startedAt;
    private final Map<String, SlidingWindowLimiter> limiters = new HashMap<>();
    private final Map<String, SlowGrowingShare> shares = new HashMap<>();
    private final Map<String, RouteReservations> reservations = new HashMap<>();
    private int outstanding;

    /** A permit that has been taken; it is settled once, by being used or released. */
    public final class Permit {
        /** Null if the servers' rate is unlimited. */
        private final SlidingWindowLimiter limiter;

        private final long step;
        /** Takes note of a permit that is given back. */
        private final Runnable onRelease;

        private boolean settled;

        private Permit(SlidingWindowLimiter limiter, long step, Runnable onRelease) {
            this.limiter = limiter;
            this.step = step;
            this.onRelease = onRelease;
            outstanding++;
        }

        /** Settles the permit: a server may have received its request. */
        public void markUsed() {
            settle();
        }

        /** Settles the permit: nothing was sent. */
        public void release() {
            if (settle() && limiter != null) {
                limiter.release(step);
                onRelease.run();
            }
        }

        private boolean settle() {
            boolean first = !settled;
            settled = true;
            outstanding -= first ? 1 : 0;
            return first;
        }
    }

    /**
     * Creates the permits of one edge.
     *
     * @param windowMicros over which the servers' rate is counted
     * @param serverRatePerSecond requests that a service's servers accept from all edges; infinite if unlimited
     * @param fetcherCount how many edges fetch a service's objects
     */
    public OriginPermits(
            LongSupplier clock,
            HomeSelector homes,
            long windowMicros,
            ToDoubleFunction<String> serverRatePerSecond,
            ToIntFunction<String> fetcherCount) {
        this.clock = clock;
        this.homes = homes;
        this.windowMicros = windowMicros;
        this.startedAt = clock.getAsLong();
        this.serverRatePerSecond = serverRatePerSecond;
        this.fetcherCount = fetcherCount;
    }

    /** How many requests all edges together may send in one window to servers that accept this rate. */
    static double permitsPerWindow(double ratePerSecond, long windowMicros) {
        return USED_RATIO * ratePerSecond * windowMicros / MICROS_PER_SECOND;
    }

    /**
     * How many of {@code total} permits the edge at {@code index} gets out of {@code count} edges; the shares add up
     * to the total.
     */
    static long shareOf(long total, int index, int count) {
        return total * (index + 1) / count - total * index / count;
    }

    /** This edge's permits per window; an increase takes effect after it has lasted for a window. */
    long permitShare(String service) {
        return shares.computeIfAbsent(service, name -> new SlowGrowingShare(windowMicros))
                .update(clock.getAsLong(), shareByRank(service));
    }

    private long shareByRank(String service) {
        long total = Math.max(1, (long) permitsPerWindow(serverRatePerSecond.applyAsDouble(service), windowMicros));
        HomeSelector.SharePosition position = homes.sharePosition(service, fetcherCount.applyAsInt(service));
        if (position.allFetch()) {
            return shareOf(total, position.index(), position.count());
        }
        double nonFetcherRatio = NON_FETCHER_RATIO
                * (position.isFetcher() ? homes.edgeCount() - position.count() : position.count())
                / homes.edgeCount();
        long fetcherPermits = Math.max(1, (long) ((1 - nonFetcherRatio) * total));
        return shareOf(
                position.isFetcher() ? fetcherPermits : total - fetcherPermits, position.index(), position.count());
    }

    private SlidingWindowLimiter limiterFor(String service) {
        return limiters.computeIfAbsent(service, name -> new SlidingWindowLimiter(windowMicros, startedAt));
    }

    private RouteReservations reservationsFor(String service) {
        return reservations.computeIfAbsent(service, name -> new RouteReservations(windowMicros));
    }

    /** Takes a permit to send one request of a route now; null if none is available. */
    public Permit tryAcquire(String service, String route) {
        if (isUnlimited(service)) {
            return new Permit(null, 0, () -> {});
        }
        RouteReservations reserved = reservationsFor(service);
        long now = clock.getAsLong();
        reserved.recordRequest(now, route);
        Permit permit = tryAcquire(
                service,
                reserved.reservedForOthers(now, route, permitShare(service)),
                () -> reserved.recordReleased(route));
        if (permit != null) {
            reserved.recordGranted(now, route);
        }
        return permit;
    }

    /** Takes a permit for a request for whose response nobody waits; null if none is available. */
    public Permit tryAcquirePrefetch(String service) {
        return isUnlimited(service)
                ? new Permit(null, 0, () -> {})
                : tryAcquire(service, PREFETCH_RESERVED_RATIO * permitShare(service), () -> {});
    }

    /** Takes a permit for a request that belongs to no route's objects; null if none is available. */
    public Permit tryAcquire(String service) {
        return isUnlimited(service) ? new Permit(null, 0, () -> {}) : tryAcquire(service, 0, () -> {});
    }

    private boolean isUnlimited(String service) {
        return Double.isInfinite(serverRatePerSecond.applyAsDouble(service));
    }

    private Permit tryAcquire(String service, double reserved, Runnable onRelease) {
        SlidingWindowLimiter limiter = limiterFor(service);
        long now = clock.getAsLong();
        return limiter.tryAcquire(now, permitShare(service), reserved)
                ? new Permit(limiter, limiter.stepOf(now), onRelease)
                : null;
    }

    /** Number of permits that are neither used nor released yet. */
    public int outstanding() {
        return outstanding;
    }

    /** How long until a permit is available, if no other is taken. */
    public long microsUntilAvailable(String service) {
        return limiterFor(service).microsUntilAvailable(clock.getAsLong(), permitShare(service));
    }
}
