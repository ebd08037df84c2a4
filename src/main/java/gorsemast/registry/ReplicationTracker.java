package gorsemast.registry;

import gorsemast.gossip.Entry;
import gorsemast.peer.Gossip;
import gorsemast.peer.Neighbour;
import gorsemast.peer.PeerMessage;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Tracks commands that are acknowledged once enough members have them on disk, and confirms those of other registries.
 * Each confirmation carries the term of the membership it was given under. One of a later term counts only once this
 * process has that membership too, as its own list may name a machine that has been replaced. Not thread-safe; times in
 * microseconds.
 */
final class ReplicationTracker {
    private record PendingReplication(Map<String, Long> holders, long deadline, Runnable done) {}

    private final String self;
    private final Quorum quorum;
    private final DurableState durable;
    private final Gossip gossip;
    private final LongSupplier clock;
    private final Map<Long, PendingReplication> pending = new HashMap<>();
    private long lastCommandId;

    ReplicationTracker(String self, Quorum quorum, DurableState durable, Gossip gossip, LongSupplier clock) {
        this.self = self;
        this.quorum = quorum;
        this.durable = durable;
        this.gossip = gossip;
        this.clock = clock;
    }

    /** Publishes an entry; {@code done} runs once enough members have it on disk, within the timeout or never. */
    void publish(Entry entry, long timeoutMicros, Runnable done) {
        long commandId = ++lastCommandId;
        pending.put(commandId, new PendingReplication(new HashMap<>(), clock.getAsLong() + timeoutMicros, done));
        gossip.publish(entry, commandId);
        durable.persist(entry, clock.getAsLong(), () -> {
            if (quorum.isCompleteMember()) {
                persistedBy(commandId, self, quorum.membership().term());
            }
        });
    }

    /** Confirms a command of another registry once it is on this disk, if this machine is a complete member. */
    void confirmWhenDurable(Neighbour from, PeerMessage.Updates updates) {
        int[] remaining = {updates.entries().size()};
        for (Entry entry : updates.entries()) {
            durable.persist(entry, clock.getAsLong(), () -> {
                if (--remaining[0] == 0 && quorum.isCompleteMember()) {
                    from.send(new PeerMessage.Persisted(
                            updates.commandId(), quorum.membership().term()));
                }
            });
        }
    }

    /** Notes that a machine has a command on disk. */
    void persistedBy(long commandId, String ip, long term) {
        PendingReplication replication = pending.get(commandId);
        if (replication != null) {
            replication.holders.put(ip, term);
            completeIfDurable(commandId, replication);
        }
    }

    /** Checks all pending commands against the new membership. */
    void membershipChanged() {
        Map.copyOf(pending).forEach(this::completeIfDurable);
    }

    private void completeIfDurable(long commandId, PendingReplication replication) {
        Membership membership = quorum.membership();
        boolean onEnoughDisks = membership.isDurableOn(replication.holders.entrySet().stream()
                .filter(holder -> holder.getValue() <= membership.term())
                .map(Map.Entry::getKey)
                .toList());
        if (onEnoughDisks && pending.remove(commandId) != null) {
            replication.done.run();
        }
    }

    /** Removes commands that have timed out. */
    void removeExpired() {
        long now = clock.getAsLong();
        pending.values().removeIf(replication -> now > replication.deadline);
    }
}
