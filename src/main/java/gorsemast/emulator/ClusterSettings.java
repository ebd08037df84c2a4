package gorsemast.emulator;

import anisebend.Balancer;
import anisebend.Balancer.Effect;
import anisebend.Balancer.Group;
import java.util.List;

/**
 * Settings of a simulated tier. Times in microseconds, rates per second.
 *
 * @param load requested share of the warm capacity of all nodes
 * @param workMicros mean service time of a request at a node
 * @param crossZoneMicros one way between zones; {@code sameZoneMicros} within one
 * @param nodeConnections connection slots of a node
 * @param discoveryCallsPerSecond responses per second of the discovery service; a full list costs {@code fullListCost} of them
 * @param failureDetectionMicros time until the discovery service notices that a node has died
 * @param skew unevenness of traffic over proxies: standard deviation of the logarithm
 * @param missHoldsWorker whether a read that waits for the origin occupies a worker of its node
 * @param seed seed of all random draws
 */
public record ClusterSettings(
        int proxies,
        int nodes,
        int zones,
        double load,
        long workMicros,
        long sameZoneMicros,
        long crossZoneMicros,
        long handshakeMicros,
        int nodeWorkers,
        int nodeQueue,
        int nodeConnections,
        int proxyConnections,
        int proxySlots,
        double hitShare,
        long cacheTtlMicros,
        double coldShare,
        long coldMicros,
        double discoveryCallsPerSecond,
        double fullListCost,
        long failureDetectionMicros,
        int keys,
        double zipf,
        double skew,
        boolean missHoldsWorker,
        long seed) {
    private static final long MILLI = 1_000;
    /** Request classes of a card-reader installation: balance, history, top-up, transfer. */
    static final List<Balancer.RequestClass> CLASSES = List.of(
            new Balancer.RequestClass(Effect.SAFE, Group.ALL, 0, 600 * MILLI, 2_500 * MILLI, 1),
            new Balancer.RequestClass(Effect.SAFE, Group.ALL, 0, 1_500 * MILLI, 6_000 * MILLI, 1),
            new Balancer.RequestClass(Effect.UNSAFE, Group.ALL, 0, 1_200 * MILLI, 3_000 * MILLI, 10),
            new Balancer.RequestClass(Effect.KEYED, Group.ALL, 2_000 * MILLI, 1_500 * MILLI, 3_000 * MILLI, 2));
    /** Share of each class among all requests. */
    static final double[] SHARES = {0.62, 0.30, 0.045, 0.035};
    /** Value of a late response relative to one in time. */
    static final double LATE_WORTH = 0.2;

    static final List<Balancer.Tenant> TENANTS = List.of(
            new Balancer.Tenant(0.56, 1e6),
            new Balancer.Tenant(0.21, 1e6),
            new Balancer.Tenant(0.15, 1e6),
            new Balancer.Tenant(0.08, 1e6));
    private static final long LIST_CALL_INTERVAL = 10_000 * MILLI;

    /** Returns settings for an installation of that size with typical values. */
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

    /** Returns these settings with another load. */
    public ClusterSettings withLoad(double newLoad) {
        return new ClusterSettings(
                proxies,
                nodes,
                zones,
                newLoad,
                workMicros,
                sameZoneMicros,
                crossZoneMicros,
                handshakeMicros,
                nodeWorkers,
                nodeQueue,
                nodeConnections,
                proxyConnections,
                proxySlots,
                hitShare,
                cacheTtlMicros,
                coldShare,
                coldMicros,
                discoveryCallsPerSecond,
                fullListCost,
                failureDetectionMicros,
                keys,
                zipf,
                skew,
                missHoldsWorker,
                seed);
    }

    /** Returns these settings with reads that occupy a worker while they wait for the origin. */
    public ClusterSettings withMissesHoldingWorkers() {
        return new ClusterSettings(
                proxies,
                nodes,
                zones,
                load,
                workMicros,
                sameZoneMicros,
                crossZoneMicros,
                handshakeMicros,
                nodeWorkers,
                nodeQueue,
                nodeConnections,
                proxyConnections,
                proxySlots,
                hitShare,
                cacheTtlMicros,
                coldShare,
                coldMicros,
                discoveryCallsPerSecond,
                fullListCost,
                failureDetectionMicros,
                keys,
                zipf,
                skew,
                true,
                seed);
    }

    /** Requests per second over all proxies. */
    double requestsPerSecond() {
        return load * nodes * nodeWorkers * 1e6 / workMicros;
    }

    /** Settings of the decision module of a proxy in this zone. */
    Balancer.Settings moduleSettings(int zone) {
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
                LIST_CALL_INTERVAL,
                coldShare,
                coldMicros,
                0,
                0,
                0);
    }

    static long listCallInterval() {
        return LIST_CALL_INTERVAL;
    }
}
