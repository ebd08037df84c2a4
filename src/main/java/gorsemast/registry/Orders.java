package gorsemast.registry;

import gorsemast.gossip.Entry;
import gorsemast.peer.Gossip;
import gorsemast.peer.Neighbour;
import gorsemast.peer.PeerMessage;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Orders that are acknowledged once enough members have them on disk, this one's and those of others. Each confirmation
 * tells by which membership it was given: one of a later membership counts once this process goes by that one too, as
 * its own list may name a machine that has been replaced. One caller; times in microseconds.
 */
final class Orders {
    private record Order(Map<String, Long> holders, long until, Runnable done) {}

    private final String self;
    private final Quorum quorum;
    private final DurableNews durable;
    private final Gossip gossip;
    private final LongSupplier clock;
    private final Map<Long, Order> waiting = new HashMap<>();
    private long last;

    Orders(String self, Quorum quorum, DurableNews durable, Gossip gossip, LongSupplier clock) {
        this.self = self;
        this.quorum = quorum;
        this.durable = durable;
        this.gossip = gossip;
        this.clock = clock;
    }

    /** Makes it news; {@code done} runs once enough have it on disk, within so long or never. */
    void publish(Entry item, long within, Runnable done) {
        long number = ++last;
        waiting.put(number, new Order(new HashMap<>(), clock.getAsLong() + within, done));
        gossip.publish(item, number);
        durable.keep(item, clock.getAsLong(), () -> {
            if (quorum.counts()) {
                held(number, self, quorum.membership().term());
            }
        });
    }

    /** An order of another registry: confirmed once it is on this disk, where that counts. */
    void confirm(Neighbour from, PeerMessage.Updates news) {
        int[] left = {news.entries().size()};
        for (Entry item : news.entries()) {
            durable.keep(item, clock.getAsLong(), () -> {
                if (--left[0] == 0 && quorum.counts()) {
                    from.send(new PeerMessage.Persisted(
                            news.commandId(), quorum.membership().term()));
                }
            });
        }
    }

    /** A machine has it on disk. */
    void held(long number, String ip, long term) {
        Order order = waiting.get(number);
        if (order != null) {
            order.holders.put(ip, term);
            check(number, order);
        }
    }

    /** Another membership is in force. */
    void membershipChanged() {
        Map.copyOf(waiting).forEach(this::check);
    }

    private void check(long number, Order order) {
        Membership membership = quorum.membership();
        boolean enough = membership.isDurableOn(order.holders.entrySet().stream()
                .filter(one -> one.getValue() <= membership.term())
                .map(Map.Entry::getKey)
                .toList());
        if (enough && waiting.remove(number) != null) {
            order.done.run();
        }
    }

    /** Forgets those that were given up. */
    void tick() {
        long now = clock.getAsLong();
        waiting.values().removeIf(order -> now > order.until);
    }
}
