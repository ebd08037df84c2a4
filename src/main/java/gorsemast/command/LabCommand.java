package gorsemast.command;

import gorsemast.emulator.Cluster;
import gorsemast.emulator.ClusterSettings;
import gorsemast.emulator.Growth;
import gorsemast.emulator.Scenario;
import gorsemast.lab.FleetStudy;
import gorsemast.lab.PlanStudy;
import gorsemast.peers.FleetCodec;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Experiments in virtual time. */
@Command(
        name = "lab",
        description = "Experiments with the real decision modules in virtual time; prints a table.",
        subcommands = {LabCommand.DayCommand.class, LabCommand.GrowthCommand.class, LabCommand.PlanCommand.class})
final class LabCommand implements Callable<Integer> {
    @Option(
            names = "--members",
            split = ",",
            defaultValue = "3,10,30,100,300,1000",
            paramLabel = "N,N,…",
            description = "Sizes of the fleet, 3 to 1000.")
    private List<Integer> members;

    @Option(names = "--plot", paramLabel = "FILE", description = "Draws it as SVG too.")
    private Path plot;

    @Override
    public Integer call() throws IOException {
        FleetCodec codec = new FleetCodec("lab", "");
        List<FleetStudy.Row> rows = new FleetStudy(message -> codec.encode(message).length).rows(members);
        System.out.print(FleetStudy.table(rows));
        if (plot != null) {
            FleetStudy.plot(rows).writeSvg(plot);
        }
        return Gorsemast.DONE;
    }

    /** Runs one scenario of a whole tier. */
    @Command(
            name = "day",
            description =
                    "Runs one scenario of a whole tier: proxies, nodes, an origin, a discovery service. Exits with 1 "
                            + "if one of the four invariants is violated.")
    static final class DayCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(
                names = "--kind",
                defaultValue = "CALM",
                paramLabel = "KIND",
                description = "One of ${COMPLETION-CANDIDATES}.")
        private Scenario kind;

        @Option(names = "--proxies", defaultValue = "100", paramLabel = "N")
        private int proxies;

        @Option(names = "--nodes", defaultValue = "200", paramLabel = "N")
        private int nodes;

        @Option(names = "--seed", defaultValue = "1", paramLabel = "N")
        private long seed;

        @Option(
                names = "--load",
                defaultValue = "0.45",
                paramLabel = "PART",
                description = "Of the nodes' warm capacity.")
        private double load;

        @Option(
                names = "--misses-hold",
                description = "A read that waits for the origin occupies a worker of its node.")
        private boolean missesHold;

        @Option(names = "--by-second", description = "Prints the sums of each second.")
        private boolean bySecond;

        @Override
        public Integer call() {
            ClusterSettings settings = parseSizes(spec, proxies, nodes, seed).withLoad(load);
            Cluster.RunResult result =
                    new Cluster(missesHold ? settings.withMissesHoldingWorkers() : settings).run(kind);
            if (bySecond) {
                System.out.print(result.tally().table());
            }
            result.checker().findings().forEach(System.out::println);
            System.out.println(result.line());
            return result.checker().holds() ? 0 : 1;
        }
    }

    /** Prints how the sums grow with the size. */
    @Command(name = "growth", description = "Runs one scenario at several sizes and prints how each sum grows.")
    static final class GrowthCommand implements Runnable {
        @Spec
        private CommandSpec spec;

        @Option(
                names = "--kind",
                defaultValue = "CALM",
                paramLabel = "KIND",
                description = "One of ${COMPLETION-CANDIDATES}.")
        private Scenario kind;

        @Option(names = "--proxies", split = ",", defaultValue = "3,10,30,100", paramLabel = "N,N,…")
        private List<Integer> proxies;

        @Option(names = "--nodes", split = ",", defaultValue = "9,20,60,200", paramLabel = "N,N,…")
        private List<Integer> nodes;

        @Option(names = "--seed", defaultValue = "1", paramLabel = "N")
        private long seed;

        @Override
        public void run() {
            try {
                System.out.print(Growth.table(kind, proxies, nodes, seed));
            } catch (IllegalArgumentException e) {
                throw new ParameterException(spec.commandLine(), e.getMessage(), e);
            }
        }
    }

    /** Compares maintenance planners. */
    @Command(name = "plan", description = "Plans works for a whole fleet and prints how orders compare.")
    static final class PlanCommand implements Runnable {
        @Option(names = "--nodes", split = ",", defaultValue = "12,60,200", paramLabel = "N,N,…")
        private List<Integer> nodes;

        @Option(names = "--seed", defaultValue = "1", paramLabel = "N")
        private long seed;

        @Override
        public void run() {
            System.out.print(PlanStudy.table(nodes, seed));
        }
    }

    private static ClusterSettings parseSizes(CommandSpec spec, int proxies, int nodes, long seed) {
        try {
            return ClusterSettings.of(proxies, nodes, seed);
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage(), e);
        }
    }
}
