package gorsemast.simulation;

import gorsemast.simulation.Servers.Server;
import java.util.List;

/** What happens to the operators' servers. One thread; microseconds. */
final class ServerTroubles {
    private final World world;

    ServerTroubles(World world) {
        this.world = world;
    }

    private Server leaver(int n) {
        String service = n % 2 == 0 ? "orders" : World.OBJECTS;
        List<Server> serving =
                world.servers.of(service).stream().filter(one -> !one.draining).toList();
        return serving.size() < 2 ? null : Troubles.pick(serving, n);
    }

    /** One drains and leaves; false where none can. */
    boolean leaves(int n, Runnable acknowledged) {
        Server server = leaver(n);
        if (server != null) {
            world.say(server.id + " drains");
            server.drain(Servers.USUAL_LINGER, acknowledged);
        }
        return server != null;
    }

    /** One drains, and serves on for long. */
    void leavesSlowly(int n, long span) {
        Server server = leaver(n);
        if (server != null) {
            server.quiet = n / Trouble.HOW % 2 == 1;
            world.say(server.id + " drains slowly" + (server.quiet ? ", without beats" : ""));
            server.drain(Servers.USUAL_LINGER + span, () -> {});
        }
    }

    void release(int n) {
        Server server = leaver(n);
        if (server != null) {
            world.server(server.service, server.slots);
            world.time.after(700_000, () -> server.drain(Servers.USUAL_LINGER, () -> {}));
        }
    }

    void crash(int n, boolean reused) {
        Server server = leaver(n);
        if (server != null) {
            world.say(server.id + " crashes");
            server.crash();
            world.time.after(reused ? 400_000 : 2_000_000, () -> {
                if (reused) {
                    world.server(server.service.equals("orders") ? World.OBJECTS : "orders", 6, server.address);
                }
                world.server(server.service, server.slots);
            });
        }
    }

    void lose(int n, long span) {
        List<Server> some = world.servers.of(n % 2 == 0 ? "orders" : World.OBJECTS);
        some.forEach(one -> one.loses = 0.05);
        world.time.after(span, () -> some.forEach(one -> one.loses = 0));
    }

    void slow(int n, long span) {
        Server server = Troubles.pick(world.servers.of(null), n);
        server.slow = 4;
        world.time.after(span, () -> server.slow = 1);
    }

    void confuse(int n, long span) {
        List<Server> some = world.servers.of(n % 3 > 0 ? "orders" : World.OBJECTS);
        some.forEach(one -> {
            one.confuses = 0.2;
            one.forgets = 0.2;
        });
        world.time.after(
                span,
                () -> some.forEach(one -> {
                    one.confuses = 0;
                    one.forgets = 0;
                }));
    }
}
