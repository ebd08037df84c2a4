package gorsemast.processes;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** How a program is started: by the deploy file with {@code -Dprocesses.deployed=true}, else from the test's class path. */
final class Commands {
    private static final Pattern RUN = Pattern.compile("^run = \"([^\"]*)\"$", Pattern.MULTILINE);

    private Commands() {}

    /** The command of {@code proxy}, {@code registry} or {@code store}. */
    static List<String> of(String program) throws IOException {
        if (Boolean.getBoolean("processes.deployed")) {
            Matcher runs = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
            while (runs.find()) {
                if (runs.group(1).endsWith("Main " + program)) {
                    return List.of(runs.group(1).split(" "));
                }
            }
            throw new IOException("deploy/system.toml has no role that runs " + program);
        }
        return List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC",
                "-Xshare:auto",
                "-Xmx64m",
                "-cp",
                System.getProperty("java.class.path"),
                "gorsemast.launcher.Main",
                program);
    }
}
