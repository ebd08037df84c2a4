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
 * have {@link #EACH} with every server, nothing is divided. Else each goes to as many servers as leave that many to it, named
 * by rendezvous, and another takes the place of one that leaves. Objects are fetched by their homes: each further edge on the way is a
 * queue, a narrow link and a time limit of its own. Only where connections, or the rate that servers bear, are too little for all does
 * a part of the edges fetch for all homes, again by rendezvous. All edges that know the same of machines and servers come to the same.
 *
 * <p><b>When it could hurt.</b> Edges that disagree on who is there go to more servers for a while than their parts allow.
 *
 * @param edges that share the servers
 * @param servers that may be sent to
 * @param most connections that one server takes from all together
 * @param own connections to servers that this edge may have for this service
 */
public record Crowd(int edges, int servers, int most, int own) {
    /** Connections with one server that make its use worth while: one in use and one coming free. */
    static final int EACH = 2;
    /** With fewer servers than this an edge would have too little choice when they fail. */
    static final int LEAST_SERVERS = 3;
    /** An edge that fetches needs so many fetches a second: with less its rights within a window are too few to be of use. */
    static final double LEAST_RATE = 1;
    /** Connections to fetch by end with their answers: a fraction is open at a time, so more edges may have one than fit. */
    static final double SELDOM_OPEN = 2;

    /** How many servers this edge goes to. */
    public int reach() {
        double all = (double) servers * most / (EACH * (double) Math.max(1, edges));
        int byRule = (int) Math.min(servers, Math.max(LEAST_SERVERS, all));
        return Math.max(1, Math.min(byRule, Math.max(LEAST_SERVERS, own)));
    }

    /** How many connections this edge may have to each of them. */
    public int part() {
        double users = Math.max(1, (double) edges * reach() / Math.max(1, servers));
        return (int) Math.max(1, Math.min(Integer.MAX_VALUE, most / users));
    }

    /** How many edges fetch objects from servers that bear {@code perSecond} requests. */
    public static int homes(int edges, int most, double perSecond) {
        double byConnections = Math.max(1, SELDOM_OPEN * most);
        double byRate = Math.max(1, perSecond / LEAST_RATE);
        return (int) Math.max(Math.min(2, edges), Math.min(edges, Math.min(byConnections, byRate)));
    }

    /** The servers that the edge with this name goes to, out of those that may be sent to. */
    public static List<String> chosen(String edge, Collection<String> servers, int count) {
        return count >= servers.size()
                ? new ArrayList<>(servers)
                : Hash.ranked(edge, servers).subList(0, count);
    }
}
