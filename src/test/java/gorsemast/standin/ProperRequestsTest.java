package gorsemast.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Seen: on one run proper requests were turned away as if they were wrong, many at once.
 *
 * <p>How: a client that is late on a busy machine says that 0 milliseconds are left, or less than that. Its request is as proper as any;
 * it got a 400, which ends a client's tries, where one that comes back may still be served.
 *
 * <p>Cause: "not a positive number below a bound" was taken for "can't be read". So were times beyond the bound; and of a head within the
 * operator's limit a first line of more than half of that was refused.
 *
 * <p>Proof: each of them sent to an edge over a socket.
 */
class ProperRequestsTest {
    private static final int TIME_OUT_MILLIS = 10_000;

    /** {@code maxHeaderBytes} of the configuration in force is 16,384. */
    private static final int LONG_LINE = 12_000;

    @TempDir
    static Path data;

    private static LoopbackNetwork network;

    @BeforeAll
    static void start() throws IOException {
        network = LoopbackNetwork.started("127.0.90", data, 1);
    }

    @AfterAll
    static void end() {
        network.close();
    }

    /** The whole answer, as it comes. */
    private static String ask(String path, String budget) throws IOException {
        String request = "GET " + path + " HTTP/1.1\r\nHost: " + LoopbackNetwork.HOST
                + "\r\nAttempt-Id: p1\r\nTime-Budget: " + budget + "\r\nConnection: close\r\n\r\n";
        try (Socket socket = new Socket(
                network.fronts().get(0).getAddress(), network.fronts().get(0).getPort())) {
            socket.setSoTimeout(TIME_OUT_MILLIS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    private static long runs(String uri) {
        return network.servers().stream()
                .flatMap(server -> server.runs().stream())
                .filter(run -> run.uri().equals(uri))
                .count();
    }

    @ParameterizedTest
    @ValueSource(strings = {"0", "-3", "0.0", "-0"})
    void whoseTimeIsOverMayComeBack(String budget) throws IOException {
        assertThat(ask("/orders/late" + budget, budget))
                .startsWith("HTTP/1.1 503 ")
                .containsIgnoringCase("retry-after: ");
        assertThat(runs("/orders/late" + budget)).isZero();
    }

    @ParameterizedTest
    @ValueSource(strings = {"1e12", "1000000000", "Infinity"})
    void howeverLongAClientWaitsItIsServed(String budget) throws IOException {
        assertThat(ask("/orders/patient", budget)).startsWith("HTTP/1.1 200 ");
    }

    @ParameterizedTest
    @ValueSource(strings = {"NaN", "1200ms", "soon"})
    void whatIsNoNumberIsTurnedAway(String budget) throws IOException {
        assertThat(ask("/orders/unreadable", budget)).startsWith("HTTP/1.1 400 ");
    }

    @ParameterizedTest
    @ValueSource(strings = {"/orders/", "/objects/"})
    void aFirstLineMayFillTheHead(String route) throws IOException {
        assertThat(ask(route + "x".repeat(LONG_LINE), "1500")).startsWith("HTTP/1.1 200 ");
    }
}
