package gorsemast.simulation;

import gorsemast.configuration.Configuration;
import gorsemast.peer.PeerMessage.Program;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The platform's readiness probes and the clients that it routes to edges. Single-threaded; times in microseconds. */
final class Clients {
    static final int PATHS = 40;
    private static final long REQUEST_MICROS = 14_000;
    private static final long PROBE_MICROS = 1_000_000;
    private static final long RECOVERY_MICROS = 15_000_000;
    /** At most one of this many probes of connected machines may find them unready. */
    private static final int UNREADY_SHARE = 8;

    private final Simulation simulation;
    private final Map<Machine, Boolean> taken = new HashMap<>();
    private final Map<Machine, Integer> missed = new HashMap<>();
    private long lastRequest;
    private int asked;
    private int served;
    private int askedLate;
    private int servedLate;
    private int probes;
    private int unready;
    private long restored;
    private boolean again;

    Clients(Simulation simulation) {
        this.simulation = simulation;
    }

    int requestCount() {
        return asked;
    }

    int servedCount() {
        return served;
    }

    /** Records that all machines are back after the closing fault. */
    void recordRestored() {
        restored = simulation.time.now();
    }

    /** Probes the readiness of each edge every second; two failed probes in a row take an edge out of rotation. */
    void probeEdges() {
        for (Machine machine : simulation.machines(false)) {
            boolean well = machine.power
                    && machine.frozenUntil <= simulation.time.now()
                    && simulation.process(Program.PROXY, machine) instanceof Edge edge
                    && edge.ready();
            int misses = well ? 0 : missed.getOrDefault(machine, 0) + 1;
            missed.put(machine, misses);
            if (well || misses >= 2) {
                taken.put(machine, well);
            }
            if (simulation.connectivity.isConnected(machine)) {
                probes++;
                unready += well ? 0 : 1;
            }
        }
        simulation.time.after(PROBE_MICROS, this::probeEdges);
    }

    /** Sends client requests until the given time. */
    void sendRequests(long until) {
        if (simulation.time.now() < until) {
            sendRequest();
            simulation.time.after(
                    REQUEST_MICROS / 2 + simulation.random.nextLong(REQUEST_MICROS), () -> sendRequests(until));
        }
    }

    private void sendRequest() {
        List<Machine> all = simulation.machines(false);
        List<Machine> in =
                all.stream().filter(one -> taken.getOrDefault(one, false)).toList();
        in = 2 * in.size() < all.size() ? all : in;
        Machine machine = in.get(simulation.random.nextInt(in.size()));
        int what = simulation.random.nextInt(10);
        boolean unsafe = what >= 8;
        String path = what < 6
                ? "/o/" + Math.min(simulation.random.nextInt(PATHS), simulation.random.nextInt(PATHS))
                : what < 7 ? "/s/x" : what < 8 ? "/m/x" : "/p/x";
        String attempt = "t" + ++lastRequest;
        simulation.requestChecker.recordRequest(what < 6 ? Simulation.OBJECTS : "orders");
        if (what == 7) {
            simulation.requestChecker.recordRequest("other");
        }
        asked++;
        boolean late = restored > 0 && simulation.time.now() > restored + RECOVERY_MICROS;
        askedLate += late ? 1 : 0;
        long sentAt = simulation.time.now();
        simulation.time.after(simulation.links.randomLatency(1_000), () -> {
            if (machine.power && simulation.process(Program.PROXY, machine) instanceof Edge edge) {
                edge.run(() -> deliver(edge, attempt, path, unsafe, sentAt, late));
            }
        });
    }

    private void deliver(Edge edge, String attempt, String path, boolean unsafe, long sentAt, boolean late) {
        Configuration now = edge.currentConfiguration();
        if (now != null) {
            simulation.configurationChecker.handles(edge, now.version(), edge.content(now), sentAt);
        }
        edge.request(
                attempt,
                path,
                answer -> simulation.time.after(simulation.links.randomLatency(1_000), () -> {
                    simulation.requestChecker.answered(edge, attempt, path, unsafe, sentAt, answer);
                    if (answer.result() == Edge.RequestResult.SERVED) {
                        served++;
                        servedLate += late ? 1 : 0;
                        if (restored > 0 && !again && sentAt > restored) {
                            again = true;
                            simulation.recordDuration(Outcome.SERVED_AGAIN, simulation.time.now() - restored);
                        }
                    }
                }));
    }

    /** Checks the rules on recovery and readiness at the end of a run. */
    void checkAtEnd() {
        if (restored > 0 && askedLate > 0 && 4 * servedLate < askedLate) {
            throw new Violation(
                    "RECOVER",
                    servedLate + " of " + askedLate + " requests were served " + RECOVERY_MICROS / 1_000_000
                            + " s after all machines were back");
        }
        if (UNREADY_SHARE * unready > probes) {
            throw new Violation(
                    "DUTY", "connected machines were not ready at " + unready + " of " + probes + " probes");
        }
    }
}
