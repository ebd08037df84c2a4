package anisebend.net;

import static anisebend.net.Loopback.answer;
import static anisebend.net.Loopback.entry;
import static anisebend.net.Loopback.list;
import static anisebend.net.Loopback.request;
import static org.junit.jupiter.api.Assertions.assertEquals;

import anisebend.net.Loopback.Client;
import anisebend.net.Loopback.Message;
import gorsemast.http.ResponseForm;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Cache nodes whose answers are none: a failure, of which nothing is passed on. */
class BrokenAnswerTest {
    private static final double LONG_WAIT_SECONDS = 60;

    @TempDir
    Path folder;

    static List<ResponseForm> broken() {
        return ResponseForm.broken();
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
}
