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
 * A whole tier in virtual time, and what can be done to it.
 *
 * <p>Deterministic from its settings and what is called: the same seed and {@link Scenario} give the same sums. One thread. A
 * second of 100 proxies and 200 nodes takes some tenths of a second of processor time.
 */
public final class Cluster {
    private static final long START = 1_000_000_000L;
    private static final long SECOND = 1_000_000;
    private static final double JITTER = 0.3;
    /** A front sends the clients of a dead proxy elsewhere after so long. */
    private static final long FRONT_NOTICES_MICROS = 1_900_000;
    /** A node that is taken out finishes what it has for so long. */
    private static final long DRAIN_MICROS = 3_000_000;
    /** The register lists a new node after so long. */
    private static final long LISTED_MICROS = 800_000;
    /** How unlike nodes are: half the width of their speeds. */
    private static final double SPEEDS = 0.15;

    private static final int CELL = 6;
    /** The ledger carries so much more than the misses and writes of the usual traffic. */
    private static final double LEDGER_ROOM = 2;

    private static final long LEDGER_MICROS = 60_000;

    final ClusterSettings settings;
    final VirtualTime time = new VirtualTime(START);
    final Tally tally = new Tally(START);
    final Referee referee = new Referee();
    final Ledger ledger;
    final Register register;
    final Workload workload;
    final List<SimulatedProxy> proxies = new ArrayList<>();
    private final SplittableRandom random;
    private final Map<String, CacheNode> nodes = new LinkedHashMap<>();
    private final boolean[][] cut;
    private final long[] deadSince;
    private double answersLost;
    private double breaks;
    private int nodeNumber;
    private long fetchesSeen;

    /** A tier with all processes up, and copies of any age at its nodes. */
    public Cluster(ClusterSettings settings) {
        this.settings = settings;
        this.random = new SplittableRandom(settings.seed());
        double missed = settings.rate() * (1 - settings.hits() + ClusterSettings.SHARES[2] + ClusterSettings.SHARES[3]);
        this.ledger = new Ledger(
                time, random.split(), (int) Math.ceil(missed * LEDGER_ROOM * LEDGER_MICROS / 1e6), LEDGER_MICROS);
        this.register = new Register(time, settings);
        this.cut = new boolean[settings.zones()][settings.zones()];
        this.deadSince = new long[settings.proxies()];
        for (int i = 0; i < settings.nodes(); i++) {
            add(i % settings.zones(), 0);
        }
        for (CacheNode node : nodes.values()) {
            for (int i = 0; i < settings.keys(); i++) {
                node.keep("k" + i, random.nextLong(settings.keepMicros()));
            }
        }
        for (int i = 0; i < settings.proxies(); i++) {
            proxies.add(new SimulatedProxy(i, i % settings.zones(), this));
        }
        this.workload = new Workload(this, random.split());
        proxies.forEach(proxy -> proxy.start(register.whole(), register.version()));
    }

    // ---- what the parts ask

    CacheNode node(String id) {
        return nodes.get(id);
    }

    boolean reaches(int zone, CacheNode node) {
        return node.condition() != CacheNode.Condition.SILENT && !cut[zone][node.zone];
    }

    long oneWay(int zone, CacheNode node) {
        return (long) ((zone == node.zone ? settings.nearMicros() : settings.crossMicros())
                * (1 + JITTER * random.nextDouble()));
    }

    boolean losesAnswer() {
        return answersLost > 0 && random.nextDouble() < answersLost;
    }

    boolean breaksConnection() {
        return breaks > 0 && random.nextDouble() < breaks;
    }

    long seed(int proxy, int life) {
        return settings.seed() * 1_000_003 + proxy * 997L + life;
    }

    /** Who has a client of that proxy now: itself, another once its death has been noticed, null until then. */
    SimulatedProxy front(SimulatedProxy own) {
        if (own.serves()) {
            deadSince[own.number] = 0;
            return own;
        }
        long since = deadSince[own.number];
        deadSince[own.number] = since == 0 ? time.now() : since;
        if (since == 0 || time.now() - since < FRONT_NOTICES_MICROS) {
            return null;
        }
        SimulatedProxy other = proxies.get(random.nextInt(proxies.size()));
        return other.serves() ? other : null;
    }

    void reset(CacheNode node) {
        proxies.forEach(proxy -> proxy.reset(node.id));
    }

    void drop(String key) {
        nodes.values().forEach(node -> node.drop(key));
    }

    // ---- what is done to it

    private CacheNode add(int zone, long born) {
        CacheNode node = new CacheNode(
                "n" + nodeNumber,
                zone,
                nodeNumber / CELL,
                1 - SPEEDS + 2 * SPEEDS * random.nextDouble(),
                born,
                this,
                random.split());
        nodeNumber++;
        nodes.put(node.id, node);
        if (born == 0) {
            list(node, State.READY);
        } else {
            time.after(LISTED_MICROS, () -> list(node, State.READY));
        }
        return node;
    }

    private void list(CacheNode node, State state) {
        register.change(new Server(node.id, node.zone, 0, node.cell, state, 1, node.born));
    }

    /** The nodes that are in service, the oldest first. */
    List<CacheNode> serving() {
        return nodes.values().stream()
                .filter(node -> !node.gone && !node.draining)
                .toList();
    }

    /** Takes a node out in good order, and puts a new one in its place. */
    void replace(CacheNode node) {
        list(node, State.DRAINING);
        node.gone = true;
        time.after(DRAIN_MICROS / 2, () -> node.draining = true);
        time.after(DRAIN_MICROS, () -> {
            node.die();
            list(node, State.GONE);
        });
        add(node.zone, time.now());
    }

    /** Its process dies; the register notices later. */
    void crash(CacheNode node) {
        node.die();
        time.after(settings.noticeMicros(), () -> {
            if (node.condition() == CacheNode.Condition.REFUSING) {
                list(node, State.GONE);
            }
        });
    }

    /** A node that was lost is there again, cold. */
    void back(CacheNode node) {
        node.restart();
        time.after(LISTED_MICROS, () -> list(node, State.READY));
    }

    /** Whether zones can't reach each other, both ways. */
    void cut(int one, int other, boolean is) {
        cut[one][other] = is;
        cut[other][one] = is;
    }

    /** Of all answers so many are lost, and so many connections break under a request. */
    void disturb(double lost, double broken) {
        answersLost = lost;
        breaks = broken;
    }

    SplittableRandom random() {
        return random;
    }

    // ---- play

    /**
     * What a day came to.
     *
     * @param back seconds after the faults until service is back and stays so; negative for never
     * @param before share of the worth asked for that was served before the faults; {@code during} and {@code after} alike
     * @param mostFetched how often the key that was fetched most was fetched
     */
    public record Result(
            Tally tally,
            Referee referee,
            int back,
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
        /** One line for people. */
        public String line() {
            return String.format(
                    java.util.Locale.ROOT,
                    "served %.3f before, %.3f during, %.3f after; back in %s; lost %d twice %d"
                            + " drains %d fallen %d; a request: attempts %.2f fetches %.3f handshakes %.3f list calls %.4f",
                    before,
                    during,
                    after,
                    back < 0 ? "never" : back + " s",
                    referee.lost(),
                    referee.twice(),
                    referee.drains(),
                    referee.fallen(),
                    (double) attempts / asked,
                    (double) fetches / asked,
                    (double) handshakes / asked,
                    (double) listCalls / asked);
        }
    }

    /** Plays a day to its end. May be asked once. */
    public Result play(Day day) {
        workload.begin();
        day.plan(this);
        time.after(0, this::look);
        time.run(START + Day.SECONDS * SECOND);
        workload.end();
        time.run(START + (Day.SECONDS + 7) * SECOND); // all that was asked has its answer
        double before = tally.share(Day.WARM, Day.FAULT);
        int back = -1;
        for (int second = Day.SECONDS - 1;
                second >= Day.OVER && tally.rows().get(second).share() >= Day.BACK * before;
                second--) {
            back = second - Day.OVER;
        }
        int end = Day.SECONDS;
        return new Result(
                tally,
                referee,
                back,
                before,
                tally.share(Day.FAULT, Day.OVER),
                tally.share(Day.OVER, end),
                tally.sum(Count.ASKED, 0, end),
                tally.sum(Count.ATTEMPTS, 0, end),
                ledger.fetches,
                ledger.mostFetched(),
                ledger.keysFetched(),
                tally.sum(Count.HANDSHAKES, 0, end),
                tally.sum(Count.LIST_CALLS, 0, end));
    }

    private void look() {
        if (time.now() >= START + Day.SECONDS * SECOND) {
            return;
        }
        proxies.forEach(proxy -> proxy.look(tally));
        tally.add(time.now(), Count.FETCHES, ledger.fetches - fetchesSeen);
        fetchesSeen = ledger.fetches;
        tally.add(
                time.now(),
                Count.PROXIES_WITH_LIST,
                proxies.stream().filter(SimulatedProxy::listed).count());
        time.after(SECOND, this::look);
    }
}
