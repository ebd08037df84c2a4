package gorsemast.simulation;

import gorsemast.peer.PeerMessage.Program;
import java.util.ArrayList;
import java.util.List;

/** Cuts between machines, and links that are held up. One thread; microseconds. */
final class CutTroubles {
    private static final long RESTART_MICROS = 300_000;
    private static final long APART_MICROS = 1_500_000;
    private static final long LEAST_HOLD = 300_000;
    private static final long SPREAD_HOLD = 3_500_000;

    private final World world;
    private final MachineTroubles machines;

    CutTroubles(World world, MachineTroubles machines) {
        this.world = world;
        this.machines = machines;
    }

    /** Core machines of the zone that a number picks. */
    List<Machine> coresOf(int n) {
        return ofZone(n, true);
    }

    private List<Machine> ofZone(int n, boolean core) {
        String zone = new String[] {"a", "b", "c"}[n % 3];
        return world.machines(core).stream()
                .filter(one -> one.zone.equals(zone))
                .toList();
    }

    private void cut(List<Machine> these, List<Machine> those, Ways.Cut how, boolean out, boolean in) {
        for (Machine one : these) {
            for (Machine other : those) {
                if (out) {
                    world.ways.cut(one, other, how);
                }
                if (in) {
                    world.ways.cut(other, one, how);
                }
            }
        }
    }

    private void troubled(List<Machine> these, List<Machine> those, long span) {
        these.forEach(Machine::trouble);
        world.contact.linkTrouble(true);
        world.time.after(span, () -> {
            cut(these, those, null, true, true);
            world.contact.linkTrouble(false);
            for (Machine one : these) {
                one.calm(world.time.now());
                machines.back(one, "a cut");
            }
        });
    }

    private List<Machine> otherCores(List<Machine> these) {
        List<Machine> others = new ArrayList<>(world.machines(true));
        others.removeAll(these);
        return others;
    }

    /**
     * A machine reaches no core machine; edges reach it as before.
     *
     * @param out what it sends is lost
     * @param in what it is sent is lost
     */
    void off(Machine machine, long span, Ways.Cut how, boolean out, boolean in) {
        List<Machine> others = otherCores(List.of(machine));
        cut(List.of(machine), others, how, out, in);
        troubled(List.of(machine), others, span);
    }

    /**
     * Core machines and the edges of the first one's zone are on one side, all others on the other one. An edge of each side is
     * killed and comes back there; a server starts that knows the cut-off side alone; orders and reads go to all.
     *
     * @param restarts those that are cut off are killed, and the other core machines after them
     */
    void sides(List<Machine> cores, long span, Ways.Cut how, boolean restarts) {
        List<Machine> these = new ArrayList<>(cores);
        world.machines(false).stream()
                .filter(one -> one.zone.equals(cores.get(0).zone))
                .forEach(these::add);
        List<Machine> those = new ArrayList<>(world.machines(true));
        those.addAll(world.machines(false));
        those.removeAll(these);
        cut(these, those, how, true, true);
        troubled(these, those, span);
        bothSides(cores.get(0), these, those, span);
        if (restarts) {
            world.time.after(span / 3, () -> cores.forEach(one -> machines.bounce(one, false, RESTART_MICROS)));
            List<Machine> others = otherCores(cores);
            for (int i = 0; i < others.size(); i++) {
                Machine other = others.get(i);
                world.time.after(
                        span / 3 + (i + 1) * APART_MICROS, () -> machines.bounce(other, false, RESTART_MICROS));
            }
        }
    }

    private void bothSides(Machine first, List<Machine> these, List<Machine> those, long span) {
        world.time.after(span / 4, () -> {
            world.operator.readAll();
            for (List<Machine> side : List.of(these, those)) {
                side.stream()
                        .filter(one -> !one.core && world.process(Program.PROXY, one) != null)
                        .findFirst()
                        .ifPresent(one -> machines.bounce(one, false, RESTART_MICROS));
            }
            world.server("orders", 6).prefers(first);
        });
        world.time.after(span / 2, () -> {
            world.operator.configure(() -> {});
            world.operator.readAll();
        });
        world.time.after(span - span / 8, world.operator::readAll);
    }

    /** The lists that processes start with begin with the machine that is cut off, and some are started anew. */
    void seeds(Machine machine, long span, Ways.Cut how) {
        world.firstSeed = machine.ip;
        world.time.after(span, () -> world.firstSeed = null);
        off(machine, span, how, true, true);
        world.time.after(span / 5, () -> {
            world.operator.configure(() -> {});
            world.operator.readAll();
            List<Machine> edges = world.machines(false);
            for (int i = 0; i < edges.size(); i += 2) {
                machines.bounce(edges.get(i), false, RESTART_MICROS);
            }
        });
    }

    /** What a machine and others send each other comes late, by up to some seconds, and in order. */
    void hold(Machine machine, List<Machine> others, long span) {
        long most = LEAST_HOLD + world.random.nextLong(SPREAD_HOLD);
        world.say(machine.ip + " and " + others.stream().map(one -> one.ip).toList() + " hear each other late by "
                + most / 1_000 + " ms");
        holds(machine, others, most);
        world.time.after(span, () -> {
            holds(machine, others, 0);
            if (machine.core) {
                world.contact.slowed(false);
            }
            world.contact.linkTrouble(false);
            machine.calm(world.time.now());
        });
        machine.trouble();
        if (machine.core) {
            world.contact.slowed(true);
        }
        world.contact.linkTrouble(true);
    }

    private void holds(Machine machine, List<Machine> others, long most) {
        for (Machine other : others) {
            world.ways.hold(machine, other, most);
            world.ways.hold(other, machine, most);
        }
    }

    /** What all registries but one tell is held up, to all others; what stores tell is not. */
    void holdNews(Machine heard, long span) {
        List<Machine> held = otherCores(List.of(heard));
        List<Machine> all = new ArrayList<>(world.machines(true));
        all.addAll(world.machines(false));
        world.contact.slowed(true);
        world.contact.linkTrouble(true);
        holdNews(held, all, true);
        world.time.after(span, () -> {
            holdNews(held, all, false);
            world.contact.slowed(false);
            world.contact.linkTrouble(false);
        });
    }

    private void holdNews(List<Machine> held, List<Machine> all, boolean does) {
        for (Machine from : held) {
            for (Machine to : all) {
                if (from != to) {
                    world.ways.holdProgram(Program.REGISTRY, from, to, does);
                }
            }
        }
    }

    /** All machines of a zone lose power, or are cut off from the others. */
    void zone(int n, long span, boolean power) {
        List<Machine> these = new ArrayList<>(ofZone(n, true));
        these.addAll(ofZone(n, false));
        if (power) {
            these.forEach(one -> machines.bounce(one, true, span));
            return;
        }
        List<Machine> those = new ArrayList<>(world.machines(true));
        those.addAll(world.machines(false));
        those.removeAll(these);
        cut(these, those, Ways.Cut.of(n), true, true);
        troubled(these, those, span);
    }
}
