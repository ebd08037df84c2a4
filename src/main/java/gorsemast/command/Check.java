package gorsemast.command;

import gorsemast.configuration.Configuration;
import gorsemast.configuration.ConfigurationException;
import gorsemast.http.NettyLog;
import gorsemast.modelcheck.MembershipCheck;
import gorsemast.modelcheck.Plant;
import gorsemast.modelcheck.StoreCheck;
import gorsemast.node.Settings;
import gorsemast.node.SettingsException;
import gorsemast.settings.GorsemastSettings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Reads a file and says what is wrong with it: settings of either program, or an operator's configuration. */
@Command(
        name = "check",
        description = "Reads a file and prints what is wrong with it: product settings (.json5), a machine's "
                + "settings (.yaml) or an operator's configuration (.json).",
        subcommands = {Check.Model.class, CheckRegistry.class})
final class Check implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", arity = "0..1", description = "By its ending: .json5, .yaml or .json.")
    private Path file;

    @Override
    public Integer call() throws IOException {
        NettyLog.install();
        if (file == null) {
            System.err.println("gorsemast: check wants a FILE; see gorsemast help check");
            return Gorsemast.USAGE;
        }
        String name = file.toString();
        try {
            if (name.endsWith(".yaml") || name.endsWith(".yml")) {
                Settings settings = Settings.read(file);
                System.out.println(file + ": good; " + settings.name() + " in " + settings.zone() + ", listens for "
                        + settings.listenAddresses().keySet());
                return Gorsemast.DONE;
            }
            if (name.endsWith(".json")) {
                Configuration read = Configuration.parse(Files.readAllBytes(file));
                System.out.println(file + ": good; version " + Long.toHexString(read.version()) + ", "
                        + read.routes().values().stream()
                                .mapToInt(java.util.List::size)
                                .sum() + " routes to "
                        + read.services().keySet());
                return Gorsemast.DONE;
            }
        } catch (SettingsException | ConfigurationException e) {
            System.err.println(file + ": " + e.getMessage());
            return Gorsemast.USAGE;
        }
        GorsemastSettings settings = Gorsemast.settings(file);
        if (settings == null) {
            return Gorsemast.USAGE;
        }
        System.out.println(file + ": good; peers "
                + (settings.peers() == null ? "off" : "at " + settings.peers().listen()));
        return Gorsemast.DONE;
    }

    /** The store's decisions, over drawn courses and all rows of events. */
    @Command(
            name = "model",
            description = "Plays the store's decisions: all rows of events up to a depth, and drawn courses. "
                    + "Exits with 1 where what was acknowledged is lost, and prints how.")
    static final class Model implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(
                names = "--depth",
                defaultValue = "2",
                paramLabel = "N",
                description = "Events in a row; 28 sorts, so 28^N rows.")
        private int depth;

        @Option(names = "--members", defaultValue = "3", paramLabel = "N")
        private int members;

        @Option(
                names = "--spares",
                defaultValue = "1",
                paramLabel = "N",
                description = "Further machines, in drawn courses.")
        private int spares;

        @Option(names = "--courses", defaultValue = "500", paramLabel = "N")
        private int courses;

        @Option(names = "--events", defaultValue = "1200", paramLabel = "N", description = "Of each drawn course.")
        private int events;

        @Option(names = "--seed", defaultValue = "1", paramLabel = "N")
        private long seed;

        @Option(
                names = "--plant",
                defaultValue = "NONE",
                paramLabel = "DEFECT",
                description = "One of ${COMPLETION-CANDIDATES}.")
        private Plant plant;

        /** A course of changes takes as long as some ten others. */
        private static final int COURSES_A_CHANGE = 10;

        private static final int CHANGES = 6;

        @Override
        public Integer call() {
            if (depth < 1 || members < 3 || spares < 0 || courses < 1 || events < 1) {
                throw Gorsemast.usage(spec, "--members from 3, --spares from 0, the others from 1");
            }
            long begun = System.nanoTime();
            StoreCheck.Result rows = StoreCheck.all(members, depth, plant);
            StoreCheck.Result drawn =
                    rows.broken() != null ? rows : StoreCheck.drawn(members, spares, seed, courses, events, plant);
            StoreCheck.Result changed = drawn.broken() != null
                    ? drawn
                    : MembershipCheck.drawn(members, 1, seed, Math.max(1, courses / COURSES_A_CHANGE), CHANGES, plant);
            double seconds = (System.nanoTime() - begun) / 1e9;
            if (changed.broken() != null) {
                changed.story().forEach(System.out::println);
                System.out.println("broken: " + changed.broken());
                return Gorsemast.FAILED;
            }
            System.out.printf(
                    "%d rows of %d events, %d courses of %d, %d courses of %d changes of members:"
                            + " %d calls answered, nothing lost; %.1f s%n",
                    rows.courses(),
                    depth,
                    drawn.courses(),
                    events,
                    changed.courses(),
                    CHANGES,
                    rows.answered() + drawn.answered() + changed.answered(),
                    seconds);
            return Gorsemast.DONE;
        }
    }
}
