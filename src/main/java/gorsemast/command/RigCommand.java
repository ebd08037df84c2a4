package gorsemast.command;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import gorsemast.rig.Day;
import gorsemast.rig.Herd;
import gorsemast.rig.Rig;
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

/** The fleet's proving ground. */
@Command(
        name = "rig",
        description = {
            "Starts several processes of this program on loopback, with stand-ins round them, and "
                    + "plays a day of faults between them.",
            "One line an event; the last line is what it came to."
        })
final class RigCommand implements Callable<Integer> {
    private static final List<String> PLANTS = List.of("", "twice", "lost", "unsettled");

    @Option(
            names = "--kind",
            defaultValue = "view",
            paramLabel = "KIND",
            description =
                    "What is proven: view, or herd " + "(seven in ten killed under load, with the view and without).")
    private String kind;

    @Option(
            names = "--processes",
            defaultValue = "5",
            paramLabel = "N",
            description = "How many, 2 to " + Day.MOST + ".")
    private int processes;

    @Option(names = "--seed", defaultValue = "1", paramLabel = "N", description = "What the day is drawn from.")
    private long seed;

    @Option(
            names = "--seconds",
            defaultValue = "20",
            paramLabel = "N",
            description = "No event begins later; 1 to 3600.")
    private int seconds;

    @Option(
            names = "--day",
            paramLabel = "FILE",
            description = "Plays the day in this file; one that is not there is drawn " + "and written to it.")
    private Path file;

    @Option(names = "--every", description = "Not a drawn day but each kind of failure, one after another.")
    private boolean every;

    @Option(
            names = "--plant",
            defaultValue = "",
            paramLabel = "NAME",
            description = "The rig does a wrong thing itself, once: " + "twice, lost or unsettled.")
    private String plant;

    @Option(
            names = "--register-ms",
            defaultValue = "1500",
            paramLabel = "MS",
            description = "What the register takes for a " + "list in a herd.")
    private long registerMillis;

    @Option(
            names = "--logs",
            paramLabel = "FOLDER",
            description = "Where the processes' files and logs go; else a temporary " + "folder that is named.")
    private Path logs;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (!kind.equals("view") && !kind.equals("herd")) {
            throw Gorsemast.usage(spec, "--kind " + kind + " is not known; there are view, herd");
        }
        if (!PLANTS.contains(plant)) {
            throw Gorsemast.usage(spec, "--plant " + plant + " is not known; there are twice, lost, unsettled");
        }
        if (processes < 2 || processes > Day.MOST || seconds < 1 || seconds > 3_600) {
            throw Gorsemast.usage(spec, "--processes is 2 to " + Day.MOST + ", --seconds 1 to 3600");
        }
        ((Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME)).setLevel(Level.WARN);
        if (kind.equals("herd")) {
            return herd();
        }
        Day day;
        if (file != null && Files.exists(file)) {
            try {
                day = Day.read(file);
            } catch (IOException | IllegalArgumentException e) {
                System.err.println("gorsemast: " + e.getMessage());
                return Gorsemast.USAGE;
            }
        } else {
            day = every ? Day.every(processes, seed) : Day.draw(processes, seed, 200);
            if (file != null) {
                day.write(file);
            }
        }
        if (plant.equals("unsettled")) {
            day = new Day(
                    day.processes(),
                    day.seed(),
                    List.of(new Day.Event(Day.Kind.CUT, List.of(), 2), new Day.Event(Day.Kind.HEAL, List.of(), 0)));
        }
        Path home = logs != null ? Files.createDirectories(logs) : Files.createTempDirectory("gorsemast-rig");
        System.out.println("seed " + day.seed() + ", " + day.processes() + " processes, logs in " + home);
        Consumer<String> lines = System.out::println;
        try (Rig rig = new Rig(day, plant, home, lines)) {
            Runtime.getRuntime().addShutdownHook(new Thread(rig::endProcesses));
            Rig.Result result = rig.play(seconds);
            result.findings().forEach(System.out::println);
            System.out.println(result.line());
            return result.holds() ? Gorsemast.DONE : Gorsemast.FAILED;
        }
    }

    /** The same herd twice, side by side in one run: what the view is worth is the difference. */
    private int herd() throws IOException, InterruptedException {
        Path home = logs != null ? Files.createDirectories(logs) : Files.createTempDirectory("gorsemast-rig");
        System.out.println("seed " + seed + ", " + processes + " processes, logs in " + home);
        Herd herd = new Herd(processes, seed, seconds, registerMillis, home, System.out::println);
        boolean holds = true;
        for (boolean peers : new boolean[] {false, true}) {
            Herd.Result result = herd.play(peers);
            result.findings().forEach(System.out::println);
            System.out.println(result.line());
            holds &= result.lost() + result.twice() == 0;
        }
        return holds ? Gorsemast.DONE : Gorsemast.FAILED;
    }
}
