package gorsemast.modelcheck;

import gorsemast.store.CallOutcome;
import gorsemast.store.StoredVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Judges orders by number and content: of the contents that were sent under a number one at most is ever acknowledged,
 * read or told; it is never refused, before or after; another one is refused only where that one is found in the end.
 * Throws {@link StoreWorld.Violation}. One thread.
 */
final class OrderReferee {
    /** A configuration that an operator sends. */
    record Order(long version, String content) {
        byte[] body() {
            return content.getBytes(StandardCharsets.UTF_8);
        }
    }

    /**
     * A call of an operator.
     *
     * @param order null for a read
     * @param floor the newest version that was acknowledged when it was sent
     */
    record Asked(Order order, long floor) {}

    private final List<Order> sent = new ArrayList<>();
    private final Map<Long, String> acknowledged = new HashMap<>();
    private final Set<Order> refused = new HashSet<>();
    private long newest;
    private long versions;
    private int answered;

    OrderReferee() {
        acknowledged.put(0L, "");
    }

    /** The next version. */
    Order next() {
        return sent(++versions, "");
    }

    /** Another content under a number that was sent, one of the last {@code back}. */
    Order rival(int back) {
        long number = Math.max(1, versions - back);
        return sent(number, " as another has it, " + sent.size());
    }

    private Order sent(long number, String more) {
        versions = Math.max(versions, number);
        Order order = new Order(number, "content of " + number + more);
        sent.add(order);
        return order;
    }

    /** The order that was sent so many before the last; the first one where there are fewer. */
    Order again(int back) {
        return sent.isEmpty() ? next() : sent.get(Math.max(0, sent.size() - 1 - back));
    }

    /** All orders under the last so many numbers that have several contents. */
    List<Order> contested(int numbers) {
        Map<Long, Set<Order>> by = new TreeMap<>(Comparator.reverseOrder());
        sent.forEach(order -> by.computeIfAbsent(order.version, number -> new LinkedHashSet<>())
                .add(order));
        return by.values().stream()
                .filter(contents -> contents.size() > 1)
                .limit(numbers)
                .flatMap(Set::stream)
                .toList();
    }

    Asked ask(Order order) {
        return new Asked(order, newest);
    }

    /** Whether a content of this number was acknowledged. */
    boolean holds(long version) {
        return acknowledged.containsKey(version);
    }

    /** The newest version that was acknowledged. */
    long newest() {
        return newest;
    }

    /** Calls that were answered for certain. */
    int answered() {
        return answered;
    }

    /** The end of a call. */
    void answers(String who, Asked asked, CallOutcome outcome, StoredVersion kept) {
        if (outcome == CallOutcome.UNCERTAIN) {
            return;
        }
        answered++;
        Order order = asked.order;
        if (kept.version() < asked.floor) {
            throw new StoreWorld.Broken(
                    who + " answers with version " + kept.version() + " after " + asked.floor + " was acknowledged");
        }
        if (order != null && kept.version() < order.version) {
            throw new StoreWorld.Broken(
                    "version " + order.version + " is answered " + outcome + " where " + kept.version() + " holds");
        }
        if (outcome == CallOutcome.CONFLICT) {
            refuses(order);
        } else if (order != null) {
            holds(order);
        }
        if (kept.version() > 0) {
            holds(order(kept));
        }
        newest = Math.max(newest, kept.version());
    }

    /** A content that is told to edges as one that may be in force. */
    void tells(String who, StoredVersion kept) {
        if (kept.version() > 0 && refused.contains(order(kept))) {
            throw new StoreWorld.Broken(who + " tells " + order(kept).content + ", which was refused");
        }
    }

    private static Order order(StoredVersion kept) {
        return new Order(kept.version(), new String(kept.body(), StandardCharsets.UTF_8));
    }

    private void refuses(Order order) {
        if (order.content.equals(acknowledged.get(order.version))) {
            throw new StoreWorld.Broken(order.content + " is refused after it was acknowledged");
        }
        refused.add(order);
    }

    private void holds(Order order) {
        if (!sent.contains(order)) {
            throw new StoreWorld.Broken(
                    "version " + order.version + " is answered as " + order.content + ", which nobody sent");
        }
        String before = acknowledged.putIfAbsent(order.version, order.content);
        if (before != null && !before.equals(order.content)) {
            throw new StoreWorld.Broken(
                    "version " + order.version + " was acknowledged as " + before + " and as " + order.content);
        }
        if (refused.contains(order)) {
            throw new StoreWorld.Broken(order.content + " is acknowledged after it was refused");
        }
    }

    /** All of these were sent again when all was well: of the contents under each number one is acknowledged. */
    void end(List<Order> contested) {
        for (Order order : contested) {
            if (acknowledged.get(order.version) == null) {
                throw new StoreWorld.Broken(order.content + " has a rival, and neither is acknowledged in the end");
            }
        }
    }
}
