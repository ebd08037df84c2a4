package gorsemast.simulation;

import gorsemast.peer.Neighbour;
import gorsemast.peer.Neighbours;
import gorsemast.peer.PeerMessage;
import gorsemast.peer.PeerMessage.Program;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A process on a machine, with links managed as in {@code peer.Links}: redialled when they end, closed after long silence.
 * Tasks that fall due while its machine is frozen run in order when it resumes. Single-threaded; {@link #now} is its own
 * monotonic clock, which restarts with each process.
 */
abstract class Process implements Neighbours {
    private static final long PING_MICROS = 500_000;
    private static final long SILENT_MICROS = 1_800_000;
    private static final long CONNECT_MICROS = 700_000;
    private static final long FIRST_AGAIN_MICROS = 30_000;
    private static final long AGAIN_MICROS = 300_000;

    /** A process to which a link is wanted. */
    record Target(Program program, String ip) {
        // The identity hash of an enum differs between JVM processes, and with it the iteration order of maps.
        @Override
        public int hashCode() {
            return 31 * ip.hashCode() + program.ordinal();
        }
    }

    /** One side of a link. */
    private final class End implements Neighbour {
        private final Process other;
        private End remoteEnd;
        private final List<byte[]> inTransit = new ArrayList<>();
        private PeerMessage.Hello peer;
        private Target dialled;
        private long lastReceived = now();
        private long lastArrival;
        private boolean open = true;

        End(Process other) {
            this.other = other;
        }

        @Override
        public PeerMessage.Hello hello() {
            return peer;
        }

        @Override
        public void send(PeerMessage record) {
            if (!open || !alive) {
                return;
            }
            if (simulation.defect == InjectedDefect.ACKS_ALONE
                    && record instanceof PeerMessage.Updates updates
                    && updates.commandId() != 0) {
                after(0, () -> recordReceived(this, new PeerMessage.Persisted(updates.commandId(), 0)));
                return;
            }
            byte[] bytes = Codec.bytes(applyDefect(record), now());
            simulation.traffic.count(program, other.program, bytes.length);
            inTransit.add(bytes);
            long at = Math.max(lastArrival, simulation.time.now() + simulation.links.delay(machine, other.machine));
            lastArrival = at;
            simulation.time.after(at - simulation.time.now(), this::arrive);
        }

        /** Delivers the next record; behind a cut it waits, and so do all later ones. */
        private void arrive() {
            if (inTransit.isEmpty() || !remoteEnd.open) {
                inTransit.clear();
                return;
            }
            if (simulation.links.isBlocked(program, machine, other.machine) || !other.machine.power) {
                simulation.time.after(simulation.links.retryDelay(), this::arrive);
                return;
            }
            byte[] bytes = inTransit.remove(0);
            other.run(() -> remoteEnd.received(bytes));
        }

        private void received(byte[] bytes) {
            if (!open) {
                return;
            }
            lastReceived = now();
            PeerMessage record = Codec.record(bytes, lastReceived);
            if (record instanceof PeerMessage.Hello hello) {
                if (peer == null) {
                    peer = hello;
                    ends.add(this);
                    linkUp(this);
                }
            } else if (peer != null && !(record instanceof PeerMessage.Ping)) {
                recordReceived(this, record);
            }
        }

        private void begin() {
            send(ownHello());
            after(PING_MICROS, this::ping);
        }

        private void ping() {
            if (!open) {
                return;
            }
            if (now() - lastReceived > SILENT_MICROS) {
                close(true);
            } else {
                send(new PeerMessage.Ping());
                after(PING_MICROS, this::ping);
            }
        }

        /** @param tells whether the other side is notified */
        void close(boolean tells) {
            if (!open) {
                return;
            }
            open = false;
            if (!tells && simulation.links.isCut(machine, other.machine)) {
                inTransit.clear(); // records held back by a cut are lost when their sender loses power
            }
            if (tells && !simulation.links.isCut(machine, other.machine)) {
                simulation.time.after(
                        simulation.links.delay(machine, other.machine), () -> other.run(() -> remoteEnd.close(false)));
            }
            if (ends.remove(this) && alive) {
                linkDown(this);
            }
            if (dialled != null && alive) {
                scheduleRedial(dialled, this);
            }
        }
    }

    final Simulation simulation;
    final Machine machine;
    final Program program;
    boolean alive = true;
    /** When it began to listen. */
    final long bornAt;

    private final long origin;
    private final Set<End> ends = new LinkedHashSet<>();
    private final Set<End> all = new LinkedHashSet<>();
    private final Map<Target, Object> dialled = new HashMap<>();
    private final Map<Target, Long> again = new HashMap<>();
    private Set<Target> wanted = Set.of();

    Process(Simulation simulation, Machine machine, Program program) {
        this.simulation = simulation;
        this.machine = machine;
        this.program = program;
        this.bornAt = simulation.time.now();
        this.origin = simulation.time.now() - 1_000_000 - simulation.random.nextLong(5_000_000);
    }

    /** The record sent in place of this one by an injected defect. */
    PeerMessage applyDefect(PeerMessage record) {
        return record;
    }

    abstract PeerMessage.Hello ownHello();

    abstract void linkUp(Neighbour one);

    abstract void linkDown(Neighbour one);

    abstract void recordReceived(Neighbour one, PeerMessage record);

    /** Asks the process to leave gracefully; by default it ends at once. */
    void leave() {
        end(false);
    }

    /** The process's own monotonic clock. */
    long now() {
        return simulation.time.now() - origin;
    }

    /** Wall-clock milliseconds as its machine sees them. */
    long wall() {
        return (simulation.time.now() + machine.clockError) / 1_000;
    }

    /** Runs a task later, unless the process has ended by then. */
    void after(long micros, Runnable task) {
        simulation.time.after(micros, () -> run(task));
    }

    /** Runs a task now, or when its machine wakes; never after the process has ended. */
    void run(Runnable task) {
        if (!alive) {
            return;
        }
        if (machine.frozenUntil > simulation.time.now()) {
            simulation.time.after(machine.frozenUntil - simulation.time.now(), () -> run(task));
        } else if (simulation.processorTime != null) {
            simulation.processorTime.run(program, task);
        } else {
            task.run();
        }
    }

    /** Runs a task each period from now on. */
    void runPeriodically(long period, Runnable task) {
        run(() -> {
            task.run();
            after(period, () -> runPeriodically(period, task));
        });
    }

    /** Ends the process; on a power loss no peer is notified. */
    void end(boolean power) {
        if (alive) {
            if (power) {
                // Messages that have not left the machine are lost with its power.
                all.stream()
                        .filter(end -> simulation.links.isDelayed(machine, end.other.machine)
                                || simulation.links.isCut(machine, end.other.machine))
                        .forEach(end -> end.inTransit.clear());
            }
            List.copyOf(all).forEach(end -> end.close(!power));
            alive = false;
        }
    }

    /** Its links to that machine are reset; the other side is not notified. */
    void reset(Machine to) {
        run(() ->
                List.copyOf(all).stream().filter(end -> end.other.machine == to).forEach(end -> end.close(false)));
    }

    // ---- links

    @Override
    public Collection<Neighbour> connected() {
        return new ArrayList<>(ends);
    }

    /** Maintains links to these targets from now on and closes those dialled to others. */
    void maintainLinks(Set<Target> targets) {
        wanted = Set.copyOf(targets);
        again.keySet().retainAll(wanted);
        for (Map.Entry<Target, Object> entry : List.copyOf(dialled.entrySet())) {
            if (!wanted.contains(entry.getKey())) {
                dialled.remove(entry.getKey());
                if (entry.getValue() instanceof End end) {
                    end.dialled = null;
                    end.close(true);
                }
            }
        }
        targets.stream()
                .filter(target -> !dialled.containsKey(target))
                .sorted((a, b) -> a.toString().compareTo(b.toString()))
                .forEach(this::dial);
    }

    private void dial(Target target) {
        Object attempt = new Object();
        dialled.put(target, attempt);
        Machine to = simulation.machine(target.ip());
        boolean refused = to != null && simulation.links.isRefused(machine, to);
        boolean silent = to == null
                || !to.power
                || simulation.links.isCut(machine, to)
                || simulation.links.isCut(to, machine)
                || to.frozenUntil > simulation.time.now();
        after(silent && !refused ? CONNECT_MICROS : 2 * simulation.links.delay(machine, to), () -> {
            if (dialled.get(target) != attempt) {
                return;
            }
            Process other = silent ? null : simulation.process(target.program(), to);
            if (other == null) {
                scheduleRedial(target, attempt);
                return;
            }
            End mine = new End(other);
            End theirs = other.accept(this);
            mine.remoteEnd = theirs;
            theirs.remoteEnd = mine;
            mine.dialled = target;
            dialled.put(target, mine);
            all.add(mine);
            mine.begin();
            other.run(theirs::begin);
        });
    }

    private End accept(Process from) {
        End end = new End(from);
        all.add(end);
        all.removeIf(one -> !one.open);
        return end;
    }

    private void scheduleRedial(Target target, Object attempt) {
        if (dialled.get(target) != attempt) {
            return;
        }
        long pause = again.merge(target, FIRST_AGAIN_MICROS, (before, first) -> Math.min(AGAIN_MICROS, 2 * before));
        after(pause, () -> {
            if (dialled.get(target) == attempt) {
                dialled.remove(target);
                if (wanted.contains(target)) {
                    dial(target);
                }
            }
        });
    }
}
