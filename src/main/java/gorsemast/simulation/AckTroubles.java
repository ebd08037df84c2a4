package gorsemast.simulation;

/** What strikes right after an acknowledgement, or soon after an order was sent. One thread; microseconds. */
final class AckTroubles {
    private static final long AFTER_MICROS = 4_000;
    private static final long SOONEST_MICROS = 5_000;
    private static final long SPREAD_MICROS = 395_000;

    private final World world;
    private final MachineTroubles machines;
    private final ServerTroubles servers;

    AckTroubles(World world, MachineTroubles machines, ServerTroubles servers) {
        this.world = world;
        this.machines = machines;
        this.servers = servers;
    }

    /** The next core machine that acknowledges something loses power, and perhaps its disk. */
    void one(int n, boolean wipes, long down) {
        world.outside.onAck(
                Acknowledged.of(n),
                machine -> world.time.after(world.random.nextLong(AFTER_MICROS), () -> {
                    if (!world.mayLose(1) || machine.gone) {
                        return;
                    }
                    if (world.primaryBut(null) == machine) {
                        world.watch(
                                Outcome.TAKEN_OVER + (wipes ? "WIPE_AFTER_ACK" : "POWER_AFTER_ACK"),
                                () -> world.primaryBut(machine) != null);
                    }
                    if (wipes) {
                        machines.wipe(machine, down);
                    } else {
                        machines.bounce(machine, true, down);
                    }
                }));
    }

    /** All core machines lose power right after the next acknowledgement. */
    void all(int n, long down) {
        world.outside.onAck(
                Acknowledged.of(n),
                by -> world.time.after(world.random.nextLong(AFTER_MICROS), () -> {
                    if (world.mayLose(world.losses())) {
                        powerAll(down);
                    }
                }));
    }

    private void powerAll(long down) {
        world.machines(true).forEach(one -> machines.bounce(one, true, down));
    }

    /** An order is sent, and all core machines lose power 5 to 400 ms later, whether it is acknowledged or not. */
    void timed(int n, long down) {
        switch (Acknowledged.of(n)) {
            case PURGE -> world.operator.purge(n, () -> {});
            case LEAVING -> servers.leaves(n, () -> {});
            default -> world.operator.configure(() -> {});
        }
        world.time.after(SOONEST_MICROS + world.random.nextLong(SPREAD_MICROS), () -> powerAll(down));
    }

    /** One loses its disk, and all others lose power, right after the next acknowledgement. */
    void wipeRestPower(Machine drawn, int n, long down) {
        world.outside.onAck(
                Acknowledged.of(n),
                by -> world.time.after(world.random.nextLong(AFTER_MICROS), () -> {
                    Machine wiped = drawn.gone || n % 2 == 0 ? by : drawn;
                    if (!world.mayLose(world.losses()) || wiped.gone) {
                        return;
                    }
                    machines.wipe(wiped, down);
                    world.machines(true).stream()
                            .filter(one -> one != wiped)
                            .forEach(one -> machines.bounce(one, true, down));
                }));
    }
}
