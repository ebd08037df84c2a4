package gorsemast.modelcheck;

import gorsemast.gossip.Entry;
import gorsemast.gossip.Entry.Kind;
import gorsemast.registry.Command;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Simulates registries with links, disks, clocks and a store that can each fail, and checks that whoever confirms its state
 * under a lease knows all that was acknowledged {@link #KNOWN_MICROS} ago, or before its process began. The machines are {@link RegistryMachine}s,
 * the links {@link Path}s, the store is a {@link StoreStub}. Single-threaded; times in microseconds.
 */
final class RegistrySimulation {
    /** Changes acknowledged this long ago must be known to every synced registry. */
    static final long KNOWN_MICROS = 2_000_000;

    private static final long GONE_MICROS = 2_500_000;
    private static final long SYNC_TIME = 4_000_000;
    private static final long WAY_MICROS = 30_000;

    /** A violated guarantee. */
    static final class Violation extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Violation(String text) {
            super(text);
        }
    }

    private record Event(long at, long number, Runnable what) {}

    private record AcknowledgedChange(long at, Kind kind, String key, long stamp) {}

    private final RegistryDefect defect;
    private final SplittableRandom random;
    private final Map<String, RegistryMachine> machines = new LinkedHashMap<>();
    private final StoreStub store;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.number, b.number));
    private final List<AcknowledgedChange> acknowledgedChanges = new ArrayList<>();
    private final List<String> eventLog = new ArrayList<>();
    private long now = 10_000_000;
    private long number;
    private int purgeCount;
    private Runnable atAck;

    /** Starts three members and a spare together with empty disks. */
    RegistrySimulation(long seed, RegistryDefect defect) {
        this.defect = defect;
        this.store = new StoreStub(defect, machines, List.of("m1", "m2", "m3"));
        this.random = new SplittableRandom(seed);
        for (String ip : List.of("m1", "m2", "m3", "m4")) {
            machines.put(ip, new RegistryMachine(this, ip));
        }
        for (RegistryMachine a : machines.values()) {
            machines.values().stream()
                    .filter(b -> a != b)
                    .forEach(b -> a.peerLinks.put(b.ip, new RegistryLink(this, a, b)));
        }
        machines.values().forEach(machine -> machine.begin(true));
        calm(3_000_000);
    }

    /** The events, one sentence each. */
    List<String> eventLog() {
        return eventLog;
    }

    /** How many changes were acknowledged. */
    int acknowledged() {
        return acknowledgedChanges.size();
    }

    /** The injected defect. */
    RegistryDefect defect() {
        return defect;
    }

    /** The source of all random draws of this run. */
    SplittableRandom random() {
        return random;
    }

    /** The stub of the store. */
    StoreStub store() {
        return store;
    }

    /** Virtual time, in microseconds. */
    long now() {
        return now;
    }

    /** A random latency of a record. */
    long latency() {
        return 500 + random.nextLong(WAY_MICROS);
    }

    /** Runs a task after a delay. */
    void later(long micros, Runnable what) {
        events.add(new Event(now + micros, ++number, what));
    }

    /** Sends an operator's purge to a registry if it runs. */
    void purge(String ip) {
        RegistryMachine machine = machines.get(ip);
        if (machine.node == null || machine.frozen) {
            return;
        }
        String tag = "o" + ++purgeCount;
        logEvent(ip + " is sent " + tag);
        machine.node.execute(new Command.Purge("", "", tag), 10, (status, text, body) -> {
            logEvent(tag + " ends with " + status);
            if (status == 200) {
                for (Entry item : machine.node.state().all(Kind.PURGE)) {
                    if (new String(item.body(), java.nio.charset.StandardCharsets.UTF_8).endsWith(tag)) {
                        acknowledgedChanges.add(new AcknowledgedChange(now, Kind.PURGE, item.key(), item.stamp()));
                    }
                }
                if (atAck != null) {
                    later(random.nextBoolean() ? 0 : random.nextLong(600_000), atAck);
                    atAck = null;
                }
            }
        });
    }

    /** The store acknowledges a version if a majority of the view is reachable. */
    void configure() {
        long acknowledged = store.acknowledge();
        if (acknowledged > 0) {
            acknowledgedChanges.add(new AcknowledgedChange(now, Kind.CONFIGURATION, "", acknowledged));
        }
    }

    /** Power is lost everywhere at the next acknowledgement or soon after it, and one machine's disk if that is allowed. */
    void purgeThenPowerLoss(String ip, String disk) {
        atAck = () -> {
            if (disk != null && mayLose()) {
                logEvent(disk + " loses its disk");
                machines.get(disk).end(true);
                machines.get(disk).wipe();
            }
            powerAll();
        };
        purge(ip);
    }

    /** Cuts a machine off from all others, if one may be lost, or reconnects it. */
    void cut(String ip, boolean does) {
        RegistryMachine machine = machines.get(ip);
        if (machine.cut == does || does && !mayLose()) {
            return;
        }
        logEvent((does ? "cuts off " : "heals ") + ip);
        machine.cut = does;
        if (does) {
            machine.markAway();
        } else {
            machine.markBack();
            machine.peerLinks.values().forEach(RegistryLink::drain);
            machine.peerLinks
                    .values()
                    .forEach(link -> link.to().peerLinks.get(ip).drain());
        }
    }

    /** Freezes a process, if one may be lost. */
    void freeze(String ip) {
        RegistryMachine machine = machines.get(ip);
        if (machine.node != null && !machine.frozen && mayLose()) {
            logEvent("freezes " + ip);
            machine.frozen = true;
            machine.markAway();
        }
    }

    /** Resumes a frozen process. */
    void wake(String ip) {
        RegistryMachine machine = machines.get(ip);
        if (machine.frozen) {
            logEvent("wakes " + ip);
            machine.wake();
        }
    }

    /** Stalls a disk, if one may be lost, or lets it work again. */
    void stall(String ip, boolean does) {
        if (!does) {
            machines.get(ip).resume();
        } else if (mayLose()) {
            logEvent("stalls the disk of " + ip);
            machines.get(ip).stall();
        }
    }

    /** All machines lose power and restart. */
    void powerAll() {
        logEvent("power is lost everywhere");
        machines.values().forEach(machine -> machine.end(true));
        machines.values().forEach(machine -> later(200_000 + random.nextLong(600_000), () -> start(machine)));
    }

    /** A machine loses its power, or its disk too, and restarts. */
    void lose(String ip, boolean disk) {
        RegistryMachine machine = machines.get(ip);
        if (machine.node != null && mayLose()) {
            logEvent(ip + " loses its power" + (disk ? " and its disk" : ""));
            machine.end(true);
            if (disk) {
                machine.wipe();
            }
            later(300_000, () -> start(machine));
        }
    }

    private void start(RegistryMachine machine) {
        if (machine.node == null) {
            machine.begin(false);
            machine.markBack();
        }
    }

    /** The spare takes the place of a member that has been away for long. */
    void replace(String ip) {
        RegistryMachine gone = machines.get(ip);
        String spare = machines.keySet().stream()
                .filter(one -> !store.view().contains(one))
                .findFirst()
                .orElseThrow();
        if (store.view().contains(ip)
                && !gone.isReachable()
                && now - gone.awaySince > GONE_MICROS
                && machines.get(spare).isReachable()
                && store.replace(ip, spare)) {
            logEvent(spare + " takes the place of " + ip);
        }
    }

    /** One at a time: all have been healthy for as long as a lost one needs to sync. */
    private boolean mayLose() {
        return machines.values().stream().allMatch(machine -> now - machine.calmSince >= SYNC_TIME);
    }

    /** Advances the time and runs all events that fall due. */
    void calm(long span) {
        long until = now + span;
        while (!events.isEmpty() && events.peek().at <= until) {
            Event next = events.poll();
            now = Math.max(now, next.at);
            next.what.run();
        }
        now = until;
    }

    /** Removes all faults and checks that some registry is synced later and knows all that was acknowledged. */
    void heal() {
        machines.keySet().forEach(ip -> {
            wake(ip);
            cut(ip, false);
            stall(ip, false);
        });
        calm(3_000_000);
        long vouching = machines.values().stream()
                .filter(machine -> machine.node != null && machine.node.synced())
                .count();
        if (vouching == 0) {
            throw new Violation("no registry is synced three seconds after recovery");
        }
        machines.values().forEach(this::check);
    }

    /** Throws {@link Violation} if a synced registry does not know what it must. */
    void check(RegistryMachine machine) {
        if (machine.node == null || machine.frozen || !machine.node.synced()) {
            return;
        }
        for (AcknowledgedChange one : acknowledgedChanges) {
            Entry held = machine.node.state().get(one.kind, one.key);
            boolean before = one.at < now - KNOWN_MICROS || one.at < machine.beganAt;
            if (before && (held == null || held.stamp() < one.stamp)) {
                throw new Violation(machine.ip + " is synced at " + now / 1e6 + " and does not know " + one.kind + " "
                        + one.key + ", acknowledged at " + one.at / 1e6);
            }
        }
    }

    private void logEvent(String what) {
        eventLog.add(now / 1e6 + " " + what);
    }
}
