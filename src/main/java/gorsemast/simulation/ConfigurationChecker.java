package gorsemast.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the rules on configurations by content, not only by version number: which content was sent, accepted,
 * acknowledged or refused under each number, and which content each edge applies. A content is the whole body. Throws {@link Violation}. Single-threaded;
 * times in microseconds of the simulation's clock.
 */
final class ConfigurationChecker {
    private static final long CONFIG_APPLY = 2_000_000;

    private record Acknowledged(long number, String content, long at) {}

    /** The contents sent under one version number and what became of them. */
    private static final class VersionContents {
        final Set<String> sent = new LinkedHashSet<>();
        /** When a machine first answered 200, whether or not the answer arrived. */
        final Map<String, Long> taken = new HashMap<>();
        /** Contents accepted while no higher number had been sent. */
        final Set<String> takenOnTop = new LinkedHashSet<>();
        /** Contents whose 200 an operator has received, with the time. */
        final Map<String, Long> acknowledged = new HashMap<>();

        final Set<String> refused = new HashSet<>();

        /** The content that is certainly in force; null if there is none or a superseded number was acknowledged twice. */
        String heldContent() {
            if (takenOnTop.size() == 1
                    && acknowledged.containsKey(takenOnTop.iterator().next())) {
                return takenOnTop.iterator().next();
            }
            return taken.size() == 1 && acknowledged.size() == 1
                    ? acknowledged.keySet().iterator().next()
                    : null;
        }
    }

    private final Simulation simulation;
    private final Map<Long, VersionContents> numbers = new HashMap<>();
    /** In the order of their acknowledgement, each with a higher number than the one before. */
    private final List<Acknowledged> steps = new ArrayList<>();

    private final Set<String> handled = new HashSet<>();
    private long highestSent;
    private int checkedRequests;
    private int timeBoundRequests;

    ConfigurationChecker(Simulation simulation) {
        this.simulation = simulation;
    }

    private VersionContents number(long number) {
        return numbers.computeIfAbsent(number, n -> new VersionContents());
    }

    private static Violation violation(String text) {
        return new Violation("CONFIG", text);
    }

    /** An operator sends a content, for the first time or again. */
    void sent(long number, String content) {
        number(number).sent.add(content);
        highestSent = Math.max(highestSent, number);
    }

    /** Whether another content was sent under this number. */
    boolean contested(long number) {
        return number(number).sent.size() > 1;
    }

    /**
     * A core machine has answered an update, whether or not the answer reaches the operator.
     *
     * @param sentAt when this call was sent
     */
    void answered(long number, String content, int status, long sentAt) {
        VersionContents known = number(number);
        if (status / 100 == 2) {
            known.taken.putIfAbsent(content, simulation.time.now());
            if (highestSent <= number) {
                known.takenOnTop.add(content);
            }
            if (known.takenOnTop.size() > 1) {
                throw violation("two contents are acknowledged under number " + number);
            }
            if (known.refused.contains(content)) {
                throw violation("a content of number " + number + " is acknowledged after it was refused");
            }
        } else if (status / 100 == 4 && status != 408 && status != 429) {
            if (known.taken.getOrDefault(content, Long.MAX_VALUE) < sentAt) {
                throw violation("number " + number + " was accepted, is resent unchanged, and is refused");
            }
            if (known.sent.size() < 2) {
                throw violation("a valid update, number " + number + ", is refused with " + status);
            }
        }
    }

    /** An operator has received the acknowledgement. */
    void acknowledged(long number, String content) {
        number(number).acknowledged.putIfAbsent(content, simulation.time.now());
        if (number > newest()) {
            steps.add(new Acknowledged(number, content, simulation.time.now()));
        }
    }

    /** An operator has received the refusal, which ends its update. */
    void refused(long number, String content) {
        number(number).refused.add(content);
        if (handled.contains(content)) {
            throw violation("a content of number " + number + " is refused after an edge has applied it");
        }
    }

    /** Requests that an edge handled under some configuration. */
    int checkedRequests() {
        return checkedRequests;
    }

    /** Those of them to which a time bound applied. */
    int timeBoundRequests() {
        return timeBoundRequests;
    }

    /** The highest acknowledged number; 0 for none. */
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

    /** An edge handles a request that was sent at {@code sentAt} under this configuration. */
    void handles(Edge edge, long number, String content, long sentAt) {
        String who = edge.machine.ip;
        if (number < edge.seenVersion) {
            throw violation(who + " reverts from version " + edge.seenVersion + " to " + number);
        }
        if (number == edge.seenVersion && !content.equals(edge.seenContent)) {
            VersionContents known = number(number);
            if (edge.seenContent.equals(known.heldContent())) {
                throw violation(who + " switches from the acknowledged content of number " + number + " to another");
            }
        }
        edge.seenVersion = number;
        edge.seenContent = content;
        if (handled.add(content)) {
            VersionContents known = number(number);
            if (!known.sent.contains(content)) {
                throw violation(who + " applies a content of number " + number + " that no operator sent");
            }
            if (known.refused.contains(content)) {
                throw violation(who + " applies a content of number " + number + " that was refused");
            }
        } else if (number(number).refused.contains(content)) {
            throw violation(who + " applies a content of number " + number + " that was refused");
        }
        checkInForce(edge, number, content, sentAt);
    }

    private void checkInForce(Edge edge, long number, String content, long sentAt) {
        long allowed = allowedAge(edge.machine);
        checkedRequests++;
        if (allowed < 0) {
            return;
        }
        timeBoundRequests++;
        for (int i = steps.size() - 1; i >= 0; i--) {
            Acknowledged step = steps.get(i);
            if (sentAt <= step.at + allowed || !holdsBound(step.at, allowed)) {
                continue;
            }
            if (step.number > number) {
                throw violation(edge.machine.ip + " applies version " + number + " " + (sentAt - step.at) / 1_000
                        + " ms after " + step.number + " was acknowledged");
            }
            break;
        }
        String held = number(number).heldContent();
        if (held != null && !held.equals(content)) {
            long at = number(number).acknowledged.get(held);
            if (sentAt > at + allowed && holdsBound(at, allowed)) {
                throw violation(edge.machine.ip + " applies another content of number " + number + " "
                        + (sentAt - at) / 1_000 + " ms after the content in force was acknowledged");
            }
        }
    }

    /** How long after an acknowledgement the machine may apply an older configuration; negative if no bound applies. */
    private long allowedAge(Machine machine) {
        return simulation.connectivity.isConnected(machine)
                ? CONFIG_APPLY
                : simulation.connectivity.isHealthy(machine) ? CONFIG_APPLY + Simulation.STRETCH_MICROS : -1;
    }

    /** Whether an extended bound applies: more than half of the core has run connected since then. */
    private boolean holdsBound(long since, long allowed) {
        return allowed == CONFIG_APPLY || simulation.connectivity.majorityFor() >= simulation.time.now() - since;
    }

    /** A core machine has answered a read with this configuration. */
    void read(long number, String content) {
        VersionContents known = number(number);
        if (!known.sent.contains(content) || known.refused.contains(content)) {
            throw violation("version " + number + " is read with a content that was not sent, or was refused");
        }
        if (known.heldContent() != null && !known.heldContent().equals(content)) {
            throw violation("version " + number + " is read with another content than the acknowledged one");
        }
    }
}
