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
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/** An edge that gets SIGTERM ends within its grace period, although its routes have timeouts that are longer. */
class UnfinishedAtEndTest {
    private static final int CORES = 3;
    private static final int EDGE = 20;
    private static final int CLIENTS = 12;
    private static final long START_MILLIS = 30_000;
    private static final long TIMEOUT_MILLIS = 7_850;
    private static final long WORK_MICROS = 2_500_000;
    private static final long THINK_MILLIS = 30;
    private static final long BEFORE_SIGTERM_MILLIS = 1_000;
    /** A request sent later than this after SIGTERM has to be answered whatever its server does. */
    private static final long LAST_EXEMPT_MILLIS = 3_000;
    /** A request from before that may be cut only if a server is still at work on it in the last sixth of the grace period. */
    private static final long EXEMPT_FROM_MILLIS = MachineSettings.GRACE_SECONDS * 1_000 * 5 / 6;
    /** Earlier than this after its sending a request that no server has seen may end without an answer. */
    private static final long LOSS_SLACK_MILLIS = 200;

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path data;

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, Transport.handlers()).next();
    private final Queue<Ended> ended = new ConcurrentLinkedQueue<>();
    private final AtomicLong numbers = new AtomicLong();
    private ProcessNetwork network;
    private List<StandInServer> servers;
    private long terminatedNanos;

    @BeforeEach
    void start() throws IOException {
        network = new ProcessNetwork(data, CORES, 1);
        for (int core = 1; core <= CORES; core++) {
            network.startCore(core, true, 1, 2, 3);
        }
        servers = List.of(
                network.server("i-orders-1", "orders", 40, 1, 2, 3),
                network.server("i-orders-2", "orders", 41, 1, 2, 3),
                network.server("i-objects-1", "objects", 42, 1, 2, 3),
                network.server("i-objects-2", "objects", 43, 1, 2, 3));
    }

    @AfterEach
    void stop() throws IOException {
        network.close();
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** The stand-in's first configuration with long timeouts, and with these times and this rate for objects. */
    private static byte[] configuration(String objectsTimes, String objectsRate) {
        return new String(LoopbackNetwork.configuration(1, "120s"), StandardCharsets.UTF_8)
                .replace("\"timeout\":\"1500ms\"", "\"timeout\":\"" + TIMEOUT_MILLIS + "ms\"")
                .replace("\"timeout\":\"" + TIMEOUT_MILLIS + "ms\",\"targetLatency\":\"100ms\"", objectsTimes)
                .replace("\"ratePerS\":880.0", "\"ratePerS\":" + objectsRate)
                .getBytes(StandardCharsets.UTF_8);
    }

    private Process startEdge(byte[] configuration) {
        ProcessNetwork.until(
                "the first configuration",
                START_MILLIS,
                () -> Operator.confirms(
                        network.control(1, "POST", "/v1/configuration/replace", configuration, START_MILLIS)
                                .join()));
        Process process = network.startEdge(EDGE, true, 1, 2, 3);
        ProcessNetwork.until(
                "orders and objects",
                START_MILLIS,
                () -> network.ready(EDGE)
                        && network.ask(EDGE, "/orders/first").status() == 200
                        && network.ask(EDGE, "/objects/first").status() == 200);
        return process;
    }

    private void ask(KeptConnection connection, LongFunction<Request> next, AtomicBoolean over) {
        if (over.get()) {
            connection.close();
            return;
        }
        connection.ask(next.apply(numbers.incrementAndGet()), one -> {
            ended.add(one);
            loop.schedule(() -> ask(connection, next, over), THINK_MILLIS, TimeUnit.MILLISECONDS);
        });
    }

    /** Keeps clients asking until some time after SIGTERM has ended the process. */
    private void askUntilTheEnd(Process process, List<LongFunction<Request>> kinds) {
        AtomicBoolean over = new AtomicBoolean();
        for (int i = 0; i < CLIENTS; i++) {
            KeptConnection connection =
                    new KeptConnection(loop, network.front(EDGE), 2 * TIMEOUT_MILLIS, TIMEOUT_MILLIS);
            LongFunction<Request> kind = kinds.get(i % kinds.size());
            loop.execute(() -> ask(connection, kind, over));
        }
        long begun = System.nanoTime();
        ProcessNetwork.until("all clients ask", START_MILLIS, () -> millisSince(begun) > BEFORE_SIGTERM_MILLIS);
        terminatedNanos = System.nanoTime();
        process.destroy();
        ProcessNetwork.until("the edge ends", START_MILLIS, () -> !process.isAlive());
        over.set(true);
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    private long afterTermMillis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos - terminatedNanos);
    }

    /** Whether a server was at work on the request when it ended. */
    private boolean wasAtWork(Ended one, Map<String, Long> startedByPath) {
        Long started = startedByPath.get(one.request().path());
        return started != null && one.endedNanos() - started < TimeUnit.MICROSECONDS.toNanos(WORK_MICROS);
    }

    /** Why a request counts as lost; null if it does not. */
    private String loss(Ended one, Map<String, Long> startedByPath) {
        boolean closed = one.status() == 0 && one.connected();
        boolean atWork = wasAtWork(one, startedByPath);
        boolean brokenOff = atWork && (one.status() == 503 || one.status() == 504 || one.status() == 502);
        long tookMillis = TimeUnit.NANOSECONDS.toMillis(one.endedNanos() - one.sentNanos());
        boolean exempt = atWork
                && afterTermMillis(one.sentNanos()) <= LAST_EXEMPT_MILLIS
                && afterTermMillis(one.endedNanos()) >= EXEMPT_FROM_MILLIS;
        boolean lost = (closed && (atWork || tookMillis > LOSS_SLACK_MILLIS) || brokenOff) && !exempt;
        return !lost
                ? null
                : one.request().path() + " sent " + afterTermMillis(one.sentNanos()) + " ms after SIGTERM, status "
                        + one.status() + " after " + tookMillis + " ms, " + (atWork ? "a server" : "nobody")
                        + " at work";
    }

    private List<String> lost() {
        Map<String, Long> startedByPath = servers.stream()
                .flatMap(server -> server.runs().stream())
                .collect(Collectors.toMap(StandInServer.Run::uri, StandInServer.Run::nanos, Math::max));
        return ended.stream()
                .map(one -> loss(one, startedByPath))
                .filter(one -> one != null)
                .toList();
    }

    /** LOST: an edge with a timeout of 7.85 s passed on what came 3 s after SIGTERM, and ended 5.5 s after it. */
    @Test
    void whatCannotEndInTimeIsNotStartedAfterSigterm() {
        Process process = startEdge(
                configuration("\"timeout\":\"" + TIMEOUT_MILLIS + "ms\",\"targetLatency\":\"100ms\"", "880.0"));
        servers.forEach(server -> server.setWorkMicros(WORK_MICROS));
        askUntilTheEnd(
                process,
                List.of(
                        number -> new Request("o" + number, "GET", "/orders/" + number),
                        number -> new Request("c" + number, "GET", "/objects/" + number),
                        number -> new Request("p" + number, "POST", "/orders/pay/" + number)));
        assertThat(ended.stream().filter(one -> one.status() == 200)).hasSizeGreaterThan(CLIENTS);
        assertThat(lost())
                .as("of %d; %s", ended.size(), network.log("proxy" + EDGE))
                .isEmpty();
    }

    /** LOST: object reads that waited for a permit when the process ended got no answer, though no server had seen them. */
    @Test
    void whatNoServerHasSeenIsAnsweredBeforeTheEnd() {
        Process process = startEdge(configuration("\"timeout\":\"60s\",\"targetLatency\":\"40s\"", "1.0"));
        askUntilTheEnd(process, List.of(number -> new Request("c" + number, "GET", "/objects/" + number)));
        assertThat(ended.stream().filter(one -> afterTermMillis(one.endedNanos()) > EXEMPT_FROM_MILLIS))
                .as("some wait to the end")
                .isNotEmpty();
        assertThat(lost())
                .as("of %d; %s", ended.size(), network.log("proxy" + EDGE))
                .isEmpty();
    }
}
