package gorsemast.eelde;

import gorsemast.terschelling.Hash;
import java.util.HashMap;
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
        private long failedAt;
        private long span = SHORTEST_MICROS;
    }

    private final String self;
    private final String zone;
    private Map<String, String> edges = Map.of();
    private final Map<String, Away> away = new HashMap<>();

    /** Of the edge with this address. */
    public Homes(String self, String zone) {
        this.self = self;
        this.zone = zone;
    }

    /** All edges that are up, with their zones. */
    public void edges(Map<String, String> zones) {
        edges = Map.copyOf(zones);
        away.keySet().retainAll(edges.keySet());
    }

    /** How many there are, this one among them. */
    public int count() {
        return Math.max(1, edges.containsKey(self) ? edges.size() : edges.size() + 1);
    }

    /**
     * The home of a key: an address, this edge's own where it is its home or nobody else is up.
     *
     * @param zoned whether each zone has a home of its own: fewer bytes between zones, more fetches
     */
    public String of(long now, String key, boolean zoned) {
        long name = Hash.of(key);
        String best = self;
        long rank = Hash.rank(name, self);
        for (Map.Entry<String, String> entry : edges.entrySet()) {
            String edge = entry.getKey();
            long other = Hash.rank(name, edge);
            if (other > rank && (!zoned || zone.equals(entry.getValue())) && !edge.equals(self)) {
                if (!passed(now, edge)) {
                    best = edge;
                    rank = other;
                }
            }
        }
        Away tried = away.get(best);
        if (tried != null) {
            tried.until = now + tried.span; // this one is its trial; all others go on passing it over until it is answered
        }
        return best;
    }

    private boolean passed(long now, String edge) {
        Away one = away.get(edge);
        return one != null && now < one.until;
    }

    /** It did not answer. */
    public void failed(long now, String edge) {
        Away one = away.get(edge);
        if (one == null) {
            one = new Away();
            one.until = now + one.span;
            away.put(edge, one);
        } else if (now - one.failedAt > one.span / 2) { // not another one of the same silence
            one.span = Math.min(LONGEST_MICROS, 2 * one.span);
            one.until = now + one.span;
        }
        one.failedAt = now;
    }

    /** It did. */
    public void answered(String edge) {
        away.remove(edge);
    }
}
