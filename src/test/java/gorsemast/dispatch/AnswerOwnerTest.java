package gorsemast.dispatch;

import static gorsemast.dispatch.CallerRig.LONG_MICROS;
import static gorsemast.dispatch.CallerRig.answer;
import static org.assertj.core.api.Assertions.assertThat;

import anisebend.Balancer.Code;
import gorsemast.dispatch.CallerRig.Told;
import gorsemast.dispatch.RawServer.Connection;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Whose an answer is, over real sockets and a server that misbehaves on demand. */
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

    /** Sends, and takes the request at the server. */
    private Connection asked(String id, HttpMethod method) throws Exception {
        rig.send(server, id, method, "", LONG_MICROS);
        Connection connection = server.accept();
        assertThat(connection.request()).contains(id);
        return connection;
    }

    private void againOn(Connection connection, String id) throws Exception {
        rig.send(server, id, HttpMethod.GET, "", LONG_MICROS);
        assertThat(connection.request()).contains(id);
    }

    /** What an answer says: only {@code Not-Executed} and 421 say that it has not run. */
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
    void whatAnAnswerSaysOfItsAttempt(int status, String header, Code code) throws Exception {
        asked("a", HttpMethod.POST).says(answer(status, "a", header + "\r\n", "own"));
        assertThat(rig.told()).isEqualTo(new Told("a", code, "own"));
    }

    /** It may have run; nobody gets it, and its connection is not used again. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 X\r\nEdge-Seal: s\r\nContent-Length: 1\r\n\r\nx", // names nobody
                "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 X\r\nAttempt-Id: a\r\nContent-Length: 1\r\n\r\nx" // bears no seal
            })
    void whatIsNoAnswerInTheProtocolIsNobodys(String text) throws Exception {
        Connection connection = asked("a", HttpMethod.GET);
        connection.says(text);
        assertThat(rig.told()).isEqualTo(new Told("a", Code.RESET, null));
        assertThat(connection.isClosed()).isTrue();
    }

    /** Bodies that an answer has or has not, whatever its head tells. */
    @ParameterizedTest
    @CsvSource({
        "HEAD, 200, 'Content-Length: 7\r\n\r\n', ''",
        "GET, 304, 'Content-Length: 7\r\n\r\n', ''",
        "GET, 204, '\r\n', ''",
        "GET, 200, 'Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\nX-Late: 1\r\nAttempt-Id: z\r\n\r\n', own"
    })
    void wholeAnswersOfAllShapesFreeTheirConnection(String method, int status, String rest, String body)
            throws Exception {
        Connection connection = asked("a", HttpMethod.valueOf(method));
        connection.says("HTTP/1.1 " + status + " X\r\nAttempt-Id: a\r\nEdge-Seal: s\r\n" + rest);
        assertThat(rig.told()).isEqualTo(new Told("a", Code.OK, body));
        againOn(connection, "b");
        connection.says(answer(200, "b", "", "second"));
        assertThat(rig.told()).isEqualTo(new Told("b", Code.OK, "second"));
    }

    @Test
    void interimAnswersWithoutANameAreSkipped() throws Exception {
        Connection connection = asked("a", HttpMethod.GET);
        connection.says(
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: </a>\r\n\r\n" + answer(200, "a", "", "own"));
        assertThat(rig.told()).isEqualTo(new Told("a", Code.OK, "own"));
        againOn(connection, "b");
    }

    /** In one read with the first, whatever id it bears: the connection is never used again. */
    @ParameterizedTest
    @ValueSource(strings = {"Attempt-Id: a\r\n", "Attempt-Id: b\r\n", "Attempt-Id: other\r\n", ""})
    void aSecondAnswerBehindTheFirstEndsTheConnection(String id) throws Exception {
        Connection connection = asked("a", HttpMethod.GET);
        connection.says(answer(200, "a", "", "own") + "HTTP/1.1 200 X\r\n" + id
                + "Edge-Seal: s\r\nContent-Length: 5\r\n\r\nwrong");
        assertThat(rig.told()).isEqualTo(new Told("a", Code.OK, "own"));
        assertThat(connection.isClosed()).isTrue();
        Connection next = asked("b", HttpMethod.GET);
        next.says(answer(200, "b", "", "right"));
        assertThat(rig.told()).isEqualTo(new Told("b", Code.OK, "right"));
    }

    /** Later, when the next request is out: it has its own answer, or none where nobody can tell whose it is. */
    @ParameterizedTest
    @CsvSource({"'Attempt-Id: a\r\n', OK, right", "'Attempt-Id: guessed\r\n', OK, right", "'', RESET, "})
    void aSurplusAnswerInThePlaceOfTheNextIsNobodys(String id, Code code, String body) throws Exception {
        Connection connection = asked("a", HttpMethod.GET);
        connection.says(answer(200, "a", "", "own"));
        rig.told();
        againOn(connection, "b");
        connection.says("HTTP/1.1 200 X\r\n" + id + "Edge-Seal: s\r\nContent-Length: 5\r\n\r\nwrong"
                + answer(200, "b", "", "right"));
        assertThat(rig.told()).isEqualTo(new Told("b", code, body));
        assertThat(connection.isClosed()).isTrue();
    }

    /** Some of an answer, a line or half of one, while nothing is asked: it would begin the next answer. */
    @ParameterizedTest
    @ValueSource(
            strings = {"HTTP/1.1 200 X\r\nX: ", "noi", "HTTP/1.1 200 X\r\nAttempt-Id: a\r\nContent-Length: 5\r\n\r\nwr"
            })
    void bytesOnAnIdleConnectionEndIt(String bytes) throws Exception {
        Connection connection = asked("a", HttpMethod.GET);
        connection.says(answer(200, "a", "", "own"));
        rig.told();
        connection.says(bytes);
        assertThat(connection.isClosed()).isTrue();
    }

    @Test
    void anAnswerThatComesAfterItsTimeOutReachesNobody() throws Exception {
        rig.send(server, "a", HttpMethod.GET, "", 200_000);
        Connection late = server.accept();
        late.request();
        assertThat(rig.told()).isEqualTo(new Told("a", Code.TIMEOUT, null));
        Connection next = asked("b", HttpMethod.GET);
        late.says(answer(200, "a", "", "late"));
        assertThat(rig.toldMore()).isFalse();
        next.says(answer(200, "b", "", "right"));
        assertThat(rig.told()).isEqualTo(new Told("b", Code.OK, "right"));
        assertThat(late.isClosed()).isTrue();
    }

    /** The next request has been chosen for this connection, as all others are taken: it goes on another. */
    @Test
    void connectionCloseWithTheNextRequestChosen() throws Exception {
        try (CallerRig one = new CallerRig(1)) {
            one.send(server, "a", HttpMethod.GET, "", LONG_MICROS);
            Connection connection = server.accept();
            connection.request();
            one.send(server, "b", HttpMethod.GET, "", LONG_MICROS);
            connection.says(answer(200, "a", "Connection: close\r\n", "own"));
            assertThat(one.told()).isEqualTo(new Told("a", Code.OK, "own"));
            assertThat(connection.isClosed()).isTrue();
            Connection next = server.accept();
            assertThat(next.request()).contains("/b");
            next.says(answer(200, "b", "", "right"));
            assertThat(one.told()).isEqualTo(new Told("b", Code.OK, "right"));
        }
    }

    /** A second copy of Not-Executed would say it of the next try too, as both bear the client's id. */
    @Test
    void aCallThatWasTurnedAwayNeverGoesOnThatConnectionAgain() throws Exception {
        Connection connection = asked("once", HttpMethod.POST);
        connection.says(answer(503, "once", "Not-Executed: 1\r\n", ""));
        assertThat(rig.told().code()).isEqualTo(Code.FULL);
        Connection other = asked("once", HttpMethod.POST);
        other.says(answer(200, "once", "", "own"));
        assertThat(rig.told()).isEqualTo(new Told("once", Code.OK, "own"));
    }

    /** Its answer names nothing, so its connection carries nothing else: a late second one reaches nobody. */
    @Test
    void aReadOfAnObjectHasItsConnectionAlone() throws Exception {
        Connection used = asked("a", HttpMethod.GET);
        used.says(answer(200, "a", "", "own"));
        rig.told();
        Connection first = asked("object1", HttpMethod.GET);
        first.says("HTTP/1.1 200 X\r\nEdge-Seal: s\r\nContent-Length: 3\r\n\r\none");
        assertThat(rig.told()).isEqualTo(new Told("object1", Code.OK, "one"));
        assertThat(first.isClosed()).isTrue();
        Connection second = asked("object2", HttpMethod.GET);
        second.says("HTTP/1.1 200 X\r\nEdge-Seal: s\r\nContent-Length: 3\r\n\r\ntwo");
        assertThat(rig.told()).isEqualTo(new Told("object2", Code.OK, "two"));
    }

    /** Idle for no longer than half of what its server says, though the bound here is a minute. */
    @Test
    void keepAliveBoundsHowLongAConnectionIsIdle() throws Exception {
        Connection connection = asked("a", HttpMethod.GET);
        connection.says(answer(200, "a", "Keep-Alive: timeout=1\r\n", "own"));
        rig.told();
        assertThat(connection.isClosed()).isTrue();
    }
}
