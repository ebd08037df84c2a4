package gorsemast.lab;

import gorsemast.emulator.VirtualTime;
import gorsemast.fleet.Claim;
import gorsemast.fleet.Fleet;
import gorsemast.fleet.FleetSettings;
import gorsemast.fleet.FleetView;
import gorsemast.fleet.Message;
import gorsemast.fleet.ProcessId;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.function.LongFunction;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/**
 * Any number of {@link Fleet}s in virtual time, on a network that loses, delays, duplicates, reorders and partitions.
 *
 * <p>Deterministic simulation from one seed: the same seed gives the same run, to the message. Each machine
 * has one address; a process on it can be killed (its machine then refuses), stopped and continued, restarted under a
 * higher generation, or made slow as a whole, so that all that it does comes late.
 *
 * <p>Times in microseconds. One thread. O(messages under way) memory.
 */
public final class VirtualFleet {
    /** What happens to one datagram. */
    public enum Fate {
        ARRIVES,
        LOST,
        TWICE,
        LATE
    }

    /** One machine and its process, if one is running. */
    public final class Machine {
        private final int number;
        private Fleet fleet;
        private boolean running;
        private boolean stopped;
        private boolean machineGone;
        private int starts;
        private long delayMicros;
        private long incarnation;

        private Machine(int number) {
            this.number = number;
        }

        private String address() {
            return "10.0.0." + number + ":1";
        }

        public boolean running() {
            return running;
        }

        /** Starts a process with these machines as seeds. */
        public void start(int... seeds) {
            running = true;
            stopped = false;
            long mine = ++incarnation;
            ProcessId id = new ProcessId("p" + number, ProcessId.generation(now() / 1_000 + clockStep, ++starts));
            fleet = new Fleet(settings, id, address(), random.nextLong(), new Fleet.Actions() {
                @Override
                public void send(String address, Message message) {
                    if (incarnation == mine) {
                        transmit(Machine.this, address, message);
                    }
                }

                @Override
                public void inquire(String address) {
                    Machine target = at(address);
                    if (target != null
                            && !target.running
                            && !target.machineGone
                            && !cut(Machine.this, target)
                            && !cut(target, Machine.this)) {
                        after(delay() * 2, () -> ifRunning(mine, () -> fleet.refused(now(), address)));
                    }
                }

                @Override
                public void changed() {}

                @Override
                public void log(String text) {
                    lines.add(now() / 1_000 + " " + number + ": " + text);
                }
            });
            List<String> addresses = new ArrayList<>();
            for (int seed : seeds) {
                addresses.add(machines.get(seed).address());
            }
            fleet.start(now(), addresses);
            after(random.nextLong(settings.step()), () -> step(mine));
        }

        /** Shifts the clock from which the next start takes its generation, in milliseconds. */
        public void clock(long millis) {
            clockStep = millis;
        }

        private long clockStep;

        private void step(long mine) {
            if (incarnation != mine || !running) {
                return;
            }
            if (!stopped) {
                fleet.step(now());
            }
            after(settings.step() + delayMicros, () -> step(mine));
        }

        private void ifRunning(long mine, Runnable what) {
            if (incarnation == mine && running && !stopped) {
                what.run();
            }
        }

        /** Ends it with no word; its machine refuses from now on unless it is {@code machineGone}, gone with it. */
        public void kill(boolean alsoMachine) {
            running = false;
            machineGone = alsoMachine;
            incarnation++;
        }

        /** Shuts the process down gracefully. */
        public void leave() {
            fleet.leave(now());
            kill(false);
        }

        public void stop(boolean stop) {
            stopped = stop;
        }

        /** Delays each step and each datagram. */
        public void slow(long micros) {
            delayMicros = micros;
        }

        public Fleet fleet() {
            return fleet;
        }

        public FleetView view() {
            return fleet.view(now());
        }
    }

    private static final int LATE_PERIODS = 3;

    private final FleetSettings settings;
    private final SplittableRandom random;
    private final VirtualTime time = new VirtualTime(1_000_000_000L);
    private final List<Machine> machines = new ArrayList<>();
    private final List<String> lines = new ArrayList<>();
    private final ToIntFunction<Message> sizes;
    private double loss;
    private double duplication;
    private long latency = 500;
    private long jitter = 500;
    private BiPredicate<Integer, Integer> cut = (from, to) -> false;
    private LongFunction<Fate> chosenFates;
    private long messages;
    private long bytes;
    private long largestMessage;

    /** So many machines with nothing on them; {@code sizes} tells what a message takes, in bytes. */
    public VirtualFleet(int machineCount, FleetSettings settings, long seed, ToIntFunction<Message> sizes) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.sizes = sizes;
        for (int i = 0; i < machineCount; i++) {
            machines.add(new Machine(i));
        }
    }

    /** Starts a process on each machine, with the first three as seeds. */
    public VirtualFleet startAll() {
        for (Machine machine : machines) {
            machine.start(0, Math.min(1, machines.size() - 1), Math.min(2, machines.size() - 1));
        }
        return this;
    }

    public Machine machine(int number) {
        return machines.get(number);
    }

    public List<Machine> machines() {
        return machines;
    }

    public long now() {
        return time.now();
    }

    /** Log lines of all processes. */
    public List<String> lines() {
        return lines;
    }

    /** Sets the shares of datagrams that are lost and duplicated. */
    public void lose(double lost, double twice) {
        loss = lost;
        duplication = twice;
    }

    /** Sets the minimum one-way delay and the random delay added to it. */
    public void delays(long least, long drawn) {
        latency = least;
        jitter = Math.max(1, drawn);
    }

    /**
     * From now on what becomes of each datagram is chosen by its number since the start, in place of chance: for a walk
     * through all that may happen. Late is three periods late.
     */
    public void fates(LongFunction<Fate> chosen) {
        chosenFates = chosen;
    }

    /** Cuts the directed links for which the predicate holds. */
    public void cut(BiPredicate<Integer, Integer> fromTo) {
        cut = fromTo;
    }

    /** Partitions the fleet into groups; a machine reaches only its own group. */
    public void split(ToIntFunction<Integer> group) {
        cut = (from, to) -> group.applyAsInt(from) != group.applyAsInt(to);
    }

    public void heal() {
        cut = (from, to) -> false;
    }

    private boolean cut(Machine from, Machine to) {
        return cut.test(from.number, to.number);
    }

    private long delay() {
        return latency + random.nextLong(jitter);
    }

    private Machine at(String address) {
        int number = Integer.parseInt(address.substring(address.lastIndexOf('.') + 1, address.indexOf(':')));
        return number < machines.size() ? machines.get(number) : null;
    }

    private void after(long micros, Runnable run) {
        time.after(micros, run);
    }

    private void transmit(Machine from, String address, Message message) {
        messages++;
        int size = sizes.applyAsInt(message);
        bytes += size;
        largestMessage = Math.max(largestMessage, size);
        Machine to = at(address);
        Fate fate = chosenFates != null
                ? chosenFates.apply(messages - 1)
                : random.nextDouble() < loss
                        ? Fate.LOST
                        : random.nextDouble() < duplication ? Fate.TWICE : Fate.ARRIVES;
        int copies = fate == Fate.LOST ? 0 : fate == Fate.TWICE ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            after(delay() + from.delayMicros + (fate == Fate.LATE ? LATE_PERIODS * settings.period() : 0), () -> {
                if (to != null && !cut(from, to)) {
                    deliver(to, from.address(), message);
                }
            });
        }
    }

    private void deliver(Machine to, String from, Message message) {
        if (!to.running) {
            return;
        }
        if (to.stopped || to.delayMicros > 0 && random.nextInt(2) == 0) {
            // The operating system buffers the datagram until the process runs again.
            long life = to.incarnation;
            after(Math.max(settings.step(), to.delayMicros), () -> {
                if (to.incarnation == life) {
                    deliver(to, from, message);
                }
            });
            return;
        }
        to.fleet.received(now(), from, message);
    }

    /** Runs for a duration. */
    public void run(long micros) {
        until(now() + micros, all -> false);
    }

    /** Runs until that holds, at most for so long; returns how long it took, or -1 where it never held. */
    public long await(long atMost, Predicate<VirtualFleet> holds) {
        long begun = now();
        return until(begun + atMost, holds) ? now() - begun : -1;
    }

    private boolean until(long end, Predicate<VirtualFleet> holds) {
        return time.run(end, settings.step(), () -> holds.test(this));
    }

    /** Whether all running machines of {@code group} hold exactly each other to be live. */
    public boolean agree(Predicate<Integer> group) {
        long digest = 0;
        int live = -1;
        int running = 0;
        for (Machine machine : machines) {
            if (machine.running && group.test(machine.number)) {
                running++;
                FleetView view = machine.view();
                if (live >= 0 && view.digest() != digest) {
                    return false;
                }
                digest = view.digest();
                live = view.live();
            }
        }
        return live == running;
    }

    public boolean agree() {
        return agree(number -> true);
    }

    /** Current number of running processes reported dead by running processes, over all views. */
    public int falselyDead() {
        int sum = 0;
        for (Machine machine : machines) {
            if (!machine.running) {
                continue;
            }
            for (FleetView.MemberView member : machine.view().members()) {
                Machine other = at(member.address());
                sum += !member.state().live()
                                && other.running
                                && other.fleet.self().equals(member.id())
                        ? 1
                        : 0;
            }
        }
        return sum;
    }

    /** Current number of suspicions over all views. */
    public int suspicions() {
        int sum = 0;
        for (Machine machine : machines) {
            if (machine.running) {
                sum += (int) machine.view().members().stream()
                        .filter(member -> member.state() == Claim.State.SUSPECT)
                        .count();
            }
        }
        return sum;
    }

    /** Datagrams sent since the start. */
    public long messages() {
        return messages;
    }

    /** Bytes of all datagrams sent. */
    public long bytes() {
        return bytes;
    }

    /** Size of the largest datagram in bytes. */
    public long largest() {
        return largestMessage;
    }
}
