package anisebend.net;

import static anisebend.net.Loopback.PATIENCE_SECONDS;
import static anisebend.net.Loopback.answer;
import static anisebend.net.Loopback.entry;
import static anisebend.net.Loopback.list;
import static anisebend.net.Loopback.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import anisebend.Balancer.ListKind;
import anisebend.Balancer.Server;
import anisebend.net.Loopback.Client;
import anisebend.net.Loopback.Message;
import gorsemast.dispatch.RawServer;
import gorsemast.http.ResponseForm;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Cache nodes and a discovery service whose answers are none: a failure, of which nothing is passed on or applied. */
class BrokenAnswerTest {
    private static final double LONG_WAIT_SECONDS = 60;
    private static final ProxyConfig.Names NAMES = new ProxyConfig.Names(List.of("acme"), List.of("a"), List.of("m"));

    @TempDir
    Path folder;

    static List<ResponseForm> broken() {
        return ResponseForm.broken();
    }

    static List<ResponseForm> wellFormed() {
        return ResponseForm.wellFormed();
    }

    private static void send(Socket socket, String text) throws IOException {
        try {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        } catch (SocketException e) {
            socket.close(); // the proxy rejected the beginning
        }
    }

    /** The first answer of the node to each path is broken, the others are not. */
    private static void answerOnce(ResponseForm form, String body, Message request, Socket socket) throws IOException {
        boolean first =
                request.header("Idempotency-Key") != null || request.first().contains("/first");
        send(socket, first ? form.text("X-Lookup: hit\r\n", body) : answer(200, "X-Lookup: hit\r\n", "own"));
    }

    @ParameterizedTest
    @MethodSource("broken")
    void brokenAnswerOfACacheNodeReachesNoClient(ResponseForm form) throws Exception {
        for (String body : List.of("body", "x".repeat(150_000))) {
            try (Loopback.Server node =
                            new Loopback.Server((request, socket) -> answerOnce(form, body, request, socket));
                    Loopback.Server discovery = new Loopback.Server((request, socket) -> {})) {
                String known = list(1, true, entry("s-1", node.address(), "Ready", 0));
                ProxyServer proxy = ProxyServer.of(
                                Loopback.environment(folder, discovery.address(), 100, 60_000, known))
                        .start();
                try (Client client = new Client(proxy.address().getPort())) {
                    Message broken = client.ask(request("PUT", "/api/first", "once", LONG_WAIT_SECONDS, "b"));
                    assertEquals("HTTP/1.1 502 Bad Gateway", broken.first());
                    assertEquals(1, node.requests.size());
                    Message next = client.ask(request("GET", "/api/next", "read", LONG_WAIT_SECONDS, null));
                    assertEquals("HTTP/1.1 200 OK own", next.first() + " " + next.body());
                } finally {
                    proxy.stop();
                }
            }
        }
    }

    private static final class Changes implements Discovery.Listener, AutoCloseable {
        private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        private final BlockingQueue<ListKind> lists = new LinkedBlockingQueue<>();

        @Override
        public void updated(ListKind kind, List<Server> entries) {
            lists.add(kind);
        }

        @Override
        public void unusable(String host) {
            throw new AssertionError(host + " was listed");
        }

        @Override
        public void removed(String host) {
            throw new AssertionError(host + " was listed");
        }

        /** What becomes of this text as the answer to the request for the list. */
        ListKind outcome(String text) throws Exception {
            try (RawServer server = new RawServer(4)) {
                Discovery discovery = new Discovery(group.next(), server.address(), NAMES, 60_000_000, 2_000, this);
                group.next().execute(discovery::subscribe);
                RawServer.Connection connection = server.accept();
                connection.request();
                connection.sendUntilClosed(text);
                ListKind kind = lists.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
                group.next().submit(discovery::closeConnection).get();
                return kind;
            }
        }

        @Override
        public void close() {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        }
    }

    private static String nodes() {
        return list(1, true, entry("s-1", "127.0.0.1:1", "Ready", 0));
    }

    @ParameterizedTest
    @MethodSource("broken")
    void brokenListIsNotApplied(ResponseForm form) throws Exception {
        try (Changes changes = new Changes()) {
            assertEquals(ListKind.FAILED, changes.outcome(form.text("", nodes())));
            assertNull(changes.lists.poll());
        }
    }

    @ParameterizedTest
    @MethodSource("wellFormed")
    void listInAnUnusualFormIsApplied(ResponseForm form) throws Exception {
        try (Changes changes = new Changes()) {
            assertEquals(ListKind.FULL, changes.outcome(form.text("", nodes())));
        }
    }

    @Test
    void interimResponseIsNotTheList() throws Exception {
        try (Changes changes = new Changes()) {
            String text = "HTTP/1.1 103 Early Hints\r\n\r\n" + answer(200, "", nodes());
            assertEquals(ListKind.FULL, changes.outcome(text));
        }
    }
}
