package gorsemast.store;

import gorsemast.configuration.ContentDigest;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/**
 * The calls of a replica: those that wait, and the one that a primary serves in a round with its backups. Each is
 * answered or forwarded once. Times in microseconds of the replica's clock; one caller, the replica's.
 */
final class CallQueue {
    /**
     * A put or a get.
     *
     * @param body what to hold; null for a get
     * @param until when it is given up
     */
    record Call(long id, boolean put, long version, byte[] body, ContentDigest digest, long until) {}

    private final Replica.Output out;
    private final Deque<Call> waiting = new ArrayDeque<>();
    private final Set<String> acknowledgedBy = new HashSet<>();
    private Call working;
    private long round;
    private long roundSince;
    private boolean onDisk;
    private boolean copies;
    /** What all backups of this term hold. */
    private StoredVersion agreed = StoredVersion.NONE;

    /** No call; answers go to this. */
    CallQueue(Replica.Output out) {
        this.out = out;
    }

    /** One more call, which waits. */
    void add(Call call) {
        waiting.add(call);
    }

    /** What all backups of this term hold. */
    StoredVersion agreed() {
        return agreed;
    }

    /** The number of the last round. */
    long round() {
        return round;
    }

    /** Whether a call waits and none is served. */
    boolean ready() {
        return working == null && !waiting.isEmpty();
    }

    /** A term begins with this; a call that was being served waits again: what the term began with may hold it already. */
    void restart(StoredVersion begins) {
        agreed = begins;
        if (working != null) {
            waiting.addFirst(working);
            working = null;
        }
    }

    /** All calls that wait go to the primary. */
    void forward(Member primary) {
        while (!waiting.isEmpty()) {
            out.forward(waiting.poll().id(), primary);
        }
    }

    /** Gives up the waiting calls whose time is over. */
    void expireWaiting(long now) {
        waiting.removeIf(call -> {
            if (now > call.until()) {
                giveUp(call);
            }
            return now > call.until();
        });
    }

    /** Gives up the call that is served if its time is over; whether it did. */
    boolean expireWorking(long now) {
        boolean over = working != null && now > working.until();
        if (over) {
            fail();
        }
        return over;
    }

    /** Gives up the call that is served, if there is one. */
    void fail() {
        if (working != null) {
            Call over = working;
            working = null;
            giveUp(over);
        }
    }

    private void giveUp(Call call) {
        out.complete(call.id(), CallOutcome.UNCERTAIN, StoredVersion.NONE);
    }

    /**
     * Begins the round of the first call that waits; there must be one.
     *
     * @param held what the primary holds
     * @param term the primary's term
     * @return what it holds from now on
     */
    StoredVersion begin(StoredVersion held, long term, long now) {
        working = waiting.poll();
        acknowledgedBy.clear();
        round++;
        roundSince = now;
        StoredVersion next = working.put() ? with(working, held, term) : held;
        copies = next != agreed; // also what an earlier call that was given up has left with some of the backups
        onDisk = !copies;
        return next;
    }

    /** Whether the round is to bring something to disks, and not only to confirm the term. */
    boolean copies() {
        return copies;
    }

    /** What the round brings is on the primary's disk. */
    void onDisk() {
        onDisk = true;
    }

    /** A backup has acknowledged the round. */
    void acknowledged(String backup) {
        acknowledgedBy.add(backup);
    }

    /** Whether a round has waited longer than this for one of the backups, and not for the primary's own disk. */
    boolean slow(Collection<String> backups, long slowMicros, long now) {
        return working != null && onDisk && now - roundSince > slowMicros && !acknowledgedBy.containsAll(backups);
    }

    /** Answers the call that is served once the primary's disk and all backups hold it; whether it did. */
    boolean finish(Collection<String> backups, StoredVersion held) {
        if (working == null || !onDisk || !acknowledgedBy.containsAll(backups)) {
            return false;
        }
        Call done = working;
        working = null;
        agreed = held;
        if (copies) {
            out.committed(held);
        }
        out.complete(done.id(), outcome(done, held), held);
        return true;
    }

    /** What is held once an order is done, which takes its number, unless that is taken or too old to be remembered. */
    private static StoredVersion with(Call order, StoredVersion held, long term) {
        if (order.version() > held.version()) {
            return held.next(order.version(), term, order.body(), order.digest());
        }
        boolean free = held.history().digest(order.version()) == null
                && !held.history().forgets(order.version());
        return free ? held.taking(order.version(), term, order.digest()) : held;
    }

    /** How a call ends whose round with the backups has come to its end. */
    private static CallOutcome outcome(Call call, StoredVersion held) {
        ContentDigest holds = call.put() ? held.history().digest(call.version()) : null;
        return holds == null || holds.equals(call.digest()) ? CallOutcome.DONE : CallOutcome.CONFLICT;
    }
}
