package gorsemast.dispatch;

import static gorsemast.dispatch.CallerRig.LONG_TIMEOUT_MICROS;
import static gorsemast.dispatch.CallerRig.answer;
import static org.assertj.core.api.Assertions.assertThat;

import anisebend.Balancer.Code;
import gorsemast.dispatch.CallerRig.Outcome;
import gorsemast.dispatch.RawServer.Connection;
import gorsemast.http.Upstream;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A call that must not be repeated, with a fault at each step of its way: may it have been executed, may it be sent
 * again, and would a refusal be true?
 */
class OnceTableTest {
    /** How far the call has come. */
    enum Step {
        QUEUED,
        CONNECTING,
        LAST_BYTE_HELD,
        WRITTEN,
        HEAD,
        BODY
    }

    /** The fault that occurs. */
    enum Fault {
        RESET,
        CLOSE,
        SILENCE,
        CLIENT_GONE,
        UNLISTED,
        EARLY_REFUSAL,
        EARLY_ERROR,
        EARLY_ANSWER
    }

    private static final long SHORT_TIMEOUT_MICROS = 300_000;

    private final CallerRig rig = new CallerRig(1);
    private RawServer server;

    @AfterEach
    void stop() throws Exception {
        rig.close();
        if (server != null) {
            server.close();
        }
    }

    @ParameterizedTest
    @CsvSource({
        // step, fault, outcome, whether it may have been executed
        "QUEUED, RESET, OK, true", // of the connection that it waits for: it is sent on another
        "QUEUED, CLOSE, OK, true",
        "QUEUED, SILENCE, NOT_SENT, false",
        "QUEUED, CLIENT_GONE, NOT_SENT, false",
        "QUEUED, UNLISTED, NOT_SENT, false",
        "CONNECTING, SILENCE, CONNECT_FAILED, false",
        "CONNECTING, CLIENT_GONE, NOT_SENT, false",
        "CONNECTING, UNLISTED, NOT_SENT, false",
        "LAST_BYTE_HELD, RESET, NOT_SENT, false",
        "LAST_BYTE_HELD, CLOSE, NOT_SENT, false",
        "LAST_BYTE_HELD, SILENCE, CONNECT_FAILED, false",
        "LAST_BYTE_HELD, CLIENT_GONE, NOT_SENT, false",
        "LAST_BYTE_HELD, UNLISTED, OK, true",
        "LAST_BYTE_HELD, EARLY_REFUSAL, FULL, false",
        "LAST_BYTE_HELD, EARLY_ERROR, ERROR, true",
        "LAST_BYTE_HELD, EARLY_ANSWER, OK, true",
        "WRITTEN, RESET, RESET, true",
        "WRITTEN, CLOSE, RESET, true",
        "WRITTEN, SILENCE, TIMEOUT, true",
        "WRITTEN, CLIENT_GONE, CANCELLED, true",
        "WRITTEN, UNLISTED, OK, true",
        "HEAD, RESET, RESET, true",
        "HEAD, CLOSE, RESET, true",
        "HEAD, SILENCE, TIMEOUT, true",
        "HEAD, CLIENT_GONE, CANCELLED, true",
        "HEAD, UNLISTED, OK, true",
        "BODY, RESET, RESET, true",
        "BODY, CLOSE, RESET, true",
        "BODY, SILENCE, TIMEOUT, true",
        "BODY, CLIENT_GONE, CANCELLED, true",
        "BODY, UNLISTED, OK, true"
    })
    void nonRepeatableCall(Step step, Fault fault, Code code, boolean mayHaveRun) throws Exception {
        Outcome outcome =
                switch (step) {
                    case QUEUED -> queued(fault);
                    case CONNECTING -> connecting(fault);
                    case LAST_BYTE_HELD -> lastByteHeld("pay", fault);
                    default -> written(step, fault);
                };
        assertThat(outcome.code()).isEqualTo(code);
        CallState state = new CallState(false);
        state.attemptSent(state.nextAttempt());
        state.attemptEnded(0, outcome.code());
        assertThat(state.mayRefuse()).isEqualTo(!mayHaveRun);
        assertThat(state.maySend()).isEqualTo(!mayHaveRun);
    }

    /** Also for a call without a body: the end of its head is held back. */
    @ParameterizedTest
    @CsvSource({"RESET, NOT_SENT", "CLOSE, NOT_SENT", "CLIENT_GONE, NOT_SENT", "EARLY_ANSWER, OK", "UNLISTED, OK"})
    void callWithoutBodyOnALostConnection(Fault fault, Code code) throws Exception {
        assertThat(lastByteHeld("", fault).code()).isEqualTo(code);
    }

    /** Servers are least likely to have closed the connections that were idle for the shortest time. */
    @Test
    void nonRepeatableCallUsesTheMostRecentlyUsedConnection() throws Exception {
        try (CallerRig two = new CallerRig(2)) {
            server = new RawServer(4);
            two.send(server, "a", HttpMethod.GET, "", LONG_TIMEOUT_MICROS);
            Connection first = server.accept();
            first.request();
            two.send(server, "b", HttpMethod.GET, "", LONG_TIMEOUT_MICROS);
            Connection second = server.accept();
            second.request();
            first.send(answer(200, "a", "", "own"));
            assertThat(two.nextOutcome().id()).isEqualTo("a");
            second.send(answer(200, "b", "", "own"));
            assertThat(two.nextOutcome().id()).isEqualTo("b");
            two.send(server, "once", HttpMethod.POST, "pay", LONG_TIMEOUT_MICROS);
            assertThat(second.request()).contains("once");
            two.send(server, "any", HttpMethod.GET, "", LONG_TIMEOUT_MICROS);
            assertThat(first.request()).contains("any");
        }
    }

    private Outcome queued(Fault fault) throws Exception {
        server = new RawServer(4);
        rig.send(server, "before", HttpMethod.GET, "", LONG_TIMEOUT_MICROS);
        Connection taken = server.accept();
        taken.request();
        Upstream.Attempt attempt = rig.send(
                server,
                "once",
                HttpMethod.POST,
                "pay",
                fault == Fault.SILENCE ? SHORT_TIMEOUT_MICROS : LONG_TIMEOUT_MICROS);
        if (fault == Fault.RESET || fault == Fault.CLOSE) {
            breakConnection(fault, taken);
            assertThat(rig.nextOutcome()).isEqualTo(new Outcome("before", Code.RESET, null));
            Connection next = server.accept();
            assertThat(next.request()).contains("/once");
            next.send(answer(200, "once", "", "own"));
        }
        applyLocally(fault, attempt, taken);
        return rig.nextOutcome();
    }

    private static void breakConnection(Fault fault, Connection connection) throws Exception {
        if (fault == Fault.RESET) {
            connection.reset();
        } else {
            connection.end();
        }
    }

    private Outcome connecting(Fault fault) throws Exception {
        server = new RawServer(1);
        server.fillBacklog();
        Upstream.Attempt attempt = rig.send(
                server,
                "once",
                HttpMethod.POST,
                "pay",
                fault == Fault.SILENCE ? SHORT_TIMEOUT_MICROS : LONG_TIMEOUT_MICROS);
        applyLocally(fault, attempt, null);
        return rig.nextOutcome();
    }

    /** The last byte is held back while the event loop waits here, so the fault occurs before it is sent. */
    private Outcome lastByteHeld(String body, Fault fault) throws Exception {
        server = new RawServer(4);
        rig.send(server, "before", HttpMethod.GET, "", LONG_TIMEOUT_MICROS);
        Connection kept = server.accept();
        int head = kept.request().length();
        kept.send(answer(200, "before", "", "own"));
        rig.nextOutcome();
        rig.onLoop(() -> {
            // Shorter than the minimum time for which the last byte is held back.
            long micros = fault == Fault.SILENCE ? 1_000 : LONG_TIMEOUT_MICROS;
            Upstream.Attempt attempt = rig.start(server, "once", HttpMethod.POST, body, micros);
            int more = "POST /once".length() - "GET /before".length() + "once".length() - "before".length();
            kept.readBytes(head + more + body.length() - 1);
            switch (fault) {
                case RESET, CLOSE -> breakConnection(fault, kept);
                case CLIENT_GONE -> attempt.cancel();
                case EARLY_REFUSAL -> kept.send(answer(503, "once", "Not-Executed: 1\r\n", ""));
                case EARLY_ERROR -> kept.send(answer(500, "once", "", ""));
                case EARLY_ANSWER -> kept.send(answer(200, "once", "", "own"));
                default -> {
                    // applied below
                }
            }
            return null;
        });
        if (fault == Fault.UNLISTED) {
            rig.unlist();
            assertThat(kept.readBytes(1)).hasSize(1);
            kept.send(answer(200, "once", "", "own"));
        } else if (fault != Fault.RESET && fault != Fault.CLOSE) {
            assertThat(kept.isClosed()).isTrue(); // without its last byte
        }
        return rig.nextOutcome();
    }

    private Outcome written(Step step, Fault fault) throws Exception {
        server = new RawServer(4);
        Upstream.Attempt attempt = rig.send(
                server,
                "once",
                HttpMethod.POST,
                "pay",
                fault == Fault.SILENCE ? SHORT_TIMEOUT_MICROS : LONG_TIMEOUT_MICROS);
        Connection connection = server.accept();
        assertThat(connection.request()).endsWith("pay");
        String whole = answer(200, "once", "", "own");
        int part = step == Step.WRITTEN ? 0 : step == Step.HEAD ? whole.length() - 3 : whole.length() - 1;
        if (part > 0) {
            connection.send(whole.substring(0, part));
        }
        if (fault == Fault.RESET || fault == Fault.CLOSE) {
            breakConnection(fault, connection);
        } else {
            applyLocally(fault, attempt, connection);
        }
        if (fault == Fault.UNLISTED) {
            connection.send(whole.substring(part));
        }
        return rig.nextOutcome();
    }

    /** Applies faults on this side of the connection. */
    private void applyLocally(Fault fault, Upstream.Attempt attempt, Connection connection) throws Exception {
        if (fault == Fault.CLIENT_GONE) {
            rig.onLoop(() -> {
                attempt.cancel();
                return null;
            });
        } else if (fault == Fault.UNLISTED) {
            rig.unlist();
        }
        assertThat(connection == null || connection.socket().isConnected()).isTrue();
    }
}
