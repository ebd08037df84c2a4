package gorsemast.dispatch;

import static gorsemast.dispatch.CallerRig.LONG_TIMEOUT_MICROS;
import static org.assertj.core.api.Assertions.assertThat;

import anisebend.Balancer.Code;
import gorsemast.dispatch.CallerRig.Outcome;
import gorsemast.dispatch.RawServer.Connection;
import gorsemast.http.ResponseForm;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Servers whose answers are none: the attempt has failed and may have run, and the connection is closed. */
class BrokenAnswerTest {
    /** Too long to be buffered, so that a good answer of this length is streamed. */
    private static final String LONG_BODY = "x".repeat(150_000);

    private final CallerRig rig = new CallerRig(1);
    private RawServer server;

    @BeforeEach
    void listen() throws Exception {
        server = new RawServer(4);
    }

    @AfterEach
    void stop() throws Exception {
        rig.close();
        server.close();
    }

    static List<ResponseForm> broken() {
        return ResponseForm.broken();
    }

    static List<ResponseForm> brokenStatusLines() {
        return ResponseForm.brokenStatusLines();
    }

    private Outcome outcome(ResponseForm form, String id, HttpMethod method, String body) throws Exception {
        rig.send(server, id, method, "", LONG_TIMEOUT_MICROS);
        Connection connection = server.accept();
        connection.request();
        connection.sendUntilClosed(form.text("Attempt-Id: " + id + "\r\nEdge-Seal: s\r\n", body));
        Outcome outcome = rig.nextOutcome();
        connection.end();
        return outcome;
    }

    @ParameterizedTest
    @MethodSource("broken")
    void brokenAnswerIsAFailureOfItsServer(ResponseForm form) throws Exception {
        for (String body : List.of("body", LONG_BODY)) {
            for (String id : List.of("object", "read", "once")) {
                HttpMethod method = id.equals("once") ? HttpMethod.POST : HttpMethod.GET;
                assertThat(outcome(form, id, method, body)).isEqualTo(new Outcome(id, Code.RESET, null));
            }
        }
    }

    @ParameterizedTest
    @MethodSource("brokenStatusLines")
    void brokenAnswerToHeadIsAFailure(ResponseForm form) throws Exception {
        assertThat(outcome(form, "read", HttpMethod.HEAD, "").code()).isEqualTo(Code.RESET);
    }

    /** An interim response, or a switch of protocols that nobody requested, is not the answer. */
    @ParameterizedTest
    @ValueSource(ints = {100, 101, 150})
    void responseWithoutAFinalOneIsAFailure(int status) throws Exception {
        for (String id : List.of("object", "read", "once")) {
            rig.send(server, id, id.equals("once") ? HttpMethod.POST : HttpMethod.GET, "", LONG_TIMEOUT_MICROS);
            Connection connection = server.accept();
            connection.request();
            connection.send("HTTP/1.1 " + status + " X\r\nAttempt-Id: " + id + "\r\nEdge-Seal: s\r\n\r\n");
            connection.end();
            assertThat(rig.nextOutcome()).isEqualTo(new Outcome(id, Code.RESET, null));
        }
    }

    /** Bytes behind an answer that has no body belong to nobody, and end the connection. */
    @ParameterizedTest
    @ValueSource(ints = {204, 304})
    void bytesBehindAnAnswerWithoutBodyAreDropped(int status) throws Exception {
        rig.send(server, "read", HttpMethod.GET, "", LONG_TIMEOUT_MICROS);
        Connection connection = server.accept();
        connection.request();
        String head = "HTTP/1.1 " + status + " X\r\nAttempt-Id: read\r\nEdge-Seal: s\r\nContent-Length: 4\r\n\r\n";
        connection.send(head + "body");
        assertThat(rig.nextOutcome()).isEqualTo(new Outcome("read", Code.OK, ""));
        assertThat(connection.isClosed()).isTrue();
    }

    static List<ResponseForm> brokenTrailers() {
        return ResponseForm.brokenTrailers();
    }

    @ParameterizedTest
    @MethodSource("brokenTrailers")
    void brokenTrailerIsAFailureOrLeftOut(ResponseForm form) throws Exception {
        assertThat(outcome(form, "read", HttpMethod.GET, "body"))
                .isIn(new Outcome("read", Code.RESET, null), new Outcome("read", Code.OK, "body"));
    }

    /** The server has answered, however badly, a request whose last byte is held back: it must not be sent again. */
    @Test
    void earlyBrokenAnswerMayHaveRun() throws Exception {
        for (ResponseForm form : ResponseForm.broken().stream()
                .filter(form -> form.toString().matches("HTTP/1.1 (000|600|0200) .*|.*gzip, chunked.*"))
                .toList()) {
            try (CallerRig own = new CallerRig(1)) {
                own.send(server, "before", HttpMethod.GET, "", LONG_TIMEOUT_MICROS);
                Connection kept = server.accept();
                kept.request();
                kept.send(CallerRig.answer(200, "before", "", "own"));
                own.nextOutcome();
                own.onLoop(() -> {
                    own.start(server, "once", HttpMethod.POST, "pay", LONG_TIMEOUT_MICROS);
                    kept.send(form.text("Attempt-Id: once\r\nEdge-Seal: s\r\n", "body"));
                    return null;
                });
                assertThat(own.nextOutcome()).as(form.toString()).isEqualTo(new Outcome("once", Code.RESET, null));
            }
        }
    }

    /** What follows a broken answer on its connection belongs to nobody. */
    @Test
    void completeAnswerBehindABrokenOneIsNotUsed() throws Exception {
        for (ResponseForm form : ResponseForm.brokenStatusLines()) {
            rig.send(server, "read", HttpMethod.GET, "", LONG_TIMEOUT_MICROS);
            Connection connection = server.accept();
            connection.request();
            String headers = "Attempt-Id: read\r\nEdge-Seal: s\r\n";
            connection.sendUntilClosed(form.text(headers, "body") + CallerRig.answer(200, "read", "", "own"));
            assertThat(rig.nextOutcome()).as(form.toString()).isEqualTo(new Outcome("read", Code.RESET, null));
            assertThat(connection.isClosed()).isTrue();
        }
    }
}
