package gorsemast.modelcheck;

import gorsemast.peer.Neighbour;
import gorsemast.peer.Neighbours;
import gorsemast.peer.PeerMessage;
import gorsemast.peer.PeerMessage.Program;
import gorsemast.registry.RegistryNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A machine of {@link RegistryWorld}: a registry's decisions with its disk, its clock and its links, across restarts.
 * Writes of its disk end in order, each after a drawn time. One thread; times in microseconds.
 */
final class RegistryMachine implements Neighbours, RegistryNode.Environment {
    private static final long BROKEN_MICROS = 1_800_000;
    private static final long SYNC_MICROS = 8_000;
    private static final long SNAPSHOT_MICROS = 250_000;

    private final RegistryWorld world;
    final String ip;
    private byte[] snapshot;
    private final List<byte[]> journal = new ArrayList<>();
    private final Deque<Runnable> writes = new ArrayDeque<>();
    private int written;
    private int synced;
    final Map<String, Way> ways = new LinkedHashMap<>();
    private final Deque<Runnable> asleep = new ArrayDeque<>();
    RegistryNode node;
    int life;
    private long origin;
    long beganAt;
    private long lastAsk;
    boolean frozen;
    private boolean stalled;
    boolean cut;
    long awaySince;
    long calmSince;
    private long diskFree;

    RegistryMachine(RegistryWorld world, String ip) {
        this.world = world;
        this.ip = ip;
    }

    /** Whether the machine runs and is reached by others. */
    boolean reached() {
        return node != null && !frozen && !cut;
    }

    /** Runs a task of this life of the process; one that stands still does it when it wakes. */
    void run(int ofLife, Runnable task) {
        if (node == null || life != ofLife) {
            return;
        }
        if (frozen) {
            asleep.add(task);
        } else {
            task.run();
            world.judge(this);
        }
    }

    /** The process's own clock. */
    long now() {
        return world.now() - origin;
    }

    @Override
    public Collection<Neighbour> connected() {
        List<Neighbour> up = new ArrayList<>();
        if (node != null) {
            up.add(store());
            ways.values().stream().filter(Way::isUp).forEach(up::add);
        }
        return up;
    }

    /** The link to the store on the same machine. */
    Neighbour store() {
        int mine = life;
        return new Neighbour() {
            @Override
            public PeerMessage.Hello hello() {
                return new PeerMessage.Hello(Program.STORE, ip, "z", "", 0);
            }

            @Override
            public void send(PeerMessage record) {
                if (record instanceof PeerMessage.Get get) {
                    lastAsk = get.callId();
                    schedule(world.way(), () -> world.store()
                            .answers(RegistryMachine.this, mine, get.callId(), get.knownVersion()));
                }
            }
        };
    }

    @Override
    public void schedule(long micros, Runnable task) {
        int mine = life;
        world.later(micros, () -> run(mine, task));
    }

    @Override
    public void writeSnapshot(byte[] record, Consumer<Boolean> done) {
        int mine = life;
        int holds = written;
        if (world.plant() == RegistryPlant.JOURNAL_EMPTIED_TOO_EARLY) {
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
        if (world.plant() == RegistryPlant.HELD_BEFORE_SYNC) {
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
        diskFree = Math.max(diskFree, world.now()) + 500 + world.random().nextLong(most);
        int mine = life;
        world.later(diskFree - world.now(), () -> {
            if (life == mine) {
                finishWrite();
            }
        });
    }

    private void finishWrite() {
        if (!stalled && !writes.isEmpty()) {
            writes.poll().run();
        }
    }

    /** The process starts with what its disk holds. */
    void begin(boolean firstBoot) {
        life++;
        beganAt = world.now();
        origin = world.now() - 1_000_000 - world.random().nextLong(3_000_000);
        node = new RegistryNode(
                new RegistryNode.Parameters(ip, "z", ip + ":80", life, 1_000_000, 1, firstBoot),
                new LinkedHashSet<>(List.of("m1", "m2", "m3")),
                true,
                world.random().nextLong(),
                this::now,
                this,
                this);
        node.restore(snapshot, world.plant() == RegistryPlant.JOURNAL_NOT_READ ? List.of() : List.copyOf(journal));
        node.connected(store());
        int mine = life;
        tick(mine);
        world.store().tells(this);
    }

    private void tick(int ofLife) {
        run(ofLife, () -> {
            links();
            world.store().tells(this);
            node.tick();
            if (world.plant() == RegistryPlant.LEASE_NEVER_LAPSES && world.now() > 12_000_000) {
                ways.values().stream()
                        .filter(way -> way.to().node != null)
                        .forEach(way -> node.received(
                                way,
                                new PeerMessage.CompareResponse(
                                        now(), node.membership().term(), true, 0)));
                node.received(store(), StandInStore.answer(lastAsk, true, 0, null));
            }
        });
        if (life == ofLife && node != null) {
            world.later(RegistryNode.TICK_MICROS, () -> tick(ofLife));
        }
    }

    /** Links come up where both can be reached, and break behind a long cut. */
    private void links() {
        for (Way way : ways.values()) {
            Way back = way.to().ways.get(ip);
            boolean apart = cut || way.to().cut || way.to().frozen;
            if (way.to().node == null
                    || apart && world.now() - Math.max(awaySince, way.to().awaySince) > BROKEN_MICROS) {
                way.drop();
                back.drop();
            } else if (!way.isUp() && !apart) {
                way.comesUp();
                back.comesUp();
                way.to().run(way.to().life, () -> way.to().node.connected(back));
                node.connected(way);
            }
        }
    }

    /** The process ends; with the power, some of what was handed to the disk is lost. */
    void end(boolean power) {
        node = null;
        frozen = false;
        asleep.clear();
        ways.values().forEach(way -> {
            way.drop();
            way.to().ways.get(ip).drop();
        });
        while (!writes.isEmpty() && !(power && world.random().nextBoolean())) {
            writes.poll().run();
        }
        writes.clear();
        stalled = false;
        away();
    }

    /** From now on the machine counts as away. */
    void away() {
        awaySince = world.now();
        calmSince = Long.MAX_VALUE / 2;
    }

    /** From now on it counts as well again, where it is reached. */
    void back() {
        if (node != null && !frozen && !cut) {
            calmSince = world.now();
        }
    }

    /** The disk is lost. */
    void wipe() {
        snapshot = world.plant() == RegistryPlant.EMPTY_DISK_COMPLETE ? emptyButComplete() : null;
        journal.clear();
    }

    /** The disk hangs: no write ends until {@link #resume}. */
    void stall() {
        stalled = true;
        away();
    }

    /** The disk works again, and what waited for it ends at once. */
    void resume() {
        if (stalled) {
            stalled = false;
            back();
            while (!writes.isEmpty()) {
                writes.poll().run();
            }
        }
    }

    /** The process runs on after it stood still, and does first what was due meanwhile. */
    void wake() {
        frozen = false;
        back();
        world.judge(this);
        for (int i = asleep.size(); i > 0 && node != null; i--) {
            asleep.poll().run();
            world.judge(this);
        }
    }

    private static byte[] emptyButComplete() {
        byte[] nothing = Way.bytes(new PeerMessage.Updates(0, List.of()), 0);
        byte[] snapshot = new byte[nothing.length + 2];
        snapshot[0] = 2;
        snapshot[1] = 1;
        System.arraycopy(nothing, 0, snapshot, 2, nothing.length);
        return snapshot;
    }
}
