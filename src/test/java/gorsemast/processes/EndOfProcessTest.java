package gorsemast.processes;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.processes.KeptConnection.Ended;
import gorsemast.processes.KeptConnection.Request;
import gorsemast.standin.LoopbackNetwork;
import gorsemast.standin.StandInServer;
import gorsemast.transport.Transport;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/** Clients that go on asking an edge after its SIGTERM, until its process is gone, lose no request that it has passed on. */
class EndOfProcessTest {
    private static final int CORES = 3;
    private static final int EDGE = 20;
    private static final int CLIENTS = 2;
    private static final int ENDS = 3;
    private static final long START_MILLIS = 30_000;
    private static final long PATIENCE_MILLIS = 4_000;
    private static final long WORK_MICROS = 20_000;
    /** Between two requests of a client there is a moment in which the edge has nothing in hand. */
    private static final long THINK_MILLIS = 30;

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path data;

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, Transport.handlers()).next();
    private final Queue<Ended> ended = new ConcurrentLinkedQueue<>();
    private final AtomicLong numbers = new AtomicLong();

    private void ask(KeptConnection connection, AtomicBoolean over) {
        if (over.get()) {
            connection.close();
            return;
        }
        long number = numbers.incrementAndGet();
        connection.ask(new Request("e" + number, "GET", "/orders/" + number), one -> {
            ended.add(one);
            loop.schedule(() -> ask(connection, over), THINK_MILLIS, TimeUnit.MILLISECONDS);
        });
    }

    @Test
    void whatIsPassedOnIsAnsweredBeforeTheProcessEnds() throws IOException {
        try (ProcessNetwork network = new ProcessNetwork(data, CORES, 1)) {
            for (int core = 1; core <= CORES; core++) {
                network.startCore(core, true, 1, 2, 3);
            }
            StandInServer server = network.server("i-1", "orders", 40, 1, 2, 3);
            server.setWorkMicros(WORK_MICROS);
            ProcessNetwork.until(
                    "the first configuration",
                    START_MILLIS,
                    () -> network.control(
                                            1,
                                            "POST",
                                            "/v1/configuration/replace",
                                            LoopbackNetwork.configuration(1, LoopbackNetwork.FIRST_TTL),
                                            START_MILLIS)
                                    .join()
                                    .status()
                            == 200);
            for (int end = 0; end < ENDS; end++) {
                Process process = network.startEdge(EDGE, end == 0, 1, 2, 3);
                ProcessNetwork.until(
                        "orders",
                        START_MILLIS,
                        () -> network.ready(EDGE)
                                && network.ask(EDGE, "/orders/first").status() == 200);
                AtomicBoolean over = new AtomicBoolean();
                for (int i = 0; i < CLIENTS; i++) {
                    KeptConnection connection = new KeptConnection(loop, network.front(EDGE), PATIENCE_MILLIS);
                    loop.execute(() -> ask(connection, over));
                }
                process.destroy();
                ProcessNetwork.until("the edge ends", START_MILLIS, () -> !process.isAlive());
                over.set(true);
            }
            Set<String> ran =
                    server.runs().stream().map(StandInServer.Run::attemptId).collect(Collectors.toSet());
            List<String> lost = ended.stream()
                    .filter(one -> one.status() == 0
                            && one.connected()
                            && ran.contains(one.request().id()))
                    .map(one -> one.request().path())
                    .toList();
            assertThat(ended).hasSizeGreaterThan(ENDS * CLIENTS);
            assertThat(lost).as("of %d", ended.size()).isEmpty();
        } finally {
            loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
