package gorsemast.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A training or a network whose ports are taken: the build that waits for it must go on. */
class TrainingTest {
    private static final String NET = "127.0.77";
    private static final int LIMIT_SECONDS = 50;
    private static final long JOIN_MILLIS = 2_000;

    @TempDir
    Path folder;

    /** The address where the second machine's registry listens: the first one's threads run by then. */
    private static ServerSocket takes() throws IOException {
        return new ServerSocket(0, 1, InetAddress.getByName(NET + ".2"));
    }

    @Test
    void aTakenPortEndsTheProcessWithALine() throws IOException, InterruptedException {
        Path said = folder.resolve("said");
        try (ServerSocket other = takes()) {
            Process training = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-cp",
                            System.getProperty("java.class.path"),
                            "-Djava.library.path=target" + File.separator + "native",
                            "-Dlogback.configurationFile=logback-test.xml",
                            Training.class.getName(),
                            folder.toString(),
                            Integer.toString(other.getLocalPort()))
                    .redirectErrorStream(true)
                    .redirectOutput(said.toFile())
                    .start();
            try {
                assertThat(training.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS))
                        .as("over in time")
                        .isTrue();
                assertThat(training.exitValue()).isEqualTo(Training.FAILED);
                assertThat(Files.readAllLines(said)).singleElement().asString().startsWith("training: ");
            } finally {
                training.destroyForcibly();
            }
        }
    }

    @Test
    void aNetworkThatCanNotStartLeavesNoThreadsBehind() throws IOException, InterruptedException {
        try (ServerSocket other = takes()) {
            Set<Thread> before = loops();
            LoopbackNetwork network = new LoopbackNetwork(NET, other.getLocalPort(), folder);
            assertThatThrownBy(() -> network.start(1)).isInstanceOf(IOException.class);
            assertThat(lasting(before)).isEmpty();
        }
    }

    @Test
    void aTakenPortIsFollowedByAnother() throws IOException {
        try (ServerSocket other = takes()) {
            int[] calls = new int[1];
            LoopbackNetwork.PortSource ports =
                    () -> calls[0]++ == 0 ? other.getLocalPort() : LoopbackNetwork.freePort(NET);
            try (LoopbackNetwork network = LoopbackNetwork.started(NET, ports, folder, 1)) {
                assertThat(calls[0]).isGreaterThan(1);
                assertThat(network.fronts()).hasSize(1);
            }
        }
    }

    @Test
    void aClosedNetworkWritesNoMoreAndFreesItsPorts() throws IOException, InterruptedException {
        Set<Thread> before = loops();
        int port;
        try (LoopbackNetwork network = LoopbackNetwork.started(NET, folder, 1)) {
            port = network.controls().get(0).getPort();
        }
        assertThat(lasting(before)).isEmpty();
        try (ServerSocket again = new ServerSocket(port, 1, InetAddress.getByName(NET + ".1"))) {
            assertThat(again.isBound()).isTrue();
        }
    }

    /** Those of them that do not end; a loop tells that it is over just before its thread is. */
    private static Set<Thread> lasting(Set<Thread> before) throws InterruptedException {
        Set<Thread> after = loops();
        after.removeAll(before);
        for (Thread thread : after) {
            thread.join(JOIN_MILLIS);
        }
        after.removeIf(thread -> !thread.isAlive());
        return after;
    }

    /** Threads of loops and disks. */
    private static Set<Thread> loops() {
        return Thread.getAllStackTraces().keySet().stream()
                .filter(thread -> thread.getName().startsWith("multiThreadIoEventLoopGroup")
                        || thread.getName().equals("disk"))
                .collect(Collectors.toSet());
    }
}
