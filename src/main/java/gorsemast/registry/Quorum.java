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
 * The members as one registry sees them: who they are, who of them answers, and what they have that it has not, which it
 * asks them again and again. One caller; times in microseconds.
 */
final class Quorum {
    /** Members are asked this often whether they have what this one has not. */
    private static final long COMPARE_MICROS = 500_000;

    private static final long[] NOTHING = new long[0];

    private final String self;
    private final GossipState board;
    private final DurableNews durable;
    private final Neighbours neighbours;
    private final LongSupplier clock;
    private final VouchingLease lease = new VouchingLease();
    private Membership membership;
    private long compareAt;

    Quorum(String self, int losses, GossipState board, DurableNews durable, Neighbours neighbours, LongSupplier clock) {
        this.self = self;
        this.board = board;
        this.durable = durable;
        this.neighbours = neighbours;
        this.clock = clock;
        this.membership = Membership.none(losses);
    }

    /** Who counts. */
    Membership membership() {
        return membership;
    }

    /** What this machine may vouch for, and until when. */
    VouchingLease lease() {
        return lease;
    }

    /** Whether its lease holds now. */
    boolean vouches() {
        return lease.holds(clock.getAsLong(), membership, self, counts());
    }

    /** Whether this machine's disk counts: a member's that is complete. */
    boolean counts() {
        return membership.contains(self) && durable.complete();
    }

    /** Whether a snapshot of now would make its disk complete; a disk that is no member's counts for nothing any more. */
    boolean completes() {
        if (!membership.contains(self)) {
            if (!membership.members().isEmpty()) {
                durable.incomplete();
            }
            return false;
        }
        long now = clock.getAsLong();
        return !durable.complete()
                && membership.completes(self, lease.known(now, membership, true), lease.known(now, membership, false));
    }

    /** Whether enough members answer, with this one, to acknowledge an order. */
    boolean reachesEnough() {
        long now = clock.getAsLong();
        Set<String> ips = new HashSet<>();
        for (Neighbour one : neighbours.connected(Program.REGISTRY)) {
            if (lease.reached(now, one.hello().ip())) {
                ips.add(one.hello().ip());
            }
        }
        ips.remove(self);
        if (counts()) {
            ips.add(self);
        }
        return membership.isDurableOn(ips);
    }

    /** The store has another view. Returns whether that is so. */
    boolean members(PeerMessage.Members told) {
        Membership next = membership.next(told);
        boolean another = !next.equals(membership);
        membership = next;
        compareAt = another ? 0 : compareAt;
        return another;
    }

    /** A registry has come into reach. */
    void up() {
        compareAt = 0;
    }

    /** Asks the members what they have that this one has not; at each tick while it can't vouch. */
    void tick() {
        long now = clock.getAsLong();
        if (now < compareAt && vouches()) {
            return;
        }
        compareAt = now + COMPARE_MICROS;
        PeerMessage.CompareRequest mine = new PeerMessage.CompareRequest(now, board.digest());
        Set<String> members = membership.all();
        for (Neighbour one : neighbours.connected(Program.REGISTRY)) {
            if (members.contains(one.hello().ip())) {
                one.send(mine);
            }
        }
    }

    /** Takes what is about comparing news; returns whether it was. */
    boolean received(Neighbour one, PeerMessage record) {
        if (record instanceof PeerMessage.CompareRequest compare) {
            int parts = compare.buckets().length == 0 ? 0 : board.differingBuckets(compare.buckets());
            one.send(new PeerMessage.CompareResponse(compare.sentAt(), membership.term(), counts(), parts));
        } else if (record instanceof PeerMessage.CompareResponse answer) {
            lease.answered(one.hello().ip(), answer.sentAt(), answer.term(), answer.complete(), answer.buckets() == 0);
            if (answer.buckets() != 0) {
                // Links keep their order: what differs comes before the answer to the second question.
                one.send(new PeerMessage.Summary(answer.buckets(), true, board.versions(answer.buckets())));
                one.send(new PeerMessage.CompareRequest(clock.getAsLong(), NOTHING));
            }
        } else {
            return false;
        }
        return true;
    }
}
