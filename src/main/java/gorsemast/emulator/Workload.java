package gorsemast.emulator;

import anisebend.Balancer.Effect;
import anisebend.Balancer.RequestClass;
import gorsemast.emulator.Tally.Count;
import java.util.SplittableRandom;

/**
 * The clients: an open-loop request stream to each proxy, uneven over proxies, with Zipf-distributed keys and retries.
 *
 * <p>Each proxy has its own clients, which go to others only once the front load balancer has noticed its death. Poisson
 * arrivals, lognormal service times. O(1) per request apart from drawing a key, O(log keys).
 */
final class Workload {
    /** One try of a client request. */
    static final class ClientRequest {
        final String id;
        final int type;
        final int tenant;
        final String key;
        final long serviceMicros;
        final long firstAt;
        final long deadline;
        final int tries;
        final SimulatedProxy homeProxy;
        boolean finished;

        ClientRequest(
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
            this.serviceMicros = took;
            this.firstAt = firstAt;
            this.deadline = deadline;
            this.tries = tries;
            this.homeProxy = own;
        }

        RequestClass rules() {
            return ClusterSettings.CLASSES.get(type);
        }
    }

    private static final int MAX_TRIES = 3;
    private static final long BACK_OFF_MICROS = 100_000;
    private static final double RETRY_AFTER_OBEYED_SHARE = 0.25;
    private static final double WORK_CV = 1;

    private final Cluster cluster;
    private final VirtualTime time;
    private final ClusterSettings settings;
    private final SplittableRandom random;
    private final double[] proxyShares;
    private final double[] cumulativeKeyWeights;
    private final double[] zoneFactors;
    private double loadFactor = 1;
    private double impatientShare;
    private long sequence;
    private boolean ended;

    Workload(Cluster cluster, SplittableRandom random) {
        this.cluster = cluster;
        this.time = cluster.time;
        this.settings = cluster.settings;
        this.random = random;
        proxyShares = new double[settings.proxies()];
        double sum = 0;
        for (int i = 0; i < proxyShares.length; i++) {
            proxyShares[i] = Math.exp(settings.skew() * random.nextGaussian());
            sum += proxyShares[i];
        }
        for (int i = 0; i < proxyShares.length; i++) {
            proxyShares[i] /= sum;
        }
        zoneFactors = new double[settings.zones()];
        java.util.Arrays.fill(zoneFactors, 1);
        cumulativeKeyWeights = new double[settings.keys()];
        double total = 0;
        for (int i = 0; i < cumulativeKeyWeights.length; i++) {
            total += Math.pow(i + 3, -settings.zipf());
            cumulativeKeyWeights[i] = total;
        }
    }

    void begin() {
        cluster.proxies.forEach(this::scheduleNext);
    }

    /** Stops issuing requests. */
    void end() {
        ended = true;
    }

    /** Multiplies the normal traffic from now on. */
    void setLoadFactor(double times) {
        loadFactor = times;
    }

    /** Multiplies the normal traffic of one zone from now on. */
    void setZoneFactor(int zone, double times) {
        zoneFactors[zone] = times;
    }

    /** Sets the share of clients that leave after half of their target latency. */
    void setImpatientShare(double share) {
        impatientShare = share;
    }

    private void scheduleNext(SimulatedProxy proxy) {
        double rate = settings.requestsPerSecond() * proxyShares[proxy.number] * loadFactor * zoneFactors[proxy.zone];
        time.after((long) (-Math.log(1 - random.nextDouble()) * 1e6 / rate), () -> {
            if (!ended) {
                issueNew(proxy);
                scheduleNext(proxy);
            }
        });
    }

    private void issueNew(SimulatedProxy proxy) {
        double draw = random.nextDouble();
        int type = 0;
        while (type < ClusterSettings.SHARES.length - 1 && (draw -= ClusterSettings.SHARES[type]) >= 0) {
            type++;
        }
        int at = java.util.Arrays.binarySearch(
                cumulativeKeyWeights, random.nextDouble() * cumulativeKeyWeights[cumulativeKeyWeights.length - 1]);
        String key = "k" + (at < 0 ? -at - 1 : at);
        double sigma = Math.sqrt(Math.log(1 + WORK_CV * WORK_CV));
        long took = (long) (settings.workMicros() * Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2));
        draw = random.nextDouble();
        int tenant = 0;
        while (tenant < ClusterSettings.TENANTS.size() - 1
                && (draw -= ClusterSettings.TENANTS.get(tenant).share()) >= 0) {
            tenant++;
        }
        cluster.tally.requested(time.now(), ClusterSettings.CLASSES.get(type).importance());
        issue(type, tenant, key, took, time.now(), 1, proxy);
    }

    private void issue(int type, int tenant, String key, long took, long firstAt, int tries, SimulatedProxy own) {
        long deadline = time.now() + ClusterSettings.CLASSES.get(type).deadline();
        ClientRequest request =
                new ClientRequest("q" + sequence++, type, tenant, key, took, firstAt, deadline, tries, own);
        SimulatedProxy to = cluster.routeClient(own);
        if (to == null || !to.accept(request)) {
            cluster.tally.add(time.now(), Count.UNREACHED);
            retry(request, 0);
            return;
        }
        if (random.nextDouble() < impatientShare) {
            time.after(request.rules().targetLatency() / 2, () -> {
                if (!request.finished) {
                    request.finished = true;
                    cluster.tally.add(time.now(), Count.LEFT);
                    to.clientLeft(request);
                    retry(request, 0);
                }
            });
        }
        long incarnation = to.incarnation();
        time.after(deadline - time.now() + InvariantChecker.SLACK_MICROS, () -> {
            if (!request.finished && to.incarnation() == incarnation) {
                cluster.checker.unanswered(time.now(), request.id);
                request.finished = true;
            }
        });
    }

    void served(ClientRequest request) {
        if (finish(request)) {
            long took = time.now() - request.firstAt;
            boolean inTime = took <= request.rules().targetLatency();
            cluster.tally.add(time.now(), inTime ? Count.IN_TIME : Count.LATE);
            if (took <= request.rules().deadline()) {
                cluster.tally.served(
                        request.firstAt, request.rules().importance() * (inTime ? 1 : ClusterSettings.LATE_WORTH));
            }
        }
    }

    void refused(ClientRequest request, long retryAfter) {
        if (finish(request)) {
            cluster.tally.add(time.now(), Count.REFUSED);
            retry(request, random.nextDouble() < RETRY_AFTER_OBEYED_SHARE ? retryAfter : 0);
        }
    }

    void failed(ClientRequest request) {
        if (finish(request)) {
            cluster.tally.add(time.now(), Count.FAILED);
            if (request.rules().effect() == Effect.SAFE) {
                retry(request, 0);
            }
        }
    }

    /** Handles the death of the proxy that had the request. */
    void orphaned(ClientRequest request) {
        if (!request.finished) {
            request.finished = true;
            cluster.tally.add(time.now(), Count.FAILED);
            if (request.rules().effect() == Effect.SAFE) {
                retry(request, 0);
            }
        }
    }

    private boolean finish(ClientRequest request) {
        if (request.finished) {
            return false;
        }
        request.finished = true;
        cluster.checker.answered(time.now(), request.id, request.deadline);
        return true;
    }

    private void retry(ClientRequest request, long retryAfter) {
        if (request.tries < MAX_TRIES
                && time.now() - request.firstAt < request.rules().deadline()) {
            time.after(Math.max(retryAfter, (long) (BACK_OFF_MICROS * (0.5 + random.nextDouble()))), () -> {
                if (!ended) {
                    cluster.tally.add(time.now(), Count.RETRIED);
                    issue(
                            request.type,
                            request.tenant,
                            request.key,
                            request.serviceMicros,
                            request.firstAt,
                            request.tries + 1,
                            request.homeProxy);
                }
            });
        }
    }
}
