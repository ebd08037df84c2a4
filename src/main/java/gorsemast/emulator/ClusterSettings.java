package gorsemast.emulator;

import anisebend.Balancer;
import anisebend.Balancer.Effect;
import anisebend.Balancer.Group;
import java.util.List;

/**
 * The sizes of an emulated tier. Times in microseconds, rates a second.
 *
 * @param load the part of all nodes' warm capacity that is asked for
 * @param workMicros what a request takes a node's hand in the mean
 * @param crossMicros one way between zones; {@code nearMicros} within one
 * @param nodeConnections places for connections at a node
 * @param registerCalls answers that the register gives a second; a whole list counts {@code wholeListCalls} of them
 * @param noticeMicros how long the register takes to notice that a node has died
 * @param skew how unevenly the traffic falls on the proxies: the standard deviation of the logarithm
 * @param missHolds whether a read that waits for the ledger keeps its node's hand
 * @param seed from which everything is drawn
 */
public record ClusterSettings(
        int proxies,
        int nodes,
        int zones,
        double load,
        long workMicros,
        long nearMicros,
        long crossMicros,
        long handshakeMicros,
        int nodeHands,
        int nodeRow,
        int nodeConnections,
        int proxyConnections,
        int proxyPlaces,
        double hits,
        long keepMicros,
        double coldShare,
        long coldMicros,
        double registerCalls,
        double wholeListCalls,
        long noticeMicros,
        int keys,
        double zipf,
        double skew,
        boolean missHolds,
        long seed) {
    private static final long MILLI = 1_000;
    /** Classes as an installation of card readers has them: balance, history, top-up, transfer. */
    static final List<Balancer.RequestClass> CLASSES = List.of(
            new Balancer.RequestClass(Effect.SAFE, Group.ALL, 0, 600 * MILLI, 2_500 * MILLI, 1),
            new Balancer.RequestClass(Effect.SAFE, Group.ALL, 0, 1_500 * MILLI, 6_000 * MILLI, 1),
            new Balancer.RequestClass(Effect.UNSAFE, Group.ALL, 0, 1_200 * MILLI, 3_000 * MILLI, 10),
            new Balancer.RequestClass(Effect.KEYED, Group.ALL, 2_000 * MILLI, 1_500 * MILLI, 3_000 * MILLI, 2));
    /** Their shares of all requests. */
    static final double[] SHARES = {0.62, 0.30, 0.045, 0.035};
    /** What a late answer is worth, of the class's worth. */
    static final double LATE_WORTH = 0.2;

    static final List<Balancer.Tenant> TENANTS = List.of(
            new Balancer.Tenant(0.56, 1e6),
            new Balancer.Tenant(0.21, 1e6),
            new Balancer.Tenant(0.15, 1e6),
            new Balancer.Tenant(0.08, 1e6));
    private static final long ASK_WITHIN = 10_000 * MILLI;

    /** An installation of that size with usual figures. */
    public static ClusterSettings of(int proxies, int nodes, long seed) {
        if (proxies < 1 || nodes < 3) {
            throw new IllegalArgumentException("at least 1 proxy and 3 nodes, not " + proxies + " and " + nodes);
        }
        return new ClusterSettings(
                proxies,
                nodes,
                3,
                0.45,
                110 * MILLI,
                200,
                15 * MILLI,
                2 * MILLI,
                3,
                9,
                40 + 4 * proxies / 3,
                256,
                128,
                0.85,
                9_000 * MILLI,
                0.45,
                6_000 * MILLI,
                0.6 * proxies,
                3,
                3_000 * MILLI,
                7 * nodes,
                1.05,
                0.7,
                false,
                seed);
    }

    /** The same with another share of the capacity asked for. */
    public ClusterSettings load(double part) {
        return new ClusterSettings(
                proxies,
                nodes,
                zones,
                part,
                workMicros,
                nearMicros,
                crossMicros,
                handshakeMicros,
                nodeHands,
                nodeRow,
                nodeConnections,
                proxyConnections,
                proxyPlaces,
                hits,
                keepMicros,
                coldShare,
                coldMicros,
                registerCalls,
                wholeListCalls,
                noticeMicros,
                keys,
                zipf,
                skew,
                missHolds,
                seed);
    }

    /** The same, where a read that waits for the ledger keeps its node's hand. */
    public ClusterSettings holdingMisses() {
        return new ClusterSettings(
                proxies,
                nodes,
                zones,
                load,
                workMicros,
                nearMicros,
                crossMicros,
                handshakeMicros,
                nodeHands,
                nodeRow,
                nodeConnections,
                proxyConnections,
                proxyPlaces,
                hits,
                keepMicros,
                coldShare,
                coldMicros,
                registerCalls,
                wholeListCalls,
                noticeMicros,
                keys,
                zipf,
                skew,
                true,
                seed);
    }

    /** Requests a second over all proxies. */
    double rate() {
        return load * nodes * nodeHands * 1e6 / workMicros;
    }

    /** What one proxy's module is told at its start. */
    Balancer.Settings module(int zone) {
        return new Balancer.Settings(
                proxies,
                zone,
                -1,
                CLASSES,
                TENANTS,
                0.1,
                6,
                true,
                false,
                true,
                2_000 * MILLI,
                true,
                ASK_WITHIN,
                coldShare,
                coldMicros,
                0,
                0,
                0);
    }

    static long askWithin() {
        return ASK_WITHIN;
    }
}
