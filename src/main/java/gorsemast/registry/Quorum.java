package gorsemast.registry;

import gorsemast.gossip.GossipState;
import gorsemast.peer.Neighbour;
import gorsemast.peer.Neighbours;
import gorsemast.peer.Record;
import gorsemast.peer.Record.Program;
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
        return membership.has(self) && durable.complete();
    }

    /** Whether a snapshot of now would make its disk complete; a disk that is no member's counts for nothing any more. */
    boolean completes() {
        if (!membership.has(self)) {
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
        for (Neighbour one : neighbours.up(Program.REGISTRY)) {
            if (lease.reached(now, one.peer().ip())) {
                ips.add(one.peer().ip());
            }
        }
        ips.remove(self);
        if (counts()) {
            ips.add(self);
        }
        return membership.holds(ips);
    }

    /** The store has another view. Returns whether that is so. */
    boolean members(Record.Members told) {
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
        Record.Compare mine = new Record.Compare(now, board.digest());
        Set<String> members = membership.all();
        for (Neighbour one : neighbours.up(Program.REGISTRY)) {
            if (members.contains(one.peer().ip())) {
                one.send(mine);
            }
        }
    }

    /** Takes what is about comparing news; returns whether it was. */
    boolean received(Neighbour one, Record record) {
        if (record instanceof Record.Compare compare) {
            int parts = compare.buckets().length == 0 ? 0 : board.differing(compare.buckets());
            one.send(new Record.Compared(compare.at(), membership.term(), counts(), parts));
        } else if (record instanceof Record.Compared answer) {
            lease.answered(one.peer().ip(), answer.at(), answer.term(), answer.complete(), answer.parts() == 0);
            if (answer.parts() != 0) {
                // Links keep their order: what differs comes before the answer to the second question.
                one.send(new Record.Summary(answer.parts(), true, board.stamps(answer.parts())));
                one.send(new Record.Compare(clock.getAsLong(), NOTHING));
            }
        } else {
            return false;
        }
        return true;
    }
}
