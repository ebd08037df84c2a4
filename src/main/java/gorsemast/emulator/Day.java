package gorsemast.emulator;

import java.util.List;

/**
 * What is done to a tier, second by second: the days on which a fleet is judged, each as a plan over a {@link Cluster}.
 *
 * <p>The tier warms up until {@link #WARM}, faults come from {@link #FAULT} on and are over at {@link #OVER}.
 */
public enum Day {
    /** No fault; a burst of half as much again, and traffic that shifts between zones. */
    CALM {
        @Override
        void plan(Cluster c) {
            at(c, FAULT, () -> c.workload.factor(1.5));
            at(c, FAULT + 3, () -> c.workload.shift(0, 1.6));
            at(c, OVER, () -> {
                c.workload.factor(1);
                c.workload.shift(0, 1);
            });
        }
    },
    /** Half of the nodes are replaced in steps while all proxies are restarted, a tenth at a time. */
    ROLL {
        @Override
        void plan(Cluster c) {
            replace(c, 0.5, FAULT, OVER - 3);
            for (int i = 0; i < c.settings.proxies(); i++) {
                SimulatedProxy proxy = c.proxies.get(i);
                at(c, FAULT + (OVER - FAULT) * (i * 10 / c.settings.proxies()) / 10.0, () -> proxy.restart(SECOND / 2));
            }
        }
    },
    /** A release; seven in ten proxies are killed at once while the register has too many callers. */
    HERD {
        @Override
        void plan(Cluster c) {
            bad(c, 8, 0.3, 1);
            replace(c, 0.4, FAULT, OVER);
            at(c, FAULT, () -> c.register.slower(2));
            at(c, FAULT + 1, () -> {
                for (SimulatedProxy proxy : c.proxies) {
                    if (proxy.number % 10 < 7) {
                        proxy.kill(SECOND / 2 + c.random().nextLong(SECOND));
                    }
                }
            });
            at(c, OVER, () -> c.register.slower(1));
        }
    },
    /** A zone is lost for 5 s and comes back cold; another is cut off from the third; one node of eight is slow. */
    ZONE {
        @Override
        void plan(Cluster c) {
            bad(c, 8, 0, 3);
            List<CacheNode> zone =
                    c.serving().stream().filter(node -> node.zone == 0).toList();
            at(c, FAULT, () -> zone.forEach(c::crash));
            at(c, FAULT + 1, () -> c.cut(1, 2, true));
            at(c, FAULT + 5, () -> zone.forEach(c::back));
            at(c, OVER, () -> c.cut(1, 2, false));
        }
    },
    /** For 6 s a zone is cut off from the others; lists come late; answers get lost and connections break. */
    SPLIT {
        @Override
        void plan(Cluster c) {
            at(c, FAULT, () -> {
                c.cut(0, 1, true);
                c.cut(0, 2, true);
                c.register.slower(2);
                c.disturb(0.02, 0.03);
            });
            at(c, FAULT + 6, () -> {
                c.cut(0, 1, false);
                c.cut(0, 2, false);
            });
            at(c, OVER, () -> {
                c.register.slower(1);
                c.disturb(0, 0);
            });
        }
    },
    /** Six in ten nodes are replaced within 7 s; one in eight fails; clients give up early or come again at once. */
    JOIN {
        @Override
        void plan(Cluster c) {
            bad(c, 8, 0.2, 1);
            replace(c, 0.6, FAULT, FAULT + 7);
            at(c, FAULT, () -> c.workload.impatient(0.1));
            at(c, OVER, () -> c.workload.impatient(0));
        }
    };

    /** From here on the share served counts as usual, in seconds since the start. */
    public static final int WARM = 6;
    /** When the faults begin. */
    public static final int FAULT = 12;
    /** When all is as before. */
    public static final int OVER = 22;
    /** When the day ends. */
    public static final int SECONDS = 34;
    /** Service is back where it serves this part of the share before the faults, and goes on to. */
    public static final double BACK = 0.9;

    private static final long SECOND = 1_000_000;
    private static final double STEP = 0.5;

    abstract void plan(Cluster cluster);

    static void at(Cluster cluster, double second, Runnable run) {
        cluster.time.after((long) (second * SECOND), run);
    }

    private static void replace(Cluster cluster, double part, double from, double until) {
        List<CacheNode> old = cluster.serving();
        int many = (int) (part * old.size());
        int steps = (int) Math.max(1, (until - from) / STEP);
        for (int i = 0; i < many; i++) {
            CacheNode node = old.get(i);
            at(cluster, from + (until - from) * Math.floorDiv(i * steps, many) / steps, () -> cluster.replace(node));
        }
    }

    /** One in so many nodes fails at that rate, or is so many times as slow, while the faults last. */
    private static void bad(Cluster cluster, int oneIn, double errors, double slower) {
        List<CacheNode> nodes = cluster.serving();
        for (int i = nodes.size() - 1; i >= 0; i -= oneIn) {
            CacheNode node = nodes.get(i);
            at(cluster, FAULT, () -> node.spoil(errors, slower));
            at(cluster, OVER, () -> node.spoil(0, 1));
        }
    }
}
