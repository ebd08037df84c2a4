package gorsemast.admission;

import java.util.Arrays;

/**
 * Decides which requests to refuse while the process itself is late, least important first.
 *
 * <p>A queue that never empties is overload; one that is full for a moment is not. As in CoDel (Nichols and Jacobson,
 * "Controlling Queue Delay", ACM Queue 2012; RFC 8289) the minimum lateness within an interval decides: if it stays over
 * the target for a whole interval the shedding level rises, otherwise it halves. The level determines which fraction of
 * which requests is refused: first those over their tenant's share, then each class in order of importance. A part of
 * the most important class always passes, so that recovery is noticed. A refused request costs almost nothing and never
 * reaches the decision module; its retry delay grows with the level and is spread over a factor of three, so that
 * clients do not retry in step.
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
    private static final int MUCH = 5;
    /** Fraction of the most important class that is never refused. */
    private static final double PASSES = 0.1;
    /** Added to the level for a client's retry. */
    private static final double REPEAT = 0.5;
    /** Factor by which a tenant must exceed its share of the requests, as in the decision module. */
    private static final double OVER = 1.25;
    /** Decay per interval of the tenants' request counts. */
    private static final double KEPT = 0.95;
    /** Minimum number of requests from which shares are judged. */
    private static final double ENOUGH = 40;

    private static final long FIRST_RETRY_MICROS = 200_000;

    /** For each class, the number of distinct lower importances. */
    private int[] ranks;

    private int most;
    private final double[] shares;
    private final double[] asked;
    private double askedInAll;
    private double level;
    private long least = Long.MAX_VALUE;
    private long intervalEnds;

    /** Creates a shedder for classes of these importances and tenants of these shares, from 0 to 1. */
    public LoadShedder(double[] worths, double[] shares) {
        setClasses(worths);
        this.shares = shares.clone();
        asked = new double[shares.length];
    }

    /** Replaces the importances of the classes, indexed by class number. */
    public void setClasses(double[] worths) {
        double[] order = Arrays.stream(worths).distinct().sorted().toArray();
        ranks = Arrays.stream(worths)
                .mapToInt(worth -> Arrays.binarySearch(order, worth))
                .toArray();
        most = Math.max(0, order.length - 1);
    }

    /** Records how late the event loop was at a tick. */
    public void recordLateness(long now, long micros) {
        least = Math.min(least, micros);
        if (now < intervalEnds) {
            return;
        }
        if (least <= TARGET_MICROS || least == Long.MAX_VALUE) {
            level = level < STEP / 2 ? 0 : level / 2;
        } else {
            level = Math.min(most + 2, level + (least > MUCH * TARGET_MICROS ? 2 : 1) * STEP);
        }
        least = Long.MAX_VALUE;
        intervalEnds = now + INTERVAL_MICROS;
        for (int i = 0; i < asked.length; i++) {
            asked[i] *= KEPT;
        }
        askedInAll *= KEPT;
    }

    /**
     * Whether to refuse a request; called once for each.
     *
     * @param type its class, an index into the importances
     * @param tenant an index into the shares; unknown tenants count as within theirs
     * @param repeat whether the client marks it as a retry
     * @param draw a random number from 0 to 1
     */
    public boolean shouldShed(int type, int tenant, boolean repeat, double draw) {
        boolean over = false;
        askedInAll++;
        if (tenant < asked.length) {
            asked[tenant]++;
            over = askedInAll > ENOUGH && asked[tenant] > OVER * shares[tenant] * askedInAll;
        }
        if (level == 0) {
            return false;
        }
        double part = level + (repeat ? REPEAT : 0) - (over ? 0 : 1 + ranks[type]);
        return draw < Math.min(part, ranks[type] == most && !over ? 1 - PASSES : 1);
    }

    /** Whether no class is more important. */
    public boolean isMostImportant(int type) {
        return ranks[type] == most;
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
