package gorsemast.simulation;

import java.util.List;

/** Core machines that are replaced or added. One thread; microseconds. */
final class Replacements {
    private static final long EMPTY_MICROS = 1_000_000;
    private static final long AGAIN_MICROS = 500_000;

    private static final long ENDED_MICROS = 10_000;
    private static final long RESTART_MICROS = 300_000;

    private final World world;
    private final MachineTroubles machines;

    Replacements(World world, MachineTroubles machines) {
        this.world = world;
        this.machines = machines;
    }

    /** One is lost for good; an empty one comes later, at another address. */
    void unplanned(Machine machine) {
        world.replacing(1);
        world.stop(machine, true);
        machine.gone = true;
        world.contact.event();
        world.listLater();
        world.time.after(EMPTY_MICROS, () -> {
            come(machine.zone, machine.ip);
            world.replacing(-1);
        });
    }

    private Machine come(String zone, String instead) {
        Machine next = world.add(zone, true);
        world.say(next.ip + " comes" + (instead == null ? "" : " in place of " + instead));
        world.start(next, false);
        world.contact.event();
        world.listLater();
        return next;
    }

    /** The new one has its time, then the old one is asked to leave, and is gone when its processes have ended. */
    void planned(Machine machine, Runnable then) {
        come(machine.zone, machine.ip);
        world.time.after(World.SYNC_MICROS, () -> leave(machine, then));
    }

    private void leave(Machine machine, Runnable then) {
        if (machine.gone) {
            return;
        }
        if (!world.mayLose(1)) {
            world.time.after(AGAIN_MICROS, () -> leave(machine, then));
            return;
        }
        machine.trouble();
        asked(machine, () -> {
            world.stop(machine, true);
            machine.gone = true;
            world.contact.event();
            world.listLater();
            then.run();
        });
    }

    /** Asks the processes of a machine to leave; then, when they have ended or the platform's patience has. */
    private void asked(Machine machine, Runnable then) {
        world.say(machine.ip + " is asked to leave");
        if (world.primaryBut(null) == machine) {
            world.watch(Outcome.TAKEN_OVER + "SIGTERM", () -> world.primaryBut(machine) != null);
        }
        world.contact.event();
        long until = world.time.now() + World.GRACE_MICROS;
        List.copyOf(machine.processes).forEach(one -> one.run(one::leave));
        ended(machine, until, then);
    }

    private void ended(Machine machine, long until, Runnable then) {
        if (world.time.now() >= until || machine.processes.stream().noneMatch(one -> one.alive)) {
            then.run();
        } else {
            world.time.after(ENDED_MICROS, () -> ended(machine, until, then));
        }
    }

    /** They are asked to leave in turn and start again. */
    void roll(List<Machine> left) {
        if (left.isEmpty()) {
            return;
        }
        Machine machine = left.get(0);
        if (!world.mayLose(1) || machine.gone) {
            world.time.after(AGAIN_MICROS, () -> roll(machine.gone ? left.subList(1, left.size()) : left));
            return;
        }
        machine.trouble();
        asked(machine, () -> {
            machines.bounce(machine, false, RESTART_MICROS);
            machine.calm(world.time.now());
            world.time.after(AGAIN_MICROS, () -> roll(left.subList(1, left.size())));
        });
    }

    /** All in turn, each planned, so that nobody's first list names one that is still there. */
    void all() {
        List<Machine> old = world.machines(true);
        for (int i = 0; i < old.size(); i++) {
            Machine machine = old.get(i);
            world.time.after(i * (2 * World.SYNC_MICROS + World.GRACE_MICROS), () -> {
                if (!machine.gone) {
                    planned(machine, () -> {});
                }
            });
        }
    }

    /** One more comes, empty. */
    void spare() {
        come(new String[] {"a", "b", "c"}[world.machines(true).size() % 3], null);
    }
}
