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
 * Registries' decisions among links, disks, clocks and a store that can each fail, and a judge: whoever vouches knows all
 * that was acknowledged {@link #KNOWN_MICROS} ago, or before its process began. The machines are {@link RegistryMachine}s,
 * the links {@link Way}s, the store is a {@link StandInStore}. One thread; times in microseconds.
 */
final class RegistryWorld {
    /** What was acknowledged so long ago is known to whoever vouches. */
    static final long KNOWN_MICROS = 2_000_000;

    private static final long GONE_MICROS = 2_500_000;
    private static final long SYNC_TIME = 4_000_000;
    private static final long WAY_MICROS = 30_000;

    /** What was promised is not kept. */
    static final class Broken extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Broken(String text) {
            super(text);
        }
    }

    private record Event(long at, long number, Runnable what) {}

    private record Acked(long at, Kind kind, String key, long stamp) {}

    private final RegistryPlant plant;
    private final SplittableRandom random;
    private final Map<String, RegistryMachine> machines = new LinkedHashMap<>();
    private final StandInStore store;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.number, b.number));
    private final List<Acked> acked = new ArrayList<>();
    private final List<String> story = new ArrayList<>();
    private long now = 10_000_000;
    private long number;
    private int orders;
    private Runnable atAck;

    /** Three members and a spare, started together with empty disks. */
    RegistryWorld(long seed, RegistryPlant plant) {
        this.plant = plant;
        this.store = new StandInStore(plant, machines, List.of("m1", "m2", "m3"));
        this.random = new SplittableRandom(seed);
        for (String ip : List.of("m1", "m2", "m3", "m4")) {
            machines.put(ip, new RegistryMachine(this, ip));
        }
        for (RegistryMachine a : machines.values()) {
            machines.values().stream().filter(b -> a != b).forEach(b -> a.ways.put(b.ip, new Way(this, a, b)));
        }
        machines.values().forEach(machine -> machine.begin(true));
        calm(3_000_000);
    }

    /** What happened, one sentence each. */
    List<String> story() {
        return story;
    }

    /** How many changes were acknowledged. */
    int acknowledged() {
        return acked.size();
    }

    /** The defect that is planted. */
    RegistryPlant plant() {
        return plant;
    }

    /** The source of all draws of this course. */
    SplittableRandom random() {
        return random;
    }

    /** What stands in for the store. */
    StandInStore store() {
        return store;
    }

    /** Virtual time, in microseconds. */
    long now() {
        return now;
    }

    /** A drawn time that a record is on its way. */
    long way() {
        return 500 + random.nextLong(WAY_MICROS);
    }

    /** Does something after so long. */
    void later(long micros, Runnable what) {
        events.add(new Event(now + micros, ++number, what));
    }

    /** An operator's order, sent to a registry that runs. */
    void order(String ip) {
        RegistryMachine machine = machines.get(ip);
        if (machine.node == null || machine.frozen) {
            return;
        }
        String tag = "o" + ++orders;
        say(ip + " is sent " + tag);
        machine.node.execute(new Command.Purge("", "", tag), 10, (status, text, body) -> {
            say(tag + " ends with " + status);
            if (status == 200) {
                for (Entry item : machine.node.state().all(Kind.PURGE)) {
                    if (new String(item.body(), java.nio.charset.StandardCharsets.UTF_8).endsWith(tag)) {
                        acked.add(new Acked(now, Kind.PURGE, item.key(), item.stamp()));
                    }
                }
                if (atAck != null) {
                    later(random.nextBoolean() ? 0 : random.nextLong(600_000), atAck);
                    atAck = null;
                }
            }
        });
    }

    /** The store acknowledges a version, where a majority of the view is there. */
    void configure() {
        long acknowledged = store.acknowledge();
        if (acknowledged > 0) {
            acked.add(new Acked(now, Kind.CONFIGURATION, "", acknowledged));
        }
    }

    /** Power is lost everywhere at the next acknowledgement or soon after it, and one machine's disk where that may be. */
    void orderThenPower(String ip, String disk) {
        atAck = () -> {
            if (disk != null && mayLose()) {
                say(disk + " loses its disk");
                machines.get(disk).end(true);
                machines.get(disk).wipe();
            }
            powerAll();
        };
        order(ip);
    }

    /** A machine is cut off from all others, where one may be, or is reached again. */
    void cut(String ip, boolean does) {
        RegistryMachine machine = machines.get(ip);
        if (machine.cut == does || does && !mayLose()) {
            return;
        }
        say((does ? "cuts off " : "heals ") + ip);
        machine.cut = does;
        if (does) {
            machine.away();
        } else {
            machine.back();
            machine.ways.values().forEach(Way::drain);
            machine.ways.values().forEach(way -> way.to().ways.get(ip).drain());
        }
    }

    /** A process stands still, where one may. */
    void freeze(String ip) {
        RegistryMachine machine = machines.get(ip);
        if (machine.node != null && !machine.frozen && mayLose()) {
            say("freezes " + ip);
            machine.frozen = true;
            machine.away();
        }
    }

    /** It runs on. */
    void wake(String ip) {
        RegistryMachine machine = machines.get(ip);
        if (machine.frozen) {
            say("wakes " + ip);
            machine.wake();
        }
    }

    /** A disk hangs, where one may, or works again. */
    void stall(String ip, boolean does) {
        if (!does) {
            machines.get(ip).resume();
        } else if (mayLose()) {
            say("stalls the disk of " + ip);
            machines.get(ip).stall();
        }
    }

    /** All lose power, and come back. */
    void powerAll() {
        say("power is lost everywhere");
        machines.values().forEach(machine -> machine.end(true));
        machines.values().forEach(machine -> later(200_000 + random.nextLong(600_000), () -> start(machine)));
    }

    /** It loses its power, and its disk, and comes back. */
    void lose(String ip, boolean disk) {
        RegistryMachine machine = machines.get(ip);
        if (machine.node != null && mayLose()) {
            say(ip + " loses its power" + (disk ? " and its disk" : ""));
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
            machine.back();
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
                && !gone.reached()
                && now - gone.awaySince > GONE_MICROS
                && machines.get(spare).reached()
                && store.replace(ip, spare)) {
            say(spare + " takes the place of " + ip);
        }
    }

    /** One at a time: all have been well for as long as a lost one needs. */
    private boolean mayLose() {
        return machines.values().stream().allMatch(machine -> now - machine.calmSince >= SYNC_TIME);
    }

    /** So much time passes, with all that is due in it. */
    void calm(long span) {
        long until = now + span;
        while (!events.isEmpty() && events.peek().at <= until) {
            Event next = events.poll();
            now = Math.max(now, next.at);
            next.what.run();
        }
        now = until;
    }

    /** All is well again: some time later somebody vouches, and all that was acknowledged is known to who does. */
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
            throw new Broken("nobody vouches three seconds after all was well");
        }
        machines.values().forEach(this::judge);
    }

    /** Throws {@link Violation} where a registry vouches and does not know what it must. */
    void judge(RegistryMachine machine) {
        if (machine.node == null || machine.frozen || !machine.node.synced()) {
            return;
        }
        for (Acked one : acked) {
            Entry held = machine.node.state().get(one.kind, one.key);
            boolean before = one.at < now - KNOWN_MICROS || one.at < machine.beganAt;
            if (before && (held == null || held.stamp() < one.stamp)) {
                throw new Broken(machine.ip + " vouches at " + now / 1e6 + " and does not know " + one.kind + " "
                        + one.key + ", acknowledged at " + one.at / 1e6);
            }
        }
    }

    private void say(String what) {
        story.add(now / 1e6 + " " + what);
    }
}
