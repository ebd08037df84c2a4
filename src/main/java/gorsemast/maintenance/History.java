package gorsemast.maintenance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Judges what the crews and the nodes saw, and not what a proxy says: grants, releases and returns as intervals with tokens.
 *
 * <p><b>Idea.</b> A checker of histories after the fact, as Jepsen's (Kingsbury and Alvaro, "Elle", VLDB 2020) but for one
 * property: at no moment is more in the crews' hands than the bounds allow. A machine is in a crew's hands from the release
 * until the crew has given it back, or somebody has found it. Events are given in the order in which they happened.
 *
 * <p>O(events × machines). One thread.
 */
public final class History {
    private final Map<String, Machine> machines = new HashMap<>();
    private final Bounds bounds;
    private final double demand;
    private final Map<String, Long> held = new HashMap<>();
    private final Map<String, Long> newest = new HashMap<>();
    private final Map<String, Long> obeyed = new HashMap<>();
    private final Map<String, Set<String>> inHand = new HashMap<>();
    private final Set<String> ended = new HashSet<>();
    private final List<String> findings = new ArrayList<>();
    private int over;
    private int stale;
    private int touched;

    /** A history of this fleet under these bounds. */
    public History(Collection<Machine> fleet, Bounds bounds, double demand) {
        fleet.forEach(machine -> machines.put(machine.name(), machine));
        this.bounds = bounds;
        this.demand = demand;
    }

    private void find(String what) {
        findings.add(what);
    }

    /** A crew was given a machine. */
    public void released(long at, String machine, long token, String crew) {
        Long before = held.get(machine);
        if (before != null) {
            over++;
            find(at + ": " + crew + " is given " + machine + " under " + token + ", which is out under " + before);
        }
        if (token <= newest.getOrDefault(machine, 0L)) {
            stale++;
            find(at + ": " + machine + " is released under " + token + ", after " + newest.get(machine));
        }
        newest.merge(machine, token, Math::max);
        Set<Machine> out = new HashSet<>();
        held.keySet().forEach(name -> out.add(machines.get(name)));
        out.remove(machines.get(machine));
        String against = bounds.against(machines.get(machine), machines.values(), out, Set.of(), demand);
        if (against != null) {
            over++;
            find(at + ": " + machine + " goes though " + against);
        }
        if (!inHand.getOrDefault(machine, Set.of()).isEmpty()) {
            touched++;
            find(at + ": " + machine + " goes with " + inHand.get(machine) + " in hand");
        }
        held.put(machine, token);
    }

    /** A crew gave it back, or somebody found it. */
    public void returned(long at, String machine, long token) {
        if (!Long.valueOf(token).equals(held.get(machine))) {
            stale++;
            find(at + ": " + machine + " comes back under " + token + ", out under " + held.get(machine));
            return;
        }
        held.remove(machine);
    }

    /** A process shut or opened its fence. */
    public void obeyed(long at, String process, String machine, long token) {
        long before = obeyed.merge(process + " " + machine, token, Math::max);
        if (token < before) {
            stale++;
            find(at + ": " + process + " obeys " + token + " for " + machine + " after " + before);
        }
    }

    /** A node got a request. */
    public void arrived(long at, String machine, String request) {
        if (held.containsKey(machine)) {
            touched++;
            find(at + ": " + machine + " gets " + request + " in its crew's hands");
        }
        inHand.computeIfAbsent(machine, name -> new HashSet<>()).add(request);
    }

    /** It has answered, or its request was called off. */
    public void answered(String machine, String request) {
        inHand.getOrDefault(machine, new HashSet<>()).remove(request);
    }

    /** A work is done. */
    public void done(String key) {
        ended.add(key);
    }

    /** Moments with more out than the bounds allow. */
    public int over() {
        return over;
    }

    /** Older tokens obeyed. */
    public int stale() {
        return stale;
    }

    /** Requests that met a machine in its crew's hands. */
    public int touched() {
        return touched;
    }

    /** Works that are done. */
    public int doneWorks() {
        return ended.size();
    }

    public List<String> findings() {
        return List.copyOf(findings);
    }

    /** Whether nothing was wrong. */
    public boolean holds() {
        return over + stale + touched == 0;
    }
}
