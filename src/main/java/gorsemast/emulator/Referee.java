package gorsemast.emulator;

import anisebend.Balancer.Effect;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The four rules over all processes, from what nodes and clients saw and not from a proxy's word.
 *
 * <p>One answer: each request that a living proxy took is answered once, by its deadline and {@value #SLACK_MICROS}
 * microseconds. No second effect: what may not be repeated runs once; never two attempts of a request out at once. Drains:
 * nothing new is written {@value #DRAIN_MICROS} microseconds after the proxy was told. Cold nodes: {@link #fallen}.
 */
public final class Referee {
    static final long SLACK_MICROS = 50_000;
    static final long DRAIN_MICROS = 250_000 + SLACK_MICROS;
    private static final int LINES = 20;

    private final Map<String, Integer> runs = new HashMap<>();
    private final Map<String, Long> firstRun = new HashMap<>();
    private final Set<String> answered = new HashSet<>();
    private final List<String> findings = new ArrayList<>();
    private long lost;
    private long twice;
    private long drains;
    private long fallen;

    private void find(String what) {
        if (findings.size() < LINES) {
            findings.add(what);
        }
    }

    void ran(long now, String id, Effect effect, long window) {
        if (effect == Effect.SAFE) {
            return;
        }
        int many = runs.merge(id, 1, Integer::sum);
        long first = firstRun.computeIfAbsent(id, key -> now);
        if (many > 1 && (effect == Effect.UNSAFE || now > first + window + SLACK_MICROS)) {
            twice++;
            find(now / 1000 + " ms: " + id + " ran " + many + " times");
        }
    }

    void answered(long now, String id, long deadline) {
        if (!answered.add(id)) {
            twice++;
            find(now / 1000 + " ms: " + id + " was answered again");
        }
        if (now > deadline + SLACK_MICROS) {
            lost++;
            find(now / 1000 + " ms: " + id + " was answered " + (now - deadline) / 1000 + " ms after its time");
        }
    }

    void unanswered(long now, String id) {
        if (!answered.contains(id)) {
            lost++;
            find(now / 1000 + " ms: " + id + " has no answer in its time");
        }
    }

    void twoOut(long now, String id) {
        twice++;
        find(now / 1000 + " ms: " + id + " has two attempts out");
    }

    void wroteToDraining(long now, String proxy, String node, long toldAt) {
        if (now > toldAt + DRAIN_MICROS) {
            drains++;
            find(now / 1000 + " ms: " + proxy + " wrote to " + node + " " + (now - toldAt) / 1000
                    + " ms after its drain was told");
        }
    }

    void fell(long now, String node) {
        fallen++;
        find(now / 1000 + " ms: " + node + " fell over while it was cold");
    }

    /** Requests with no answer in their time. */
    public long lost() {
        return lost;
    }

    /** Effects, attempts and answers that were there twice. */
    public long twice() {
        return twice;
    }

    /** What was written to nodes that drained. */
    public long drains() {
        return drains;
    }

    /** Cold nodes that fell over. */
    public long fallen() {
        return fallen;
    }

    /** Whether all held. */
    public boolean holds() {
        return lost + twice + drains + fallen == 0;
    }

    /** The first of what was found. */
    public List<String> findings() {
        return findings;
    }
}
