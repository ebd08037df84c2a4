package gorsemast.cache;

/**
 * Limits how many requests one edge sends to a service's servers, which accept only so many per second from all
 * edges.
 *
 * <p>Each edge has a share of the requests allowed per window and counts what it sent over the last window in steps,
 * so that the total over any window stays within the limit without communication between edges. A request may have to
 * leave a part of the share to others. A process that starts does not know what the previous process on its machine
 * has sent, so it counts as if its share had been spent evenly before; and no step may take more than {@link
 * #MAX_STEP_RATIO}, so that the previous process can't have spent the whole share just before it ended. Thus many
 * edges that are killed and restarted together stay within the window too.
 *
 * <p>Where few edges receive most of the traffic, they refuse requests while other edges leave their share unused. A
 * released permit is taken out of the step in which it was taken. Operations are O(1). Not thread-safe; times are in
 * microseconds.
 */
public final class SlidingWindowLimiter {
    private static final int STEPS = 10;
    /** Largest part of the window's share that one step may send: one and a half times an even one. */
    private static final double MAX_STEP_RATIO = 0.15;

    private final long stepMicros;
    private final long windowMicros;
    private final long startStep;
    private final double[] counts = new double[STEPS + 1];
    private long step = Long.MIN_VALUE;

    /** Creates a limiter over windows of this length, in a process that started at {@code startedAt}. */
    public SlidingWindowLimiter(long windowMicros, long startedAt) {
        this.windowMicros = windowMicros;
        this.stepMicros = Math.max(1, windowMicros / STEPS);
        this.startStep = Math.floorDiv(startedAt, stepMicros);
    }

    private int slot(long stepIndex) {
        return (int) Math.floorMod(stepIndex, (long) counts.length);
    }

    /** The step that a time falls into. */
    long stepOf(long now) {
        return Math.floorDiv(now, stepMicros);
    }

    private void advance(long now, double limit) {
        long at = stepOf(now);
        if (step == Long.MIN_VALUE) {
            for (long stepIndex = at - STEPS; stepIndex < at; stepIndex++) {
                counts[slot(stepIndex)] = stepIndex < startStep && limit > 1 ? limit / STEPS : 0;
            }
            step = at;
            return;
        }
        for (long stepIndex = Math.max(step + 1, at - STEPS); stepIndex <= at; stepIndex++) {
            counts[slot(stepIndex)] = 0;
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
     * Counts one more request if it may be sent now; else returns false.
     *
     * @param limit how many requests this edge may send in one window
     * @param reserved how many of them are left to others; where the limit is 1 or more, one is always usable
     */
    public boolean tryAcquire(long now, double limit, double reserved) {
        advance(now, limit);
        boolean full = sum() + 1 > Math.min(limit, Math.max(1, limit - reserved));
        if (full || counts[slot(step)] + 1 > Math.max(1, MAX_STEP_RATIO * limit)) {
            return false;
        }
        counts[slot(step)]++;
        return true;
    }

    /** Returns a permit that was taken in this step and not used. */
    public void release(long takenStep) {
        if (takenStep > step - counts.length && counts[slot(takenStep)] >= 1) {
            counts[slot(takenStep)]--;
        }
    }

    /** How long until one more request is allowed within {@code limit} per window, if nothing else is sent. */
    public long microsUntilAvailable(long now, double limit) {
        advance(now, limit);
        if (limit < 1) {
            return windowMicros;
        }
        double sum = sum();
        long wait = stepMicros - Math.floorMod(now, stepMicros);
        for (long stepIndex = step - STEPS; stepIndex < step; stepIndex++) {
            sum -= counts[slot(stepIndex)];
            if (sum + 1 <= limit) {
                return wait;
            }
            wait += stepMicros;
        }
        return wait;
    }
}
