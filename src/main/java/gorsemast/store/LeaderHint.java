package gorsemast.store;

/**
 * The member that a replica last took for the active primary, and when it last heard of it. Times are in microseconds
 * of the replica's clock; called by the replica only.
 */
final class LeaderHint {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private String primary = "";
    private long heardAt = NEVER;

    /** Records that this member is the primary. */
    void recordHeard(String id, long now) {
        primary = id;
        heardAt = now;
    }

    /** Expires the hint at once; the id of the last primary stays known. */
    void expire() {
        heardAt = NEVER;
    }

    /** Returns the id of the last known primary; empty for none. */
    String primary() {
        return primary;
    }

    /** Returns whether a member other than this one was heard as primary within {@link Liveness#HEARTBEAT_TIMEOUT_MICROS}. */
    boolean ledByOther(String id, long now) {
        return !primary.equals(id) && now - heardAt < Liveness.HEARTBEAT_TIMEOUT_MICROS;
    }

    /** Returns whether no primary was heard for longer than {@link Liveness#HEARTBEAT_TIMEOUT_MICROS}. */
    boolean timedOut(long now) {
        return now - heardAt > Liveness.HEARTBEAT_TIMEOUT_MICROS;
    }
}
