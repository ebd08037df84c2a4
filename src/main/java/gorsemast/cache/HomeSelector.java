package gorsemast.cache;

import gorsemast.gossip.Hash;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Selects an object's home edge by rendezvous hashing over all edges that are believed to be up, or over those that
 * fetch a service's objects. An edge that recently failed to answer is skipped for a while, by this edge only.
 * O(edges) per key. Not thread-safe; times are in microseconds.
 */
public final class HomeSelector {
    /** How long an edge is skipped after a failure; doubled at each consecutive one up to the maximum. */
    static final long MIN_SKIP_MICROS = 500_000;

    static final long MAX_SKIP_MICROS = 4_000_000;

    private static final class Skip {
        private long until;
        private long failedAt;
        private long skipMicros = MIN_SKIP_MICROS;
    }

    private record Edge(String address, String zone, long hash) {}

    /**
     * This edge's position among the edges that share the request rate of a service's servers.
     *
     * @param allFetch whether all edges fetch the service's objects
     * @param isFetcher whether this edge fetches them
     * @param index its position, from 0, among the fetchers if it is one, else among the other edges
     * @param count number of edges in that group
     */
    public record SharePosition(boolean allFetch, boolean isFetcher, int index, int count) {}

    private final String self;
    private final long selfHash;
    private final String zone;
    private List<Edge> edges = List.of();
    private Map<String, String> zoneByEdge = Map.of();
    /** The edges that fetch a service's objects, where not all do. */
    private final Map<String, Set<String>> fetchersByService = new HashMap<>();

    private final Map<String, SharePosition> positions = new HashMap<>();

    private final Map<String, Skip> skips = new HashMap<>();
    /** When each edge last answered. */
    private final Map<String, Long> answeredAt = new HashMap<>();

    private boolean skippedHigherRanked;

    /** Creates the selector of the edge with this address. */
    public HomeSelector(String self, String zone) {
        this.self = self;
        this.selfHash = Hash.of(self);
        this.zone = zone;
    }

    /** Sets all edges that are up, with their zones. */
    public void updateEdges(Map<String, String> edgeZones) {
        if (edgeZones.equals(zoneByEdge)) {
            return;
        }
        zoneByEdge = Map.copyOf(edgeZones);
        List<Edge> next = new ArrayList<>();
        zoneByEdge.forEach((address, edgeZone) -> next.add(new Edge(address, edgeZone, Hash.of(address))));
        edges = next;
        fetchersByService.clear();
        positions.clear();
        skips.keySet().retainAll(zoneByEdge.keySet());
        answeredAt.keySet().retainAll(zoneByEdge.keySet());
    }

    /** The number of edges, including this one. */
    public int edgeCount() {
        return Math.max(1, zoneByEdge.containsKey(self) ? zoneByEdge.size() : zoneByEdge.size() + 1);
    }

    /** Whether this edge is one of the {@code fetcherCount} edges that fetch a service's objects. */
    public boolean isFetcher(String service, int fetcherCount) {
        return fetcherCount >= edgeCount() || fetchers(service, fetcherCount).contains(self);
    }

    private List<String> rankedEdges(String service) {
        Set<String> all = new HashSet<>(zoneByEdge.keySet());
        all.add(self);
        return Hash.ranked("fetches " + service, all);
    }

    private Set<String> fetchers(String service, int fetcherCount) {
        Set<String> selected = fetchersByService.get(service);
        if (selected == null || selected.size() != Math.min(fetcherCount, edgeCount())) {
            List<String> all = rankedEdges(service);
            selected = new HashSet<>(all.subList(0, Math.min(fetcherCount, all.size())));
            fetchersByService.put(service, selected);
        }
        return selected;
    }

    /**
     * This edge's position if {@code fetcherCount} edges fetch a service's objects; edges with the same view agree.
     */
    public SharePosition sharePosition(String service, int fetcherCount) {
        int edges = edgeCount();
        int fetching = Math.max(1, Math.min(fetcherCount, edges));
        SharePosition position = positions.get(service);
        boolean same = position != null
                && (position.allFetch()
                        ? fetching == edges
                        : position.isFetcher() ? position.count() == fetching : position.count() == edges - fetching);
        if (!same) {
            int index = rankedEdges(service).indexOf(self);
            boolean fetches = index < fetching;
            position = fetches
                    ? new SharePosition(fetching == edges, true, index, fetching)
                    : new SharePosition(false, false, index - fetching, edges - fetching);
            positions.put(service, position);
        }
        return position;
    }

    /**
     * The home of a key as an address: this edge's own if it is the home itself or no other edge is up.
     *
     * @param zoned whether each zone has its own home: fewer bytes between zones, more fetches
     */
    public String homeOf(long now, String key, boolean zoned) {
        return homeOf(now, key, zoned, "", Integer.MAX_VALUE);
    }

    /** The home of a key among the {@code fetcherCount} edges that fetch a service's objects. */
    public String homeOf(long now, String key, boolean zoned, String service, int fetcherCount) {
        Set<String> fetchers = fetcherCount >= edgeCount() ? null : fetchers(service, fetcherCount);
        long keyHash = Hash.of(key);
        String best = self;
        long rank = fetchers == null || fetchers.contains(self) ? Hash.rank(keyHash, selfHash) : Long.MIN_VALUE;
        long skippedRank = Long.MIN_VALUE;
        for (Edge edge : edges) {
            long edgeRank = Hash.rank(keyHash, edge.hash);
            if (edgeRank > rank
                    && (!zoned || zone.equals(edge.zone))
                    && (fetchers == null || fetchers.contains(edge.address))
                    && !edge.address.equals(self)) {
                if (isSkipped(now, edge.address)) {
                    skippedRank = Math.max(skippedRank, edgeRank);
                } else {
                    best = edge.address;
                    rank = edgeRank;
                }
            }
        }
        skippedHigherRanked = skippedRank > rank;
        Skip trial = skips.get(best);
        if (trial != null) {
            trial.until = now + trial.skipMicros; // a trial request: all others still skip the edge until it answers
        }
        return best;
    }

    /** Whether the last selection skipped an edge with a higher rank. */
    public boolean skippedHigherRanked() {
        return skippedHigherRanked;
    }

    /** Whether an edge is skipped now. */
    boolean isSkipped(long now, String edge) {
        Skip skip = skips.get(edge);
        return skip != null && now < skip.until;
    }

    /**
     * Records that an edge did not answer a request of {@code requestedAt}. Returns false, without effect, if it has
     * answered another one since: it is slow, not silent.
     */
    public boolean recordFailure(long now, String edge, long requestedAt) {
        Long answered = answeredAt.get(edge);
        if (answered != null && answered > requestedAt) {
            return false;
        }
        Skip skip = skips.get(edge);
        if (skip == null) {
            skip = new Skip();
            skip.until = now + skip.skipMicros;
            skips.put(edge, skip);
        } else if (now - skip.failedAt > skip.skipMicros / 2) { // not a further timeout of the same outage
            skip.skipMicros = Math.min(MAX_SKIP_MICROS, 2 * skip.skipMicros);
            skip.until = now + skip.skipMicros;
        }
        skip.failedAt = now;
        return true;
    }

    /** Records that an edge answered; it is no longer skipped. */
    public void recordAnswer(long now, String edge) {
        skips.remove(edge);
        answeredAt.put(edge, now);
    }
}
