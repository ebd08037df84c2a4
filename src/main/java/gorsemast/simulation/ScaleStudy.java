package gorsemast.simulation;

import gorsemast.logging.Log;
import gorsemast.peer.PeerMessage.Program;
import java.util.ArrayList;
import java.util.List;

/**
 * Measures the control traffic and processor time of each role at a given size, in fault-free runs of the whole network in
 * virtual time with a given rate of purges and changes. The cost of one purge or change is the difference of two runs that
 * differ in nothing else.
 *
 * <p>Links' bytes are those of records; TCP and IP headers, HTTP between servers and registries, and what serving requests
 * costs are not in it. Processor time is that of the decisions and of the records' encoding on the machine that runs the study.
 */
public final class ScaleStudy {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long SEED = 74;

    /**
     * The load of a run.
     *
     * @param servers beside the nine that each run has
     * @param routes further routes in each configuration, some 170 bytes each
     */
    public record Load(
            int cores,
            int edges,
            int servers,
            int routes,
            double purgesPerSecond,
            double changesPerSecond,
            int seconds) {}

    /**
     * What one process of each role costs, on average, a second of calm service.
     *
     * @param configurationBytes of one configuration of that run
     * @param proxySent bytes; likewise the other counts of bytes
     * @param proxyMicros of processor time; likewise the others
     */
    public record Cost(
            Load load,
            int configurationBytes,
            double proxySent,
            double proxyReceived,
            double proxyRecords,
            double registrySent,
            double registryReceived,
            double storeSent,
            double proxyMicros,
            double registryMicros,
            double storeMicros,
            double readySeconds) {}

    private ScaleStudy() {}

    /** Runs the scenario of a load. Some 30 s of processor time at 740 edges. */
    public static Cost play(Load load) {
        Log.redirect(line -> {});
        try {
            Simulation simulation = new Simulation(scenario(load), InjectedDefect.NONE, null);
            simulation.fewLinks = Simulation.FewLinks.NONE;
            simulation.extraServers = load.servers;
            simulation.extraRoutes = load.routes;
            simulation.processorTime = new ProcessorTime();
            Outcome outcome = simulation.run();
            return cost(load, simulation, outcome);
        } finally {
            Log.redirect(null);
        }
    }

    private static Scenario scenario(Load load) {
        List<Fault> orders = new ArrayList<>();
        orders(orders, Fault.Kind.PURGE, load.purgesPerSecond, load.seconds);
        orders(orders, Fault.Kind.CONFIG, load.changesPerSecond, load.seconds);
        return new Scenario(
                load.cores, load.edges, SEED, load.seconds * SECOND_MICROS, List.copyOf(orders), Fault.Closing.NONE);
    }

    private static void orders(List<Fault> into, Fault.Kind kind, double perSecond, int seconds) {
        int count = (int) Math.round(perSecond * seconds);
        for (int i = 0; i < count; i++) {
            // Not a multiple of three: those purge by a tag that all objects have.
            into.add(new Fault(kind, (long) (i * SECOND_MICROS / perSecond), 0, 3 * i + 1));
        }
    }

    private static Cost cost(Load load, Simulation simulation, Outcome outcome) {
        LinkTraffic traffic = simulation.traffic;
        double seconds = simulation.countedMicros() / 1e6;
        double edges = load.edges * seconds;
        double cores = load.cores * seconds;
        List<Long> ready = outcome.times().getOrDefault(Outcome.READY, List.of()).stream()
                .sorted()
                .toList();
        return new Cost(
                load,
                simulation.operator.configuration(1, 0).length(),
                traffic.bytesFrom(Program.PROXY) / edges,
                traffic.bytesTo(Program.PROXY) / edges,
                traffic.recordsFrom(Program.PROXY) / edges,
                traffic.bytesFrom(Program.REGISTRY) / cores,
                traffic.bytesTo(Program.REGISTRY) / cores,
                traffic.bytesFrom(Program.STORE) / cores,
                simulation.processorTime.nanos(Program.PROXY) / 1e3 / edges,
                simulation.processorTime.nanos(Program.REGISTRY) / 1e3 / cores,
                simulation.processorTime.nanos(Program.STORE) / 1e3 / cores,
                ready.isEmpty() ? Double.NaN : ready.get(ready.size() / 2) / 1e6);
    }
}
