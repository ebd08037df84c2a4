package gorsemast.simulation;

import gorsemast.gossip.Entry;
import gorsemast.gossip.Entry.Kind;
import gorsemast.gossip.PurgeRequest;
import gorsemast.gossip.ServerInfo;
import gorsemast.peer.PeerMessage.Program;
import gorsemast.simulation.CoreProcesses.Registry;
import java.util.ArrayList;
import java.util.List;

/**
 * What was acknowledged is kept, whatever was lost since, and who vouches for what it knows knows it. Stricter than the
 * operators' rules, which see a forgotten drain or purge only by a request that goes wrong by it: each registry that is in
 * touch and vouches has to know what was acknowledged while it matters, and an edge that starts may call itself ready
 * only when it knows what was acknowledged {@link World#CONTACT_MICROS} before. Throws {@link Violation}. One thread; times in
 * microseconds of the world's clock.
 */
final class Kept {
    private static final long LOOK_MICROS = 500_000;
    /** So long after its acknowledgement a drain or a purge matters. */
    private static final long MATTERS_MICROS = 30_000_000;
    /** What the clocks of two processes may differ by over a link. */
    private static final long SLACK_MICROS = 2_000_000;

    private record Leaving(Servers.Server server, long at) {}

    private record Purge(String path, String tag, long sentAt, long at) {}

    private final World world;
    private final List<Leaving> leaving = new ArrayList<>();
    private final List<Purge> purges = new ArrayList<>();

    Kept(World world) {
        this.world = world;
    }

    private boolean recent(long at) {
        return world.time.now() - at < MATTERS_MICROS;
    }

    /** A drain matters while the server runs. */
    private boolean matters(Leaving one) {
        return one.server.alive && recent(one.at);
    }

    /** A purge matters while an edge runs that may hold an older copy. */
    private boolean matters(Purge one) {
        return recent(one.at) && world.edges().stream().anyMatch(edge -> edge.bornAt < one.at);
    }

    /** A machine in touch has acknowledged that a server drains or has left. */
    void leaves(Servers.Server server) {
        leaving.add(new Leaving(server, world.time.now()));
    }

    /** A purge is acknowledged; the path or the tag is empty. */
    void purged(String path, String tag, long sentAt) {
        purges.add(new Purge(path, tag, sentAt, world.time.now()));
    }

    /** Looks at all registries that are in touch, from now on. */
    void look() {
        for (Machine machine : world.machines(true)) {
            if (world.contact.touch(machine)
                    && world.process(Program.REGISTRY, machine) instanceof Registry registry
                    && registry.office.synced()) {
                knows(machine, registry);
            }
        }
        world.time.after(LOOK_MICROS, this::look);
    }

    private void knows(Machine machine, Registry registry) {
        for (Leaving one : leaving) {
            if (matters(one) && ready(registry.office.state().get(Kind.SERVER, one.server.id))) {
                throw new Broken(
                        "KEPT",
                        machine.ip + " takes " + one.server.id + " for ready " + (world.time.now() - one.at) / 1_000
                                + " ms after it was acknowledged to leave");
            }
        }
        for (Purge one : purges) {
            if (matters(one) && !knows(registry, one)) {
                throw new Broken(
                        "KEPT",
                        machine.ip + " does not know a purge of " + one.path + one.tag + " "
                                + (world.time.now() - one.at) / 1_000 + " ms after it was acknowledged");
            }
        }
    }

    private static boolean ready(Entry entry) {
        ServerInfo server = entry == null ? null : ServerInfo.fromEntry(entry);
        return server != null && server.state() == ServerInfo.State.READY;
    }

    private boolean knows(Registry registry, Purge purge) {
        long age = world.time.now() - purge.sentAt + SLACK_MICROS;
        return registry.office.state().all(Kind.PURGE).stream()
                .filter(entry -> registry.now() - entry.createdAt() <= age)
                .map(PurgeRequest::fromEntry)
                .anyMatch(news -> news != null
                        && news.path().equals(purge.path)
                        && news.tag().equals(purge.tag));
    }

    /** An edge calls itself ready for the first time in its life. */
    void ready(Edge edge) {
        long before = world.time.now() - World.CONTACT_MICROS;
        long number = edge.lookout.configuration().version();
        long newest = world.contents.newestAt(before);
        if (number < newest) {
            throw new Broken(
                    "VOUCH",
                    edge.machine.ip + " starts, and is ready by version " + number + " where " + newest
                            + " was acknowledged more than " + World.CONTACT_MICROS / 1_000 + " ms ago");
        }
        for (Leaving one : leaving) {
            if (one.at < before
                    && matters(one)
                    && ready(edge.lookout.gossipState().get(Kind.SERVER, one.server.id))) {
                throw new Broken(
                        "VOUCH",
                        edge.machine.ip + " starts, is ready, and takes " + one.server.id
                                + " for ready where it was acknowledged to leave");
            }
        }
    }
}
