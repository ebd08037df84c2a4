package gorsemast.command;

import gorsemast.http.NettyLog;
import gorsemast.modelcheck.RegistryCheck;
import gorsemast.modelcheck.RegistryDefect;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Model-checks the registries' leases and commands over all event sequences and random scenarios. */
@Command(
        name = "registry",
        description = "Checks the registries' decisions over all event sequences up to a depth and random scenarios. "
                + "Exits with 1 if a registry confirms without knowing an acknowledged command, and prints how.")
final class CheckRegistry implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(
            names = "--depth",
            defaultValue = "2",
            paramLabel = "N",
            description = "Events in a row; 19 sorts, so 19^N rows.")
    private int depth;

    @Option(names = "--courses", defaultValue = "500", paramLabel = "N")
    private int courses;

    @Option(names = "--events", defaultValue = "40", paramLabel = "N", description = "Of each drawn course.")
    private int events;

    @Option(names = "--seed", defaultValue = "1", paramLabel = "N")
    private long seed;

    @Option(
            names = "--plant",
            defaultValue = "NONE",
            paramLabel = "DEFECT",
            description = "One of ${COMPLETION-CANDIDATES}.")
    private RegistryDefect plant;

    @Override
    public Integer call() {
        if (depth < 1 || courses < 1 || events < 1) {
            throw Gorsemast.usage(spec, "--depth, --courses and --events from 1");
        }
        NettyLog.install();
        long begun = System.nanoTime();
        RegistryCheck.Result rows = RegistryCheck.exhaustive(depth, plant);
        RegistryCheck.Result drawn =
                rows.violation() != null ? rows : RegistryCheck.random(seed, courses, events, plant);
        if (drawn.violation() != null) {
            drawn.eventLog().forEach(System.out::println);
            System.out.println("broken: " + drawn.violation());
            return Gorsemast.FAILED;
        }
        System.out.printf(
                "%d rows of %d events, %d courses of %d: %d orders acknowledged, all known to who vouches; %.1f s%n",
                rows.scenarios(),
                depth,
                drawn.scenarios(),
                events,
                rows.acknowledged() + drawn.acknowledged(),
                (System.nanoTime() - begun) / 1e9);
        return Gorsemast.DONE;
    }
}
