package gorsemast.dispatch;

import gorsemast.gossip.Hash;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * How many edges share one service's servers, and what follows for each: which servers it keeps connections to, how many to
 * each, and, of a service whose objects are held, which edges fetch them at all.
 *
 * <p><b>Idea.</b> A server takes so many connections from all callers together and resets what is beyond. Where each edge can
 * have {@link #USEFUL_CONNECTIONS} with every server, nothing is divided. Else each goes to as many servers as leave that many to it, named
 * by rendezvous, and another takes the place of one that leaves. Objects are fetched by their homes: each further edge on the way is a
 * queue, a narrow link and a time limit of its own. Only where connections, or the rate that servers bear, are too little for all does
 * a part of the edges fetch for all homes, again by rendezvous. All edges that know the same of machines and servers come to the same.
 *
 * <p><b>When it could hurt.</b> Edges that disagree on who is there go to more servers for a while than their parts allow.
 *
 * @param edges that share the servers
 * @param servers that may be sent to
 * @param connectionsPerServer connections that one server takes from all together
 * @param ownConnections connections to servers that this edge may have for this service
 */
public record EdgeSharing(int edges, int servers, int connectionsPerServer, int ownConnections) {
    /** Connections with one server that make its use worth while: one in use and one coming free. */
    static final int USEFUL_CONNECTIONS = 2;
    /** With fewer servers than this an edge would have too little choice when they fail. */
    static final int MIN_SERVERS = 3;
    /** An edge that fetches needs so many fetches a second: with less its rights within a window are too few to be of use. */
    static final double MIN_FETCHES_PER_SECOND = 1;
    /** Connections to fetch by end with their answers: a fraction is open at a time, so more edges may have one than fit. */
    static final double FETCHERS_PER_CONNECTION = 2;

    /** How many servers this edge goes to. */
    public int serverCount() {
        double all = (double) servers * connectionsPerServer / (USEFUL_CONNECTIONS * (double) Math.max(1, edges));
        int byRule = (int) Math.min(servers, Math.max(MIN_SERVERS, all));
        return Math.max(1, Math.min(byRule, Math.max(MIN_SERVERS, ownConnections)));
    }

    /** How many connections this edge may have to each of them. */
    public int connectionShare() {
        double users = Math.max(1, (double) edges * serverCount() / Math.max(1, servers));
        return (int) Math.max(1, Math.min(Integer.MAX_VALUE, connectionsPerServer / users));
    }

    /** How many edges fetch objects from servers that bear {@code perSecond} requests. */
    public static int fetcherCount(int edges, int most, double perSecond) {
        double byConnections = Math.max(1, FETCHERS_PER_CONNECTION * most);
        double byRate = Math.max(1, perSecond / MIN_FETCHES_PER_SECOND);
        return (int) Math.max(Math.min(2, edges), Math.min(edges, Math.min(byConnections, byRate)));
    }

    /** The servers that the edge with this name goes to, out of those that may be sent to. */
    public static List<String> chosenServers(String edge, Collection<String> servers, int count) {
        return count >= servers.size()
                ? new ArrayList<>(servers)
                : Hash.ranked(edge, servers).subList(0, count);
    }
}
