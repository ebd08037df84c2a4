package gorsemast.simulation;

import java.util.List;

/** Replaces, restarts and adds core machines. Single-threaded; times in microseconds. */
final class Replacements {
    private static final long EMPTY_MICROS = 1_000_000;
    private static final long AGAIN_MICROS = 500_000;

    private static final long ENDED_MICROS = 10_000;
    private static final long RESTART_MICROS = 300_000;

    private final Simulation simulation;
    private final MachineFaults machines;

    Replacements(Simulation simulation, MachineFaults machines) {
        this.simulation = simulation;
        this.machines = machines;
    }

    /** A machine is lost for good; an empty one replaces it later at another address. */
    void replaceLost(Machine machine) {
        simulation.replacing(1);
        simulation.stop(machine, true);
        machine.removed = true;
        simulation.connectivity.recordEvent();
        simulation.updateSeedsLater();
        simulation.time.after(EMPTY_MICROS, () -> {
            addMachine(machine.zone, machine.ip);
            simulation.replacing(-1);
        });
    }

    private Machine addMachine(String zone, String instead) {
        Machine next = simulation.add(zone, true);
        simulation.logEvent(next.ip + " is added" + (instead == null ? "" : " in place of " + instead));
        simulation.start(next, false);
        simulation.connectivity.recordEvent();
        simulation.updateSeedsLater();
        return next;
    }

    /** Adds the new machine, gives it time to sync, then stops the old one gracefully and removes it. */
    void replacePlanned(Machine machine, Runnable then) {
        addMachine(machine.zone, machine.ip);
        simulation.time.after(Simulation.SYNC_MICROS, () -> leave(machine, then));
    }

    private void leave(Machine machine, Runnable then) {
        if (machine.removed) {
            return;
        }
        if (!simulation.mayLose(1)) {
            simulation.time.after(AGAIN_MICROS, () -> leave(machine, then));
            return;
        }
        machine.beginFault();
        stopGracefully(machine, () -> {
            simulation.stop(machine, true);
            machine.removed = true;
            simulation.connectivity.recordEvent();
            simulation.updateSeedsLater();
            then.run();
        });
    }

    /** Asks the processes of a machine to leave; continues when they have ended or the grace period is over. */
    private void stopGracefully(Machine machine, Runnable then) {
        simulation.logEvent(machine.ip + " is asked to leave");
        if (simulation.primaryExcept(null) == machine) {
            simulation.watch(Outcome.TAKEN_OVER + "SIGTERM", () -> simulation.primaryExcept(machine) != null);
        }
        simulation.connectivity.recordEvent();
        long until = simulation.time.now() + Simulation.GRACE_MICROS;
        List.copyOf(machine.processes).forEach(one -> one.run(one::leave));
        awaitExit(machine, until, then);
    }

    private void awaitExit(Machine machine, long until, Runnable then) {
        if (simulation.time.now() >= until || machine.processes.stream().noneMatch(one -> one.alive)) {
            then.run();
        } else {
            simulation.time.after(ENDED_MICROS, () -> awaitExit(machine, until, then));
        }
    }

    /** Restarts the machines gracefully one after the other. */
    void roll(List<Machine> left) {
        if (left.isEmpty()) {
            return;
        }
        Machine machine = left.get(0);
        if (!simulation.mayLose(1) || machine.removed) {
            simulation.time.after(AGAIN_MICROS, () -> roll(machine.removed ? left.subList(1, left.size()) : left));
            return;
        }
        machine.beginFault();
        stopGracefully(machine, () -> {
            machines.restart(machine, false, RESTART_MICROS);
            machine.endFault(simulation.time.now());
            simulation.time.after(AGAIN_MICROS, () -> roll(left.subList(1, left.size())));
        });
    }

    /** Replaces all machines one after the other, so that every initial seed list becomes stale. */
    void replaceAll() {
        List<Machine> old = simulation.machines(true);
        for (int i = 0; i < old.size(); i++) {
            Machine machine = old.get(i);
            simulation.time.after(i * (2 * Simulation.SYNC_MICROS + Simulation.GRACE_MICROS), () -> {
                if (!machine.removed) {
                    replacePlanned(machine, () -> {});
                }
            });
        }
    }

    /** Adds one more machine with an empty disk. */
    void addSpare() {
        addMachine(new String[] {"a", "b", "c"}[simulation.machines(true).size() % 3], null);
    }
}
