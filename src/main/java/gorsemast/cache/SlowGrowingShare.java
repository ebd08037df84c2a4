package gorsemast.cache;

/**
 * A part of a bound over all edges: it shrinks at once and grows late, to the least that it was entitled to over a whole span. So the
 * parts of those who are there and what was spent lately by those who are gone never sum up to more than the bound. O(1); one
 * thread; times in microseconds.
 */
final class SlowGrowingShare {
    private static final long NEVER = Long.MIN_VALUE;

    private final long span;
    private long part = Long.MAX_VALUE;
    private long grows;
    private long since = NEVER;

    /** @param span over which spending counts */
    SlowGrowingShare(long span) {
        this.span = span;
    }

    /** The part now, of one that is entitled to so much by who is there now. */
    long update(long now, long entitled) {
        if (entitled <= part) {
            part = entitled;
            since = NEVER;
        } else if (since == NEVER) {
            since = now;
            grows = entitled;
        } else {
            grows = Math.min(grows, entitled);
            if (now - since >= span) {
                part = grows;
                since = NEVER;
            }
        }
        return part;
    }
}
