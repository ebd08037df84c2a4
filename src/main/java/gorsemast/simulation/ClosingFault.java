package gorsemast.simulation;

import gorsemast.simulation.Trouble.Closing;

/** What ends a day: all lose power or their processes, or one its disk, right after an acknowledgement or soon after an order. */
final class ClosingFault {
    private static final long DOWN_MICROS = 1_000_000;
    private static final long SOONEST_MICROS = 5_000;
    private static final long LATEST_MICROS = 400_000;

    private final World world;
    private final Troubles troubles;
    private boolean struck;

    ClosingFault(World world, Troubles troubles) {
        this.world = world;
        this.troubles = troubles;
    }

    void strike(Closing closing) {
        switch (closing) {
            case NONE -> {}
            case POWER_TIMED -> {
                order(world.random.nextInt(3), () -> {});
                world.time.after(
                        SOONEST_MICROS + world.random.nextLong(LATEST_MICROS - SOONEST_MICROS),
                        () -> now(Closing.POWER_ALL));
            }
            case POWER_ANY -> order(1 + world.random.nextInt(2), () -> now(Closing.POWER_ALL));
            default -> order(0, () -> now(closing));
        }
    }

    private void order(int which, Runnable acknowledged) {
        switch (which) {
            case 1 -> world.operator.purge(world.random.nextInt(1_000), acknowledged);
            case 2 -> {
                if (!troubles.servers().leaves(world.random.nextInt(1_000), acknowledged)) {
                    world.operator.configure(acknowledged);
                }
            }
            default -> world.operator.configure(acknowledged);
        }
    }

    private void now(Closing closing) {
        if (struck) {
            return;
        }
        struck = true;
        world.say("closing fault " + closing);
        MachineTroubles machines = troubles.machines();
        if (closing != Closing.WIPE) {
            for (boolean core : new boolean[] {true, false}) {
                world.machines(core).forEach(one -> machines.bounce(one, closing == Closing.POWER_ALL, DOWN_MICROS));
            }
        } else if (world.mayLose(1)) {
            Machine wiped = troubles.core(world.random.nextInt(10));
            machines.wipe(wiped, DOWN_MICROS);
            if (world.random.nextBoolean()) {
                world.machines(true).stream()
                        .filter(one -> one != wiped)
                        .forEach(one -> machines.bounce(one, true, DOWN_MICROS));
            }
        }
        world.time.after(DOWN_MICROS, world.clients::restored);
    }
}
