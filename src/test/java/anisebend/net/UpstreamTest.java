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
import java.io.IOException;
import java.io.InputStream;
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

/** How attempts to a node end, and whether the request may have run. */
class UpstreamTest {
    private static final long LONG_MICROS = 60_000_000;
    /** Less than the least time for which the last byte of an unsafe request is withheld, 2 ms. */
    private static final long BEFORE_WITHHELD_BYTE_MICROS = 1_900;

    private record Ended(Code code, CacheStatus note) {}

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<Ended> outcomes = new LinkedBlockingQueue<>();
    private volatile boolean ready = true;
    /** Runs on the event loop whenever the node's readiness is checked, as just before a request is written. */
    private volatile Runnable onReadinessCheck = () -> {};

    private final Upstream upstream =
            new Upstream(group.next(), Upstream.CACHE_NODE_DIALECT, node -> isReady(), 4, 60_000, 2_000, 1);

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private boolean isReady() {
        onReadinessCheck.run();
        return ready;
    }

    private static Discovery.Node node(int port) {
        return node("s-1", port);
    }

    private static Discovery.Node node(String host, int port) {
        return new Discovery.Node(host, new InetSocketAddress(Loopback.HOST, port), 0, true);
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
                        node(port),
                        request,
                        waitMicros,
                        once,
                        (code, note, got) -> outcomes.add(new Ended(code, note))))
                .get();
    }

    /** A write that must run at most once. */
    private FullHttpRequest once(String body) throws Exception {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.PUT, "/api/k", Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
        request.headers().set("Content-Length", body.length());
        return request;
    }

    private Ended ended() throws InterruptedException {
        return outcomes.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
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
    void mapsResponsesToOutcomes(int status, String header, Code code, CacheStatus note) throws Exception {
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

    /** An unreachable machine does not respond: the connect timeout or the attempt's own deadline ends the attempt. */
    @ParameterizedTest
    @CsvSource({"60000000", "300000"})
    void requestOnAConnectionThatIsNeverEstablishedNeverRan(long waitMicros) throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, Loopback.HOST)) {
            List<Socket> waiting = fill(full);
            send(full.getLocalPort(), waitMicros);
            assertEquals(Code.CONNECT_FAILED, ended().code());
            for (Socket socket : waiting) {
                socket.close();
            }
        }
    }

    /** Fills the listener's accept queue; it does not respond to further connects. */
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
     * A connection becomes idle while another one, opened for a waiting attempt, fails to connect. The attempt must use
     * the idle connection at once, and not only after half of its time.
     */
    @Test
    void waitingAttemptUsesIdleConnectionWhenItsOwnConnectFails() throws Exception {
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
    void resetAfterTheLastByteMayHaveRun() throws Exception {
        try (Server server = new Server((request, socket) -> socket.close())) {
            send(port(server), LONG_MICROS);
            assertEquals(Code.RESET, ended().code());
            assertEquals(1, server.requests.size());
        }
    }

    /** The node closes the connection after its response, too late to be noticed before the next request. */
    @ParameterizedTest
    @ValueSource(strings = {"5", "amount=5"})
    void unsafeRequestIsNotSentOnADeadConnection(String body) throws Exception {
        CountDownLatch nextSent = new CountDownLatch(1);
        try (Server server = new Server((request, socket) -> {
            write(socket, answer(200, "", "x"));
            try {
                nextSent.await();
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
                                (code, note, got) -> outcomes.add(new Ended(code, note)));
                        nextSent.countDown();
                        return server.ended.poll(PATIENCE_SECONDS, TimeUnit.SECONDS); // while the event loop is blocked
                    })
                    .get();
            assertEquals(Code.NOT_SENT, ended().code());
            group.next().schedule(() -> {}, 100, TimeUnit.MILLISECONDS).get(); // after the withheld request is released
            assertEquals(0, next.refCnt());
            assertNull(server.requests.peek());
            send(port(server), LONG_MICROS, once(body), true);
            assertEquals(Code.OK, ended().code());
            assertEquals(2, server.connections.size());
        }
    }

    /**
     * A reset of a new connection during the request counts against the node, and means that nothing ran. The event loop
     * is blocked from just before the withheld byte is due until the connection is reset: a delay of the test's own
     * thread must not let that byte out first, after which the request may have run.
     */
    @Test
    void unsafeRequestIsNotSentToANodeThatResets() throws Exception {
        CountDownLatch reset = new CountDownLatch(1);
        onReadinessCheck = () -> group.next()
                .schedule(
                        () -> reset.await(PATIENCE_SECONDS, TimeUnit.SECONDS),
                        BEFORE_WITHHELD_BYTE_MICROS,
                        TimeUnit.MICROSECONDS);
        try (ServerSocket resetting = new ServerSocket(0, 1, Loopback.HOST)) {
            send(resetting.getLocalPort(), LONG_MICROS, once("amount=5"), true);
            try (Socket socket = resetting.accept()) {
                socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(PATIENCE_SECONDS));
                readUntil(socket.getInputStream(), "\r\n\r\namount=");
                assertEquals(0, socket.getInputStream().available(), "the last byte is withheld");
                socket.setSoLinger(true, 0);
            } finally {
                reset.countDown();
            }
            assertEquals(Code.CONNECT_FAILED, ended().code());
        }
    }

    private static void readUntil(InputStream in, String end) throws IOException {
        StringBuilder received = new StringBuilder();
        while (received.indexOf(end) < 0) {
            int next = in.read();
            assertTrue(next >= 0, () -> "the connection ended after: " + received);
            received.append((char) next);
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

    /** The drain grace counts from the first byte, so nothing is written to a connection established too late. */
    @Test
    void sendsNothingToANodeThatIsNoLongerReady() throws Exception {
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
            assertNull(outcomes.peek());
        }
    }

    /** The local connection limit must not count against a healthy node: the attempt waits, then ends as not sent. */
    @Test
    void connectionLimitLeavesAttemptsUnsent() throws Exception {
        try (Server server = new Server((request, socket) -> {})) {
            for (int i = 0; i < 4; i++) {
                send(port(server), LONG_MICROS);
                assertNotNull(server.next());
            }
            send(port(server), 400_000);
            assertEquals(Code.NOT_SENT, ended().code());
            assertNull(outcomes.peek());
            assertEquals(4, server.connections.size());
        }
    }

    /** An attempt takes the first free connection even while another one is being opened for it. */
    @Test
    void waitingAttemptTakesFirstFreedConnection() throws Exception {
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

    /** The node accepts no more connections: the open one serves all, and failed connects do not count against it. */
    @Test
    void failedConnectsDoNotCountAgainstANodeWithOpenConnections() throws Exception {
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
     * What a node sends after a valid response (a duplicate, noise, or half a line) must never answer the next request
     * on that connection: the response counts and the connection is closed.
     */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", "\u0001\u0002noise\r\n\r\n", "noi"})
    void extraDataAfterAResponseClosesTheConnection(String more) throws Exception {
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

    /** Bytes that arrive on an idle connection belong to no request. */
    @Test
    void unexpectedDataOnAnIdleConnectionClosesIt() throws Exception {
        try (Server server = new Server((request, socket) -> write(socket, answer(200, "", "x")))) {
            send(port(server), LONG_MICROS);
            assertEquals(Code.OK, ended().code());
            write(server.connections.get(0), answer(200, "", "x"));
            assertNotNull(server.ended.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
        }
    }

    /** After a malformed response the request may have run; the response is not used and the connection is closed. */
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
    void malformedResponseMayHaveRunAndClosesTheConnection(String text) throws Exception {
        try (Server server = new Server((request, socket) -> write(socket, text))) {
            send(port(server), LONG_MICROS);
            assertEquals(Code.RESET, ended().code());
            assertNotNull(server.ended.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
        }
    }

    /** Some 1xx responses may precede the final one; an endless series must not hold the attempt. */
    @ParameterizedTest
    @CsvSource({"2, OK", "1000, RESET"})
    void skipsALimitedNumberOfInterimResponses(int count, Code code) throws Exception {
        try (Server server = new Server((request, socket) ->
                write(socket, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n".repeat(count) + answer(200, "", "x")))) {
            send(port(server), LONG_MICROS);
            assertEquals(code, ended().code());
        }
    }

    /** A node that stalls within a long response must not hold its connection and reader forever. */
    @Test
    void abortsALongResponseOfANodeThatStalls() throws Exception {
        BlockingQueue<String> events = new LinkedBlockingQueue<>();
        try (Server server = new Server((request, socket) ->
                write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + "x".repeat(1_000)))) {
            FullHttpRequest message =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api/k", Unpooled.EMPTY_BUFFER);
            group.next()
                    .submit(() -> upstream.stallTimeout(20_000)
                            .send(node(port(server)), message, LONG_MICROS, false, new Upstream.AttemptListener() {
                                @Override
                                public void ended(Code code, CacheStatus note, FullHttpResponse answer) {
                                    events.add("ended " + code);
                                }

                                @Override
                                public ResponseSink streaming(
                                        CacheStatus note,
                                        HttpResponse head,
                                        long length,
                                        ResponseSink.FlowControl flow) {
                                    events.add("begins " + length);
                                    return new ResponseSink() {
                                        @Override
                                        public void part(ByteBuf bytes) {
                                            bytes.skipBytes(bytes.readableBytes());
                                        }

                                        @Override
                                        public void completed() {
                                            events.add("whole");
                                        }

                                        @Override
                                        public void aborted() {
                                            events.add("broken");
                                        }
                                    };
                                }
                            }))
                    .get();
            assertEquals("begins 1000000", events.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
            assertEquals("broken", events.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
            assertNotNull(server.ended.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
            assertTrue(events.isEmpty(), "more than one outcome: " + events);
        }
    }

    /** Takes a long response without ever ending: its connection stays in use. */
    private Upstream.AttemptListener streamTo(BlockingQueue<String> events) {
        return new Upstream.AttemptListener() {
            @Override
            public void ended(Code code, CacheStatus note, FullHttpResponse answer) {
                events.add("ended " + code);
            }

            @Override
            public ResponseSink streaming(
                    CacheStatus note, HttpResponse head, long length, ResponseSink.FlowControl flow) {
                events.add("begins " + length);
                return new ResponseSink() {
                    @Override
                    public void part(ByteBuf bytes) {
                        bytes.skipBytes(bytes.readableBytes());
                    }

                    @Override
                    public void completed() {
                        events.add("whole");
                    }

                    @Override
                    public void aborted() {
                        events.add("broken");
                    }
                };
            }
        };
    }

    private void stream(Discovery.Node node, BlockingQueue<String> events) throws Exception {
        FullHttpRequest message =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/long", Unpooled.EMPTY_BUFFER);
        group.next()
                .submit(() ->
                        upstream.stallTimeout(LONG_MICROS).send(node, message, LONG_MICROS, false, streamTo(events)))
                .get();
    }

    /** At the connection limit a request isn't left behind long responses while connections to other nodes are idle. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void replacesAnIdleConnectionToANodeWhoseOwnAllStream(boolean idleBefore) throws Exception {
        BlockingQueue<String> events = new LinkedBlockingQueue<>();
        CountDownLatch answerOther = new CountDownLatch(idleBefore ? 0 : 1);
        try (Server streaming = new Server((request, socket) -> write(
                        socket,
                        request.first().contains("/long")
                                ? "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + "x".repeat(1_000)
                                : answer(200, "", "short")));
                Server other = new Server((request, socket) -> {
                    awaitUninterruptibly(answerOther);
                    write(socket, answer(200, "", "other"));
                })) {
            for (int i = 0; i < 3; i++) {
                stream(node("s-1", port(streaming)), events);
                assertEquals("begins 1000000", events.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
            }
            stream(node("s-2", port(other)), events);
            assertNotNull(other.next());
            if (idleBefore) {
                assertEquals("ended OK", events.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
            }
            send(port(streaming), LONG_MICROS);
            answerOther.countDown();
            assertEquals(new Ended(Code.OK, CacheStatus.NONE), ended());
        }
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
