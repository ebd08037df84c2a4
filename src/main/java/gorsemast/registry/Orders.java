package gorsemast.registry;

import java.util.HashMap;
import java.util.Map;

/**
 * Orders that wait until enough members have them on disk. Each confirmation tells by which membership it was given:
 * one of a later membership counts once this process goes by that one too, as its own list may name a machine that has
 * been replaced. One caller; times in microseconds.
 */
final class Orders {
    private record Order(Map<String, Long> holders, long until, Runnable done) {}

    private final Map<Long, Order> waiting = new HashMap<>();
    private Membership membership;
    private long last;

    Orders(Membership membership) {
        this.membership = membership;
    }

    /** A new order's number; {@code done} runs once enough hold it, or never. */
    long begin(long until, Runnable done) {
        waiting.put(++last, new Order(new HashMap<>(), until, done));
        return last;
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
    void membership(Membership next) {
        membership = next;
        Map.copyOf(waiting).forEach(this::check);
    }

    private void check(long number, Order order) {
        boolean enough = membership.holds(order.holders.entrySet().stream()
                .filter(one -> one.getValue() <= membership.term())
                .map(Map.Entry::getKey)
                .toList());
        if (enough && waiting.remove(number) != null) {
            order.done.run();
        }
    }

    /** Forgets those that were given up. */
    void tick(long now) {
        waiting.values().removeIf(order -> now > order.until);
    }
}
