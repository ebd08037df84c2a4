package gorsemast.simulation;

import gorsemast.dispatch.Briefing;
import gorsemast.emulator.VirtualTime;
import gorsemast.peer.Record.Program;
import gorsemast.simulation.CoreProcesses.Registry;
import gorsemast.simulation.CoreProcesses.Store;
import gorsemast.simulation.Trouble.Closing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
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
 * Machines, the ways between them, and everything that lives on them, for one day in virtual time. One thread; times in
 * microseconds.
 */
final class World {
    static final String HOST = "h.example";
    static final String OBJECTS = "objects";
    static final long BEAT_MICROS = 1_000_000;
    static final long DRAIN_MICROS = 2_000_000;
    static final long WINDOW_MICROS = 5_000_000;
    static final long CONTACT_MICROS = 3_000_000;
    static final long SYNC_MICROS = 4_000_000;
    static final long TTL_MICROS = 10_000_000;
    /** That one server takes from all callers. */
    static final int CONNECTIONS = 130;
    /** Of objects' servers, a second. */
    static final double RATE = 25;

    static final Briefing.Budget BUDGET = new Briefing.Budget(0.2, 60, 10_000_000);
    private static final long START_MICROS = 500_000;
    private static final long SEED_LAG = 3_000_000;
    private static final long WATCH_MICROS = 5_000;
    private static final long WATCHED_MICROS = 20_000_000;
    private static final long HELD_BACK = 50_000;

    final VirtualTime time = new VirtualTime(10_000_000);
    final SplittableRandom random;
    final Plant plant;
    final Referee referee = new Referee(this);
    final Servers servers = new Servers(this);
    /** What went over links since traffic began. */
    final LinkTraffic traffic = new LinkTraffic();
    /** Where a study measures it; null else. */
    ProcessorTime processorTime;
    /** Servers beside the nine that each day has. */
    int extraServers;
    /** Routes beside the four that each configuration has. */
    int extraRoutes;
    /** Versions of objects that have changed. */
    final Map<String, Long> objects = new HashMap<>();

    private final Day day;
    private final List<String> story;
    private final Map<String, List<Long>> times = new TreeMap<>();
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Set<String> cuts = new HashSet<>();
    private List<String> seeds = new ArrayList<>();
    private Consumer<Machine> onAck = machine -> {};
    private long countedSince;
    private int coreTroubles;
    private long coreCalmSince;
    private int addresses;

    World(Day day, Plant plant, List<String> story) {
        this.day = day;
        this.plant = plant;
        this.story = story;
        this.random = new SplittableRandom(day.seed());
    }

    void say(String what) {
        if (story != null) {
            story.add(String.format(java.util.Locale.ROOT, "%.3f %s", time.now() / 1e6, what));
        }
    }

    Outcome play() {
        Course course = new Course(this, day);
        return course.play();
    }

    /** Something took so long. */
    void took(String what, long micros) {
        times.computeIfAbsent(what, name -> new ArrayList<>()).add(micros);
    }

    /** Measures from now on until it holds, for {@link #WATCHED_MICROS} at most. */
    void watch(String what, BooleanSupplier holds) {
        watch(what, time.now(), holds);
    }

    private void watch(String what, long since, BooleanSupplier holds) {
        if (holds.getAsBoolean()) {
            took(what, time.now() - since);
        } else if (time.now() - since < WATCHED_MICROS) {
            time.after(WATCH_MICROS, () -> watch(what, since, holds));
        }
    }

    /** The machine, other than that, whose store leads; null for none. */
    Machine primaryBut(Machine but) {
        for (Machine machine : machines(true)) {
            if (machine != but
                    && process(Program.STORE, machine) instanceof Store store
                    && store.teller.keeper().primary()) {
                return machine;
            }
        }
        return null;
    }

    /** Whether an edge holds what a synced registry holds. */
    boolean caughtUp(Machine machine) {
        if (!(process(Program.PROXY, machine) instanceof Edge edge)) {
            return false;
        }
        return machines(true).stream()
                .anyMatch(core -> process(Program.REGISTRY, core) instanceof Registry registry
                        && registry.office.synced()
                        && registry.office
                                        .board()
                                        .differing(edge.lookout.board().digest())
                                == 0);
    }

    Outcome outcome(int asked, int served, long from) {
        long edges = machines.values().stream().filter(one -> !one.core).count();
        double seconds = Math.max(1, (time.now() - from) / 1e6) * edges;
        return new Outcome(
                asked,
                served,
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

    /** A configuration with so many routes more. */
    String inflated(String configuration) {
        StringBuilder more = new StringBuilder();
        for (int i = 0; i < extraRoutes; i++) {
            more.append(',')
                    .append(Course.rule("extra-" + i, "/extra/" + i + "/", "idempotent", "orders"))
                    .append('}');
        }
        int end = configuration.lastIndexOf("]}]}");
        return configuration.substring(0, end) + more + configuration.substring(end);
    }

    // ---- machines

    Machine add(String zone, boolean core) {
        Machine machine = new Machine((core ? "10.0.0." : "10.1.0.") + ++addresses, zone, core, time.now());
        machines.put(machine.ip, machine);
        return machine;
    }

    Machine machine(String ip) {
        return machines.get(ip);
    }

    List<Machine> machines(boolean core) {
        return machines.values().stream()
                .filter(one -> one.core == core && !one.gone)
                .toList();
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
        int life = machine.processes.size();
        long from = time.now();
        time.after(takes, () -> {
            if (!machine.power || machine.gone || machine.processes.size() != life) {
                return;
            }
            if (machine.core) {
                machine.processes.add(new Registry(this, machine));
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
            took(Outcome.READY, time.now() - from);
        } else {
            edge.after(50_000, () -> awaitReady(edge, from));
        }
    }

    /** Its processes end; without power nobody is told, and what was not synced may be lost. */
    void stop(Machine machine, boolean power) {
        say(machine.ip + (power ? " loses power" : " is killed"));
        machine.processes.forEach(one -> one.end(power));
        machine.frozenUntil = 0;
        if (power) {
            machine.power = false;
        }
    }

    // ---- the core as the operators' list has it

    Set<String> seeds() {
        return new LinkedHashSet<>(seeds);
    }

    /** Machines that callers from outside know of. */
    List<Machine> known() {
        return seeds.stream().map(machines::get).toList();
    }

    /** The list follows what is so, some time behind. */
    void listLater() {
        time.after(SEED_LAG, this::listNow);
    }

    void listNow() {
        seeds = new ArrayList<>(machines(true).stream().map(one -> one.ip).toList());
    }

    void coreTrouble() {
        coreTroubles++;
    }

    void coreCalm() {
        coreTroubles--;
        coreCalmSince = time.now();
    }

    /** For so long nothing has troubled the core. */
    long coreCalmFor() {
        long calm = coreTroubles > 0 ? 0 : time.now() - coreCalmSince;
        for (Machine machine : machines(true)) {
            calm = Math.min(calm, machine.calmFor(time.now()));
        }
        return calm;
    }

    /** For so long the core is settled: nothing but a disk has troubled any of it. */
    long coreSettledFor() {
        long settled = coreTroubles > 0 ? 0 : time.now() - coreCalmSince;
        for (Machine machine : machines(true)) {
            settled = Math.min(settled, machine.settledFor(time.now()));
        }
        return settled;
    }

    /** Whether all core machines are well and have been for as long as a lost one needs to be whole again. */
    boolean mayLose() {
        return coreCalmFor() >= SYNC_MICROS;
    }

    boolean allCalm() {
        return coreCalmFor() >= CONTACT_MICROS
                && machines(false).stream().allMatch(one -> one.calmFor(time.now()) >= CONTACT_MICROS);
    }

    // ---- ways

    void cut(Machine a, Machine b, boolean does) {
        if (does) {
            cuts.add(a.ip + ">" + b.ip);
        } else {
            cuts.remove(a.ip + ">" + b.ip);
        }
    }

    boolean cut(Machine from, Machine to) {
        return cuts.contains(from.ip + ">" + to.ip);
    }

    /** When a record behind a cut is tried again. */
    long retry() {
        return HELD_BACK + random.nextLong(HELD_BACK);
    }

    long way(long micros) {
        return micros / 2 + random.nextLong(micros);
    }

    long delay(Machine a, Machine b) {
        return way(a == b ? 100 : a.zone.equals(b.zone) ? 400 : 1_200);
    }

    /** How long a write to a machine's disk takes. */
    long sync(Machine machine) {
        return Math.max(0, machine.stalledUntil - time.now()) + 400 + random.nextLong(3_000);
    }

    /** A message to a process, which is lost where that is not reached. */
    void message(Machine from, String ip, Program program, Consumer<Process> then) {
        Machine to = machines.get(ip);
        if (to == null || cut(from, to)) {
            return;
        }
        time.after(delay(from, to), () -> {
            Process process = to.power ? process(program, to) : null;
            if (process != null) {
                process.run(() -> then.accept(process));
            }
        });
    }

    /** A call from outside to a machine's registry; {@code end} is called once, with status 0 for no answer. */
    void call(
            String who,
            Machine to,
            String method,
            String path,
            String body,
            long patience,
            BiConsumer<Integer, String> end) {
        boolean[] over = new boolean[1];
        BiConsumer<Integer, String> once = (status, text) -> {
            if (!over[0]) {
                over[0] = true;
                end.accept(status, text);
            }
        };
        time.after(patience, () -> once.accept(0, null));
        long way = way(1_000);
        time.after(way, () -> {
            Process process = to.power && !to.gone ? process(Program.REGISTRY, to) : null;
            if (process == null) {
                if (to.power && !to.gone) {
                    time.after(way, () -> once.accept(0, null));
                }
                return;
            }
            process.run(() -> ((Registry) process)
                    .call(method, path, body.getBytes(StandardCharsets.UTF_8), (status, text, bytes) -> {
                        if (status == 200 && method.equals("POST") && !path.endsWith("heartbeat")) {
                            onAck.accept(to);
                        }
                        time.after(
                                way,
                                () -> once.accept(
                                        status, bytes == null ? text : new String(bytes, StandardCharsets.UTF_8)));
                    }));
        });
    }

    /** What strikes the next machine that acknowledges something. */
    void onAck(Consumer<Machine> what) {
        onAck = machine -> {
            onAck = other -> {};
            what.accept(machine);
        };
    }

    Closing closing() {
        return day.closing();
    }
}
