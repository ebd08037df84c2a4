package gorsemast.command;

import gorsemast.settings.GorsemastSettings;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Reads a settings file and says what is wrong with it. */
@Command(name = "check", description = "Reads a settings file and prints all that is wrong with it, a line each.")
final class Check implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "The settings, as in deploy/gorsemast.json5.")
    private Path file;

    @Override
    public Integer call() {
        GorsemastSettings settings = Gorsemast.settings(file);
        if (settings == null) {
            return Gorsemast.USAGE;
        }
        System.out.println(file + ": good; peers " + (settings.peers() == null ? "off" : "at "
            + settings.peers().listen()));
        return Gorsemast.DONE;
    }
}
