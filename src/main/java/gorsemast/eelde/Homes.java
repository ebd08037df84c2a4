package gorsemast.eelde;

import gorsemast.terschelling.Hash;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which edge is an object's home, by rendezvous over all that are believed to be up. One that has just failed to answer
 * is passed over for a while, by this edge alone. Times in microseconds; one thread.
 */
public final class Homes {
    /** For so long one that failed is passed over; doubled at each failure in a row. */
    static final long SHORTEST_MICROS = 500_000;
    static final long LONGEST_MICROS = 4_000_000;

    private static final class Away {
        private long until;
        private long span = SHORTEST_MICROS;
    }

    private final String self;
    private List<String> edges = List.of();
    private final Map<String, Away> away = new HashMap<>();

    /** Of the edge with this address. */
    public Homes(String self) {
        this.self = self;
    }

    /** All edges that are up. */
    public void edges(List<String> ips) {
        edges = List.copyOf(ips);
        away.keySet().retainAll(ips);
    }

    /** How many there are, this one among them. */
    public int count() {
        return Math.max(1, edges.contains(self) ? edges.size() : edges.size() + 1);
    }

    /** The home of a key: an address, this edge's own where it is its home or nobody else is up. */
    public String of(long now, String key) {
        long name = Hash.of(key);
        String best = self;
        long rank = Hash.rank(name, self);
        for (String edge : edges) {
            long other = Hash.rank(name, edge);
            if (other > rank && !edge.equals(self) && !passed(now, edge)) {
                best = edge;
                rank = other;
            }
        }
        return best;
    }

    private boolean passed(long now, String edge) {
        Away one = away.get(edge);
        return one != null && now < one.until;
    }

    /** It did not answer. */
    public void failed(long now, String edge) {
        Away one = away.computeIfAbsent(edge, ip -> new Away());
        if (now >= one.until) {
            one.until = now + one.span;
            one.span = Math.min(LONGEST_MICROS, 2 * one.span);
        }
    }

    /** It did. */
    public void answered(String edge) {
        away.remove(edge);
    }
}
