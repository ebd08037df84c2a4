package gorsemast.cache;

/**
 * A share of a limit that applies to all edges together. It shrinks at once and grows only after a full window, to
 * the lowest entitlement of that window. So the shares of the current edges and what departed edges have sent
 * recently never add up to more than the limit. O(1); not thread-safe; times are in microseconds.
 */
final class SlowGrowingShare {
    private static final long NEVER = Long.MIN_VALUE;

    private final long windowMicros;
    private long share = Long.MAX_VALUE;
    private long pendingShare;
    private long growingSince = NEVER;

    /**
     * @param windowMicros over which requests are counted
     */
    SlowGrowingShare(long windowMicros) {
        this.windowMicros = windowMicros;
    }

    /** Returns the current share for an edge that is entitled to {@code entitled} among the edges that are up now. */
    long update(long now, long entitled) {
        if (entitled <= share) {
            share = entitled;
            growingSince = NEVER;
        } else if (growingSince == NEVER) {
            growingSince = now;
            pendingShare = entitled;
        } else {
            pendingShare = Math.min(pendingShare, entitled);
            if (now - growingSince >= windowMicros) {
                share = pendingShare;
                growingSince = NEVER;
            }
        }
        return share;
    }
}
