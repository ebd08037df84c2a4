package anisebend.net;

import static anisebend.net.Loopback.PATIENCE_SECONDS;
import static anisebend.net.Loopback.answer;
import static anisebend.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import anisebend.Balancer.CacheStatus;
import anisebend.Balancer.Code;
import anisebend.net.Loopback.Server;
import gorsemast.http.ResponseSink;
import gorsemast.http.Upstream;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** How attempts end, seen from the side that has to tell what ran. */
class UpstreamTest {
    private static final long LONG_MICROS = 60_000_000;

    private record Ended(Code code, CacheStatus note) {}

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<Ended> endings = new LinkedBlockingQueue<>();
    private volatile boolean ready = true;
    private final Upstream upstream =
            new Upstream(group.next(), Upstream.CACHE_NODE_DIALECT, node -> ready, 4, 60_000, 2_000, 1);

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
        return send(
                port,
                waitMicros,
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api/k", Unpooled.EMPTY_BUFFER),
                false);
    }

    private Upstream.Attempt send(int port, long waitMicros, FullHttpRequest request, boolean once) throws Exception {
        return group.next()
                .submit(() -> upstream.send(
                        node(port), request, waitMicros, once, (code, note, got) -> endings.add(new Ended(code, note))))
                .get();
    }

    /** A write that is to run once at most. */
    private FullHttpRequest once(String body) throws Exception {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.PUT, "/api/k", Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
        request.headers().set("Content-Length", body.length());
        return request;
    }

    private Ended ended() throws InterruptedException {
        return endings.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }

    @ParameterizedTest
    @CsvSource({
        "200, X-Lookup: hit, OK, HIT",
        "200, X-Lookup: miss, OK, MISS",
        "200, X-Lookup: pending, OK, MISS_FETCHING",
        "200, X-Other: 1, OK, NONE",
        "500, X-Other: 1, ERROR, NONE",
        "503, X-Unprocessed: 1, FULL, NONE",
        "504, X-Unprocessed: 1, FULL, NONE",
        "503, X-Other: 1, ERROR, NONE",
        "504, X-Other: 1, ERROR, NONE",
        "500, X-Unprocessed: 1, ERROR, NONE",
        "302, X-Other: 1, ERROR, NONE"
    })
    void tellsOutcomesByTheProtocolsTable(int status, String header, Code code, CacheStatus note) throws Exception {
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
            List<Socket> waiting = fill(full);
            send(full.getLocalPort(), waitMicros);
            assertEquals(Code.CONNECT_FAILED, ended().code());
            for (Socket socket : waiting) {
                socket.close();
            }
        }
    }

    /** Connects until the queue of those not accepted is full: from then on the listener says nothing to who comes. */
    private static List<Socket> fill(ServerSocket listener) throws Exception {
        List<Socket> waiting = new ArrayList<>();
        boolean silent = false;
        while (!silent && waiting.size() < 20) {
            Socket socket = new Socket();
            waiting.add(socket);
            try {
                socket.connect(listener.getLocalSocketAddress(), 1000);
            } catch (SocketTimeoutException e) {
                silent = true;
            }
        }
        assertTrue(silent);
        return waiting;
    }

    /**
     * A connection falls idle while another is coming up for the attempt that waits; that other one then fails. Whoever
     * waits has the idle one, and is not left beside it until half of its time is over.
     */
    @Test
    void whoWaitsHasTheIdleConnectionWhenTheOtherFails() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, Loopback.HOST)) {
            send(listener.getLocalPort(), LONG_MICROS);
            try (Socket node = listener.accept()) {
                assertNotNull(Loopback.read(node.getInputStream()));
                List<Socket> waiting = fill(listener);
                send(listener.getLocalPort(), LONG_MICROS);
                write(node, answer(200, "", "x"));
                assertEquals(Code.OK, ended().code());
                assertNotNull(Loopback.read(node.getInputStream()));
                write(node, answer(200, "", "x"));
                assertEquals(Code.OK, ended().code());
                for (Socket socket : waiting) {
                    socket.close();
                }
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

    /** The node answers, and is gone before the next request on that connection, too late to be seen before it. */
    @ParameterizedTest
    @ValueSource(strings = {"5", "amount=5"})
    void whatMayNotRunTwiceIsKeptFromADeadConnection(String body) throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        try (Server server = new Server((request, socket) -> {
            write(socket, answer(200, "", "x"));
            try {
                asked.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            socket.close();
        })) {
            send(port(server), LONG_MICROS, once(body), true);
            assertEquals(Code.OK, ended().code());
            assertEquals(body, server.next().body());
            FullHttpRequest next = once(body);
            group.next()
                    .submit(() -> {
                        upstream.send(
                                node(port(server)),
                                next,
                                LONG_MICROS,
                                true,
                                (code, note, got) -> endings.add(new Ended(code, note)));
                        asked.countDown();
                        return server.ended.poll(PATIENCE_SECONDS, TimeUnit.SECONDS); // while the loop is busy here
                    })
                    .get();
            assertEquals(Code.NOT_SENT, ended().code());
            group.next().schedule(() -> {}, 100, TimeUnit.MILLISECONDS).get(); // behind what was kept back
            assertEquals(0, next.refCnt());
            assertNull(server.requests.peek());
            send(port(server), LONG_MICROS, once(body), true);
            assertEquals(Code.OK, ended().code());
            assertEquals(2, server.connections.size());
        }
    }

    /** A new connection that breaks while the request comes tells against the node, and that nothing ran. */
    @Test
    void whatMayNotRunTwiceIsKeptFromANodeThatResets() throws Exception {
        try (ServerSocket resetting = new ServerSocket(0, 1, Loopback.HOST)) {
            send(resetting.getLocalPort(), LONG_MICROS, once("amount=5"), true);
            try (Socket socket = resetting.accept()) {
                socket.setSoLinger(true, 0);
            }
            assertEquals(Code.CONNECT_FAILED, ended().code());
        }
    }

    @Test
    void silenceTimesOutAndClosesTheConnection() throws Exception {
        try (Server server = new Server((request, socket) -> {})) {
            send(port(server), 300_000);
            assertNotNull(server.next());
            assertEquals(Code.TIMEOUT, ended().code());
            assertNotNull(server.ended.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
        }
    }

    /** The drain grace counts from the first byte, so a connection that came up late is not written to. */
    @Test
    void withholdsWhatNodeIsNoLongerReadyFor() throws Exception {
        try (Server server = new Server((request, socket) -> {})) {
            ready = false;
            send(port(server), LONG_MICROS);
            assertEquals(Code.NOT_SENT, ended().code());
            assertNotNull(server.ended.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
            assertNull(server.requests.peek());
        }
    }

    @Test
    void cancelledAttemptEndsOnceAndClosesItsConnection() throws Exception {
        try (Server server = new Server((request, socket) -> {})) {
            Upstream.Attempt attempt = send(port(server), LONG_MICROS);
            assertNotNull(server.next());
            group.next()
                    .submit(() -> {
                        attempt.cancel();
                        attempt.cancel();
                    })
                    .get();
            assertEquals(Code.CANCELLED, ended().code());
            assertNotNull(server.ended.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
            assertNull(endings.peek());
        }
    }

    /** Our own bound must not be held against a healthy node: who finds no room waits, and then is told so. */
    @Test
    void boundOnConnectionsLeavesAttemptsUnsent() throws Exception {
        try (Server server = new Server((request, socket) -> {})) {
            for (int i = 0; i < 4; i++) {
                send(port(server), LONG_MICROS);
                assertNotNull(server.next());
            }
            send(port(server), 400_000);
            assertEquals(Code.NOT_SENT, ended().code());
            assertNull(endings.peek());
            assertEquals(4, server.connections.size());
        }
    }

    /** An attempt takes the first connection that is free, though another is being opened for it. */
    @Test
    void whoWaitsTakesTheConnectionThatIsFreedFirst() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (Server server = new Server((request, socket) -> {
            try {
                go.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            write(socket, answer(200, "", "x"));
        })) {
            for (int i = 0; i < 4; i++) {
                send(port(server), LONG_MICROS);
                assertNotNull(server.next());
            }
            for (int i = 0; i < 3; i++) {
                send(port(server), LONG_MICROS);
            }
            go.countDown();
            for (int i = 0; i < 7; i++) {
                assertEquals(Code.OK, ended().code());
            }
            assertEquals(4, server.connections.size());
        }
    }

    /** The node's table is full: what it let in serves all, and the connects that fail are not held against it. */
    @Test
    void failedConnectsBesideOpenOnesSayNothingOfTheNode() throws Exception {
        try (Server server = new Server((request, socket) -> write(socket, answer(200, "", "x")))) {
            CountDownLatch go = new CountDownLatch(1);
            server.script = (request, socket) -> {
                try {
                    go.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                write(socket, answer(200, "", "x"));
            };
            send(port(server), LONG_MICROS);
            assertNotNull(server.next());
            server.refuse();
            for (int i = 0; i < 3; i++) {
                send(port(server), LONG_MICROS);
            }
            group.next().submit(() -> {}).get();
            go.countDown();
            for (int i = 0; i < 4; i++) {
                assertEquals(Code.OK, ended().code());
            }
            assertEquals(1, server.connections.size());
        }
    }

    /**
     * What a node sends behind a good answer, a copy of it, noise, or half a line, must never answer the next
     * request on that connection: the answer counts and the connection goes.
     */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", "\u0001\u0002noise\r\n\r\n", "noi"})
    void moreThanOneAnswerClosesTheConnection(String more) throws Exception {
        try (Server server = new Server(
                (request, socket) -> write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx" + more))) {
            send(port(server), LONG_MICROS);
            assertEquals(Code.OK, ended().code());
            send(port(server), LONG_MICROS);
            assertEquals(Code.OK, ended().code());
            assertEquals(2, server.connections.size());
            assertNotNull(server.ended.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
        }
    }

    /** Bytes that come while a connection is idle belong to no request. */
    @Test
    void whatComesOnAnIdleConnectionClosesIt() throws Exception {
        try (Server server = new Server((request, socket) -> write(socket, answer(200, "", "x")))) {
            send(port(server), LONG_MICROS);
            assertEquals(Code.OK, ended().code());
            write(server.connections.get(0), answer(200, "", "x"));
            assertNotNull(server.ended.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
        }
    }

    /** An answer that can't be trusted has run, serves nobody and takes its connection with it. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 2x0 OK\r\nContent-Length: 1\r\n\r\nx",
                "ICY 200 OK\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 OK 200\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\nzz\r\nx\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx",
                "HTTP/1.1 101 Other\r\n\r\n",
                "\u0001\u0002\u0003noise\r\n\r\n"
            })
    void spoiltAnswerMayHaveRunAndClosesTheConnection(String text) throws Exception {
        try (Server server = new Server((request, socket) -> write(socket, text))) {
            send(port(server), LONG_MICROS);
            assertEquals(Code.RESET, ended().code());
            assertNotNull(server.ended.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
        }
    }

    /** Some 1xx may come ahead of an answer; a row of them without end must not hold the attempt. */
    @ParameterizedTest
    @CsvSource({"2, OK", "1000, RESET"})
    void skipsInterimAnswersButNotWithoutEnd(int count, Code code) throws Exception {
        try (Server server = new Server((request, socket) ->
                write(socket, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n".repeat(count) + answer(200, "", "x")))) {
            send(port(server), LONG_MICROS);
            assertEquals(code, ended().code());
        }
    }

    /** A node that falls silent within a long answer keeps neither its connection nor its reader for ever. */
    @Test
    void breaksOffALongAnswerOfANodeThatFellSilent() throws Exception {
        BlockingQueue<String> told = new LinkedBlockingQueue<>();
        try (Server server = new Server((request, socket) ->
                write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + "x".repeat(1_000)))) {
            FullHttpRequest message =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api/k", Unpooled.EMPTY_BUFFER);
            group.next()
                    .submit(() -> upstream.stallTimeout(20_000)
                            .send(node(port(server)), message, LONG_MICROS, false, new Upstream.AttemptListener() {
                                @Override
                                public void ended(Code code, CacheStatus note, FullHttpResponse answer) {
                                    told.add("ended " + code);
                                }

                                @Override
                                public ResponseSink streaming(
                                        CacheStatus note,
                                        HttpResponse head,
                                        long length,
                                        ResponseSink.FlowControl flow) {
                                    told.add("begins " + length);
                                    return new ResponseSink() {
                                        @Override
                                        public void part(ByteBuf bytes) {
                                            bytes.skipBytes(bytes.readableBytes());
                                        }

                                        @Override
                                        public void completed() {
                                            told.add("whole");
                                        }

                                        @Override
                                        public void aborted() {
                                            told.add("broken");
                                        }
                                    };
                                }
                            }))
                    .get();
            assertEquals("begins 1000000", told.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
            assertEquals("broken", told.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
            assertNotNull(server.ended.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
            assertTrue(told.isEmpty(), "one ending: " + told);
        }
    }
}
