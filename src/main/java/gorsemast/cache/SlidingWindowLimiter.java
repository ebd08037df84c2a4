package gorsemast.cache;

/**
 * How many requests one edge may send to the servers of a service that bear only so many a second from all edges.
 *
 * <p><b>Idea.</b> Each edge has a part of what the rule allows within its window, counted over the last window in steps: sums
 * over any window stay below, without a word between edges. What is asked for ahead of need has only half of it. A process
 * that starts does not know what its machine's last life has spent, so it counts as if its part had been spent evenly before;
 * and no step may take more than {@link #STEP_PART}, so that the last life can't have spent it all just before it ended. So a
 * herd of edges that is killed and comes back stays within the window too.
 *
 * <p><b>Could hurt</b> where few edges get most of the traffic: they refuse while others leave their part unused. What is given back is taken
 * out of the step in which it was taken. O(1); one
 * thread; times in microseconds.
 */
public final class SlidingWindowLimiter {
    private static final int STEPS = 10;
    private static final double AHEAD = 0.5;
    /** Of the window's part, so much may go out in one step: once and a half of an even one. */
    private static final double STEP_PART = 0.15;

    private final long stepMicros;
    private final long windowMicros;
    private final long begunStep;
    private final double[] counts = new double[STEPS + 1];
    private long step = Long.MIN_VALUE;

    /** Over windows of this length, in a process that began then. */
    public SlidingWindowLimiter(long windowMicros, long begun) {
        this.windowMicros = windowMicros;
        this.stepMicros = Math.max(1, windowMicros / STEPS);
        this.begunStep = Math.floorDiv(begun, stepMicros);
    }

    private int place(long s) {
        return (int) Math.floorMod(s, (long) counts.length);
    }

    /** The step that a time falls into. */
    long stepOf(long now) {
        return Math.floorDiv(now, stepMicros);
    }

    private void move(long now, double most) {
        long at = stepOf(now);
        if (step == Long.MIN_VALUE) {
            for (long s = at - STEPS; s < at; s++) {
                counts[place(s)] = s < begunStep && most > 1 ? most / STEPS : 0;
            }
            step = at;
            return;
        }
        for (long s = Math.max(step + 1, at - STEPS); s <= at; s++) {
            counts[place(s)] = 0;
        }
        step = Math.max(step, at);
    }

    private double sum() {
        double sum = 0;
        for (double count : counts) {
            sum += count;
        }
        return sum;
    }

    /**
     * Whether one more may go out; it is counted if so.
     *
     * @param most what this edge may send in one window
     * @param ahead whether nobody waits for it
     */
    public boolean tryAcquire(long now, double most, boolean ahead) {
        move(now, most);
        boolean full = sum() + 1 > (ahead ? Math.min(most, Math.max(1, most * AHEAD)) : most);
        if (full || counts[place(step)] + 1 > Math.max(1, STEP_PART * most)) {
            return false;
        }
        counts[place(step)]++;
        return true;
    }

    /** What was taken in that step was not used. */
    public void release(long taken) {
        if (taken > step - counts.length && counts[place(taken)] >= 1) {
            counts[place(taken)]--;
        }
    }

    /** How long until there is room for one more of so many in a window, if nothing else goes out. */
    public long microsUntilAvailable(long now, double most) {
        move(now, most);
        if (most < 1) {
            return windowMicros;
        }
        double sum = sum();
        long wait = stepMicros - Math.floorMod(now, stepMicros);
        for (long s = step - STEPS; s < step; s++) {
            sum -= counts[place(s)];
            if (sum + 1 <= most) {
                return wait;
            }
            wait += stepMicros;
        }
        return wait;
    }
}
