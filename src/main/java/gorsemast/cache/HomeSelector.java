package gorsemast.cache;

import gorsemast.gossip.Hash;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which edge is an object's home, by rendezvous over all that are believed to be up, or over those of them that fetch a
 * service's objects. One that has just failed to answer is passed over for a while, by this edge alone. O(edges) a key.
 * Times in microseconds; one thread.
 */
public final class HomeSelector {
    /** For so long one that failed is passed over; doubled at each failure in a row. */
    static final long MIN_SKIP_MICROS = 500_000;

    static final long MAX_SKIP_MICROS = 4_000_000;

    private static final class Away {
        private long until;
        private long failedAt;
        private long span = MIN_SKIP_MICROS;
    }

    private record Edge(String ip, String zone, long hash) {}

    /**
     * Where this edge stands among those that share what a service's servers bear.
     *
     * @param allFetch whether all edges fetch its objects
     * @param isFetcher whether this edge does
     * @param index its place, from 0 on, among those that do, or among those that don't
     * @param count how many those are
     */
    public record SharePosition(boolean allFetch, boolean isFetcher, int index, int count) {}

    private final String self;
    private final long selfHash;
    private final String zone;
    private List<Edge> edges = List.of();
    private Map<String, String> zones = Map.of();
    /** The edges that fetch a service's objects, where these are not all. */
    private final Map<String, Set<String>> fetchers = new HashMap<>();

    private final Map<String, SharePosition> places = new HashMap<>();

    private final Map<String, Away> away = new HashMap<>();
    /** When each edge has last answered. */
    private final Map<String, Long> answeredAt = new HashMap<>();

    private boolean passedOver;

    /** Of the edge with this address. */
    public HomeSelector(String self, String zone) {
        this.self = self;
        this.selfHash = Hash.of(self);
        this.zone = zone;
    }

    /** All edges that are up, with their zones. */
    public void updateEdges(Map<String, String> up) {
        if (up.equals(zones)) {
            return;
        }
        zones = Map.copyOf(up);
        List<Edge> next = new ArrayList<>();
        zones.forEach((ip, at) -> next.add(new Edge(ip, at, Hash.of(ip))));
        edges = next;
        fetchers.clear();
        places.clear();
        away.keySet().retainAll(zones.keySet());
        answeredAt.keySet().retainAll(zones.keySet());
    }

    /** How many there are, this one among them. */
    public int edgeCount() {
        return Math.max(1, zones.containsKey(self) ? zones.size() : zones.size() + 1);
    }

    /** Whether this edge is one of the {@code many} that fetch a service's objects. */
    public boolean isFetcher(String service, int many) {
        return many >= edgeCount() || fetchers(service, many).contains(self);
    }

    private List<String> ranked(String service) {
        Set<String> all = new HashSet<>(zones.keySet());
        all.add(self);
        return Hash.ranked("fetches " + service, all);
    }

    private Set<String> fetchers(String service, int many) {
        Set<String> known = fetchers.get(service);
        if (known == null || known.size() != Math.min(many, edgeCount())) {
            List<String> all = ranked(service);
            known = new HashSet<>(all.subList(0, Math.min(many, all.size())));
            fetchers.put(service, known);
        }
        return known;
    }

    /** Where this edge stands where {@code many} edges fetch a service's objects; edges that know the same agree. */
    public SharePosition sharePosition(String service, int many) {
        int edges = edgeCount();
        int some = Math.max(1, Math.min(many, edges));
        SharePosition known = places.get(service);
        boolean same = known != null
                && (known.allFetch()
                        ? some == edges
                        : known.isFetcher() ? known.count() == some : known.count() == edges - some);
        if (!same) {
            int index = ranked(service).indexOf(self);
            boolean fetches = index < some;
            known = fetches
                    ? new SharePosition(some == edges, true, index, some)
                    : new SharePosition(false, false, index - some, edges - some);
            places.put(service, known);
        }
        return known;
    }

    /**
     * The home of a key: an address, this edge's own where it is its home or nobody else is up.
     *
     * @param zoned whether each zone has a home of its own: fewer bytes between zones, more fetches
     */
    public String homeOf(long now, String key, boolean zoned) {
        return homeOf(now, key, zoned, "", Integer.MAX_VALUE);
    }

    /** The same out of the {@code many} edges that fetch a service's objects. */
    public String homeOf(long now, String key, boolean zoned, String service, int many) {
        Set<String> some = many >= edgeCount() ? null : fetchers(service, many);
        long name = Hash.of(key);
        String best = self;
        long rank = some == null || some.contains(self) ? Hash.rank(name, selfHash) : Long.MIN_VALUE;
        long passedRank = Long.MIN_VALUE;
        for (Edge edge : edges) {
            long other = Hash.rank(name, edge.hash);
            if (other > rank
                    && (!zoned || zone.equals(edge.zone))
                    && (some == null || some.contains(edge.ip))
                    && !edge.ip.equals(self)) {
                if (isSkipped(now, edge.ip)) {
                    passedRank = Math.max(passedRank, other);
                } else {
                    best = edge.ip;
                    rank = other;
                }
            }
        }
        passedOver = passedRank > rank;
        Away tried = away.get(best);
        if (tried != null) {
            tried.until =
                    now + tried.span; // this one is its trial; all others go on passing it over until it is answered
        }
        return best;
    }

    /** Whether one that ranked higher was passed over when a home was last asked for. */
    public boolean skippedHigherRanked() {
        return passedOver;
    }

    /** Whether an edge is passed over now. */
    boolean isSkipped(long now, String edge) {
        Away one = away.get(edge);
        return one != null && now < one.until;
    }

    /**
     * It did not answer what it was asked at {@code asked}; false, and nothing follows, where it has answered something else since:
     * it is slow, and not silent.
     */
    public boolean recordFailure(long now, String edge, long asked) {
        Long answered = answeredAt.get(edge);
        if (answered != null && answered > asked) {
            return false;
        }
        Away one = away.get(edge);
        if (one == null) {
            one = new Away();
            one.until = now + one.span;
            away.put(edge, one);
        } else if (now - one.failedAt > one.span / 2) { // not another one of the same silence
            one.span = Math.min(MAX_SKIP_MICROS, 2 * one.span);
            one.until = now + one.span;
        }
        one.failedAt = now;
        return true;
    }

    /** It did. */
    public void recordAnswer(long now, String edge) {
        away.remove(edge);
        answeredAt.put(edge, now);
    }
}
