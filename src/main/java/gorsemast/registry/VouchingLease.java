package gorsemast.registry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Whether a registry may vouch for what it tells: a lease that ends by itself.
 *
 * <p><b>Idea.</b> What is acknowledged is held by {@code f + 1} members. Who has compared its news with so many members
 * that these meet each such set knows all that was acknowledged before it asked them; and what the store's primary has
 * confirmed with its backups is the newest configuration of that moment. Both count from when the question was <em>sent</em>,
 * by this process's own steady clock, and for {@link #LEASE_MICROS}: so it lapses while this machine is cut off, and is
 * over when it wakes from standing still. A member that goes by another membership does not count: whom this one would
 * have to meet may have changed. No I/O, no clock; one caller; times in microseconds.
 */
final class VouchingLease {
    /**
     * Below {@code contact} (3 s) and no more than {@code configApply} and {@code purge} (2 s): who becomes ready by a lease
     * about to lapse misses nothing that had to be in force by then. A take-over of the store takes 0.64 to 1.9 s.
     */
    static final long LEASE_MICROS = 2_000_000;
    /** Whoever has answered no question of the last second is not relied on for an order. */
    static final long REACHED_MICROS = 1_000_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private record Met(long at, long term, boolean complete) {}

    private final Map<String, Met> met = new HashMap<>();
    private long storeAt = NEVER;

    /** The store was certain of its newest version when it was asked this, at that time. */
    void storeAnswered(long askedAt) {
        storeAt = Math.max(storeAt, askedAt);
    }

    /** Whether the store's word holds. */
    boolean store(long now) {
        return now - storeAt < LEASE_MICROS;
    }

    /** A registry has answered a question of that time; {@code knows} where this one holds all that it held by then. */
    void answered(String ip, long askedAt, long term, boolean complete, boolean knows) {
        heard.merge(ip, askedAt, Math::max);
        Met before = met.get(ip);
        if (knows && (before == null || before.at <= askedAt)) {
            met.put(ip, new Met(askedAt, term, complete));
        }
    }

    private final Map<String, Long> heard = new HashMap<>();

    /** Whether a machine's registry has answered of late. */
    boolean reached(long now, String ip) {
        return now - heard.getOrDefault(ip, NEVER) < REACHED_MICROS;
    }

    /** Whose news are known here, of those that go by this membership. */
    Set<String> known(long now, Membership membership, boolean completeOnly) {
        Set<String> ips = new HashSet<>();
        met.forEach((ip, one) -> {
            if (now - one.at < LEASE_MICROS && one.term == membership.term() && (one.complete || !completeOnly)) {
                ips.add(ip);
            }
        });
        return ips;
    }

    /** Whether the lease holds, for a machine that counts itself where it is a complete member. */
    boolean holds(long now, Membership membership, String self, boolean complete) {
        Set<String> ips = known(now, membership, true);
        if (complete) {
            ips.add(self);
        }
        return store(now) && membership.intersectsDurableSets(ips);
    }
}
