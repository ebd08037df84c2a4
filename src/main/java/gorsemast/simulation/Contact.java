package gorsemast.simulation;

import java.util.ArrayList;
import java.util.List;

/**
 * Who is in touch, and whether the core is settled, as the operators' rules have it. An edge or core machine is in touch when
 * for {@link World#CONTACT_MICROS} nothing has troubled its processes, disk, clock or links, the core was settled, and it
 * had a path both ways to each running core machine that itself reaches more than half of the core. The core is settled when more
 * than half of it runs and is connected, {@link World#CONTACT_MICROS} have passed since the last event at a core machine or cut
 * between two, and none is slowed or was in that time. One thread; times in microseconds of the world's clock.
 */
final class Contact {
    /** What changes without an event, as processes that start do, is seen after so long. */
    private static final long LOOK_MICROS = 5_000;

    private final World world;
    private long lastEvent;
    private int slowed;
    /** When more than half of the core was last seen not to run connected and unslowed. */
    private long majorityLost;

    private boolean most;
    /** When that was last looked at. */
    private long looked = Long.MIN_VALUE;

    private int linkTroubles;
    private long linksCalmSince;

    Contact(World world) {
        this.world = world;
    }

    private long now() {
        return world.time.now();
    }

    /** A core machine was killed, stopped, started, frozen, thawed, removed, its clock stepped; or two were cut or joined. */
    void event() {
        lastEvent = now();
        looked = Long.MIN_VALUE;
        majority();
    }

    /** A core machine or the way between two turns slow ({@code true}) or is so no more. */
    void slowed(boolean begins) {
        slowed += begins ? 1 : -1;
        event();
    }

    /** Some link is in trouble ({@code true}), or is so no more. */
    void linkTrouble(boolean begins) {
        linkTroubles += begins ? 1 : -1;
        linksCalmSince = now();
    }

    private boolean runs(Machine machine) {
        return machine.power
                && !machine.gone
                && machine.frozenUntil <= now()
                && machine.processes.stream().anyMatch(one -> one.alive);
    }

    /** Whether two machines have a path both ways. */
    private boolean path(Machine a, Machine b) {
        return a == b || !world.ways.cut(a, b) && !world.ways.cut(b, a);
    }

    /** Whether a core machine itself reaches more than half of the core, itself counted. */
    boolean reachesMost(Machine machine) {
        List<Machine> core = world.machines(true);
        long reached =
                core.stream().filter(one -> runs(one) && path(machine, one)).count();
        return 2 * reached > core.size();
    }

    /** Whether more than half of the core runs and is connected now. */
    boolean majority() {
        if (looked + LOOK_MICROS < now()) {
            looked = now();
            most = slowed == 0 && mostRuns();
        }
        if (!most) {
            majorityLost = now();
        }
        return most;
    }

    private boolean mostRuns() {
        List<Machine> core = world.machines(true);
        List<Machine> best = new ArrayList<>();
        for (Machine middle : core) {
            List<Machine> together = new ArrayList<>();
            for (Machine one : core) {
                if (runs(one) && path(middle, one) && together.stream().allMatch(other -> path(other, one))) {
                    together.add(one);
                }
            }
            best = together.size() > best.size() ? together : best;
        }
        return 2 * best.size() > core.size();
    }

    /** For so long the core has been settled; negative where it is not. */
    long settledFor() {
        return slowed > 0 || !majority() ? -1 : now() - Math.max(lastEvent, majorityLost) - World.CONTACT_MICROS;
    }

    /** For so long more than half of the core has run connected and unslowed, settled or not. */
    long majorityFor() {
        return majority() ? now() - majorityLost : 0;
    }

    /** For so long no link has been in trouble. */
    long linksCalmFor() {
        return linkTroubles > 0 ? 0 : now() - linksCalmSince;
    }

    /** For how long in one stretch the core has been settled with no link in trouble; negative where it is not so. */
    long stretch() {
        return linkTroubles > 0 ? -1 : Math.min(settledFor(), linksCalmFor());
    }

    /** Whether nothing troubles the machine itself, and it reaches who reaches most of the core; the core may be unsettled. */
    boolean well(Machine machine) {
        if (machine.calmFor(now()) < World.CONTACT_MICROS
                || now() - machine.pathChanged < World.CONTACT_MICROS
                || machine.frozenUntil > now()) {
            return false;
        }
        return world.machines(true).stream().allMatch(one -> path(machine, one) || !runs(one) || !reachesMost(one));
    }

    /** Whether the machine is in touch now. */
    boolean touch(Machine machine) {
        return settledFor() >= 0 && well(machine);
    }

    /** How many counted machines are lost now: down, frozen, slowed or cut off, or back for less than the time to sync. */
    int lost() {
        return (int) world.machines(true).stream()
                .filter(one -> one.calmFor(now()) < World.SYNC_MICROS)
                .count();
    }
}
