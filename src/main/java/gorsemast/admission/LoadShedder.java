package gorsemast.admission;

import java.util.Arrays;

/**
 * Decides which requests to refuse while the process itself is late, least important first.
 *
 * <p>A queue that never empties is overload; one that is full for a moment is not. As in CoDel (Nichols and Jacobson,
 * "Controlling Queue Delay", ACM Queue 2012; RFC 8289) the minimum lateness within an interval decides: if it stays
 * over the target for a whole interval the shedding level rises, otherwise it halves. The level determines which
 * fraction of which requests is refused: first those over their tenant's share, then each class in order of importance.
 * A part of the most important class always passes, so that recovery is noticed. A refused request costs almost nothing
 * and never reaches the decision module; its retry delay grows with the level and is spread over a factor of three, so
 * that clients do not retry in step.
 *
 * <p>A process that often pauses for longer than the target, but has capacity otherwise, refuses requests that it could
 * have served. O(classes + tenants) memory, O(1) a request.
 */
public final class LoadShedder {
    /** Lateness that is no overload, in microseconds; a tenth of the shortest target latencies in use. */
    public static final long TARGET_MICROS = 20_000;
    /** How long it must stay over the target, in microseconds. */
    public static final long INTERVAL_MICROS = 100_000;
    /** Rise of the level per interval; shedding a whole class takes five intervals. */
    private static final double STEP = 0.2;
    /** From this many times the target on the level rises twice as fast. */
    private static final int STEEP_RISE_FACTOR = 5;
    /** Fraction of the most important class that is never refused. */
    private static final double MIN_PASS_FRACTION = 0.1;
    /** Added to the level for a client's retry. */
    private static final double RETRY_RISE = 0.5;
    /** Factor by which a tenant must exceed its share of the requests, as in the decision module. */
    private static final double SHARE_TOLERANCE = 1.25;
    /** Decay per interval of the tenants' request counts. */
    private static final double COUNT_DECAY = 0.95;
    /** Minimum number of requests from which shares are judged. */
    private static final double MIN_REQUESTS = 40;

    private static final long FIRST_RETRY_MICROS = 200_000;

    /** For each class, the number of distinct lower importances. */
    private int[] ranks;

    private int maxRank;
    private final double[] shares;
    private final double[] tenantRequests;
    private double totalRequests;
    private double level;
    private long minLateness = Long.MAX_VALUE;
    private long intervalEnd;

    /** Creates a shedder for classes of these importances and tenants of these shares, from 0 to 1. */
    public LoadShedder(double[] importances, double[] shares) {
        setClasses(importances);
        this.shares = shares.clone();
        tenantRequests = new double[shares.length];
    }

    /** Replaces the importances of the classes, indexed by class number. */
    public void setClasses(double[] importances) {
        double[] distinct = Arrays.stream(importances).distinct().sorted().toArray();
        ranks = Arrays.stream(importances)
                .mapToInt(importance -> Arrays.binarySearch(distinct, importance))
                .toArray();
        maxRank = Math.max(0, distinct.length - 1);
    }

    /** Records how late the event loop was at a tick. */
    public void recordLateness(long now, long latenessMicros) {
        minLateness = Math.min(minLateness, latenessMicros);
        if (now < intervalEnd) {
            return;
        }
        if (minLateness <= TARGET_MICROS || minLateness == Long.MAX_VALUE) {
            level = level < STEP / 2 ? 0 : level / 2;
        } else {
            level = Math.min(maxRank + 2, level + (minLateness > STEEP_RISE_FACTOR * TARGET_MICROS ? 2 : 1) * STEP);
        }
        minLateness = Long.MAX_VALUE;
        intervalEnd = now + INTERVAL_MICROS;
        for (int i = 0; i < tenantRequests.length; i++) {
            tenantRequests[i] *= COUNT_DECAY;
        }
        totalRequests *= COUNT_DECAY;
    }

    /**
     * Whether to refuse a request; called once for each.
     *
     * @param type its class, an index into the importances
     * @param tenant an index into the shares; unknown tenants count as within theirs
     * @param retry whether the client marks it as a retry
     * @param draw a random number from 0 to 1
     */
    public boolean shouldShed(int type, int tenant, boolean retry, double draw) {
        boolean overShare = false;
        totalRequests++;
        if (tenant < tenantRequests.length) {
            tenantRequests[tenant]++;
            overShare = totalRequests > MIN_REQUESTS
                    && tenantRequests[tenant] > SHARE_TOLERANCE * shares[tenant] * totalRequests;
        }
        if (level == 0) {
            return false;
        }
        double fraction = level + (retry ? RETRY_RISE : 0) - (overShare ? 0 : 1 + ranks[type]);
        return draw < Math.min(fraction, ranks[type] == maxRank && !overShare ? 1 - MIN_PASS_FRACTION : 1);
    }

    /** Whether no class is more important. */
    public boolean isMostImportant(int type) {
        return ranks[type] == maxRank;
    }

    /** The delay after which to retry, in microseconds, for a random number from 0 to 1. */
    public long retryAfterMicros(double draw) {
        return (long) (FIRST_RETRY_MICROS * (1 + level) * (0.5 + draw));
    }

    /** The level: 0 sheds nothing, 1 everything over the shares, 2 also the least important class, and so on. */
    public double level() {
        return level;
    }
}
