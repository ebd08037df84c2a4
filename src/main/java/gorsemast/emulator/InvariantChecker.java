package gorsemast.emulator;

import anisebend.Balancer.Effect;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks four invariants over all processes from what nodes and clients observed, not from what proxies report.
 *
 * <p>One response: each request accepted by a proxy that stays alive is answered once, at most {@value #SLACK_MICROS}
 * microseconds after its deadline. No second effect: a non-repeatable request is executed once, and a request never has two
 * attempts in flight. Drains: nothing new is written to a node {@value #DRAIN_MICROS} microseconds after the proxy learned
 * of its drain. Cold nodes are not overloaded: {@link #fallen}.
 */
public final class InvariantChecker {
    static final long SLACK_MICROS = 50_000;
    static final long DRAIN_MICROS = 250_000 + SLACK_MICROS;
    private static final int MAX_FINDINGS = 20;

    private final Map<String, Integer> runs = new HashMap<>();
    private final Map<String, Long> firstRun = new HashMap<>();
    private final Set<String> answered = new HashSet<>();
    private final List<String> findings = new ArrayList<>();
    private long lost;
    private long twice;
    private long drains;
    private long fallen;

    private void report(String finding) {
        if (findings.size() < MAX_FINDINGS) {
            findings.add(finding);
        }
    }

    void executed(long now, String id, Effect effect, long deduplicationWindow) {
        if (effect == Effect.SAFE) {
            return;
        }
        int count = runs.merge(id, 1, Integer::sum);
        long first = firstRun.computeIfAbsent(id, key -> now);
        if (count > 1 && (effect == Effect.UNSAFE || now > first + deduplicationWindow + SLACK_MICROS)) {
            twice++;
            report(now / 1000 + " ms: " + id + " was executed " + count + " times");
        }
    }

    void answered(long now, String id, long deadline) {
        if (!answered.add(id)) {
            twice++;
            report(now / 1000 + " ms: " + id + " was answered more than once");
        }
        if (now > deadline + SLACK_MICROS) {
            lost++;
            report(now / 1000 + " ms: " + id + " was answered " + (now - deadline) / 1000 + " ms after its deadline");
        }
    }

    void unanswered(long now, String id) {
        if (!answered.contains(id)) {
            lost++;
            report(now / 1000 + " ms: " + id + " was not answered by its deadline");
        }
    }

    void concurrentAttempts(long now, String id) {
        twice++;
        report(now / 1000 + " ms: " + id + " has two attempts in flight");
    }

    void wroteToDraining(long now, String proxy, String node, long drainReceivedAt) {
        if (now > drainReceivedAt + DRAIN_MICROS) {
            drains++;
            report(now / 1000 + " ms: " + proxy + " wrote to " + node + " " + (now - drainReceivedAt) / 1000
                    + " ms after it learned of the drain");
        }
    }

    void overloadedWhileCold(long now, String node) {
        fallen++;
        report(now / 1000 + " ms: " + node + " crashed from overload while cold");
    }

    /** Number of requests not answered in time. */
    public long lost() {
        return lost;
    }

    /** Number of duplicate effects, attempts and responses. */
    public long twice() {
        return twice;
    }

    /** Number of requests written to draining nodes. */
    public long drains() {
        return drains;
    }

    /** Number of cold nodes that crashed from overload. */
    public long fallen() {
        return fallen;
    }

    /** Whether all invariants held. */
    public boolean holds() {
        return lost + twice + drains + fallen == 0;
    }

    /** The first violations, one line each. */
    public List<String> findings() {
        return findings;
    }
}
