package gorsemast.admission;

import java.util.Arrays;

/**
 * What is turned away while the process itself is late, least worth first.
 *
 * <p><b>Idea.</b> A queue that never empties is overload, a full one for a moment is not. As in CoDel (Nichols and
 * Jacobson, "Controlling Queue Delay", ACM Queue 2012; RFC 8289) the least lateness within an interval tells: where
 * it stays over the target for a whole one, a level rises, else it falls by half. The level says what part of which
 * requests goes: first of those beyond their tenant's share, then of each class in the order of worth. Of the class
 * that is worth most a part always passes, so that recovery shows by itself. What is turned away costs next to
 * nothing, never reaches the decision module, and is told when to come back: later the higher the level, spread over
 * a factor of three, so that it does not come back in step.
 *
 * <p><b>When it could hurt.</b> A process that pauses often for longer than the target and has room otherwise turns
 * away what it could have served. Bounds: O(classes + tenants) memory, O(1) a request.
 */
public final class LoadShedder {
    /** Lateness that is no overload, in microseconds; a tenth of the shortest wanted times seen. */
    public static final long TARGET_MICROS = 20_000;
    /** How long it must stay over the target, in microseconds. */
    public static final long INTERVAL_MICROS = 100_000;
    /** So much the level rises each interval; from nothing to a whole class takes five. */
    private static final double STEP = 0.2;
    /** From so many targets on it rises twice as fast. */
    private static final int MUCH = 5;
    /** The part of the worthiest class that is never turned away. */
    private static final double PASSES = 0.1;
    /** A client's repeat goes as if the level were so much higher. */
    private static final double REPEAT = 0.5;
    /** As in the decision module: how far a tenant must exceed its part of what comes. */
    private static final double OVER = 1.25;
    /** What tenants asked for is forgotten by this each interval. */
    private static final double KEPT = 0.95;
    /** Fewer than this tell nothing of shares. */
    private static final double ENOUGH = 40;

    private static final long FIRST_RETRY_MICROS = 200_000;

    /** Of each class, how many distinct worths are less. */
    private int[] ranks;

    private int most;
    private final double[] shares;
    private final double[] asked;
    private double askedInAll;
    private double level;
    private long least = Long.MAX_VALUE;
    private long intervalEnds;

    /** For classes of these worths and tenants of these shares of the service, from 0 to 1. */
    public LoadShedder(double[] worths, double[] shares) {
        setClasses(worths);
        this.shares = shares.clone();
        asked = new double[shares.length];
    }

    /** Goes on with classes of other worths, by their numbers. */
    public void setClasses(double[] worths) {
        double[] order = Arrays.stream(worths).distinct().sorted().toArray();
        ranks = Arrays.stream(worths)
                .mapToInt(worth -> Arrays.binarySearch(order, worth))
                .toArray();
        most = Math.max(0, order.length - 1);
    }

    /** How late the loop was at a tick. */
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
     * Whether a request is turned away; each is asked about once.
     *
     * @param type its class, an index into the worths
     * @param tenant an index into the shares; others count as within theirs
     * @param repeat whether the client says that it has asked before
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

    /** Whether no class is worth more. */
    public boolean isMostImportant(int type) {
        return ranks[type] == most;
    }

    /** When to come back, in microseconds, with a random number from 0 to 1. */
    public long retryAfterMicros(double draw) {
        return (long) (FIRST_RETRY_MICROS * (1 + level) * (0.5 + draw));
    }

    /** How much is turned away: 0 nothing, 1 all beyond the shares, 2 also all of the least worth, and so on. */
    public double level() {
        return level;
    }
}
