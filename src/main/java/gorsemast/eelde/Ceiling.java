package gorsemast.eelde;

/**
 * How many requests one edge may send to the servers of a service that bear only so many a second from all edges.
 *
 * <p><b>Idea.</b> Each edge has an even part of what the rule allows within its window, counted over the last window in
 * steps: sums over any window stay below, without a word between edges. What is asked for ahead of need has only half of
 * it. <b>Could hurt</b> where few edges get most of the traffic: they refuse while others leave their part unused.
 * O(1); one thread; times in microseconds.
 */
public final class Ceiling {
    private static final int STEPS = 10;
    /** Parts of the rate that are spent: the rest is for tries again, which nobody counts here. */
    private static final double SPENT = 0.95;
    private static final double AHEAD = 0.5;

    private final long stepMicros;
    private final long windowMicros;
    private final int[] counts = new int[STEPS + 1];
    private long step = Long.MIN_VALUE;

    /** Over windows of this length. */
    public Ceiling(long windowMicros) {
        this.windowMicros = windowMicros;
        this.stepMicros = Math.max(1, windowMicros / STEPS);
    }

    private void move(long now) {
        long at = Math.floorDiv(now, stepMicros);
        long from = Math.max(step + 1, at - STEPS);
        if (step == Long.MIN_VALUE) {
            from = at - STEPS;
        }
        for (long s = from; s <= at; s++) {
            counts[(int) Math.floorMod(s, (long) counts.length)] = 0;
        }
        step = Math.max(step, at);
    }

    /**
     * Whether one more may go out; it is counted if so.
     *
     * @param perSecond what all edges together may send
     * @param ahead whether nobody waits for it
     */
    public boolean take(long now, double perSecond, int edges, boolean ahead) {
        move(now);
        int sum = 0;
        for (int count : counts) {
            sum += count;
        }
        double most = SPENT * perSecond * windowMicros / 1e6 / Math.max(1, edges);
        if (sum + 1 > Math.max(1, most * (ahead ? AHEAD : 1))) {
            return false;
        }
        counts[(int) Math.floorMod(step, (long) counts.length)]++;
        return true;
    }

    /** How long until there is room for one more of so many a second, if nothing else goes out. */
    public long roomIn(long now, double perSecond) {
        move(now);
        int sum = 0;
        for (int count : counts) {
            sum += count;
        }
        double most = Math.max(1, SPENT * perSecond * windowMicros / 1e6);
        long wait = stepMicros - Math.floorMod(now, stepMicros);
        for (long s = step - STEPS; s < step; s++) {
            sum -= counts[(int) Math.floorMod(s, (long) counts.length)];
            if (sum + 1 <= most) {
                return wait;
            }
            wait += stepMicros;
        }
        return wait;
    }
}
