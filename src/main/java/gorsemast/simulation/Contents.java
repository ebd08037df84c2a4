package gorsemast.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The rules on configurations, judged by contents and not by numbers alone: which content of a number was sent, taken,
 * acknowledged or refused, and by which content each edge goes. A content is the whole body. Throws {@link Violation}. One thread;
 * times in microseconds of the world's clock.
 */
final class Contents {
    private static final long CONFIG_APPLY = 2_000_000;

    private record Acknowledged(long number, String content, long at) {}

    /** A number and what is known of it. */
    private static final class Number {
        final Set<String> sent = new LinkedHashSet<>();
        /** By when a machine said 200, whether that was heard or not. */
        final Map<String, Long> taken = new HashMap<>();
        /** Those that were taken when no higher number had been sent yet. */
        final Set<String> takenOnTop = new LinkedHashSet<>();
        /** Those whose 200 an operator has read, with the time. */
        final Map<String, Long> acknowledged = new HashMap<>();

        final Set<String> refused = new HashSet<>();

        /** The one that holds for sure; null where none does, or where an overtaken number was acknowledged twice. */
        String held() {
            if (takenOnTop.size() == 1
                    && acknowledged.containsKey(takenOnTop.iterator().next())) {
                return takenOnTop.iterator().next();
            }
            return taken.size() == 1 && acknowledged.size() == 1
                    ? acknowledged.keySet().iterator().next()
                    : null;
        }
    }

    private final World world;
    private final Map<Long, Number> numbers = new HashMap<>();
    /** In the order of their acknowledgement, each with a higher number than the one before. */
    private final List<Acknowledged> steps = new ArrayList<>();

    private final Set<String> handled = new HashSet<>();
    private long highestSent;
    private int judged;
    private int bound;

    Contents(World world) {
        this.world = world;
    }

    private Number number(long number) {
        return numbers.computeIfAbsent(number, n -> new Number());
    }

    private static Broken broken(String text) {
        return new Broken("CONFIG", text);
    }

    /** An operator sends it, for the first time or again. */
    void sent(long number, String content) {
        number(number).sent.add(content);
        highestSent = Math.max(highestSent, number);
    }

    /** Whether another content was sent under this number. */
    boolean contested(long number) {
        return number(number).sent.size() > 1;
    }

    /**
     * A core machine has answered an order, whether the operator hears of it or not.
     *
     * @param sentAt when this call was sent
     */
    void answered(long number, String content, int status, long sentAt) {
        Number known = number(number);
        if (status / 100 == 2) {
            known.taken.putIfAbsent(content, world.time.now());
            if (highestSent <= number) {
                known.takenOnTop.add(content);
            }
            if (known.takenOnTop.size() > 1) {
                throw broken("two contents are acknowledged under number " + number);
            }
            if (known.refused.contains(content)) {
                throw broken("a content of number " + number + " is acknowledged after it was refused");
            }
        } else if (status / 100 == 4 && status != 408 && status != 429) {
            if (known.taken.getOrDefault(content, Long.MAX_VALUE) < sentAt) {
                throw broken("number " + number + " was taken, is sent again unchanged, and is refused");
            }
            if (known.sent.size() < 2) {
                throw broken("a valid order, number " + number + ", is refused with " + status);
            }
        }
    }

    /** An operator has read that it is acknowledged. */
    void acknowledged(long number, String content) {
        number(number).acknowledged.putIfAbsent(content, world.time.now());
        if (number > newest()) {
            steps.add(new Acknowledged(number, content, world.time.now()));
        }
    }

    /** An operator has read that it is refused; that ends its order. */
    void refused(long number, String content) {
        number(number).refused.add(content);
        if (handled.contains(content)) {
            throw broken("a content of number " + number + " is refused, and an edge has gone by it");
        }
    }

    /** Requests that were handled by some configuration. */
    int judged() {
        return judged;
    }

    /** Of them, those for which some bound of time held. */
    int bound() {
        return bound;
    }

    /** The highest number that is acknowledged; 0 for none. */
    long newest() {
        return steps.isEmpty() ? 0 : steps.get(steps.size() - 1).number;
    }

    /** The highest number that was acknowledged by then; 0 for none. */
    long newestAt(long time) {
        long newest = 0;
        for (Acknowledged step : steps) {
            newest = step.at <= time ? step.number : newest;
        }
        return newest;
    }

    /** An edge handles a request that was sent then, by this configuration. */
    void handles(Edge edge, long number, String content, long sentAt) {
        String who = edge.machine.ip;
        if (number < edge.seenVersion) {
            throw broken(who + " goes back from version " + edge.seenVersion + " to " + number);
        }
        if (number == edge.seenVersion && !content.equals(edge.seenContent)) {
            Number known = number(number);
            if (edge.seenContent.equals(known.held())) {
                throw broken(who + " goes from the acknowledged content of number " + number + " to another");
            }
        }
        edge.seenVersion = number;
        edge.seenContent = content;
        if (handled.add(content)) {
            Number known = number(number);
            if (!known.sent.contains(content)) {
                throw broken(who + " goes by a content of number " + number + " that no operator sent");
            }
            if (known.refused.contains(content)) {
                throw broken(who + " goes by a content of number " + number + " that was refused");
            }
        } else if (number(number).refused.contains(content)) {
            throw broken(who + " goes by a content of number " + number + " that was refused");
        }
        inForce(edge, number, content, sentAt);
    }

    private void inForce(Edge edge, long number, String content, long sentAt) {
        long allowed = allowed(edge.machine);
        judged++;
        if (allowed < 0) {
            return;
        }
        bound++;
        for (int i = steps.size() - 1; i >= 0; i--) {
            Acknowledged step = steps.get(i);
            if (sentAt <= step.at + allowed || !bound(step.at, allowed)) {
                continue;
            }
            if (step.number > number) {
                throw broken(edge.machine.ip + " goes by version " + number + " " + (sentAt - step.at) / 1_000
                        + " ms after " + step.number + " was acknowledged");
            }
            break;
        }
        String held = number(number).held();
        if (held != null && !held.equals(content)) {
            long at = number(number).acknowledged.get(held);
            if (sentAt > at + allowed && bound(at, allowed)) {
                throw broken(edge.machine.ip + " goes by another content of number " + number + " "
                        + (sentAt - at) / 1_000 + " ms after the acknowledgement of the one that holds");
            }
        }
    }

    /** How long after an acknowledgement the machine may go by something older; negative where no bound holds for it. */
    private long allowed(Machine machine) {
        return world.contact.touch(machine)
                ? CONFIG_APPLY
                : world.contact.well(machine) ? CONFIG_APPLY + World.STRETCH_MICROS : -1;
    }

    /** Whether a stretched bound holds: more than half of the core has run connected since then. */
    private boolean bound(long since, long allowed) {
        return allowed == CONFIG_APPLY || world.contact.majorityFor() >= world.time.now() - since;
    }

    /** A core machine has told that this is the configuration. */
    void read(long number, String content) {
        Number known = number(number);
        if (!known.sent.contains(content) || known.refused.contains(content)) {
            throw broken("version " + number + " is read with a content that was not sent, or was refused");
        }
        if (known.held() != null && !known.held().equals(content)) {
            throw broken("version " + number + " is read with another content than the acknowledged one");
        }
    }
}
