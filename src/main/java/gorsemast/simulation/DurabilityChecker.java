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
 * Checks that acknowledged changes survive all losses and that whoever confirms its state under a lease knows them.
 * Stricter than the operators' rules, which notice a lost drain or purge only by a request that fails because of it: each
 * connected, synced registry has to know what was acknowledged while it is relevant, and a starting edge may report ready
 * only when it knows what was acknowledged {@link Simulation#CONNECTED_AFTER_MICROS} before. Throws {@link Violation}. Single-threaded; times in
 * microseconds of the simulation's clock.
 */
final class DurabilityChecker {
    private static final long CHECK_INTERVAL_MICROS = 500_000;
    /** How long after its acknowledgement a drain or a purge is relevant. */
    private static final long MATTERS_MICROS = 30_000_000;
    /** How far the clocks of two processes may differ over a link. */
    private static final long SLACK_MICROS = 2_000_000;

    private record Departure(Servers.Server server, long at) {}

    private record Purge(String path, String tag, long sentAt, long at) {}

    private final Simulation simulation;
    private final List<Departure> leaving = new ArrayList<>();
    private final List<Purge> purges = new ArrayList<>();

    DurabilityChecker(Simulation simulation) {
        this.simulation = simulation;
    }

    private boolean recent(long at) {
        return simulation.time.now() - at < MATTERS_MICROS;
    }

    /** A drain is relevant while the server runs. */
    private boolean isRelevant(Departure one) {
        return one.server.alive && recent(one.at);
    }

    /** A purge is relevant while an edge runs that may have cached an older response. */
    private boolean isRelevant(Purge one) {
        return recent(one.at) && simulation.edges().stream().anyMatch(edge -> edge.bornAt < one.at);
    }

    /** A connected machine has acknowledged that a server drains or has left. */
    void leaves(Servers.Server server) {
        leaving.add(new Departure(server, simulation.time.now()));
    }

    /** A purge is acknowledged; the path or the tag is empty. */
    void purged(String path, String tag, long sentAt) {
        purges.add(new Purge(path, tag, sentAt, simulation.time.now()));
    }

    /** Checks all connected registries periodically from now on. */
    void checkPeriodically() {
        for (Machine machine : simulation.machines(true)) {
            if (simulation.connectivity.isConnected(machine)
                    && simulation.process(Program.REGISTRY, machine) instanceof Registry registry
                    && registry.registryNode.synced()) {
                checkRegistry(machine, registry);
            }
        }
        simulation.time.after(CHECK_INTERVAL_MICROS, this::checkPeriodically);
    }

    private void checkRegistry(Machine machine, Registry registry) {
        for (Departure one : leaving) {
            if (isRelevant(one) && isReady(registry.registryNode.state().get(Kind.SERVER, one.server.id))) {
                throw new Violation(
                        "KEPT",
                        machine.ip + " considers " + one.server.id + " ready "
                                + (simulation.time.now() - one.at) / 1_000 + " ms after it was acknowledged to leave");
            }
        }
        for (Purge one : purges) {
            if (isRelevant(one) && !knowsPurge(registry, one)) {
                throw new Violation(
                        "KEPT",
                        machine.ip + " does not know a purge of " + one.path + one.tag + " "
                                + (simulation.time.now() - one.at) / 1_000 + " ms after it was acknowledged");
            }
        }
    }

    private static boolean isReady(Entry entry) {
        ServerInfo server = entry == null ? null : ServerInfo.fromEntry(entry);
        return server != null && server.state() == ServerInfo.State.READY;
    }

    private boolean knowsPurge(Registry registry, Purge purge) {
        long age = simulation.time.now() - purge.sentAt + SLACK_MICROS;
        return registry.registryNode.state().all(Kind.PURGE).stream()
                .filter(entry -> registry.now() - entry.createdAt() <= age)
                .map(PurgeRequest::fromEntry)
                .anyMatch(request -> request != null
                        && request.path().equals(purge.path)
                        && request.tag().equals(purge.tag));
    }

    /** An edge reports ready for the first time since its start. */
    void checkReadyEdge(Edge edge) {
        long before = simulation.time.now() - Simulation.CONNECTED_AFTER_MICROS;
        long number = edge.proxyNode.configuration().version();
        long newest = simulation.configurationChecker.newestAt(before);
        if (number < newest) {
            throw new Violation(
                    "VOUCH",
                    edge.machine.ip + " starts and is ready with version " + number + " where " + newest
                            + " was acknowledged more than " + Simulation.CONNECTED_AFTER_MICROS / 1_000 + " ms ago");
        }
        for (Departure one : leaving) {
            if (one.at < before
                    && isRelevant(one)
                    && isReady(edge.proxyNode.gossipState().get(Kind.SERVER, one.server.id))) {
                throw new Violation(
                        "VOUCH",
                        edge.machine.ip + " starts, is ready, and considers " + one.server.id
                                + " ready though its leaving was acknowledged");
            }
        }
    }
}
