package gorsemast.simulation;

import java.util.ArrayList;
import java.util.List;

/**
 * Tracks which machines count as connected and whether the core is settled, by the operators' rules. An edge or core machine
 * is connected when for {@link Simulation#CONNECTED_AFTER_MICROS} no fault has affected its processes, disk, clock or links, the core was settled, and it
 * had a path both ways to each running core machine that itself reaches more than half of the core. The core is settled when more
 * than half of it runs and is connected, {@link Simulation#CONNECTED_AFTER_MICROS} have passed since the last event at a core machine or cut
 * between two, and none is slowed or was in that time. Single-threaded; times in microseconds of the simulation's clock.
 */
final class Connectivity {
    /** Changes that raise no event, such as a process start, are noticed within this time. */
    private static final long CHECK_INTERVAL_MICROS = 5_000;

    private final Simulation simulation;
    private long lastEvent;
    private int slowed;
    /** When more than half of the core was last seen not to run connected and unslowed. */
    private long majorityLost;

    private boolean most;
    /** When the majority was last computed. */
    private long looked = Long.MIN_VALUE;

    private int linkFaults;
    private long linksCalmSince;

    Connectivity(Simulation simulation) {
        this.simulation = simulation;
    }

    private long now() {
        return simulation.time.now();
    }

    /** A core machine was killed, stopped, started, frozen, thawed, removed, its clock stepped; or two were cut or joined. */
    void recordEvent() {
        lastEvent = now();
        looked = Long.MIN_VALUE;
        hasMajority();
    }

    /** A core machine or a link between two becomes slow ({@code true}) or recovers. */
    void recordSlowdown(boolean begins) {
        slowed += begins ? 1 : -1;
        recordEvent();
    }

    /** A fault on some link begins ({@code true}) or ends. */
    void recordLinkFault(boolean begins) {
        linkFaults += begins ? 1 : -1;
        linksCalmSince = now();
    }

    private boolean isRunning(Machine machine) {
        return machine.power
                && !machine.removed
                && machine.frozenUntil <= now()
                && machine.processes.stream().anyMatch(one -> one.alive);
    }

    /** Whether two machines have a path both ways. */
    private boolean hasPath(Machine a, Machine b) {
        return a == b || !simulation.links.isCut(a, b) && !simulation.links.isCut(b, a);
    }

    /** Whether a core machine itself reaches more than half of the core, itself counted. */
    boolean reachesMajority(Machine machine) {
        List<Machine> core = simulation.machines(true);
        long reached = core.stream()
                .filter(one -> isRunning(one) && hasPath(machine, one))
                .count();
        return 2 * reached > core.size();
    }

    /** Whether more than half of the core runs and is connected now. */
    boolean hasMajority() {
        if (looked + CHECK_INTERVAL_MICROS < now()) {
            looked = now();
            most = slowed == 0 && computeMajority();
        }
        if (!most) {
            majorityLost = now();
        }
        return most;
    }

    private boolean computeMajority() {
        List<Machine> core = simulation.machines(true);
        List<Machine> best = new ArrayList<>();
        for (Machine middle : core) {
            List<Machine> together = new ArrayList<>();
            for (Machine one : core) {
                if (isRunning(one)
                        && hasPath(middle, one)
                        && together.stream().allMatch(other -> hasPath(other, one))) {
                    together.add(one);
                }
            }
            best = together.size() > best.size() ? together : best;
        }
        return 2 * best.size() > core.size();
    }

    /** For how long the core has been settled; negative if it is not. */
    long settledFor() {
        return slowed > 0 || !hasMajority()
                ? -1
                : now() - Math.max(lastEvent, majorityLost) - Simulation.CONNECTED_AFTER_MICROS;
    }

    /** For how long more than half of the core has run connected and unslowed, settled or not. */
    long majorityFor() {
        return hasMajority() ? now() - majorityLost : 0;
    }

    /** For how long no link has had a fault. */
    long linksCalmFor() {
        return linkFaults > 0 ? 0 : now() - linksCalmSince;
    }

    /** For how long without interruption the core has been settled with no link fault; negative if it is not. */
    long calmFor() {
        return linkFaults > 0 ? -1 : Math.min(settledFor(), linksCalmFor());
    }

    /** Whether the machine has no fault and reaches every machine that reaches a majority of the core, which may be unsettled. */
    boolean isHealthy(Machine machine) {
        if (machine.calmFor(now()) < Simulation.CONNECTED_AFTER_MICROS
                || now() - machine.pathChanged < Simulation.CONNECTED_AFTER_MICROS
                || machine.frozenUntil > now()) {
            return false;
        }
        return simulation.machines(true).stream()
                .allMatch(one -> hasPath(machine, one) || !isRunning(one) || !reachesMajority(one));
    }

    /** Whether the machine is connected now. */
    boolean isConnected(Machine machine) {
        return settledFor() >= 0 && isHealthy(machine);
    }

    /** The number of core machines lost now: down, frozen, slowed or cut off, or back for less than the time to sync. */
    int lostMachines() {
        return (int) simulation.machines(true).stream()
                .filter(one -> one.calmFor(now()) < Simulation.SYNC_MICROS)
                .count();
    }
}
