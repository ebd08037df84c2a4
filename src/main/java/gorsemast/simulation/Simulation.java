package gorsemast.simulation;

import gorsemast.dispatch.ModuleConfiguration;
import gorsemast.emulator.VirtualTime;
import gorsemast.peer.PeerMessage.Program;
import gorsemast.simulation.CoreProcesses.Registry;
import gorsemast.simulation.CoreProcesses.Store;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * The simulated network: machines, their processes and the links between them, for one run in virtual time. Single-threaded;
 * times in microseconds.
 */
final class Simulation {
    static final String HOST = "h.example";
    static final String OBJECTS = "objects";
    static final long HEARTBEAT_MICROS = 1_000_000;
    static final long DRAIN_MICROS = 2_000_000;
    static final long WINDOW_MICROS = 5_000_000;
    static final long CONNECTED_AFTER_MICROS = 3_000_000;
    static final long SYNC_MICROS = 4_000_000;
    /** How much longer an unsettled core may take for configurations and purges. */
    static final long STRETCH_MICROS = 5_000_000;
    /** From a request to leave until a machine is gone. */
    static final long GRACE_MICROS = 6_000_000;

    static final long TTL_MICROS = 10_000_000;
    /** Connections that one server accepts from all callers. */
    static final int CONNECTIONS = 130;
    /** Requests per second that object servers accept. */
    static final double RATE = 25;

    static final ModuleConfiguration.RetryBudget BUDGET = new ModuleConfiguration.RetryBudget(0.2, 60, 10_000_000);
    /** The edges that have so few sockets that they keep a link to one registry and none to other edges. */
    enum FewLinks {
        NONE,
        EVERY_SECOND,
        ALL
    }

    private static final long START_MICROS = 500_000;
    private static final long SEED_LAG = 3_000_000;
    private static final long WATCH_MICROS = 5_000;
    private static final long WATCHED_MICROS = 20_000_000;
    private static final int SEEDS = 3;

    final VirtualTime time = new VirtualTime(10_000_000);
    final SplittableRandom random;
    final InjectedDefect defect;
    final NetworkLinks links = new NetworkLinks(this);
    final Connectivity connectivity = new Connectivity(this);
    final RequestChecker requestChecker = new RequestChecker(this);
    final ConfigurationChecker configurationChecker = new ConfigurationChecker(this);
    final DurabilityChecker durabilityChecker = new DurabilityChecker(this);
    final ExternalCalls externalCalls = new ExternalCalls(this);
    final Operator operator = new Operator(this);
    final Clients clients = new Clients(this);
    /** The first entry of new seed lists; null for the usual order. */
    String firstSeed;

    final Servers servers = new Servers(this);
    /** Link traffic since client traffic began. */
    final LinkTraffic traffic = new LinkTraffic();
    /** Set if a study measures processor time; else null. */
    ProcessorTime processorTime;
    /** Servers beside the nine that each run has. */
    int extraServers;
    /** Routes beside the four that each configuration has. */
    int extraRoutes;
    /** How many of the edges have few links. Those with many pass updates on between registries that don't reach each other. */
    FewLinks fewLinks;

    /** Versions of objects that have changed. */
    final Map<String, Long> objects = new HashMap<>();

    private final Scenario scenario;
    private final List<String> eventLog;
    private final Map<String, List<Long>> times = new TreeMap<>();
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private List<String> seeds = new ArrayList<>();
    private int replacing;
    private int lastServer;
    private long countedSince;
    private int addresses;

    Simulation(Scenario scenario, InjectedDefect defect, List<String> eventLog) {
        this.scenario = scenario;
        this.defect = defect;
        this.eventLog = eventLog;
        this.random = new SplittableRandom(scenario.seed());
        this.fewLinks = FewLinks.values()[(int) Math.floorMod(scenario.seed(), (long) FewLinks.values().length)];
    }

    void logEvent(String what) {
        if (eventLog != null) {
            eventLog.add(String.format(java.util.Locale.ROOT, "%.3f %s", time.now() / 1e6, what));
        }
    }

    Outcome run() {
        ScenarioRun course = new ScenarioRun(this, scenario);
        return course.run();
    }

    /** Records how long something took. */
    void recordDuration(String what, long micros) {
        times.computeIfAbsent(what, name -> new ArrayList<>()).add(micros);
    }

    /** Measures the time from now until the condition holds, for {@link #WATCHED_MICROS} at most. */
    void watch(String what, BooleanSupplier holds) {
        watch(what, time.now(), holds);
    }

    private void watch(String what, long since, BooleanSupplier holds) {
        if (holds.getAsBoolean()) {
            recordDuration(what, time.now() - since);
        } else if (time.now() - since < WATCHED_MICROS) {
            time.after(WATCH_MICROS, () -> watch(what, since, holds));
        }
    }

    /** The machine, other than {@code but}, whose store is primary; null for none. */
    Machine primaryExcept(Machine but) {
        for (Machine machine : machines(true)) {
            if (machine != but
                    && process(Program.STORE, machine) instanceof Store store
                    && store.storeNode.replica().isPrimary()) {
                return machine;
            }
        }
        return null;
    }

    /** Whether an edge has the state of a synced registry. */
    boolean isCaughtUp(Machine machine) {
        if (!(process(Program.PROXY, machine) instanceof Edge edge)) {
            return false;
        }
        return machines(true).stream()
                .anyMatch(core -> process(Program.REGISTRY, core) instanceof Registry registry
                        && registry.registryNode.synced()
                        && registry.registryNode
                                        .state()
                                        .differingBuckets(
                                                edge.proxyNode.gossipState().digest())
                                == 0);
    }

    Outcome outcome(long from) {
        long edges = machines.values().stream().filter(one -> !one.core).count();
        double seconds = Math.max(1, (time.now() - from) / 1e6) * edges;
        return new Outcome(
                clients.requestCount(),
                clients.servedCount(),
                configurationChecker.checkedRequests(),
                configurationChecker.timeBoundRequests(),
                times,
                traffic.bytesFrom(Program.PROXY) / seconds,
                traffic.recordsFrom(Program.PROXY) / seconds);
    }

    void countFromNow() {
        countedSince = time.now();
        traffic.reset();
        if (processorTime != null) {
            processorTime.reset();
        }
    }

    /** Since when costs are counted until now. */
    long countedMicros() {
        return time.now() - countedSince;
    }

    // ---- machines

    Machine add(String zone, boolean core) {
        Machine machine = new Machine((core ? "10.0.0." : "10.1.0.") + ++addresses, zone, core, time.now());
        boolean isSecond = machines(false).size() % 2 == 1;
        machine.fewLinks = !core && (fewLinks == FewLinks.ALL || fewLinks == FewLinks.EVERY_SECOND && isSecond);
        machines.put(machine.ip, machine);
        return machine;
    }

    Machine machine(String ip) {
        return machines.get(ip);
    }

    List<Machine> machines(boolean core) {
        List<Machine> found = new ArrayList<>();
        for (Machine one : machines.values()) {
            if (one.core == core && !one.removed) {
                found.add(one);
            }
        }
        return found;
    }

    /** The process of this program on a machine; null where none listens. */
    Process process(Program program, Machine machine) {
        for (Process one : machine.processes) {
            if (one.alive && one.program == program) {
                return one;
            }
        }
        return null;
    }

    List<Edge> edges() {
        List<Edge> found = new ArrayList<>();
        for (Machine machine : machines(false)) {
            if (process(Program.PROXY, machine) instanceof Edge edge) {
                found.add(edge);
            }
        }
        return found;
    }

    /** Starts a machine's programs, which listen some time later. */
    void start(Machine machine, boolean firstBoot) {
        machine.power = true;
        long takes = START_MICROS + random.nextLong(START_MICROS / 2);
        int incarnation = machine.processes.size();
        int stops = machine.stops;
        long from = time.now();
        time.after(takes, () -> {
            if (!machine.power
                    || machine.removed
                    || machine.processes.size() != incarnation
                    || machine.stops != stops) {
                return;
            }
            if (machine.core) {
                machine.processes.add(new Registry(this, machine, firstBoot));
                machine.processes.add(new Store(this, machine, firstBoot));
            } else {
                Edge edge = new Edge(this, machine);
                machine.processes.add(edge);
                awaitReady(edge, from);
            }
        });
    }

    private void awaitReady(Edge edge, long from) {
        if (edge.ready()) {
            recordDuration(Outcome.READY, time.now() - from);
            durabilityChecker.checkReadyEdge(edge);
        } else {
            edge.after(50_000, () -> awaitReady(edge, from));
        }
    }

    /** Ends a machine's processes; if it loses power, peers are not notified and unsynced data may be lost. */
    void stop(Machine machine, boolean power) {
        logEvent(machine.ip + (power ? " loses power" : " is killed"));
        machine.stops++;
        machine.processes.forEach(one -> one.end(power));
        machine.frozenUntil = 0;
        if (power) {
            machine.power = false;
        }
    }

    // ---- seed lists

    /** The seeds of a process that starts now: at most three core machines. */
    Set<String> seeds() {
        List<String> listed = new ArrayList<>(seeds);
        if (firstSeed != null && listed.remove(firstSeed)) {
            listed.add(0, firstSeed);
        }
        return new LinkedHashSet<>(listed.subList(0, Math.min(SEEDS, listed.size())));
    }

    /** Machines known to external callers. */
    List<Machine> known() {
        return seeds.stream().map(machines::get).toList();
    }

    /** Updates the seed list after a delay. */
    void updateSeedsLater() {
        time.after(SEED_LAG, this::updateSeedsNow);
    }

    void updateSeedsNow() {
        seeds = new ArrayList<>(machines(true).stream().map(one -> one.ip).toList());
    }

    /** How many core machines may be lost at once. */
    int losses() {
        return scenario.losses();
    }

    /** Counts removed core machines whose successors have not started yet. */
    void replacing(int more) {
        replacing += more;
    }

    /** Whether {@code more} further core machines may be lost now. */
    boolean mayLose(int more) {
        return connectivity.lostMachines() + replacing + more <= losses();
    }

    boolean isAllCalm() {
        return connectivity.settledFor() >= 0
                && machines(false).stream().allMatch(one -> one.calmFor(time.now()) >= CONNECTED_AFTER_MICROS);
    }

    // ---- servers

    Servers.Server server(String service, int slots) {
        return server(service, slots, "10.9.0." + ++lastServer + ":80");
    }

    Servers.Server server(String service, int slots, String address) {
        return servers.new Server(service, address, new String[] {"a", "b", "c"}[lastServer % 3], slots);
    }

    // ---- messages and calls

    /** How long a write to a machine's disk takes. */
    long sync(Machine machine) {
        return Math.max(0, machine.stalledUntil - time.now()) + machine.diskTimes * (400 + random.nextLong(3_000));
    }

    /** Sends a message to a process; it is lost if the process is unreachable. */
    void message(Machine from, String ip, Program program, Consumer<Process> then) {
        Machine to = machines.get(ip);
        if (to == null || links.isCut(from, to)) {
            return;
        }
        time.after(links.delay(from, to), () -> {
            Process process = to.power ? process(program, to) : null;
            if (process != null) {
                process.run(() -> then.accept(process));
            }
        });
    }

    /** Sends an external call, for tests. */
    void call(
            String who,
            Machine to,
            String method,
            String path,
            String body,
            long patience,
            BiConsumer<Integer, String> end) {
        externalCalls.call(to, new ExternalCalls.Call(method, path, body, patience), status -> {}, end);
    }

    /** Cuts or restores a path in one direction, for tests. */
    void cut(Machine from, Machine to, boolean does) {
        links.cut(from, to, does ? NetworkLinks.Cut.SILENT : null);
    }

    /** Runs {@code then} when a core machine next acknowledges a change, for tests. */
    void onAck(Consumer<Machine> then) {
        externalCalls.onAck(AcknowledgedChange.ANY, then);
    }
}
