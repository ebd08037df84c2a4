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
 * A machine of {@link RegistrySimulation}: a registry with its disk, its clock and its links, across restarts.
 * Disk writes complete in order, each after a random time. Single-threaded; times in microseconds.
 */
final class RegistryMachine implements Neighbours, RegistryNode.Environment {
    private static final long BROKEN_MICROS = 1_800_000;
    private static final long SYNC_MICROS = 8_000;
    private static final long SNAPSHOT_MICROS = 250_000;

    private final RegistrySimulation simulation;
    final String ip;
    private byte[] snapshot;
    private final List<byte[]> journal = new ArrayList<>();
    private final Deque<Runnable> writes = new ArrayDeque<>();
    private int written;
    private int synced;
    final Map<String, RegistryLink> peerLinks = new LinkedHashMap<>();
    private final Deque<Runnable> deferredTasks = new ArrayDeque<>();
    RegistryNode node;
    int incarnation;
    private long origin;
    long beganAt;
    private long lastAsk;
    boolean frozen;
    private boolean stalled;
    boolean cut;
    long awaySince;
    long calmSince;
    private long diskFree;

    RegistryMachine(RegistrySimulation simulation, String ip) {
        this.simulation = simulation;
        this.ip = ip;
    }

    /** Whether the machine runs and is reachable. */
    boolean isReachable() {
        return node != null && !frozen && !cut;
    }

    /** Runs a task of the given process incarnation; a frozen process runs it when it resumes. */
    void run(int ofIncarnation, Runnable task) {
        if (node == null || incarnation != ofIncarnation) {
            return;
        }
        if (frozen) {
            deferredTasks.add(task);
        } else {
            task.run();
            simulation.check(this);
        }
    }

    /** The process's own clock. */
    long now() {
        return simulation.now() - origin;
    }

    @Override
    public Collection<Neighbour> connected() {
        List<Neighbour> up = new ArrayList<>();
        if (node != null) {
            up.add(store());
            peerLinks.values().stream().filter(RegistryLink::isUp).forEach(up::add);
        }
        return up;
    }

    /** The link to the store on the same machine. */
    Neighbour store() {
        int mine = incarnation;
        return new Neighbour() {
            @Override
            public PeerMessage.Hello hello() {
                return new PeerMessage.Hello(Program.STORE, ip, "z", "", 0);
            }

            @Override
            public void send(PeerMessage record) {
                if (record instanceof PeerMessage.Get get) {
                    lastAsk = get.callId();
                    schedule(simulation.latency(), () -> simulation
                            .store()
                            .answerRead(RegistryMachine.this, mine, get.callId(), get.knownVersion()));
                }
            }
        };
    }

    @Override
    public void schedule(long micros, Runnable task) {
        int mine = incarnation;
        simulation.later(micros, () -> run(mine, task));
    }

    @Override
    public void writeSnapshot(byte[] record, Consumer<Boolean> done) {
        int mine = incarnation;
        int holds = written;
        if (simulation.defect() == RegistryDefect.JOURNAL_EMPTIED_TOO_EARLY) {
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
        int mine = incarnation;
        written++;
        if (simulation.defect() == RegistryDefect.HELD_BEFORE_SYNC) {
            done.run();
        }
        write(SYNC_MICROS, () -> {
            journal.add(record);
            synced++;
            run(mine, done);
        });
    }

    /** Performs writes in order, each taking up to {@code most}. */
    private void write(long most, Runnable what) {
        writes.add(what);
        diskFree =
                Math.max(diskFree, simulation.now()) + 500 + simulation.random().nextLong(most);
        int mine = incarnation;
        simulation.later(diskFree - simulation.now(), () -> {
            if (incarnation == mine) {
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
        incarnation++;
        beganAt = simulation.now();
        origin = simulation.now() - 1_000_000 - simulation.random().nextLong(3_000_000);
        node = new RegistryNode(
                new RegistryNode.Parameters(ip, "z", ip + ":80", incarnation, 1_000_000, 1, firstBoot),
                new LinkedHashSet<>(List.of("m1", "m2", "m3")),
                true,
                simulation.random().nextLong(),
                this::now,
                this,
                this);
        node.restore(
                snapshot, simulation.defect() == RegistryDefect.JOURNAL_NOT_READ ? List.of() : List.copyOf(journal));
        node.connected(store());
        int mine = incarnation;
        tick(mine);
        simulation.store().sendMembers(this);
    }

    private void tick(int ofIncarnation) {
        run(ofIncarnation, () -> {
            updateLinks();
            simulation.store().sendMembers(this);
            node.tick();
            if (simulation.defect() == RegistryDefect.LEASE_NEVER_LAPSES && simulation.now() > 12_000_000) {
                peerLinks.values().stream()
                        .filter(link -> link.to().node != null)
                        .forEach(link -> node.received(
                                link,
                                new PeerMessage.CompareResponse(
                                        now(), node.membership().term(), true, 0)));
                node.received(store(), StoreStub.answer(lastAsk, true, 0, null));
            }
        });
        if (incarnation == ofIncarnation && node != null) {
            simulation.later(RegistryNode.TICK_MICROS, () -> tick(ofIncarnation));
        }
    }

    /** Links come up if both sides are reachable, and break after a long cut. */
    private void updateLinks() {
        for (RegistryLink link : peerLinks.values()) {
            RegistryLink back = link.to().peerLinks.get(ip);
            boolean apart = cut || link.to().cut || link.to().frozen;
            if (link.to().node == null
                    || apart && simulation.now() - Math.max(awaySince, link.to().awaySince) > BROKEN_MICROS) {
                link.drop();
                back.drop();
            } else if (!link.isUp() && !apart) {
                link.setUp();
                back.setUp();
                link.to().run(link.to().incarnation, () -> link.to().node.connected(back));
                node.connected(link);
            }
        }
    }

    /** The process ends; with the power, some of what was handed to the disk is lost. */
    void end(boolean power) {
        node = null;
        frozen = false;
        deferredTasks.clear();
        peerLinks.values().forEach(link -> {
            link.drop();
            link.to().peerLinks.get(ip).drop();
        });
        while (!writes.isEmpty() && !(power && simulation.random().nextBoolean())) {
            writes.poll().run();
        }
        writes.clear();
        stalled = false;
        markAway();
    }

    /** From now on the machine counts as away. */
    void markAway() {
        awaySince = simulation.now();
        calmSince = Long.MAX_VALUE / 2;
    }

    /** From now on it counts as healthy again, if it is reachable. */
    void markBack() {
        if (node != null && !frozen && !cut) {
            calmSince = simulation.now();
        }
    }

    /** The disk is lost. */
    void wipe() {
        snapshot = simulation.defect() == RegistryDefect.EMPTY_DISK_COMPLETE ? emptyButComplete() : null;
        journal.clear();
    }

    /** The disk hangs: no write ends until {@link #resume}. */
    void stall() {
        stalled = true;
        markAway();
    }

    /** The disk works again, and what waited for it ends at once. */
    void resume() {
        if (stalled) {
            stalled = false;
            markBack();
            while (!writes.isEmpty()) {
                writes.poll().run();
            }
        }
    }

    /** Resumes a frozen process, which first runs what fell due meanwhile. */
    void wake() {
        frozen = false;
        markBack();
        simulation.check(this);
        for (int i = deferredTasks.size(); i > 0 && node != null; i--) {
            deferredTasks.poll().run();
            simulation.check(this);
        }
    }

    private static byte[] emptyButComplete() {
        byte[] nothing = RegistryLink.bytes(new PeerMessage.Updates(0, List.of()), 0);
        byte[] snapshot = new byte[nothing.length + 2];
        snapshot[0] = 2;
        snapshot[1] = 1;
        System.arraycopy(nothing, 0, snapshot, 2, nothing.length);
        return snapshot;
    }
}
