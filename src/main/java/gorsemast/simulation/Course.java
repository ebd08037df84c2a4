package gorsemast.simulation;

import gorsemast.simulation.Trouble.Closing;

/** How a day goes: the start, orders, requests, troubles, the closing fault, what is read back. */
final class Course {
    private static final long LEAD_MICROS = 9_000_000;
    private static final long RECOVERY_MICROS = 15_000_000;

    private final World world;
    private final Day day;
    private final Troubles troubles;

    Course(World world, Day day) {
        this.world = world;
        this.day = day;
        this.troubles = new Troubles(world);
    }

    Outcome play() {
        String[] zones = {"a", "b", "c"};
        for (int i = 0; i < day.cores(); i++) {
            world.add(zones[i % zones.length], true);
        }
        world.listNow();
        for (int i = 0; i < day.edges(); i++) {
            world.add(zones[i % zones.length], false);
        }
        world.machines(true).forEach(one -> world.start(one, true));
        world.machines(false).forEach(one -> world.start(one, true));
        for (int i = 0; i < 3; i++) {
            world.server(World.OBJECTS, 16);
            world.server("orders", 6);
            world.server("other", 6);
        }
        for (int i = 0; i < world.extraServers; i++) {
            world.server("orders", 6);
        }
        long begun = world.time.now();
        world.operator.configure(() -> {});
        world.time.run(begun + LEAD_MICROS);
        if (world.contents.newest() == 0) {
            throw new Broken("ACK", "the first configuration is not taken before traffic starts");
        }
        world.clients.probe();
        world.kept.look();
        long start = world.time.now();
        world.countFromNow();
        world.clients.requests(start + day.length() + (day.closing() == Closing.NONE ? 0 : 2 * RECOVERY_MICROS));
        for (Trouble trouble : day.troubles()) {
            world.time.after(trouble.at(), () -> troubles.strike(trouble));
        }
        world.time.run(start + day.length());
        if (day.closing() != Closing.NONE) {
            new ClosingFault(world, troubles).strike(day.closing());
            world.time.run(world.time.now() + 2 * RECOVERY_MICROS);
        } else {
            world.time.run(world.time.now() + 2 * World.CONTACT_MICROS + Operator.CALL_MICROS);
        }
        world.operator.readBack();
        world.clients.end();
        return world.outcome(start);
    }
}
