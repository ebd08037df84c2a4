package gorsemast.simulation;

import gorsemast.peer.PeerMessage.Program;
import java.util.ArrayList;
import java.util.List;

/** Injects network partitions and link delays. Single-threaded; times in microseconds. */
final class LinkFaults {
    private static final long RESTART_MICROS = 300_000;
    private static final long APART_MICROS = 1_500_000;
    private static final long LEAST_HOLD = 300_000;
    private static final long SPREAD_HOLD = 3_500_000;

    private final Simulation simulation;
    private final MachineFaults machines;

    LinkFaults(Simulation simulation, MachineFaults machines) {
        this.simulation = simulation;
        this.machines = machines;
    }

    /** The core machines of the zone selected by {@code n}. */
    List<Machine> coreMachinesOfZone(int n) {
        return machinesOfZone(n, true);
    }

    private List<Machine> machinesOfZone(int n, boolean core) {
        String zone = new String[] {"a", "b", "c"}[n % 3];
        return simulation.machines(core).stream()
                .filter(one -> one.zone.equals(zone))
                .toList();
    }

    private void cut(List<Machine> these, List<Machine> those, NetworkLinks.Cut how, boolean out, boolean in) {
        for (Machine one : these) {
            for (Machine other : those) {
                if (out) {
                    simulation.links.cut(one, other, how);
                }
                if (in) {
                    simulation.links.cut(other, one, how);
                }
            }
        }
    }

    private void trackFault(List<Machine> these, List<Machine> those, long span) {
        these.forEach(Machine::beginFault);
        simulation.connectivity.recordLinkFault(true);
        simulation.time.after(span, () -> {
            cut(these, those, null, true, true);
            simulation.connectivity.recordLinkFault(false);
            for (Machine one : these) {
                one.endFault(simulation.time.now());
                machines.back(one, "a cut");
            }
        });
    }

    private List<Machine> otherCores(List<Machine> these) {
        List<Machine> others = new ArrayList<>(simulation.machines(true));
        others.removeAll(these);
        return others;
    }

    /**
     * Cuts a machine off from all core machines; edges reach it as before.
     *
     * @param out whether what it sends is lost
     * @param in whether what it is sent is lost
     */
    void isolate(Machine machine, long span, NetworkLinks.Cut how, boolean out, boolean in) {
        List<Machine> others = otherCores(List.of(machine));
        cut(List.of(machine), others, how, out, in);
        trackFault(List.of(machine), others, span);
    }

    /**
     * Partitions the network: the given core machines and the edges of the first one's zone against all others. An edge on each
     * side is restarted, a server starts that knows only the minority side, and changes and reads go to all machines.
     *
     * @param restarts whether the cut-off machines are restarted, and the other core machines after them
     */
    void partition(List<Machine> cores, long span, NetworkLinks.Cut how, boolean restarts) {
        List<Machine> these = new ArrayList<>(cores);
        simulation.machines(false).stream()
                .filter(one -> one.zone.equals(cores.get(0).zone))
                .forEach(these::add);
        List<Machine> those = new ArrayList<>(simulation.machines(true));
        those.addAll(simulation.machines(false));
        those.removeAll(these);
        cut(these, those, how, true, true);
        trackFault(these, those, span);
        disturbBothSides(cores.get(0), these, those, span);
        if (restarts) {
            simulation.time.after(span / 3, () -> cores.forEach(one -> machines.restart(one, false, RESTART_MICROS)));
            List<Machine> others = otherCores(cores);
            for (int i = 0; i < others.size(); i++) {
                Machine other = others.get(i);
                simulation.time.after(
                        span / 3 + (i + 1) * APART_MICROS, () -> machines.restart(other, false, RESTART_MICROS));
            }
        }
    }

    private void disturbBothSides(Machine first, List<Machine> these, List<Machine> those, long span) {
        simulation.time.after(span / 4, () -> {
            simulation.operator.readAll();
            for (List<Machine> side : List.of(these, those)) {
                side.stream()
                        .filter(one -> !one.core && simulation.process(Program.PROXY, one) != null)
                        .findFirst()
                        .ifPresent(one -> machines.restart(one, false, RESTART_MICROS));
            }
            simulation.server("orders", 6).setPreferred(first);
        });
        simulation.time.after(span / 2, () -> {
            simulation.operator.configure(() -> {});
            simulation.operator.readAll();
        });
        simulation.time.after(span - span / 8, simulation.operator::readAll);
    }

    /** Cuts a machine off, puts it first on the seed list, and restarts some edges. */
    void isolateFirstSeed(Machine machine, long span, NetworkLinks.Cut how) {
        simulation.firstSeed = machine.ip;
        simulation.time.after(span, () -> simulation.firstSeed = null);
        isolate(machine, span, how, true, true);
        simulation.time.after(span / 5, () -> {
            simulation.operator.configure(() -> {});
            simulation.operator.readAll();
            List<Machine> edges = simulation.machines(false);
            for (int i = 0; i < edges.size(); i += 2) {
                machines.restart(edges.get(i), false, RESTART_MICROS);
            }
        });
    }

    /** Delays messages between a machine and the others by up to some seconds, keeping their order. */
    void delayLinks(Machine machine, List<Machine> others, long span) {
        long most = LEAST_HOLD + simulation.random.nextLong(SPREAD_HOLD);
        simulation.logEvent(
                machine.ip + " and " + others.stream().map(one -> one.ip).toList()
                        + " receive each other's messages late by " + most / 1_000 + " ms");
        setDelays(machine, others, most);
        simulation.time.after(span, () -> {
            setDelays(machine, others, 0);
            if (machine.core) {
                simulation.connectivity.recordSlowdown(false);
            }
            simulation.connectivity.recordLinkFault(false);
            machine.endFault(simulation.time.now());
        });
        machine.beginFault();
        if (machine.core) {
            simulation.connectivity.recordSlowdown(true);
        }
        simulation.connectivity.recordLinkFault(true);
    }

    private void setDelays(Machine machine, List<Machine> others, long most) {
        for (Machine other : others) {
            simulation.links.delayMessages(machine, other, most);
            simulation.links.delayMessages(other, machine, most);
        }
    }

    /** Blocks what all registries but one send; what stores send still arrives. */
    void blockRegistryUpdates(Machine heard, long span) {
        List<Machine> held = otherCores(List.of(heard));
        List<Machine> all = new ArrayList<>(simulation.machines(true));
        all.addAll(simulation.machines(false));
        simulation.connectivity.recordSlowdown(true);
        simulation.connectivity.recordLinkFault(true);
        blockRegistryUpdates(held, all, true);
        simulation.time.after(span, () -> {
            blockRegistryUpdates(held, all, false);
            simulation.connectivity.recordSlowdown(false);
            simulation.connectivity.recordLinkFault(false);
        });
    }

    private void blockRegistryUpdates(List<Machine> held, List<Machine> all, boolean does) {
        for (Machine from : held) {
            for (Machine to : all) {
                if (from != to) {
                    simulation.links.blockProgram(Program.REGISTRY, from, to, does);
                }
            }
        }
    }

    /** All machines of a zone lose power or are cut off from the others. */
    void failZone(int n, long span, boolean power) {
        List<Machine> these = new ArrayList<>(machinesOfZone(n, true));
        these.addAll(machinesOfZone(n, false));
        if (power) {
            these.forEach(one -> machines.restart(one, true, span));
            return;
        }
        List<Machine> those = new ArrayList<>(simulation.machines(true));
        those.addAll(simulation.machines(false));
        those.removeAll(these);
        cut(these, those, NetworkLinks.Cut.of(n), true, true);
        trackFault(these, those, span);
    }
}
