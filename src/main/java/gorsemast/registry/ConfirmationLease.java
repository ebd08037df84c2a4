package gorsemast.registry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The lease under which a registry confirms that its state is current.
 *
 * <p>Acknowledged commands are held by {@code f + 1} members. A registry that has compared its state with enough members
 * to intersect each such set knows everything acknowledged before it sent the requests. Likewise, what the store's primary
 * confirmed with its backups is the newest configuration of that moment. Both count for {@link #LEASE_MICROS} from when the
 * request was <em>sent</em>, by this process's monotonic clock. So the lease expires while the machine is partitioned, and
 * has expired when the machine resumes after a freeze. An answer under another membership does not count, as the sets to
 * intersect may have changed. No I/O, no clock; not thread-safe; times in microseconds.
 */
final class ConfirmationLease {
    /**
     * Less than {@code contact} (3 s) and at most {@code configApply} and {@code purge} (2 s): a process that becomes ready
     * under a lease about to expire misses nothing that must have taken effect by then. A failover of the store takes 0.64
     * to 1.9 s.
     */
    static final long LEASE_MICROS = 2_000_000;
    /** A member that answered no request of the last second is not counted on to acknowledge a command. */
    static final long REACHABLE_MICROS = 1_000_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private record Comparison(long requestedAt, long term, boolean complete) {}

    private final Map<String, Comparison> comparisons = new HashMap<>();
    private long storeConfirmedAt = NEVER;

    /** Notes that the store confirmed its newest version in answer to a request sent at that time. */
    void storeAnswered(long requestedAt) {
        storeConfirmedAt = Math.max(storeConfirmedAt, requestedAt);
    }

    /** Returns whether the store's confirmation is still valid. */
    boolean storeConfirmed(long now) {
        return now - storeConfirmedAt < LEASE_MICROS;
    }

    /** Returns when the store's last confirmation was requested; long before the start for never. */
    long storeConfirmedAt() {
        return storeConfirmedAt;
    }

    /** Notes an answer of a registry; {@code upToDate} says that this one holds all that the other held. */
    void registryAnswered(String ip, long requestedAt, long term, boolean complete, boolean upToDate) {
        lastAnswerAt.merge(ip, requestedAt, Math::max);
        Comparison previous = comparisons.get(ip);
        if (upToDate && (previous == null || previous.requestedAt <= requestedAt)) {
            comparisons.put(ip, new Comparison(requestedAt, term, complete));
        }
    }

    private final Map<String, Long> lastAnswerAt = new HashMap<>();

    /** Returns whether a machine's registry has answered recently. */
    boolean isReachable(long now, String ip) {
        return now - lastAnswerAt.getOrDefault(ip, NEVER) < REACHABLE_MICROS;
    }

    /** Returns the machines of this membership term whose state this registry recently had in full. */
    Set<String> comparedMembers(long now, Membership membership, boolean completeOnly) {
        Set<String> ips = new HashSet<>();
        comparisons.forEach((ip, comparison) -> {
            if (now - comparison.requestedAt < LEASE_MICROS
                    && comparison.term == membership.term()
                    && (comparison.complete || !completeOnly)) {
                ips.add(ip);
            }
        });
        return ips;
    }

    /** Returns whether the lease is valid; {@code countsSelf} says that this machine is a complete member itself. */
    boolean holds(long now, Membership membership, String self, boolean countsSelf) {
        Set<String> ips = comparedMembers(now, membership, true);
        if (countsSelf) {
            ips.add(self);
        }
        return storeConfirmed(now) && membership.intersectsDurableSets(ips);
    }
}
