package gorsemast.proxy;

import gorsemast.admission.ConcurrencyLimiter;

/**
 * Divides an edge's sockets between their uses.
 *
 * <p>With hundreds of sockets, each use gets what it may want. With a few tens or less, there are fewer links (one
 * registry supplies all updates), connections between edges are closed after each response, and clients get the
 * largest share: each holds a slot while its request is in progress, and further clients wait in the system's accept
 * queue.
 *
 * @param registries links to registries
 * @param linkedEdges links to other edges
 * @param servers connections to servers
 * @param outboundEdges connections to other edges for objects
 * @param inboundEdges connections of other edges for objects
 * @param clients client connections
 */
record SocketBudget(int registries, int linkedEdges, int servers, int outboundEdges, int inboundEdges, int clients) {
    private static final int PLENTY = 128;
    /**
     * When sockets are few: outbound edge connections and servers get three shares each, inbound edge connections
     * two, clients the rest.
     */
    private static final int SHARES = 14;

    /** Client sockets reserved, when they are few, for quick responses: cached objects and refusals. */
    private static final int QUICK_RESPONSE_SOCKETS = 1;
    /** Listeners for clients, probes and objects, one probe, and one link being reconnected. */
    private static final int FIXED_SOCKETS = 5;

    /** Divides the given number of sockets. */
    static SocketBudget of(int sockets) {
        if (sockets >= PLENTY) {
            int links = 2 + 2 + 16;
            int servers = sockets / 3;
            int outbound = sockets / 6;
            return new SocketBudget(
                    2, 2, servers, outbound, sockets / 6, sockets - links - servers - 2 * outbound - FIXED_SOCKETS);
        }
        int left = Math.max(8, sockets - FIXED_SOCKETS - 1);
        int outbound = Math.max(2, left * 3 / SHARES);
        int inbound = Math.max(2, left * 2 / SHARES);
        int servers = Math.max(2, left * 3 / SHARES);
        return new SocketBudget(1, 0, servers, outbound, inbound, Math.max(2, left - outbound - inbound - servers));
    }

    /** How many client requests that take time may be in progress. */
    int maxConcurrentRequests() {
        return keepsConnections() ? ConcurrencyLimiter.UNBOUNDED : Math.max(1, clients - QUICK_RESPONSE_SOCKETS);
    }

    /** How many requests may wait for such a slot; each occupies a socket that could serve quick responses. */
    int maxQueuedRequests() {
        return QUICK_RESPONSE_SOCKETS;
    }

    /** Whether connections between edges are kept for the next request. */
    boolean keepsConnections() {
        return linkedEdges > 0;
    }
}
