package gorsemast.dispatch;

import static gorsemast.dispatch.CallerRig.LONG_TIMEOUT_MICROS;
import static gorsemast.dispatch.CallerRig.answer;
import static org.assertj.core.api.Assertions.assertThat;

import anisebend.Balancer.Code;
import gorsemast.dispatch.CallerRig.Outcome;
import gorsemast.dispatch.RawServer.Connection;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how answers are matched to requests, over real sockets and with a server that misbehaves on demand. */
class AnswerOwnerTest {
    private final CallerRig rig = new CallerRig(4);
    private RawServer server;

    @BeforeEach
    void start() throws Exception {
        server = new RawServer(16);
    }

    @AfterEach
    void stop() throws Exception {
        rig.close();
        server.close();
    }

    /** Sends a request and receives it at the server. */
    private Connection sendAndAccept(String id, HttpMethod method) throws Exception {
        rig.send(server, id, method, "", LONG_TIMEOUT_MICROS);
        Connection connection = server.accept();
        assertThat(connection.request()).contains(id);
        return connection;
    }

    private void sendAgainOn(Connection connection, String id) throws Exception {
        rig.send(server, id, HttpMethod.GET, "", LONG_TIMEOUT_MICROS);
        assertThat(connection.request()).contains(id);
    }

    /** Only {@code Not-Executed} and 421 say that a request was not executed. */
    @ParameterizedTest
    @CsvSource({
        "200, X: 1, OK",
        "404, X: 1, OK",
        "500, X: 1, ERROR",
        "503, X: 1, ERROR",
        "429, X: 1, ERROR",
        "408, X: 1, ERROR",
        "503, Not-Executed: 1, FULL",
        "429, Not-Executed: 1, FULL",
        "400, Not-Executed: 1, FULL",
        "421, X: 1, CONNECT_FAILED",
        "421, Not-Executed: 1, CONNECT_FAILED"
    })
    void answerDeterminesTheOutcomeOfItsAttempt(int status, String header, Code code) throws Exception {
        sendAndAccept("a", HttpMethod.POST).send(answer(status, "a", header + "\r\n", "own"));
        assertThat(rig.nextOutcome()).isEqualTo(new Outcome("a", code, "own"));
    }

    /** The request may have been executed; no caller gets the answer, and its connection is not used again. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 X\r\nEdge-Seal: s\r\nContent-Length: 1\r\n\r\nx", // has no id
                "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 X\r\nAttempt-Id: a\r\nContent-Length: 1\r\n\r\nx" // has no seal
            })
    void answerThatViolatesTheProtocolIsDiscarded(String text) throws Exception {
        Connection connection = sendAndAccept("a", HttpMethod.GET);
        connection.send(text);
        assertThat(rig.nextOutcome()).isEqualTo(new Outcome("a", Code.RESET, null));
        assertThat(connection.isClosed()).isTrue();
    }

    /** Bodies that an answer has or lacks, whatever its head announces. */
    @ParameterizedTest
    @CsvSource({
        "HEAD, 200, 'Content-Length: 7\r\n\r\n', ''",
        "GET, 304, 'Content-Length: 7\r\n\r\n', ''",
        "GET, 204, '\r\n', ''",
        "GET, 200, 'Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\nX-Late: 1\r\nAttempt-Id: z\r\n\r\n', own"
    })
    void completeAnswersOfAnyFramingFreeTheirConnection(String method, int status, String rest, String body)
            throws Exception {
        Connection connection = sendAndAccept("a", HttpMethod.valueOf(method));
        connection.send("HTTP/1.1 " + status + " X\r\nAttempt-Id: a\r\nEdge-Seal: s\r\n" + rest);
        assertThat(rig.nextOutcome()).isEqualTo(new Outcome("a", Code.OK, body));
        sendAgainOn(connection, "b");
        connection.send(answer(200, "b", "", "second"));
        assertThat(rig.nextOutcome()).isEqualTo(new Outcome("b", Code.OK, "second"));
    }

    @Test
    void interimAnswersWithoutAnIdAreSkipped() throws Exception {
        Connection connection = sendAndAccept("a", HttpMethod.GET);
        connection.send(
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: </a>\r\n\r\n" + answer(200, "a", "", "own"));
        assertThat(rig.nextOutcome()).isEqualTo(new Outcome("a", Code.OK, "own"));
        sendAgainOn(connection, "b");
    }

    /** In one read with the first, with any id: the connection is never used again. */
    @ParameterizedTest
    @ValueSource(strings = {"Attempt-Id: a\r\n", "Attempt-Id: b\r\n", "Attempt-Id: other\r\n", ""})
    void secondAnswerBehindTheFirstClosesTheConnection(String id) throws Exception {
        Connection connection = sendAndAccept("a", HttpMethod.GET);
        connection.send(answer(200, "a", "", "own") + "HTTP/1.1 200 X\r\n" + id
                + "Edge-Seal: s\r\nContent-Length: 5\r\n\r\nwrong");
        assertThat(rig.nextOutcome()).isEqualTo(new Outcome("a", Code.OK, "own"));
        assertThat(connection.isClosed()).isTrue();
        Connection next = sendAndAccept("b", HttpMethod.GET);
        next.send(answer(200, "b", "", "right"));
        assertThat(rig.nextOutcome()).isEqualTo(new Outcome("b", Code.OK, "right"));
    }

    /**
     * Later, when the next request is in flight: it gets its own answer, or none if the answers can't be told apart.
     */
    @ParameterizedTest
    @CsvSource({"'Attempt-Id: a\r\n', OK, right", "'Attempt-Id: guessed\r\n', OK, right", "'', RESET, "})
    void surplusAnswerBeforeTheNextIsDiscarded(String id, Code code, String body) throws Exception {
        Connection connection = sendAndAccept("a", HttpMethod.GET);
        connection.send(answer(200, "a", "", "own"));
        rig.nextOutcome();
        sendAgainOn(connection, "b");
        connection.send("HTTP/1.1 200 X\r\n" + id + "Edge-Seal: s\r\nContent-Length: 5\r\n\r\nwrong"
                + answer(200, "b", "", "right"));
        assertThat(rig.nextOutcome()).isEqualTo(new Outcome("b", code, body));
        assertThat(connection.isClosed()).isTrue();
    }

    /** Part of an answer while no request is in flight: it would become the start of the next answer. */
    @ParameterizedTest
    @ValueSource(
            strings = {"HTTP/1.1 200 X\r\nX: ", "noi", "HTTP/1.1 200 X\r\nAttempt-Id: a\r\nContent-Length: 5\r\n\r\nwr"
            })
    void bytesOnAnIdleConnectionCloseIt(String bytes) throws Exception {
        Connection connection = sendAndAccept("a", HttpMethod.GET);
        connection.send(answer(200, "a", "", "own"));
        rig.nextOutcome();
        connection.send(bytes);
        assertThat(connection.isClosed()).isTrue();
    }

    @Test
    void answerAfterItsTimeoutIsDiscarded() throws Exception {
        rig.send(server, "a", HttpMethod.GET, "", 200_000);
        Connection late = server.accept();
        late.request();
        assertThat(rig.nextOutcome()).isEqualTo(new Outcome("a", Code.TIMEOUT, null));
        Connection next = sendAndAccept("b", HttpMethod.GET);
        late.send(answer(200, "a", "", "late"));
        assertThat(rig.hasMoreOutcomes()).isFalse();
        next.send(answer(200, "b", "", "right"));
        assertThat(rig.nextOutcome()).isEqualTo(new Outcome("b", Code.OK, "right"));
        assertThat(late.isClosed()).isTrue();
    }

    /** The next request waits for this connection, as all others are in use: it is sent on another. */
    @Test
    void queuedRequestMovesToAnotherConnectionAfterConnectionClose() throws Exception {
        try (CallerRig one = new CallerRig(1)) {
            one.send(server, "a", HttpMethod.GET, "", LONG_TIMEOUT_MICROS);
            Connection connection = server.accept();
            connection.request();
            one.send(server, "b", HttpMethod.GET, "", LONG_TIMEOUT_MICROS);
            connection.send(answer(200, "a", "Connection: close\r\n", "own"));
            assertThat(one.nextOutcome()).isEqualTo(new Outcome("a", Code.OK, "own"));
            assertThat(connection.isClosed()).isTrue();
            Connection next = server.accept();
            assertThat(next.request()).contains("/b");
            next.send(answer(200, "b", "", "right"));
            assertThat(one.nextOutcome()).isEqualTo(new Outcome("b", Code.OK, "right"));
        }
    }

    /** A duplicate of the Not-Executed answer would be taken for the next attempt's, as both have the client's id. */
    @Test
    void refusedCallIsNotSentOnTheSameConnectionAgain() throws Exception {
        Connection connection = sendAndAccept("once", HttpMethod.POST);
        connection.send(answer(503, "once", "Not-Executed: 1\r\n", ""));
        assertThat(rig.nextOutcome().code()).isEqualTo(Code.FULL);
        Connection other = sendAndAccept("once", HttpMethod.POST);
        other.send(answer(200, "once", "", "own"));
        assertThat(rig.nextOutcome()).isEqualTo(new Outcome("once", Code.OK, "own"));
    }

    /** Its answer carries no id, so its connection carries no other request: a late second answer reaches nobody. */
    @Test
    void objectReadDoesNotShareItsConnection() throws Exception {
        Connection used = sendAndAccept("a", HttpMethod.GET);
        used.send(answer(200, "a", "", "own"));
        rig.nextOutcome();
        Connection first = sendAndAccept("object1", HttpMethod.GET);
        first.send("HTTP/1.1 200 X\r\nEdge-Seal: s\r\nContent-Length: 3\r\n\r\none");
        assertThat(rig.nextOutcome()).isEqualTo(new Outcome("object1", Code.OK, "one"));
        assertThat(first.isClosed()).isTrue();
        Connection second = sendAndAccept("object2", HttpMethod.GET);
        second.send("HTTP/1.1 200 X\r\nEdge-Seal: s\r\nContent-Length: 3\r\n\r\ntwo");
        assertThat(rig.nextOutcome()).isEqualTo(new Outcome("object2", Code.OK, "two"));
    }

    /** Idle for at most half of what the server announces, though the limit here is a minute. */
    @Test
    void keepAliveLimitsHowLongAConnectionIsIdle() throws Exception {
        Connection connection = sendAndAccept("a", HttpMethod.GET);
        connection.send(answer(200, "a", "Keep-Alive: timeout=1\r\n", "own"));
        rig.nextOutcome();
        assertThat(connection.isClosed()).isTrue();
    }
}
