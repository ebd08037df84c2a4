package gorsemast.simulation;

import gorsemast.logging.Log;
import gorsemast.peer.PeerMessage.Program;
import java.util.ArrayList;
import java.util.List;

/**
 * What control costs each role at a size: calm days of the whole network in virtual time, with a given stream of purges and
 * of changes. Costs of one purge or one change are the difference of two days that differ in nothing else.
 *
 * <p>Links' bytes are those of records; TCP and IP headers, HTTP between servers and registries, and what serving requests
 * costs are not in it. Processor time is that of the decisions and of the records' encoding on the machine that plays.
 */
public final class ScaleStudy {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long SEED = 74;

    /**
     * What a day has.
     *
     * @param servers beside the nine that each day has
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
     * @param configurationBytes of one configuration of that day
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

    /** Plays the day of a load. Some 30 s of processor time at 740 edges. */
    public static Cost play(Load load) {
        Log.redirect(line -> {});
        try {
            World world = new World(day(load), Plant.NONE, null);
            world.extraServers = load.servers;
            world.extraRoutes = load.routes;
            world.processorTime = new ProcessorTime();
            Outcome outcome = world.play();
            return cost(load, world, outcome);
        } finally {
            Log.redirect(null);
        }
    }

    private static Day day(Load load) {
        List<Trouble> orders = new ArrayList<>();
        orders(orders, Trouble.Kind.PURGE, load.purgesPerSecond, load.seconds);
        orders(orders, Trouble.Kind.CONFIG, load.changesPerSecond, load.seconds);
        return new Day(
                load.cores, load.edges, SEED, load.seconds * SECOND_MICROS, List.copyOf(orders), Trouble.Closing.NONE);
    }

    private static void orders(List<Trouble> into, Trouble.Kind kind, double perSecond, int seconds) {
        int count = (int) Math.round(perSecond * seconds);
        for (int i = 0; i < count; i++) {
            // Not a multiple of three: those purge by a tag that all objects bear.
            into.add(new Trouble(kind, (long) (i * SECOND_MICROS / perSecond), 0, 3 * i + 1));
        }
    }

    private static Cost cost(Load load, World world, Outcome outcome) {
        LinkTraffic traffic = world.traffic;
        double seconds = world.countedMicros() / 1e6;
        double edges = load.edges * seconds;
        double cores = load.cores * seconds;
        List<Long> ready = outcome.times().getOrDefault(Outcome.READY, List.of()).stream()
                .sorted()
                .toList();
        return new Cost(
                load,
                world.operator.configuration(1, 0).length(),
                traffic.bytesFrom(Program.PROXY) / edges,
                traffic.bytesTo(Program.PROXY) / edges,
                traffic.recordsFrom(Program.PROXY) / edges,
                traffic.bytesFrom(Program.REGISTRY) / cores,
                traffic.bytesTo(Program.REGISTRY) / cores,
                traffic.bytesFrom(Program.STORE) / cores,
                world.processorTime.nanos(Program.PROXY) / 1e3 / edges,
                world.processorTime.nanos(Program.REGISTRY) / 1e3 / cores,
                world.processorTime.nanos(Program.STORE) / 1e3 / cores,
                ready.isEmpty() ? Double.NaN : ready.get(ready.size() / 2) / 1e6);
    }
}
