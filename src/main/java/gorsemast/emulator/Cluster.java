package gorsemast.emulator;

import anisebend.Balancer.Server;
import anisebend.Balancer.State;
import gorsemast.emulator.Tally.Count;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Simulates a whole tier in virtual time and applies faults to it.
 *
 * <p>Deterministic: the same settings, seed and {@link Scenario} give the same sums. Single-threaded. One second of 100
 * proxies and 200 nodes takes some tenths of a second of processor time.
 */
public final class Cluster {
    private static final long START = 1_000_000_000L;
    private static final long SECOND = 1_000_000;
    private static final double JITTER = 0.3;
    /** Time until the front load balancer sends the clients of a dead proxy elsewhere. */
    private static final long FAILOVER_MICROS = 1_900_000;
    /** Time that a removed node has to finish its requests. */
    private static final long DRAIN_MICROS = 3_000_000;
    /** Time until the discovery service lists a new node. */
    private static final long LISTED_MICROS = 800_000;
    /** Half the width of the range of node speeds. */
    private static final double SPEED_SPREAD = 0.15;

    private static final int CELL_SIZE = 6;
    /** Origin capacity as a multiple of the misses and writes of normal traffic. */
    private static final double ORIGIN_HEADROOM = 2;

    private static final long ORIGIN_MEAN_MICROS = 60_000;

    final ClusterSettings settings;
    final VirtualTime time = new VirtualTime(START);
    final Tally tally = new Tally(START);
    final InvariantChecker checker = new InvariantChecker();
    final Origin origin;
    final DiscoveryService discovery;
    final Workload workload;
    final List<SimulatedProxy> proxies = new ArrayList<>();
    private final SplittableRandom random;
    private final Map<String, CacheNode> nodes = new LinkedHashMap<>();
    private final boolean[][] zonesCut;
    private final long[] deadSince;
    private double responseLoss;
    private double connectionBreakShare;
    private int nodeNumber;
    private long fetchesCounted;

    /** Creates a tier with all processes up and cached entries of random age. */
    public Cluster(ClusterSettings settings) {
        this.settings = settings;
        this.random = new SplittableRandom(settings.seed());
        double missed = settings.requestsPerSecond()
                * (1 - settings.hitShare() + ClusterSettings.SHARES[2] + ClusterSettings.SHARES[3]);
        this.origin = new Origin(
                time,
                random.split(),
                (int) Math.ceil(missed * ORIGIN_HEADROOM * ORIGIN_MEAN_MICROS / 1e6),
                ORIGIN_MEAN_MICROS);
        this.discovery = new DiscoveryService(time, settings);
        this.zonesCut = new boolean[settings.zones()][settings.zones()];
        this.deadSince = new long[settings.proxies()];
        for (int i = 0; i < settings.nodes(); i++) {
            addNode(i % settings.zones(), 0);
        }
        for (CacheNode node : nodes.values()) {
            for (int i = 0; i < settings.keys(); i++) {
                node.preload("k" + i, random.nextLong(settings.cacheTtlMicros()));
            }
        }
        for (int i = 0; i < settings.proxies(); i++) {
            proxies.add(new SimulatedProxy(i, i % settings.zones(), this));
        }
        this.workload = new Workload(this, random.split());
        proxies.forEach(proxy -> proxy.start(discovery.fullList(), discovery.version()));
    }

    // ---- queries by the simulated parts

    CacheNode node(String id) {
        return nodes.get(id);
    }

    boolean reaches(int zone, CacheNode node) {
        return node.condition() != CacheNode.Condition.SILENT && !zonesCut[zone][node.zone];
    }

    long oneWayMicros(int zone, CacheNode node) {
        return (long) ((zone == node.zone ? settings.sameZoneMicros() : settings.crossZoneMicros())
                * (1 + JITTER * random.nextDouble()));
    }

    boolean losesResponse() {
        return responseLoss > 0 && random.nextDouble() < responseLoss;
    }

    boolean breaksConnection() {
        return connectionBreakShare > 0 && random.nextDouble() < connectionBreakShare;
    }

    long seed(int proxy, int incarnation) {
        return settings.seed() * 1_000_003 + proxy * 997L + incarnation;
    }

    /** Returns the proxy that serves clients of {@code own}: itself, or another once its death has been noticed; null until
     * then. */
    SimulatedProxy routeClient(SimulatedProxy own) {
        if (own.serves()) {
            deadSince[own.number] = 0;
            return own;
        }
        long since = deadSince[own.number];
        deadSince[own.number] = since == 0 ? time.now() : since;
        if (since == 0 || time.now() - since < FAILOVER_MICROS) {
            return null;
        }
        SimulatedProxy other = proxies.get(random.nextInt(proxies.size()));
        return other.serves() ? other : null;
    }

    void resetConnections(CacheNode node) {
        proxies.forEach(proxy -> proxy.reset(node.id));
    }

    void invalidateEverywhere(String key) {
        nodes.values().forEach(node -> node.invalidate(key));
    }

    // ---- changes and faults

    private CacheNode addNode(int zone, long startedAt) {
        CacheNode node = new CacheNode(
                "n" + nodeNumber,
                zone,
                nodeNumber / CELL_SIZE,
                1 - SPEED_SPREAD + 2 * SPEED_SPREAD * random.nextDouble(),
                startedAt,
                this,
                random.split());
        nodeNumber++;
        nodes.put(node.id, node);
        if (startedAt == 0) {
            publish(node, State.READY);
        } else {
            time.after(LISTED_MICROS, () -> publish(node, State.READY));
        }
        return node;
    }

    private void publish(CacheNode node, State state) {
        discovery.change(new Server(node.id, node.zone, 0, node.cell, state, 1, node.startedAt));
    }

    /** Nodes in service, oldest first. */
    List<CacheNode> serving() {
        return nodes.values().stream()
                .filter(node -> !node.removed && !node.draining)
                .toList();
    }

    /** Drains a node and adds a new one in its zone. */
    void replace(CacheNode node) {
        publish(node, State.DRAINING);
        node.removed = true;
        time.after(DRAIN_MICROS / 2, () -> node.draining = true);
        time.after(DRAIN_MICROS, () -> {
            node.crash();
            publish(node, State.GONE);
        });
        addNode(node.zone, time.now());
    }

    /** Crashes a node; the discovery service notices later. */
    void crash(CacheNode node) {
        node.crash();
        time.after(settings.failureDetectionMicros(), () -> {
            if (node.condition() == CacheNode.Condition.REFUSING) {
                publish(node, State.GONE);
            }
        });
    }

    /** Restarts a crashed node, which is then cold. */
    void restore(CacheNode node) {
        node.restart();
        time.after(LISTED_MICROS, () -> publish(node, State.READY));
    }

    /** Cuts or restores the network between two zones, in both directions. */
    void partition(int one, int other, boolean partitioned) {
        zonesCut[one][other] = partitioned;
        zonesCut[other][one] = partitioned;
    }

    /** Sets the share of responses that are lost and of requests whose connection breaks. */
    void degradeNetwork(double lostShare, double brokenShare) {
        responseLoss = lostShare;
        connectionBreakShare = brokenShare;
    }

    SplittableRandom random() {
        return random;
    }

    // ---- run

    /**
     * Result of a run.
     *
     * @param recoverySeconds seconds from the end of the faults until service has recovered for good; negative for never
     * @param before share of the requested value that was served before the faults; likewise {@code during} and {@code after}
     * @param mostFetched number of origin fetches of the key fetched most often
     */
    public record RunResult(
            Tally tally,
            InvariantChecker checker,
            int recoverySeconds,
            double before,
            double during,
            double after,
            long asked,
            long attempts,
            long fetches,
            int mostFetched,
            int keysFetched,
            long handshakes,
            long listCalls) {
        /** Returns a one-line summary. */
        public String line() {
            return String.format(
                    java.util.Locale.ROOT,
                    "served %.3f before, %.3f during, %.3f after; back in %s; lost %d twice %d"
                            + " drains %d fallen %d; a request: attempts %.2f fetches %.3f handshakes %.3f list calls %.4f",
                    before,
                    during,
                    after,
                    recoverySeconds < 0 ? "never" : recoverySeconds + " s",
                    checker.lost(),
                    checker.twice(),
                    checker.drains(),
                    checker.fallen(),
                    (double) attempts / asked,
                    (double) fetches / asked,
                    (double) handshakes / asked,
                    (double) listCalls / asked);
        }
    }

    /** Runs a scenario to its end. May be called once. */
    public RunResult run(Scenario scenario) {
        workload.begin();
        scenario.schedule(this);
        time.after(0, this::sampleEverySecond);
        time.run(START + Scenario.SECONDS * SECOND);
        workload.end();
        time.run(START + (Scenario.SECONDS + 7) * SECOND); // lets every request get its response
        double before = tally.share(Scenario.WARM_SECOND, Scenario.FAULTS_BEGIN);
        int recoverySeconds = -1;
        for (int second = Scenario.SECONDS - 1;
                second >= Scenario.FAULTS_END && tally.rows().get(second).share() >= Scenario.RECOVERED_SHARE * before;
                second--) {
            recoverySeconds = second - Scenario.FAULTS_END;
        }
        int end = Scenario.SECONDS;
        return new RunResult(
                tally,
                checker,
                recoverySeconds,
                before,
                tally.share(Scenario.FAULTS_BEGIN, Scenario.FAULTS_END),
                tally.share(Scenario.FAULTS_END, end),
                tally.sum(Count.ASKED, 0, end),
                tally.sum(Count.ATTEMPTS, 0, end),
                origin.fetches,
                origin.maxFetchesOfOneKey(),
                origin.keysFetched(),
                tally.sum(Count.HANDSHAKES, 0, end),
                tally.sum(Count.LIST_CALLS, 0, end));
    }

    private void sampleEverySecond() {
        if (time.now() >= START + Scenario.SECONDS * SECOND) {
            return;
        }
        proxies.forEach(proxy -> proxy.sample(tally));
        tally.add(time.now(), Count.FETCHES, origin.fetches - fetchesCounted);
        fetchesCounted = origin.fetches;
        tally.add(
                time.now(),
                Count.PROXIES_WITH_LIST,
                proxies.stream().filter(SimulatedProxy::hasList).count());
        time.after(SECOND, this::sampleEverySecond);
    }
}
