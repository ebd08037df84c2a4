package gorsemast.store;

/**
 * Which member a replica last took for the active primary, and when it last heard so. Times in microseconds of the
 * replica's clock; one caller, the replica's.
 */
final class LeaderHint {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private String primary = "";
    private long heardAt = NEVER;

    /** This member leads, as was heard now. */
    void heard(String id, long now) {
        primary = id;
        heardAt = now;
    }

    /** Its time is over before it is silent; who it was stays known. */
    void expire() {
        heardAt = NEVER;
    }

    /** The last one known; empty for none. */
    String primary() {
        return primary;
    }

    /** Whether another member than this one was heard as primary within {@link Liveness#SILENT_MICROS}. */
    boolean ledByOther(String id, long now) {
        return !primary.equals(id) && now - heardAt < Liveness.SILENT_MICROS;
    }

    /** Whether no primary was heard for longer than {@link Liveness#SILENT_MICROS}. */
    boolean silent(long now) {
        return now - heardAt > Liveness.SILENT_MICROS;
    }
}
