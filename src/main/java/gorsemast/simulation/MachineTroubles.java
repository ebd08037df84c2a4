package gorsemast.simulation;

import gorsemast.peer.PeerMessage.Program;
import java.util.List;
import java.util.Set;

/** What happens to machines, their processes and disks. One thread; microseconds. */
final class MachineTroubles {
    /** As the operators' slow disks do at most. */
    private static final int SLOW_DISK_TIMES = 30;

    private final World world;

    MachineTroubles(World world) {
        this.world = world;
    }

    /** It is in trouble for so long, from now on. */
    private void troubled(Machine machine, long span, boolean event, Runnable over) {
        machine.trouble();
        if (machine.core && event) {
            world.contact.event();
        }
        world.time.after(span, () -> {
            over.run();
            machine.calm(world.time.now());
            if (machine.core && event) {
                world.contact.event();
            }
        });
    }

    /** Its processes end, or it loses power, and come back. */
    void bounce(Machine machine, boolean power, long down) {
        if (machine.gone) {
            return;
        }
        world.stop(machine, power);
        int stopped = machine.stops;
        troubled(machine, down, true, () -> {
            if (!machine.gone && machine.stops == stopped) {
                world.say(machine.ip + " starts");
                world.start(machine, false);
            }
        });
    }

    /** It loses power, and its disk. */
    void wipe(Machine machine, long down) {
        if (!machine.gone) {
            bounce(machine, true, down);
            world.say(machine.ip + " loses its disk");
            machine.disk = new Machine.Disk();
        }
    }

    void roll(int number) {
        List<Machine> edges = world.machines(false);
        if (number >= edges.size()) {
            return;
        }
        Machine machine = edges.get(number);
        Process process = world.process(Program.PROXY, machine);
        if (process != null) {
            process.run(process::leave);
        }
        troubled(machine, 3_300_000, false, () -> {
            world.stop(machine, false);
            world.start(machine, false);
        });
        world.time.after(1_300_000, () -> roll(number + 1));
    }

    /** All read their settings again, with the operator's present list. */
    void reload() {
        Set<String> seeds = world.seeds();
        for (boolean core : new boolean[] {true, false}) {
            for (Machine machine : world.machines(core)) {
                for (Process process : machine.processes) {
                    process.run(() -> {
                        if (process instanceof Edge edge) {
                            edge.lookout.addSeeds(seeds);
                        } else if (process instanceof CoreProcesses.Registry registry) {
                            registry.office.addSeeds(seeds);
                        } else if (process instanceof CoreProcesses.Store store) {
                            store.teller.replaceSeeds(seeds);
                        }
                    });
                }
            }
        }
    }

    void freeze(Machine machine, long span) {
        machine.frozenUntil = world.time.now() + span;
        troubled(machine, span, true, () -> back(machine, "a freeze"));
    }

    /** Measures how long an edge takes until it knows again what the core does. */
    void back(Machine machine, String after) {
        if (!machine.core && !machine.gone) {
            world.watch(Outcome.CAUGHT_UP + after, () -> world.caughtUp(machine));
        }
    }

    /** Its disk finishes nothing. */
    void stall(Machine machine, long span) {
        machine.stalledUntil = world.time.now() + span;
        slowed(machine, span, () -> {});
    }

    /** Its disk takes long for each write. */
    void slowDisk(Machine machine, long span) {
        machine.diskTimes = SLOW_DISK_TIMES;
        slowed(machine, span, () -> machine.diskTimes = 1);
    }

    /** Its disk takes nothing more; what is tried again and again is written when there is room. */
    void fullDisk(Machine machine, long span) {
        machine.fullUntil = world.time.now() + span;
        slowed(machine, span, () -> {});
    }

    /** A disk in trouble is a trouble of its machine; the core stays settled, as the rules have it. */
    private void slowed(Machine machine, long span, Runnable over) {
        troubled(machine, span, false, over);
    }

    void clock(Machine machine, long span) {
        machine.clockError = world.random.nextBoolean() ? 3_000_000 : -3_000_000;
        troubled(machine, span, true, () -> machine.clockError = 0);
    }
}
