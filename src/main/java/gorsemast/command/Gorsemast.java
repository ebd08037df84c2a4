package gorsemast.command;

import gorsemast.settings.Fault;
import gorsemast.settings.GorsemastSettings;
import java.nio.file.Path;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.ParameterException;

/** The product's command, {@code ./gorsemast VERB}. The platform's {@code run} goes by {@code anisebend.Main}. */
@Command(
        name = "gorsemast",
        mixinStandardHelpOptions = true,
        versionProvider = Gorsemast.Version.class,
        synopsisSubcommandLabel = "VERB",
        description = "A proxy between clients and cache nodes, and what shows how several of them behave.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:done", "1:failed", "2:usage or settings"},
        subcommands = {
            Serve.class,
            Check.class,
            FleetCommand.class,
            RigCommand.class,
            LabCommand.class,
            NetworkCommand.class,
            HuntCommand.class,
            ScaleCommand.class,
            Gorsemast.VersionCommand.class,
            CommandLine.HelpCommand.class
        })
public final class Gorsemast {
    static final int DONE = 0;
    static final int FAILED = 1;
    static final int USAGE = 2;

    private Gorsemast() {}

    /** Runs a verb and exits with its code. */
    public static void main(String[] args) {
        CommandLine line = new CommandLine(new Gorsemast());
        line.setParameterExceptionHandler((wrong, given) -> {
            System.err.println(
                    "gorsemast: " + wrong.getMessage().lines().findFirst().orElse("usage") + "; see gorsemast help");
            return USAGE;
        });
        line.setExecutionExceptionHandler((failed, command, result) -> {
            System.err.println("gorsemast: " + (failed.getMessage() == null ? failed.toString() : failed.getMessage()));
            return FAILED;
        });
        if (args.length == 0) {
            line.usage(System.err);
            System.exit(USAGE);
        }
        System.exit(line.execute(args));
    }

    /** The settings in a file, or null after all that is wrong with it has been printed. */
    static GorsemastSettings settings(Path file) {
        try {
            return GorsemastSettings.load(file);
        } catch (GorsemastSettings.FaultyException e) {
            for (Fault fault : e.faults()) {
                System.err.println(file + ":" + fault);
            }
            return null;
        }
    }

    /** The version in the jar. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Gorsemast.class.getPackage().getImplementationVersion();
            return new String[] {"gorsemast " + (version == null ? "of no package" : version)};
        }
    }

    /** Prints it. */
    @Command(name = "version", description = "Prints the version.")
    static final class VersionCommand implements Runnable {
        @Override
        public void run() {
            System.out.println(new Version().getVersion()[0]);
        }
    }

    static ParameterException usage(CommandLine.Model.CommandSpec spec, String wrong) {
        return new ParameterException(spec.commandLine(), wrong);
    }
}
