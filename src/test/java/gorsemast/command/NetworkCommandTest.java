package gorsemast.command;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.standin.LoopbackNetwork;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What {@code gorsemast network} says first, as a process without the tests' own settings of logs. */
class NetworkCommandTest {
    private static final String NET = "127.0.86";
    private static final int LIMIT_SECONDS = 60;

    @TempDir
    Path folder;

    private static String productPath() {
        return Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                .filter(entry -> !entry.endsWith("test-classes"))
                .collect(Collectors.joining(File.pathSeparator));
    }

    @Test
    void opensWithItsOwnLines() throws IOException, InterruptedException {
        Path said = folder.resolve("said");
        Process network = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Djava.io.tmpdir=" + folder,
                        "-cp",
                        productPath(),
                        Gorsemast.class.getName(),
                        "network",
                        "--edges=1",
                        "--net=" + NET,
                        "--port=" + LoopbackNetwork.freePort(NET),
                        "--seconds=1")
                .redirectErrorStream(true)
                .redirectOutput(said.toFile())
                .start();
        try {
            assertThat(network.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS)).isTrue();
            List<String> lines = Files.readAllLines(said);
            assertThat(lines.get(0)).startsWith("ready, disks in ");
            assertThat(lines).noneMatch(line -> line.contains("exodus") || line.contains("DEBUG"));
            assertThat(network.exitValue()).isEqualTo(Gorsemast.DONE);
        } finally {
            network.destroyForcibly();
        }
    }
}
