package gorsemast.store;

import gorsemast.configuration.ContentDigest;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/**
 * The calls of a replica: those that wait, and the current one, which a primary serves in a round with its backups.
 * Each call is completed or forwarded exactly once. Times are in microseconds of the replica's clock; called by the
 * replica only.
 */
final class CallQueue {
    /**
     * A put or a get.
     *
     * @param body the content to store; null for a get
     * @param deadline when the call is given up
     */
    record Call(long id, boolean put, long version, byte[] body, ContentDigest digest, long deadline) {}

    private final Replica.Output output;
    private final Deque<Call> waiting = new ArrayDeque<>();
    private final Set<String> acknowledgedBy = new HashSet<>();
    private Call current;
    private long round;
    private long roundSince;
    private boolean onDisk;
    private boolean replicates;
    /** The version that all backups of this term store. */
    private StoredVersion replicated = StoredVersion.NONE;

    /** Creates an empty queue. */
    CallQueue(Replica.Output output) {
        this.output = output;
    }

    /** Adds a call to the end. */
    void enqueue(Call call) {
        waiting.add(call);
    }

    /** Returns the version that all backups of this term store. */
    StoredVersion replicated() {
        return replicated;
    }

    /** Returns the number of the last round. */
    long round() {
        return round;
    }

    /** Returns whether a call waits and none is being served. */
    boolean hasNext() {
        return current == null && !waiting.isEmpty();
    }

    /**
     * Begins a term. A call that was being served waits again, as the initial version of the term may already contain
     * it.
     */
    void beginTerm(StoredVersion initial) {
        replicated = initial;
        if (current != null) {
            waiting.addFirst(current);
            current = null;
        }
    }

    /** Forwards all waiting calls to the primary. */
    void forward(Member primary) {
        while (!waiting.isEmpty()) {
            output.forward(waiting.poll().id(), primary);
        }
    }

    /** Gives up the waiting calls whose deadline has passed. */
    void expireWaiting(long now) {
        waiting.removeIf(call -> {
            if (now > call.deadline()) {
                giveUp(call);
            }
            return now > call.deadline();
        });
    }

    /** Gives up the current call if its deadline has passed; returns whether it did. */
    boolean expireCurrent(long now) {
        boolean expired = current != null && now > current.deadline();
        if (expired) {
            failCurrent();
        }
        return expired;
    }

    /** Gives up the current call, if there is one. */
    void failCurrent() {
        if (current != null) {
            Call expired = current;
            current = null;
            giveUp(expired);
        }
    }

    private void giveUp(Call call) {
        output.complete(call.id(), CallOutcome.UNCERTAIN, StoredVersion.NONE);
    }

    /**
     * Begins the round of the first waiting call; there must be one.
     *
     * @param stored what the primary stores
     * @param term the primary's term
     * @return what it stores from now on
     */
    StoredVersion beginRound(StoredVersion stored, long term, long now) {
        current = waiting.poll();
        acknowledgedBy.clear();
        round++;
        roundSince = now;
        StoredVersion next = current.put() ? apply(current, stored, term) : stored;
        replicates = next != replicated; // also what a call that was given up has left at some of the backups
        onDisk = !replicates;
        return next;
    }

    /** Returns whether the round writes a version to disks, and doesn't only confirm the term. */
    boolean replicates() {
        return replicates;
    }

    /** Records that the version of the round is on the primary's disk. */
    void markOnDisk() {
        onDisk = true;
    }

    /** Records that a backup has acknowledged the round. */
    void recordAcknowledgement(String backup) {
        acknowledgedBy.add(backup);
    }

    /** Returns whether a round has waited longer than this for a backup, and not for the primary's own disk. */
    boolean isStalled(Collection<String> backups, long stallMicros, long now) {
        return current != null && onDisk && now - roundSince > stallMicros && !acknowledgedBy.containsAll(backups);
    }

    /** Completes the current call once the primary's disk and all backups have it; returns whether it did. */
    boolean tryFinish(Collection<String> backups, StoredVersion stored) {
        if (current == null || !onDisk || !acknowledgedBy.containsAll(backups)) {
            return false;
        }
        Call finished = current;
        current = null;
        replicated = stored;
        if (replicates) {
            output.committed(stored);
        }
        output.complete(finished.id(), outcome(finished, stored), stored);
        return true;
    }

    /**
     * Returns what is stored after a put, which takes its version number unless that is taken or too old to be
     * remembered.
     */
    private static StoredVersion apply(Call call, StoredVersion stored, long term) {
        if (call.version() > stored.version()) {
            return stored.successor(call.version(), term, call.body(), call.digest());
        }
        boolean free = stored.history().digest(call.version()) == null
                && !stored.history().isForgotten(call.version());
        return free ? stored.withTaken(call.version(), term, call.digest()) : stored;
    }

    /** Returns the outcome of a call whose round is complete. */
    private static CallOutcome outcome(Call call, StoredVersion stored) {
        ContentDigest taken = call.put() ? stored.history().digest(call.version()) : null;
        return taken == null || taken.equals(call.digest()) ? CallOutcome.DONE : CallOutcome.CONFLICT;
    }
}
