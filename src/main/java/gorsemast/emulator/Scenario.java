package gorsemast.emulator;

import java.util.List;

/**
 * Fault scenarios by which a fleet is evaluated; each schedules its faults on a {@link Cluster}.
 *
 * <p>The tier warms up until {@link #WARM_SECOND}; faults begin at {@link #FAULTS_BEGIN} and end at {@link #FAULTS_END}.
 */
public enum Scenario {
    /** No faults; a traffic burst of 1.5 times the usual load, and traffic that shifts between zones. */
    CALM {
        @Override
        void schedule(Cluster c) {
            at(c, FAULTS_BEGIN, () -> c.workload.setLoadFactor(1.5));
            at(c, FAULTS_BEGIN + 3, () -> c.workload.setZoneFactor(0, 1.6));
            at(c, FAULTS_END, () -> {
                c.workload.setLoadFactor(1);
                c.workload.setZoneFactor(0, 1);
            });
        }
    },
    /** Half of the nodes are replaced step by step while all proxies restart, a tenth at a time. */
    ROLL {
        @Override
        void schedule(Cluster c) {
            replaceNodes(c, 0.5, FAULTS_BEGIN, FAULTS_END - 3);
            for (int i = 0; i < c.settings.proxies(); i++) {
                SimulatedProxy proxy = c.proxies.get(i);
                at(
                        c,
                        FAULTS_BEGIN + (FAULTS_END - FAULTS_BEGIN) * (i * 10 / c.settings.proxies()) / 10.0,
                        () -> proxy.restart(SECOND / 2));
            }
        }
    },
    /** A release in which seven of ten proxies are killed at once while the discovery service is overloaded. */
    HERD {
        @Override
        void schedule(Cluster c) {
            degradeNodes(c, 8, 0.3, 1);
            replaceNodes(c, 0.4, FAULTS_BEGIN, FAULTS_END);
            at(c, FAULTS_BEGIN, () -> c.discovery.setSlowdown(2));
            at(c, FAULTS_BEGIN + 1, () -> {
                for (SimulatedProxy proxy : c.proxies) {
                    if (proxy.number % 10 < 7) {
                        proxy.kill(SECOND / 2 + c.random().nextLong(SECOND));
                    }
                }
            });
            at(c, FAULTS_END, () -> c.discovery.setSlowdown(1));
        }
    },
    /** One zone fails for 5 s and restarts cold; the other two are cut off from each other; one node in eight is slow. */
    ZONE {
        @Override
        void schedule(Cluster c) {
            degradeNodes(c, 8, 0, 3);
            List<CacheNode> zone =
                    c.serving().stream().filter(node -> node.zone == 0).toList();
            at(c, FAULTS_BEGIN, () -> zone.forEach(c::crash));
            at(c, FAULTS_BEGIN + 1, () -> c.partition(1, 2, true));
            at(c, FAULTS_BEGIN + 5, () -> zone.forEach(c::restore));
            at(c, FAULTS_END, () -> c.partition(1, 2, false));
        }
    },
    /** One zone is cut off for 6 s; node lists arrive late; responses are lost and connections break. */
    SPLIT {
        @Override
        void schedule(Cluster c) {
            at(c, FAULTS_BEGIN, () -> {
                c.partition(0, 1, true);
                c.partition(0, 2, true);
                c.discovery.setSlowdown(2);
                c.degradeNetwork(0.02, 0.03);
            });
            at(c, FAULTS_BEGIN + 6, () -> {
                c.partition(0, 1, false);
                c.partition(0, 2, false);
            });
            at(c, FAULTS_END, () -> {
                c.discovery.setSlowdown(1);
                c.degradeNetwork(0, 0);
            });
        }
    },
    /** Six of ten nodes are replaced within 7 s; one in eight returns errors; clients give up early and retry at once. */
    JOIN {
        @Override
        void schedule(Cluster c) {
            degradeNodes(c, 8, 0.2, 1);
            replaceNodes(c, 0.6, FAULTS_BEGIN, FAULTS_BEGIN + 7);
            at(c, FAULTS_BEGIN, () -> c.workload.setImpatientShare(0.1));
            at(c, FAULTS_END, () -> c.workload.setImpatientShare(0));
        }
    };

    /** Second from which the served share counts as the normal level. */
    public static final int WARM_SECOND = 6;
    /** Second at which the faults begin. */
    public static final int FAULTS_BEGIN = 12;
    /** Second at which all faults have ended. */
    public static final int FAULTS_END = 22;
    /** Length of a run in seconds. */
    public static final int SECONDS = 34;
    /** Service has recovered when it reaches this part of the share served before the faults, and keeps to it. */
    public static final double RECOVERED_SHARE = 0.9;

    private static final long SECOND = 1_000_000;
    private static final double REPLACE_STEP_SECONDS = 0.5;

    abstract void schedule(Cluster cluster);

    static void at(Cluster cluster, double second, Runnable run) {
        cluster.time.after((long) (second * SECOND), run);
    }

    private static void replaceNodes(Cluster cluster, double part, double from, double until) {
        List<CacheNode> old = cluster.serving();
        int many = (int) (part * old.size());
        int steps = (int) Math.max(1, (until - from) / REPLACE_STEP_SECONDS);
        for (int i = 0; i < many; i++) {
            CacheNode node = old.get(i);
            at(cluster, from + (until - from) * Math.floorDiv(i * steps, many) / steps, () -> cluster.replace(node));
        }
    }

    /** Makes one in {@code oneIn} nodes return errors or respond slowly while the faults last. */
    private static void degradeNodes(Cluster cluster, int oneIn, double errors, double slower) {
        List<CacheNode> nodes = cluster.serving();
        for (int i = nodes.size() - 1; i >= 0; i -= oneIn) {
            CacheNode node = nodes.get(i);
            at(cluster, FAULTS_BEGIN, () -> node.degrade(errors, slower));
            at(cluster, FAULTS_END, () -> node.degrade(0, 1));
        }
    }
}
