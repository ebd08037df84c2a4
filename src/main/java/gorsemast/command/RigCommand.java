package gorsemast.command;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import gorsemast.rig.Herd;
import gorsemast.rig.Rig;
import gorsemast.rig.Scenario;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs the test rig: real processes with faults between them. */
@Command(
        name = "rig",
        description = {
            "Starts several processes of this program on loopback, with stand-in services, and "
                    + "runs a scenario of faults between them.",
            "Prints one line per event; the last line is the result."
        })
final class RigCommand implements Callable<Integer> {
    private static final List<String> DEFECTS = List.of("", "twice", "lost", "unsettled");

    @Option(
            names = "--kind",
            defaultValue = "view",
            paramLabel = "KIND",
            description =
                    "What is tested: view, or herd " + "(seven in ten killed under load, with the view and without).")
    private String kind;

    @Option(
            names = "--processes",
            defaultValue = "5",
            paramLabel = "N",
            description = "Number of processes, 2 to " + Scenario.MAX_PROCESSES + ".")
    private int processes;

    @Option(names = "--seed", defaultValue = "1", paramLabel = "N", description = "Seed of the scenario.")
    private long seed;

    @Option(
            names = "--seconds",
            defaultValue = "20",
            paramLabel = "N",
            description = "No event begins after this time; 1 to 3600.")
    private int seconds;

    @Option(
            names = "--day",
            paramLabel = "FILE",
            description = "Runs the scenario in this file; if missing, one is drawn " + "and written to it.")
    private Path file;

    @Option(
            names = "--every",
            description = "Runs every kind of failure, one after another, instead of a drawn scenario.")
    private boolean every;

    @Option(
            names = "--plant",
            defaultValue = "",
            paramLabel = "NAME",
            description = "Injects a defect, once: " + "twice, lost or unsettled.")
    private String defect;

    @Option(
            names = "--register-ms",
            defaultValue = "1500",
            paramLabel = "MS",
            description = "Time that the discovery service needs for a " + "list in a herd.")
    private long discoveryMillis;

    @Option(
            names = "--logs",
            paramLabel = "FOLDER",
            description = "Folder for the files and logs of the processes; else a temporary " + "folder that is named.")
    private Path logs;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (!kind.equals("view") && !kind.equals("herd")) {
            throw Gorsemast.usage(spec, "--kind " + kind + " is not known; there are view, herd");
        }
        if (!DEFECTS.contains(defect)) {
            throw Gorsemast.usage(spec, "--plant " + defect + " is not known; there are twice, lost, unsettled");
        }
        if (processes < 2 || processes > Scenario.MAX_PROCESSES || seconds < 1 || seconds > 3_600) {
            throw Gorsemast.usage(spec, "--processes is 2 to " + Scenario.MAX_PROCESSES + ", --seconds 1 to 3600");
        }
        ((Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME)).setLevel(Level.WARN);
        if (kind.equals("herd")) {
            return runHerd();
        }
        Scenario day;
        if (file != null && Files.exists(file)) {
            try {
                day = Scenario.read(file);
            } catch (IOException | IllegalArgumentException e) {
                System.err.println("gorsemast: " + e.getMessage());
                return Gorsemast.USAGE;
            }
        } else {
            day = every ? Scenario.ofEveryFault(processes, seed) : Scenario.draw(processes, seed, 200);
            if (file != null) {
                day.write(file);
            }
        }
        if (defect.equals("unsettled")) {
            day = new Scenario(
                    day.processes(),
                    day.seed(),
                    List.of(
                            new Scenario.Event(Scenario.Kind.CUT, List.of(), 2),
                            new Scenario.Event(Scenario.Kind.HEAL, List.of(), 0)));
        }
        Path home = logs != null ? Files.createDirectories(logs) : Files.createTempDirectory("gorsemast-rig");
        System.out.println("seed " + day.seed() + ", " + day.processes() + " processes, logs in " + home);
        Consumer<String> lines = System.out::println;
        try (Rig rig = new Rig(day, defect, home, lines)) {
            Runtime.getRuntime().addShutdownHook(new Thread(rig::endProcesses));
            Rig.Result result = rig.run(seconds);
            result.findings().forEach(System.out::println);
            System.out.println(result.line());
            return result.holds() ? Gorsemast.DONE : Gorsemast.FAILED;
        }
    }

    /** Runs the same experiment without and with the fleet view, to show the difference. */
    private int runHerd() throws IOException, InterruptedException {
        Path home = logs != null ? Files.createDirectories(logs) : Files.createTempDirectory("gorsemast-rig");
        System.out.println("seed " + seed + ", " + processes + " processes, logs in " + home);
        Herd herd = new Herd(processes, seed, seconds, discoveryMillis, home, System.out::println);
        boolean holds = true;
        for (boolean peers : new boolean[] {false, true}) {
            Herd.Result result = herd.run(peers);
            result.findings().forEach(System.out::println);
            System.out.println(result.line());
            holds &= result.lost() + result.twice() == 0;
        }
        return holds ? Gorsemast.DONE : Gorsemast.FAILED;
    }
}
