package gorsemast.registry;

import gorsemast.gossip.GossipState;
import gorsemast.peer.Neighbour;
import gorsemast.peer.Neighbours;
import gorsemast.peer.PeerMessage;
import gorsemast.peer.PeerMessage.Program;
import java.util.HashSet;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * One registry's view of the members: who they are, which of them answer, and, by periodic comparison, whether they hold
 * entries that this registry lacks. Not thread-safe; times in microseconds.
 */
final class Quorum {
    /** The interval of comparisons with the other members. */
    private static final long COMPARE_INTERVAL_MICROS = 500_000;

    private static final long[] NO_BUCKETS = new long[0];

    private final String self;
    private final GossipState state;
    private final DurableState durable;
    private final Neighbours neighbours;
    private final LongSupplier clock;
    private final ConfirmationLease lease = new ConfirmationLease();
    private Membership membership;
    private long nextCompareAt;

    Quorum(
            String self,
            int losses,
            GossipState state,
            DurableState durable,
            Neighbours neighbours,
            LongSupplier clock) {
        this.self = self;
        this.state = state;
        this.durable = durable;
        this.neighbours = neighbours;
        this.clock = clock;
        this.membership = Membership.none(losses);
    }

    /** Returns the current membership. */
    Membership membership() {
        return membership;
    }

    /** Returns the lease under which this machine confirms that its state is current. */
    ConfirmationLease lease() {
        return lease;
    }

    /** Returns whether the lease is valid now. */
    boolean holdsLease() {
        return lease.holds(clock.getAsLong(), membership, self, isCompleteMember());
    }

    /** Returns whether this machine's disk counts: that of a member, and complete. */
    boolean isCompleteMember() {
        return membership.contains(self) && durable.complete();
    }

    /** Returns whether a snapshot taken now completes the disk; marks the disk of a non-member incomplete. */
    boolean becomesComplete() {
        if (!membership.contains(self)) {
            if (!membership.members().isEmpty()) {
                durable.markIncomplete();
            }
            return false;
        }
        long now = clock.getAsLong();
        return !durable.complete()
                && membership.canComplete(
                        self,
                        lease.comparedMembers(now, membership, true),
                        lease.comparedMembers(now, membership, false));
    }

    /** Returns whether enough members answer, this one included, to acknowledge a command. */
    boolean reachesDurableSet() {
        long now = clock.getAsLong();
        Set<String> ips = new HashSet<>();
        for (Neighbour neighbour : neighbours.connected(Program.REGISTRY)) {
            if (lease.isReachable(now, neighbour.hello().ip())) {
                ips.add(neighbour.hello().ip());
            }
        }
        ips.remove(self);
        if (isCompleteMember()) {
            ips.add(self);
        }
        return membership.isDurableOn(ips);
    }

    /** Takes the membership that the store reports; returns whether it has changed. */
    boolean update(PeerMessage.Members message) {
        Membership next = membership.updatedBy(message);
        boolean changed = !next.equals(membership);
        membership = next;
        nextCompareAt = changed ? 0 : nextCompareAt;
        return changed;
    }

    /** Makes the next tick compare, as a neighbour has connected. */
    void neighbourConnected() {
        nextCompareAt = 0;
    }

    /** Compares the state with the members when due, and at each tick while the lease is not valid. */
    void tick() {
        long now = clock.getAsLong();
        if (now < nextCompareAt && holdsLease()) {
            return;
        }
        nextCompareAt = now + COMPARE_INTERVAL_MICROS;
        PeerMessage.CompareRequest request = new PeerMessage.CompareRequest(now, state.digest());
        Set<String> members = membership.all();
        for (Neighbour neighbour : neighbours.connected(Program.REGISTRY)) {
            if (members.contains(neighbour.hello().ip())) {
                neighbour.send(request);
            }
        }
    }

    /** Handles messages of comparisons; returns whether this was one. */
    boolean received(Neighbour neighbour, PeerMessage message) {
        if (message instanceof PeerMessage.CompareRequest compare) {
            int differing = compare.buckets().length == 0 ? 0 : state.differingBuckets(compare.buckets());
            neighbour.send(new PeerMessage.CompareResponse(
                    compare.sentAt(), membership.term(), isCompleteMember(), differing));
        } else if (message instanceof PeerMessage.CompareResponse answer) {
            lease.registryAnswered(
                    neighbour.hello().ip(), answer.sentAt(), answer.term(), answer.complete(), answer.buckets() == 0);
            if (answer.buckets() != 0) {
                // Links keep the order of messages: differing entries arrive before the second answer.
                neighbour.send(new PeerMessage.Summary(answer.buckets(), true, state.versions(answer.buckets())));
                neighbour.send(new PeerMessage.CompareRequest(clock.getAsLong(), NO_BUCKETS));
            }
        } else {
            return false;
        }
        return true;
    }
}
