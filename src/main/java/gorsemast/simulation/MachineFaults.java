package gorsemast.simulation;

import gorsemast.peer.PeerMessage.Program;
import java.util.List;
import java.util.Set;

/** Injects faults into machines, their processes and disks. Single-threaded; times in microseconds. */
final class MachineFaults {
    /** The slowest disks that operators see. */
    private static final int SLOW_DISK_TIMES = 30;

    private final Simulation simulation;

    MachineFaults(Simulation simulation) {
        this.simulation = simulation;
    }

    /** Marks the machine as faulty for the given time. */
    private void trackFault(Machine machine, long span, boolean event, Runnable over) {
        machine.beginFault();
        if (machine.core && event) {
            simulation.connectivity.recordEvent();
        }
        simulation.time.after(span, () -> {
            over.run();
            machine.endFault(simulation.time.now());
            if (machine.core && event) {
                simulation.connectivity.recordEvent();
            }
        });
    }

    /** Ends the machine's processes or its power and restarts it after {@code down}. */
    void restart(Machine machine, boolean power, long down) {
        if (machine.removed) {
            return;
        }
        simulation.stop(machine, power);
        int stopped = machine.stops;
        trackFault(machine, down, true, () -> {
            if (!machine.removed && machine.stops == stopped) {
                simulation.logEvent(machine.ip + " starts");
                simulation.start(machine, false);
            }
        });
    }

    /** The machine loses power and its disk. */
    void wipe(Machine machine, long down) {
        if (!machine.removed) {
            restart(machine, true, down);
            simulation.logEvent(machine.ip + " loses its disk");
            machine.disk = new Machine.Disk();
        }
    }

    void roll(int number) {
        List<Machine> edges = simulation.machines(false);
        if (number >= edges.size()) {
            return;
        }
        Machine machine = edges.get(number);
        Process process = simulation.process(Program.PROXY, machine);
        if (process != null) {
            process.run(process::leave);
        }
        trackFault(machine, 3_300_000, false, () -> {
            simulation.stop(machine, false);
            simulation.start(machine, false);
        });
        simulation.time.after(1_300_000, () -> roll(number + 1));
    }

    /** All processes reload their settings with the operator's current seed list. */
    void reload() {
        Set<String> seeds = simulation.seeds();
        for (boolean core : new boolean[] {true, false}) {
            for (Machine machine : simulation.machines(core)) {
                for (Process process : machine.processes) {
                    process.run(() -> {
                        if (process instanceof Edge edge) {
                            edge.proxyNode.addSeeds(seeds);
                        } else if (process instanceof CoreProcesses.Registry registry) {
                            registry.registryNode.addSeeds(seeds);
                        } else if (process instanceof CoreProcesses.Store store) {
                            store.storeNode.replaceSeeds(seeds);
                        }
                    });
                }
            }
        }
    }

    void freeze(Machine machine, long span) {
        machine.frozenUntil = simulation.time.now() + span;
        trackFault(machine, span, true, () -> back(machine, "a freeze"));
    }

    /** Measures how long an edge takes until it has caught up with the core. */
    void back(Machine machine, String after) {
        if (!machine.core && !machine.removed) {
            simulation.watch(Outcome.CAUGHT_UP + after, () -> simulation.isCaughtUp(machine));
        }
    }

    /** Its disk completes no write. */
    void stall(Machine machine, long span) {
        machine.stalledUntil = simulation.time.now() + span;
        slowed(machine, span, () -> {});
    }

    /** Its disk is slow at each write. */
    void slowDisk(Machine machine, long span) {
        machine.diskTimes = SLOW_DISK_TIMES;
        slowed(machine, span, () -> machine.diskTimes = 1);
    }

    /** Its disk is full; retried writes succeed once there is space. */
    void fullDisk(Machine machine, long span) {
        machine.fullUntil = simulation.time.now() + span;
        slowed(machine, span, () -> {});
    }

    /** A disk fault counts as a fault of its machine; by the rules the core stays settled. */
    private void slowed(Machine machine, long span, Runnable over) {
        trackFault(machine, span, false, over);
    }

    void clock(Machine machine, long span) {
        machine.clockError = simulation.random.nextBoolean() ? 3_000_000 : -3_000_000;
        trackFault(machine, span, true, () -> machine.clockError = 0);
    }
}
