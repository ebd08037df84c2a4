package gorsemast.simulation;

import java.util.List;

/** Core machines that are replaced or added. One thread; microseconds. */
final class Replacements {
    private static final long EMPTY_MICROS = 1_000_000;
    private static final long AGAIN_MICROS = 500_000;

    private final World world;

    Replacements(World world) {
        this.world = world;
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

    /** The new one comes first; the old one leaves some time after. */
    void planned(Machine machine, long span) {
        come(machine.zone, machine.ip);
        world.time.after(Math.max(span, World.SYNC_MICROS), () -> leave(machine));
    }

    private void leave(Machine machine) {
        if (machine.gone) {
            return;
        }
        if (!world.mayLose(1)) {
            world.time.after(AGAIN_MICROS, () -> leave(machine));
            return;
        }
        world.say(machine.ip + " is asked to leave");
        List.copyOf(machine.processes).forEach(one -> one.run(one::leave));
        world.contact.event();
        machine.trouble();
        world.time.after(World.GRACE_MICROS, () -> {
            world.stop(machine, true);
            machine.gone = true;
            world.contact.event();
            world.listLater();
        });
    }

    /** All in turn, each planned, so that nobody's first list names one that is still there. */
    void all() {
        List<Machine> old = world.machines(true);
        for (int i = 0; i < old.size(); i++) {
            Machine machine = old.get(i);
            world.time.after(i * (2 * World.SYNC_MICROS + World.GRACE_MICROS), () -> {
                if (!machine.gone) {
                    planned(machine, World.SYNC_MICROS);
                }
            });
        }
    }

    /** One more comes, empty. */
    void spare() {
        come(new String[] {"a", "b", "c"}[world.machines(true).size() % 3], null);
    }
}
