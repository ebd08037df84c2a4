package gorsemast.proxy;

import gorsemast.admission.ConcurrencyLimiter;

/**
 * How an edge divides its sockets between all who want some.
 *
 * <p>Where there are hundreds, each has what it may want. Where there are a few tens or less, links are fewer (one registry
 * tells all the news), connections between edges end with their answers, and clients have the largest part: each
 * holds a place for as long as its request takes, and those beyond wait in the system's queue.
 *
 * @param registries it keeps links to
 * @param watched other edges that it keeps links to
 * @param servers connections to servers
 * @param between connections to other edges for objects
 * @param asked connections of other edges for objects
 * @param clients connections of clients
 */
record SocketBudget(int registries, int watched, int servers, int between, int asked, int clients) {
    private static final int MANY = 128;
    /** Of the rest, questions out and servers have three such parts each and questions in two; clients have what is left. */
    private static final int PARTS = 14;

    /** Of clients' sockets, where they are few, so many are for what takes no time: answers at hand, and refusals. */
    private static final int TURNING = 1;
    /** Listeners for clients, probes and objects, a probe, a link being dialled anew. */
    private static final int FIXED = 5;

    /** Divides so many sockets. */
    static SocketBudget of(int sockets) {
        if (sockets >= MANY) {
            int links = 2 + 2 + 16;
            int servers = sockets / 3;
            int between = sockets / 6;
            return new SocketBudget(
                    2, 2, servers, between, sockets / 6, sockets - links - servers - 2 * between - FIXED);
        }
        int left = Math.max(8, sockets - FIXED - 1);
        int between = Math.max(2, left * 3 / PARTS);
        int asked = Math.max(2, left * 2 / PARTS);
        int servers = Math.max(2, left * 3 / PARTS);
        return new SocketBudget(1, 0, servers, between, asked, Math.max(2, left - between - asked - servers));
    }

    /** How many requests that take time may be in hand for clients. */
    int inHand() {
        return keeps() ? ConcurrencyLimiter.UNBOUNDED : Math.max(1, clients - TURNING);
    }

    /** How many requests may wait for such a place; each keeps a socket from turning others round. */
    int waiting() {
        return TURNING;
    }

    /** Whether connections between edges are kept for the next request. */
    boolean keeps() {
        return watched > 0;
    }
}
