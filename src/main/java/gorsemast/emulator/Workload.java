package gorsemast.emulator;

import anisebend.Balancer.Effect;
import anisebend.Balancer.RequestClass;
import gorsemast.emulator.Tally.Count;
import java.util.SplittableRandom;

/**
 * The clients: an open stream to each proxy, uneven over the proxies, of keys by Zipf's law; who is refused comes again.
 *
 * <p>Each proxy has clients of its own, who go to others only once a front has noticed that it is dead. Poisson arrivals,
 * lognormal work. O(1) a request but for the draw of a key, O(log keys).
 */
final class Workload {
    /** One try of a client. */
    static final class Ask {
        final String id;
        final int type;
        final int tenant;
        final String key;
        final long took;
        final long firstAt;
        final long deadline;
        final int tries;
        final SimulatedProxy own;
        boolean over;

        Ask(
                String id,
                int type,
                int tenant,
                String key,
                long took,
                long firstAt,
                long deadline,
                int tries,
                SimulatedProxy own) {
            this.id = id;
            this.type = type;
            this.tenant = tenant;
            this.key = key;
            this.took = took;
            this.firstAt = firstAt;
            this.deadline = deadline;
            this.tries = tries;
            this.own = own;
        }

        RequestClass rules() {
            return ClusterSettings.CLASSES.get(type);
        }
    }

    private static final int MOST_TRIES = 3;
    private static final long BACK_OFF_MICROS = 100_000;
    private static final double HONOURS = 0.25;
    private static final double WORK_CV = 1;

    private final Cluster cluster;
    private final VirtualTime time;
    private final ClusterSettings settings;
    private final SplittableRandom random;
    private final double[] shares;
    private final double[] keys;
    private final double[] zones;
    private double factor = 1;
    private double leave;
    private long sequence;
    private boolean ended;

    Workload(Cluster cluster, SplittableRandom random) {
        this.cluster = cluster;
        this.time = cluster.time;
        this.settings = cluster.settings;
        this.random = random;
        shares = new double[settings.proxies()];
        double sum = 0;
        for (int i = 0; i < shares.length; i++) {
            shares[i] = Math.exp(settings.skew() * random.nextGaussian());
            sum += shares[i];
        }
        for (int i = 0; i < shares.length; i++) {
            shares[i] /= sum;
        }
        zones = new double[settings.zones()];
        java.util.Arrays.fill(zones, 1);
        keys = new double[settings.keys()];
        double total = 0;
        for (int i = 0; i < keys.length; i++) {
            total += Math.pow(i + 3, -settings.zipf());
            keys[i] = total;
        }
    }

    void begin() {
        cluster.proxies.forEach(this::next);
    }

    /** No further request comes. */
    void end() {
        ended = true;
    }

    /** So many times the usual traffic from now on. */
    void factor(double times) {
        factor = times;
    }

    /** So many times the usual traffic of one zone from now on. */
    void shift(int zone, double times) {
        zones[zone] = times;
    }

    /** Of all clients so many leave before half of their time is over, from now on. */
    void impatient(double part) {
        leave = part;
    }

    private void next(SimulatedProxy proxy) {
        double rate = settings.rate() * shares[proxy.number] * factor * zones[proxy.zone];
        time.after((long) (-Math.log(1 - random.nextDouble()) * 1e6 / rate), () -> {
            if (!ended) {
                fresh(proxy);
                next(proxy);
            }
        });
    }

    private void fresh(SimulatedProxy proxy) {
        double draw = random.nextDouble();
        int type = 0;
        while (type < ClusterSettings.SHARES.length - 1 && (draw -= ClusterSettings.SHARES[type]) >= 0) {
            type++;
        }
        int at = java.util.Arrays.binarySearch(keys, random.nextDouble() * keys[keys.length - 1]);
        String key = "k" + (at < 0 ? -at - 1 : at);
        double sigma = Math.sqrt(Math.log(1 + WORK_CV * WORK_CV));
        long took = (long) (settings.workMicros() * Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2));
        draw = random.nextDouble();
        int tenant = 0;
        while (tenant < ClusterSettings.TENANTS.size() - 1
                && (draw -= ClusterSettings.TENANTS.get(tenant).share()) >= 0) {
            tenant++;
        }
        cluster.tally.asked(time.now(), ClusterSettings.CLASSES.get(type).importance());
        ask(type, tenant, key, took, time.now(), 1, proxy);
    }

    private void ask(int type, int tenant, String key, long took, long firstAt, int tries, SimulatedProxy own) {
        long deadline = time.now() + ClusterSettings.CLASSES.get(type).deadline();
        Ask ask = new Ask("q" + sequence++, type, tenant, key, took, firstAt, deadline, tries, own);
        SimulatedProxy to = cluster.front(own);
        if (to == null || !to.take(ask)) {
            cluster.tally.add(time.now(), Count.UNREACHED);
            again(ask, 0);
            return;
        }
        if (random.nextDouble() < leave) {
            time.after(ask.rules().targetLatency() / 2, () -> {
                if (!ask.over) {
                    ask.over = true;
                    cluster.tally.add(time.now(), Count.LEFT);
                    to.left(ask);
                    again(ask, 0);
                }
            });
        }
        long life = to.life();
        time.after(deadline - time.now() + Referee.SLACK_MICROS, () -> {
            if (!ask.over && to.life() == life) {
                cluster.referee.unanswered(time.now(), ask.id);
                ask.over = true;
            }
        });
    }

    void served(Ask ask) {
        if (ended(ask)) {
            long took = time.now() - ask.firstAt;
            boolean inTime = took <= ask.rules().targetLatency();
            cluster.tally.add(time.now(), inTime ? Count.IN_TIME : Count.LATE);
            if (took <= ask.rules().deadline()) {
                cluster.tally.served(ask.firstAt, ask.rules().importance() * (inTime ? 1 : ClusterSettings.LATE_WORTH));
            }
        }
    }

    void refused(Ask ask, long retryAfter) {
        if (ended(ask)) {
            cluster.tally.add(time.now(), Count.REFUSED);
            again(ask, random.nextDouble() < HONOURS ? retryAfter : 0);
        }
    }

    void failed(Ask ask) {
        if (ended(ask)) {
            cluster.tally.add(time.now(), Count.FAILED);
            if (ask.rules().effect() == Effect.SAFE) {
                again(ask, 0);
            }
        }
    }

    /** Its proxy has died under it. */
    void orphaned(Ask ask) {
        if (!ask.over) {
            ask.over = true;
            cluster.tally.add(time.now(), Count.FAILED);
            if (ask.rules().effect() == Effect.SAFE) {
                again(ask, 0);
            }
        }
    }

    private boolean ended(Ask ask) {
        if (ask.over) {
            return false;
        }
        ask.over = true;
        cluster.referee.answered(time.now(), ask.id, ask.deadline);
        return true;
    }

    private void again(Ask ask, long retryAfter) {
        if (ask.tries < MOST_TRIES && time.now() - ask.firstAt < ask.rules().deadline()) {
            time.after(Math.max(retryAfter, (long) (BACK_OFF_MICROS * (0.5 + random.nextDouble()))), () -> {
                if (!ended) {
                    cluster.tally.add(time.now(), Count.RETRIED);
                    ask(ask.type, ask.tenant, ask.key, ask.took, ask.firstAt, ask.tries + 1, ask.own);
                }
            });
        }
    }
}
