package gorsemast.simulation;

import gorsemast.simulation.Servers.Server;
import java.util.List;

/** Injects faults into the operators' servers and drains them. Single-threaded; times in microseconds. */
final class ServerFaults {
    private final Simulation simulation;

    ServerFaults(Simulation simulation) {
        this.simulation = simulation;
    }

    private Server pickLeavingServer(int n) {
        String service = n % 2 == 0 ? "orders" : Simulation.OBJECTS;
        List<Server> serving = simulation.servers.of(service).stream()
                .filter(one -> !one.draining)
                .toList();
        return serving.size() < 2 ? null : FaultInjector.pick(serving, n);
    }

    /** One server drains and leaves; false if none can. */
    boolean drain(int n, Runnable acknowledged) {
        Server server = pickLeavingServer(n);
        if (server != null) {
            simulation.logEvent(server.id + " drains");
            server.drain(Servers.USUAL_LINGER, acknowledged);
        }
        return server != null;
    }

    /** One server drains and keeps serving for long. */
    void drainSlowly(int n, long span) {
        Server server = pickLeavingServer(n);
        if (server != null) {
            server.quiet = n / Fault.HOW % 2 == 1;
            simulation.logEvent(server.id + " drains slowly" + (server.quiet ? ", without heartbeats" : ""));
            server.drain(Servers.USUAL_LINGER + span, () -> {});
        }
    }

    void release(int n) {
        Server server = pickLeavingServer(n);
        if (server != null) {
            simulation.server(server.service, server.slots);
            simulation.time.after(700_000, () -> server.drain(Servers.USUAL_LINGER, () -> {}));
        }
    }

    void crash(int n, boolean reused) {
        Server server = pickLeavingServer(n);
        if (server != null) {
            simulation.logEvent(server.id + " crashes");
            server.crash();
            simulation.time.after(reused ? 400_000 : 2_000_000, () -> {
                if (reused) {
                    simulation.server(
                            server.service.equals("orders") ? Simulation.OBJECTS : "orders", 6, server.address);
                }
                simulation.server(server.service, server.slots);
            });
        }
    }

    void loseAnswers(int n, long span) {
        List<Server> some = simulation.servers.of(n % 2 == 0 ? "orders" : Simulation.OBJECTS);
        some.forEach(one -> one.loses = 0.05);
        simulation.time.after(span, () -> some.forEach(one -> one.loses = 0));
    }

    void slowDown(int n, long span) {
        Server server = FaultInjector.pick(simulation.servers.of(null), n);
        server.slow = 4;
        simulation.time.after(span, () -> server.slow = 1);
    }

    void confuse(int n, long span) {
        List<Server> some = simulation.servers.of(n % 3 > 0 ? "orders" : Simulation.OBJECTS);
        some.forEach(one -> {
            one.confuses = 0.2;
            one.forgets = 0.2;
        });
        simulation.time.after(
                span,
                () -> some.forEach(one -> {
                    one.confuses = 0;
                    one.forgets = 0;
                }));
    }
}
