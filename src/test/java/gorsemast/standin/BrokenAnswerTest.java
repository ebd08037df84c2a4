package gorsemast.standin;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.http.ResponseForm;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against MIXED: servers whose first answer to each path is none, seen from the clients of two edges. The client
 * gets another server's answer or a failure of the edge's own, and no byte of the broken answer.
 */
class BrokenAnswerTest {
    private static final int TIME_OUT_MILLIS = 20_000;
    private static final long SHARED_FETCH_MICROS = 200_000;
    private static final String MARK = "broken";
    private static final int LONG_BODY_BYTES = 150_000;

    @TempDir
    static Path data;

    private static LoopbackNetwork network;
    private static final AtomicInteger PATHS = new AtomicInteger();
    private static final Set<String> ANSWERED = ConcurrentHashMap.newKeySet();

    @BeforeAll
    static void start() throws IOException {
        network = LoopbackNetwork.started("127.0.91", data, 2);
    }

    @AfterAll
    static void end() {
        network.close();
    }

    @BeforeEach
    void answerAtOnce() {
        network.servers().forEach(server -> server.setWorkMicros(0));
    }

    static List<ResponseForm> broken() {
        return ResponseForm.broken();
    }

    private static void answerFirstWith(ResponseForm form, int bodyBytes) {
        String body = MARK.repeat(bodyBytes / MARK.length());
        network.servers()
                .forEach(server -> server.setRawResponses((run, regular) -> {
                    boolean breaks = run.uri().contains(MARK) && ANSWERED.add(run.uri());
                    String headers = "Attempt-Id: " + run.attemptId() + "\r\nEdge-Seal: " + server.id() + "\r\n";
                    return breaks ? form.text(headers, body) : null;
                }));
    }

    private static String request(String method, String path, boolean closes) {
        StringBuilder text = new StringBuilder(method + ' ' + path + " HTTP/1.1\r\n");
        LoopbackNetwork.client("b" + PATHS.incrementAndGet())
                .forEach((name, value) -> text.append(name + ": " + value + "\r\n"));
        text.append(method.equals("POST") ? "Content-Length: 0\r\n" : "");
        return text.append(closes ? "Connection: close\r\n\r\n" : "\r\n").toString();
    }

    /** All bytes that the edge sends until it closes the connection. */
    private static String send(int edge, String requests) {
        InetSocketAddress front = network.fronts().get(edge);
        try (Socket socket = new Socket(front.getAddress(), front.getPort())) {
            socket.setSoTimeout(TIME_OUT_MILLIS);
            socket.getOutputStream().write(requests.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            throw new IllegalStateException("an edge broke off an answer", e);
        }
    }

    private static String newPath(String route) {
        return route + MARK + PATHS.incrementAndGet();
    }

    private static long runs(String path) {
        return network.servers().stream()
                .flatMap(server -> server.runs().stream())
                .filter(run -> run.uri().equals(path))
                .count();
    }

    /** Sends requests until a server has run one: an edge may refuse at once while it leaves failed servers out. */
    private static String sendUntilRun(int edge, String method, String path) {
        String[] answer = new String[1];
        LoopbackNetwork.until(() -> {
            answer[0] = send(edge, request(method, path, true));
            return runs(path) > 0;
        });
        return answer[0];
    }

    private static String ownBody(String path) {
        return "object " + path + " version 0\n";
    }

    /** A regular answer of a server, or a failure that the edge itself reports. */
    private static void assertOwn(String answer, String path) {
        assertThat(answer.replace(path, "")).doesNotContain(MARK);
        assertThat(answer)
                .matches("(?s)HTTP/1\\.1 (200 OK|502 Bad Gateway|503 Service Unavailable|504 Gateway Timeout)\r\n.*");
        if (answer.startsWith("HTTP/1.1 200")) {
            assertThat(answer).endsWith("\r\n\r\n" + ownBody(path));
        }
    }

    @ParameterizedTest
    @MethodSource("broken")
    void brokenAnswerReachesNoClient(ResponseForm form) {
        for (int bodyBytes : new int[] {MARK.length(), LONG_BODY_BYTES}) {
            answerFirstWith(form, bodyBytes);
            for (String route : List.of("/objects/", "/orders/")) {
                String path = newPath(route);
                assertOwn(sendUntilRun(0, "GET", path), path);
            }
            String once = newPath("/orders/pay/");
            assertThat(sendUntilRun(0, "POST", once)).startsWith("HTTP/1.1 502 Bad Gateway\r\n");
            assertThat(runs(once)).isEqualTo(1);
        }
    }

    static List<ResponseForm> brokenTrailers() {
        return ResponseForm.brokenTrailers();
    }

    @ParameterizedTest
    @MethodSource("brokenTrailers")
    void brokenTrailerReachesNoClient(ResponseForm form) {
        for (int bodyBytes : new int[] {MARK.length(), LONG_BODY_BYTES}) {
            answerFirstWith(form, bodyBytes);
            for (String route : List.of("/objects/", "/orders/")) {
                assertThat(sendUntilRun(0, "GET", newPath(route)))
                        .matches("(?s)HTTP/1\\.1 (200 OK|502 Bad Gateway|503 Service Unavailable)\r\n.*")
                        .doesNotContain("X-Trailer");
            }
        }
    }

    private static ResponseForm form(String text) {
        return ResponseForm.broken().stream()
                .filter(form -> form.toString().contains(text))
                .findFirst()
                .orElseThrow();
    }

    @ParameterizedTest
    @ValueSource(strings = {" 000 ", " 600 ", "O<01>K", "O<00>K", "HTTP/2.0", "gzip, chunked"})
    void brokenAnswerToHeadReachesNoClient(String text) {
        answerFirstWith(form(text), 0);
        String path = newPath("/orders/");
        assertThat(sendUntilRun(0, "HEAD", path)).matches("(?s)HTTP/1\\.1 (200|502|503) [A-Z][A-Za-z ]*\r\n.*");
    }

    /** What follows on the client's connection gets its own answer. */
    @ParameterizedTest
    @ValueSource(strings = {" 000 ", " 600 ", "O<01>K", "O<00>K", "HTTP/2.0", "gzip, chunked"})
    void requestBehindABrokenAnswerGetsItsOwn(String text) {
        answerFirstWith(form(text), LONG_BODY_BYTES);
        String first = newPath("/orders/pay/");
        String second = "/orders/next" + PATHS.incrementAndGet();
        String answers = send(0, request("POST", first, false) + request("GET", second, true));
        assertThat(answers.replace(first, "")).doesNotContain(MARK);
        assertThat(answers).matches("(?s)HTTP/1\\.1 50[23] .*HTTP/1\\.1 (200|503) .*");
        assertThat(answers.split("HTTP/1\\.1 ", -1)).hasSize(3);
    }

    /** Clients of both edges wait for one fetch, whose home is one of these edges. */
    @Test
    void brokenAnswerIsNeitherSharedNorCached() {
        for (String text : List.of(" 000 ", " 600 ", "O<01>K", "O<00>K", "HTTP/2.0", "gzip, chunked")) {
            answerFirstWith(form(text), MARK.length());
            network.servers().forEach(server -> server.setWorkMicros(SHARED_FETCH_MICROS));
            String path = newPath("/objects/");
            List<CompletableFuture<String>> answers = new ArrayList<>();
            for (int client = 0; client < 8; client++) {
                int edge = client % 2;
                answers.add(CompletableFuture.supplyAsync(() -> send(edge, request("GET", path, true))));
            }
            answers.forEach(answer -> assertOwn(answer.join(), path));
            assertThat(ANSWERED).contains(path);
            for (int edge = 0; edge < 2; edge++) {
                int at = edge;
                LoopbackNetwork.until(() -> send(at, request("GET", path, true)).endsWith(ownBody(path)));
            }
        }
    }
}
