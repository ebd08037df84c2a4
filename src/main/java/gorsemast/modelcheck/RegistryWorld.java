package gorsemast.modelcheck;

import gorsemast.configuration.ContentDigest;
import gorsemast.gossip.Entry;
import gorsemast.gossip.Entry.Kind;
import gorsemast.peer.Neighbour;
import gorsemast.peer.Neighbours;
import gorsemast.peer.Record;
import gorsemast.peer.Record.Program;
import gorsemast.registry.Command;
import gorsemast.registry.RegistryNode;
import gorsemast.store.CallOutcome;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Registries' decisions among links, disks, clocks and a store that can each fail, and a judge: whoever vouches knows all
 * that was acknowledged {@link #KNOWN_MICROS} ago, or before its process began. The store is a stand-in that is certain of its newest version where a
 * majority of the view is reached. One thread; times in microseconds.
 */
final class RegistryWorld {
    /** What was acknowledged so long ago is known to whoever vouches. */
    static final long KNOWN_MICROS = 2_000_000;

    private static final long GONE_MICROS = 2_500_000;
    private static final long SYNC_TIME = 4_000_000;
    private static final long BROKEN_MICROS = 1_800_000;
    private static final long WAY_MICROS = 30_000;
    private static final long SYNC_MICROS = 8_000;
    private static final long SNAPSHOT_MICROS = 250_000;

    /** What was promised is not kept. */
    static final class Broken extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Broken(String text) {
            super(text);
        }
    }

    private record Event(long at, long number, Runnable what) {}

    private record Acked(long at, Kind kind, String key, long stamp) {}

    private final class Machine implements Neighbours, RegistryNode.Carrier {
        private final String ip;
        private byte[] snapshot;
        private final List<byte[]> journal = new ArrayList<>();
        private final Deque<Runnable> writes = new ArrayDeque<>();
        private int written;
        private int synced;
        private final Map<String, Way> ways = new LinkedHashMap<>();
        private final Deque<Runnable> asleep = new ArrayDeque<>();
        private RegistryNode node;
        private int life;
        private long origin;
        private long beganAt;
        private long lastAsk;
        private boolean frozen;
        private boolean stalled;
        private boolean cut;
        private long awaySince;
        private long calmSince;
        private long diskFree;

        Machine(String ip) {
            this.ip = ip;
        }

        private boolean reached() {
            return node != null && !frozen && !cut;
        }

        private void run(int ofLife, Runnable task) {
            if (node == null || life != ofLife) {
                return;
            }
            if (frozen) {
                asleep.add(task);
            } else {
                task.run();
                judge(this);
            }
        }

        private long now() {
            return now - origin;
        }

        // ---- neighbours

        @Override
        public Collection<Neighbour> up() {
            List<Neighbour> up = new ArrayList<>();
            if (node != null) {
                up.add(store());
                ways.values().stream().filter(way -> way.up).forEach(up::add);
            }
            return up;
        }

        private Neighbour store() {
            int mine = life;
            return new Neighbour() {
                @Override
                public Record.Hello peer() {
                    return new Record.Hello(Program.STORE, ip, "z", "", 0);
                }

                @Override
                public void send(Record record) {
                    if (record instanceof Record.Get get) {
                        lastAsk = get.call();
                        later(way(), () -> storeAnswers(Machine.this, mine, get.call(), get.known()));
                    }
                }
            };
        }

        // ---- carrier

        @Override
        public void later(long micros, Runnable task) {
            int mine = life;
            RegistryWorld.this.later(micros, () -> run(mine, task));
        }

        @Override
        public void remember(byte[] record, Consumer<Boolean> done) {
            int mine = life;
            int holds = written;
            if (plant == RegistryPlant.JOURNAL_EMPTIED_TOO_EARLY) {
                write(SYNC_MICROS, journal::clear);
            }
            write(SNAPSHOT_MICROS, () -> {
                snapshot = record;
                if (synced <= holds) {
                    journal.clear();
                }
                run(mine, () -> done.accept(true));
            });
        }

        @Override
        public void append(byte[] record, Runnable done) {
            int mine = life;
            written++;
            if (plant == RegistryPlant.HELD_BEFORE_SYNC) {
                done.run();
            }
            write(SYNC_MICROS, () -> {
                journal.add(record);
                synced++;
                run(mine, done);
            });
        }

        /** One after the other, each taking up to so long. */
        private void write(long most, Runnable what) {
            writes.add(what);
            diskFree = Math.max(diskFree, now) + 500 + random.nextLong(most);
            int mine = life;
            RegistryWorld.this.later(diskFree - now, () -> {
                if (life == mine) {
                    written();
                }
            });
        }

        private void written() {
            if (!stalled && !writes.isEmpty()) {
                writes.poll().run();
            }
        }
    }

    /** One direction of a link: records arrive in order, wait behind a cut, and are lost when that breaks the link. */
    private final class Way implements Neighbour {
        private final Machine from;
        private final Machine to;
        private final Deque<byte[]> sent = new ArrayDeque<>();
        private boolean up;

        Way(Machine from, Machine to) {
            this.from = from;
            this.to = to;
        }

        @Override
        public Record.Hello peer() {
            return new Record.Hello(Program.REGISTRY, to.ip, "z", to.ip + ":80", to.life);
        }

        @Override
        public void send(Record record) {
            if (up) {
                sent.add(bytes(record, from.now()));
                later(way(), this::arrive);
            }
        }

        private void arrive() {
            if (!sent.isEmpty() && up && !from.cut && !to.cut && to.node != null) {
                byte[] next = sent.poll();
                // What has arrived is read, though the link may have broken since.
                to.run(to.life, () -> to.node.received(to.ways.get(from.ip), spoiled(record(next, to.now()), to)));
            }
        }
    }

    private final RegistryPlant plant;
    private final SplittableRandom random;
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.number, b.number));
    private final List<Acked> acked = new ArrayList<>();
    private final List<String> story = new ArrayList<>();
    private List<String> view;
    private long term = 1;
    private long version;
    private long now = 10_000_000;
    private long number;
    private int orders;
    private Runnable atAck;

    /** Three members and a spare, started together with empty disks. */
    RegistryWorld(long seed, RegistryPlant plant) {
        this.plant = plant;
        this.random = new SplittableRandom(seed);
        this.view = List.of("m1", "m2", "m3");
        for (String ip : List.of("m1", "m2", "m3", "m4")) {
            machines.put(ip, new Machine(ip));
        }
        for (Machine a : machines.values()) {
            machines.values().stream().filter(b -> a != b).forEach(b -> a.ways.put(b.ip, new Way(a, b)));
        }
        machines.values().forEach(machine -> begin(machine, true));
        calm(3_000_000);
    }

    List<String> story() {
        return story;
    }

    int acknowledged() {
        return acked.size();
    }

    private long way() {
        return 500 + random.nextLong(WAY_MICROS);
    }

    private void later(long micros, Runnable what) {
        events.add(new Event(now + micros, ++number, what));
    }

    private static byte[] bytes(Record record, long now) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            record.write(out, now);
        } catch (IOException e) {
            throw new IllegalStateException(e); // memory does not fail
        }
        return bytes.toByteArray();
    }

    private static Record record(byte[] bytes, long now) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            return Record.read(in, now);
        } catch (IOException e) {
            throw new Broken("a record can't be read: " + e.getMessage());
        }
    }

    private Record spoiled(Record record, Machine to) {
        if (record instanceof Record.Compared answer) {
            long at = plant == RegistryPlant.LEASE_FROM_ARRIVAL ? to.now() : answer.at();
            int parts = plant == RegistryPlant.NOTHING_DIFFERS ? 0 : answer.parts();
            return new Record.Compared(at, answer.term(), answer.complete(), parts);
        }
        return record;
    }

    private static byte[] emptyButComplete() {
        byte[] nothing = bytes(new Record.News(0, List.of()), 0);
        byte[] snapshot = new byte[nothing.length + 2];
        snapshot[0] = 2;
        snapshot[1] = 1;
        System.arraycopy(nothing, 0, snapshot, 2, nothing.length);
        return snapshot;
    }

    // ---- processes

    private void begin(Machine machine, boolean firstBoot) {
        machine.life++;
        machine.beganAt = now;
        machine.origin = now - 1_000_000 - random.nextLong(3_000_000);
        machine.node = new RegistryNode(
                new RegistryNode.Self(machine.ip, "z", machine.ip + ":80", machine.life, 1_000_000, 1, firstBoot),
                new LinkedHashSet<>(List.of("m1", "m2", "m3")),
                true,
                random.nextLong(),
                machine::now,
                machine,
                machine);
        machine.node.recall(
                machine.snapshot, plant == RegistryPlant.JOURNAL_NOT_READ ? List.of() : List.copyOf(machine.journal));
        machine.node.up(machine.store());
        int mine = machine.life;
        tick(machine, mine);
        tell(machine);
    }

    private void tick(Machine machine, int life) {
        machine.run(life, () -> {
            links(machine);
            tell(machine);
            machine.node.tick();
            if (plant == RegistryPlant.LEASE_NEVER_LAPSES && now > 12_000_000) {
                machine.ways.values().stream()
                        .filter(way -> way.to.node != null)
                        .forEach(way -> machine.node.received(
                                way,
                                new Record.Compared(
                                        machine.now(), machine.node.membership().term(), true, 0)));
                machine.node.received(machine.store(), answer(machine.lastAsk, true, 0, null));
            }
        });
        if (machine.life == life && machine.node != null) {
            later(RegistryNode.TICK_MICROS, () -> tick(machine, life));
        }
    }

    /** Links come up where both can be reached, and break behind a long cut. */
    private void links(Machine machine) {
        for (Way way : machine.ways.values()) {
            Way back = way.to.ways.get(machine.ip);
            boolean cut = machine.cut || way.to.cut || way.to.frozen;
            if (way.to.node == null || cut && now - Math.max(machine.awaySince, way.to.awaySince) > BROKEN_MICROS) {
                drop(way);
                drop(back);
            } else if (!way.up && !cut) {
                way.up = true;
                back.up = true;
                way.to.run(way.to.life, () -> way.to.node.up(back));
                machine.node.up(way);
            }
        }
    }

    private static void drop(Way way) {
        way.up = false;
        way.sent.clear();
    }

    private void end(Machine machine, boolean power) {
        machine.node = null;
        machine.frozen = false;
        machine.asleep.clear();
        machine.ways.values().forEach(way -> {
            drop(way);
            drop(way.to.ways.get(machine.ip));
        });
        while (!machine.writes.isEmpty() && !(power && random.nextBoolean())) {
            machine.writes.poll().run();
        }
        machine.writes.clear();
        machine.stalled = false;
        away(machine);
    }

    private void away(Machine machine) {
        machine.awaySince = now;
        machine.calmSince = Long.MAX_VALUE / 2;
    }

    private void back(Machine machine) {
        if (machine.node != null && !machine.frozen && !machine.cut) {
            machine.calmSince = now;
        }
    }

    // ---- the store

    private boolean majority(Machine with) {
        long reached = view.stream().map(machines::get).filter(Machine::reached).count();
        return with.reached() && reached >= 2;
    }

    private void storeAnswers(Machine machine, int life, long call, long known) {
        if (machine.node == null || machine.life != life) {
            return;
        }
        boolean done = majority(machine);
        long newest = version;
        machine.run(life, () -> {
            byte[] body = newest == known || newest == 0 ? null : new byte[] {1};
            machine.node.received(machine.store(), answer(call, done, done ? newest : 0, done ? body : null));
        });
    }

    private static Record.Answer answer(long call, boolean done, long newest, byte[] body) {
        CallOutcome outcome = done ? CallOutcome.DONE : CallOutcome.UNCERTAIN;
        return new Record.Answer(call, outcome, newest, 1, ContentDigest.of(new byte[] {1}), body);
    }

    private void tell(Machine machine) {
        List<String> members = view;
        if (plant == RegistryPlant.MEMBERS_BELIEVED_UP) {
            List<String> up = new ArrayList<>(List.of(machine.ip));
            machine.ways.values().stream().filter(way -> way.up).forEach(way -> up.add(way.to.ip));
            members = up;
        } else if (!majority(machine) && machine.node.membership().term() > 0) {
            return; // its store hears of no newer view
        }
        machine.node.received(machine.store(), new Record.Members(term, members, List.of()));
    }

    // ---- what happens

    void order(String ip) {
        Machine machine = machines.get(ip);
        if (machine.node == null || machine.frozen) {
            return;
        }
        String tag = "o" + ++orders;
        say(ip + " is sent " + tag);
        machine.node.run(new Command.Purge("", "", tag), 10, (status, text, body) -> {
            say(tag + " ends with " + status);
            if (status == 200) {
                for (Entry item : machine.node.board().all(Kind.PURGE)) {
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
        if (view.stream().map(machines::get).filter(Machine::reached).count() >= 2) {
            version++;
            acked.add(new Acked(now, Kind.CONFIGURATION, "", version));
        }
    }

    /** Power is lost everywhere at the next acknowledgement or soon after it, and one machine's disk where that may be. */
    void orderThenPower(String ip, String disk) {
        atAck = () -> {
            if (disk != null && mayLose()) {
                say(disk + " loses its disk");
                end(machines.get(disk), true);
                wipe(machines.get(disk));
            }
            powerAll();
        };
        order(ip);
    }

    private void wipe(Machine machine) {
        machine.snapshot = plant == RegistryPlant.EMPTY_DISK_COMPLETE ? emptyButComplete() : null;
        machine.journal.clear();
    }

    void cut(String ip, boolean does) {
        Machine machine = machines.get(ip);
        if (machine.cut == does || does && !mayLose()) {
            return;
        }
        say((does ? "cuts off " : "heals ") + ip);
        machine.cut = does;
        if (does) {
            away(machine);
        } else {
            back(machine);
            machine.ways.values().forEach(this::drain);
            machine.ways.values().forEach(way -> drain(way.to.ways.get(ip)));
        }
    }

    private void drain(Way way) {
        for (int i = way.sent.size(); i > 0; i--) {
            later(way(), way::arrive);
        }
    }

    void freeze(String ip) {
        Machine machine = machines.get(ip);
        if (machine.node != null && !machine.frozen && mayLose()) {
            say("freezes " + ip);
            machine.frozen = true;
            away(machine);
        }
    }

    void wake(String ip) {
        Machine machine = machines.get(ip);
        if (machine.frozen) {
            say("wakes " + ip);
            machine.frozen = false;
            back(machine);
            judge(machine);
            for (int i = machine.asleep.size(); i > 0 && machine.node != null; i--) {
                machine.asleep.poll().run();
                judge(machine);
            }
        }
    }

    void stall(String ip, boolean does) {
        Machine machine = machines.get(ip);
        if (does && mayLose()) {
            say("stalls the disk of " + ip);
            machine.stalled = true;
            away(machine);
        } else if (!does && machine.stalled) {
            machine.stalled = false;
            back(machine);
            while (!machine.writes.isEmpty()) {
                machine.writes.poll().run();
            }
        }
    }

    void powerAll() {
        say("power is lost everywhere");
        machines.values().forEach(machine -> end(machine, true));
        machines.values().forEach(machine -> later(200_000 + random.nextLong(600_000), () -> start(machine)));
    }

    /** It loses its power, and its disk, and comes back. */
    void lose(String ip, boolean disk) {
        Machine machine = machines.get(ip);
        if (machine.node != null && mayLose()) {
            say(ip + " loses its power" + (disk ? " and its disk" : ""));
            end(machine, true);
            if (disk) {
                wipe(machine);
            }
            later(300_000, () -> start(machine));
        }
    }

    private void start(Machine machine) {
        if (machine.node == null) {
            begin(machine, false);
            back(machine);
        }
    }

    /** The spare takes the place of a member that has been away for long. */
    void replace(String ip) {
        Machine gone = machines.get(ip);
        String spare = machines.keySet().stream()
                .filter(one -> !view.contains(one))
                .findFirst()
                .orElseThrow();
        boolean reached =
                view.stream().map(machines::get).filter(Machine::reached).count() >= 2;
        if (view.contains(ip)
                && !gone.reached()
                && now - gone.awaySince > GONE_MICROS
                && machines.get(spare).reached()
                && reached) {
            List<String> next = new ArrayList<>(view);
            next.set(next.indexOf(ip), spare);
            view = List.copyOf(next);
            term++;
            say(spare + " takes the place of " + ip);
        }
    }

    /** One at a time: all have been well for as long as a lost one needs. */
    private boolean mayLose() {
        return machines.values().stream().allMatch(machine -> now - machine.calmSince >= SYNC_TIME);
    }

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

    private void judge(Machine machine) {
        if (machine.node == null || machine.frozen || !machine.node.synced()) {
            return;
        }
        for (Acked one : acked) {
            Entry held = machine.node.board().get(one.kind, one.key);
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
