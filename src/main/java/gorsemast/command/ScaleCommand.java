package gorsemast.command;

import gorsemast.http.NettyLog;
import gorsemast.simulation.ScaleStudy;
import gorsemast.simulation.ScaleStudy.Cost;
import gorsemast.simulation.ScaleStudy.Load;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Prints the cost of control traffic for each role at several sizes, and what purges and configuration changes add. */
@Command(
        name = "scale",
        description =
                "Runs fault-free scenarios of the whole network in virtual time at several sizes, and prints bytes, records "
                        + "and processor time per second that control traffic costs one process of each role.")
final class ScaleCommand implements Callable<Integer> {
    private static final int MAX_EDGES = 2_000;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--edges",
            split = ",",
            defaultValue = "30,100,300",
            paramLabel = "N,...",
            description = "Edges (${DEFAULT-VALUE}).")
    private int[] edges;

    @Option(
            names = "--cores",
            defaultValue = "3",
            paramLabel = "N",
            description = "Core machines, 3 to 9 (${DEFAULT-VALUE}).")
    private int cores;

    @Option(
            names = "--servers",
            defaultValue = "74",
            paramLabel = "N",
            description = "Servers beside the nine that each day has (${DEFAULT-VALUE}).")
    private int servers;

    @Option(
            names = "--routes",
            defaultValue = "0",
            paramLabel = "N",
            description = "Routes beside the four that each configuration has (${DEFAULT-VALUE}).")
    private int routes;

    @Option(
            names = "--purges",
            defaultValue = "0",
            paramLabel = "X",
            description = "Purges a second (${DEFAULT-VALUE}).")
    private double purges;

    @Option(
            names = "--changes",
            defaultValue = "0",
            paramLabel = "X",
            description = "Changes of the configuration a second (${DEFAULT-VALUE}).")
    private double changes;

    @Option(names = "--seconds", defaultValue = "20", paramLabel = "N", description = "Of service (${DEFAULT-VALUE}).")
    private int seconds;

    @Override
    public Integer call() {
        if (cores < 3 || cores > 9 || servers < 0 || routes < 0 || purges < 0 || changes < 0 || seconds < 1) {
            throw Gorsemast.usage(spec, "--cores from 3 to 9, --seconds from 1, nothing below 0");
        }
        NettyLog.install();
        System.out.println("edges cores servers conf-bytes | proxy: sent B/s, received B/s, records/s, cpu us/s"
                + " | registry: sent B/s, received B/s, cpu us/s | store: sent B/s, cpu us/s | ready s");
        for (int count : edges) {
            if (count < 1 || count > MAX_EDGES) {
                throw Gorsemast.usage(spec, "--edges from 1 to " + MAX_EDGES);
            }
            print(ScaleStudy.play(new Load(cores, count, servers, routes, purges, changes, seconds)));
        }
        return Gorsemast.DONE;
    }

    private static void print(Cost cost) {
        System.out.printf(
                Locale.ROOT,
                "%5d %5d %7d %10d | %7.0f %7.0f %6.1f %8.0f | %9.0f %9.0f %8.0f | %7.0f %7.0f | %.2f%n",
                cost.load().edges(),
                cost.load().cores(),
                cost.load().servers() + 9,
                cost.configurationBytes(),
                cost.proxySent(),
                cost.proxyReceived(),
                cost.proxyRecords(),
                cost.proxyMicros(),
                cost.registrySent(),
                cost.registryReceived(),
                cost.registryMicros(),
                cost.storeSent(),
                cost.storeMicros(),
                cost.readySeconds());
    }
}
