package gorsemast.dispatch;

import gorsemast.gossip.Hash;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Divides one service's servers among the edges: which servers an edge keeps connections to, how many to each, and,
 * for a service with cached objects, which edges fetch them at all.
 *
 * <p>A server accepts a limited number of connections from all callers together and resets any beyond it. If each
 * edge can have {@link #USEFUL_CONNECTIONS} with every server, nothing is divided. Otherwise each edge uses as many
 * servers as leave it that many connections, chosen by rendezvous hashing; a server that leaves is replaced by
 * another. Objects are fetched by their homes, as each further edge on the path adds a queue, a narrow link and a
 * timeout of its own. Only where connections or the servers' rate are too few for all edges do some of them fetch for
 * all homes, again chosen by rendezvous hashing. Edges with the same view of edges and servers choose the same.
 *
 * <p>Edges that disagree on which edges are up use more servers for a while than their shares allow.
 *
 * @param edges number of edges that share the servers
 * @param servers number of servers that accept new requests
 * @param connectionsPerServer connections that one server accepts from all edges together
 * @param ownConnections connections to this service's servers that this edge may have
 */
public record EdgeSharing(int edges, int servers, int connectionsPerServer, int ownConnections) {
    /** Connections that make using a server worthwhile: one in use and one becoming free. */
    static final int USEFUL_CONNECTIONS = 2;
    /** With fewer servers than this an edge would have too little choice when some fail. */
    static final int MIN_SERVERS = 3;
    /** A fetcher needs at least this rate: with less, its permits per window are too few to be useful. */
    static final double MIN_FETCHES_PER_SECOND = 1;
    /**
     * Connections for fetches close after the answer, so only some are open at a time and more edges than connections
     * may fetch.
     */
    static final double FETCHERS_PER_CONNECTION = 2;

    /** How many servers this edge uses. */
    public int serverCount() {
        double affordable =
                (double) servers * connectionsPerServer / (USEFUL_CONNECTIONS * (double) Math.max(1, edges));
        int wanted = (int) Math.min(servers, Math.max(MIN_SERVERS, affordable));
        return Math.max(1, Math.min(wanted, Math.max(MIN_SERVERS, ownConnections)));
    }

    /** How many connections this edge may have to each of them. */
    public int connectionShare() {
        double edgesPerServer = Math.max(1, (double) edges * serverCount() / Math.max(1, servers));
        return (int) Math.max(1, Math.min(Integer.MAX_VALUE, connectionsPerServer / edgesPerServer));
    }

    /** How many edges fetch objects from servers that accept {@code serverRatePerSecond} requests per second. */
    public static int fetcherCount(int edges, int connectionsPerServer, double serverRatePerSecond) {
        double byConnections = Math.max(1, FETCHERS_PER_CONNECTION * connectionsPerServer);
        double byRate = Math.max(1, serverRatePerSecond / MIN_FETCHES_PER_SECOND);
        return (int) Math.max(Math.min(2, edges), Math.min(edges, Math.min(byConnections, byRate)));
    }

    /** The servers that this edge uses, out of those that accept new requests. */
    public static List<String> chosenServers(String edge, Collection<String> servers, int count) {
        return count >= servers.size()
                ? new ArrayList<>(servers)
                : Hash.ranked(edge, servers).subList(0, count);
    }
}
