package anisebend.net;

import static anisebend.net.Loopback.PATIENCE_SECONDS;
import static anisebend.net.Loopback.answer;
import static anisebend.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import anisebend.Balancer.Code;
import anisebend.Balancer.Note;
import anisebend.net.Loopback.Server;
import io.netty.buffer.Unpooled;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How attempts end, seen from the side that has to tell what ran. */
class UpstreamTest {
    private static final long LONG_MICROS = 60_000_000;

    private record Ended(Code code, Note note) {
    }

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<Ended> endings = new LinkedBlockingQueue<>();
    private volatile boolean ready = true;
    private final Upstream upstream = new Upstream(group.next(), node -> ready, 4, 60_000, 2_000);

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private static Discovery.Node node(int port) {
        return new Discovery.Node("s-1", new InetSocketAddress(Loopback.HOST, port), 0, true);
    }

    private static int port(Server server) {
        return Integer.parseInt(server.address().split(":")[1]);
    }

    private Upstream.Attempt send(int port, long waitMicros) throws Exception {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api/k",
            Unpooled.EMPTY_BUFFER);
        return group.next().submit(() -> upstream.send(node(port), request, waitMicros,
            (code, note, got) -> endings.add(new Ended(code, note)))).get();
    }

    private Ended ended() throws InterruptedException {
        return endings.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }

    @ParameterizedTest
    @CsvSource({"200, X-Lookup: hit, OK, HIT", "200, X-Lookup: miss, OK, MISS",
        "200, X-Lookup: pending, OK, MISS_FETCHING", "200, X-Other: 1, OK, NONE", "500, X-Other: 1, ERROR, NONE",
        "503, X-Unprocessed: 1, FULL, NONE", "504, X-Unprocessed: 1, FULL, NONE", "503, X-Other: 1, ERROR, NONE",
        "504, X-Other: 1, ERROR, NONE", "500, X-Unprocessed: 1, ERROR, NONE", "302, X-Other: 1, ERROR, NONE"})
    void tellsOutcomesByTheProtocolsTable(int status, String header, Code code, Note note) throws Exception {
        try (Server server = new Server((request, socket) -> write(socket, answer(status, header + "\r\n", "v")))) {
            send(port(server), LONG_MICROS);
            assertEquals(new Ended(code, note), ended());
        }
    }

    @Test
    void refusedConnectionNeverRan() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, Loopback.HOST)) {
            port = free.getLocalPort();
        }
        send(port, LONG_MICROS);
        assertEquals(Code.CONNECT_FAILED, ended().code());
    }

    /** A machine that is cut off says nothing: both the connect time-out and the attempt's own end it. */
    @ParameterizedTest
    @CsvSource({"60000000", "300000"})
    void connectionThatNeverComesUpNeverRan(long waitMicros) throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, Loopback.HOST)) {
            List<Socket> waiting = new ArrayList<>();
            boolean silent = false;
            while (!silent && waiting.size() < 20) { // until the queue of those not accepted is full
                Socket socket = new Socket();
                waiting.add(socket);
                try {
                    socket.connect(full.getLocalSocketAddress(), 1000);
                } catch (SocketTimeoutException e) {
                    silent = true;
                }
            }
            assertTrue(silent);
            send(full.getLocalPort(), waitMicros);
            assertEquals(Code.CONNECT_FAILED, ended().code());
            for (Socket socket : waiting) {
                socket.close();
            }
        }
    }

    @Test
    void breakAfterTheLastByteMayHaveRun() throws Exception {
        try (Server server = new Server((request, socket) -> socket.close())) {
            send(port(server), LONG_MICROS);
            assertEquals(Code.RESET, ended().code());
            assertEquals(1, server.requests.size());
        }
    }

    @Test
    void silenceTimesOutAndClosesTheConnection() throws Exception {
        try (Server server = new Server((request, socket) -> { })) {
            send(port(server), 300_000);
            assertNotNull(server.next());
            assertEquals(Code.TIMEOUT, ended().code());
            assertNotNull(server.ended.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
        }
    }

    /** The drain grace counts from the first byte, so a connection that came up late is not written to. */
    @Test
    void withholdsWhatNodeIsNoLongerReadyFor() throws Exception {
        try (Server server = new Server((request, socket) -> { })) {
            ready = false;
            send(port(server), LONG_MICROS);
            assertEquals(Code.NOT_SENT, ended().code());
            assertNotNull(server.ended.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
            assertNull(server.requests.peek());
        }
    }

    @Test
    void cancelledAttemptEndsOnceAndClosesItsConnection() throws Exception {
        try (Server server = new Server((request, socket) -> { })) {
            Upstream.Attempt attempt = send(port(server), LONG_MICROS);
            assertNotNull(server.next());
            group.next().submit(() -> {
                attempt.cancel();
                attempt.cancel();
            }).get();
            assertEquals(Code.CANCELLED, ended().code());
            assertNotNull(server.ended.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
            assertNull(endings.peek());
        }
    }

    @Test
    void boundOnConnectionsFailsAttemptsUnsent() throws Exception {
        try (Server server = new Server((request, socket) -> { })) {
            for (int i = 0; i < 5; i++) {
                send(port(server), LONG_MICROS);
            }
            assertEquals(Code.CONNECT_FAILED, ended().code());
            assertNull(endings.peek());
        }
    }
}
