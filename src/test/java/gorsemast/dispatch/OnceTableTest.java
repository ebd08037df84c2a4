package gorsemast.dispatch;

import static gorsemast.dispatch.CallerRig.LONG_MICROS;
import static gorsemast.dispatch.CallerRig.answer;
import static org.assertj.core.api.Assertions.assertThat;

import anisebend.Balancer.Code;
import gorsemast.dispatch.CallerRig.Told;
import gorsemast.dispatch.RawServer.Connection;
import gorsemast.http.Upstream;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A call that may not repeat at every step of its way, and what may strike it there: the table of the design page. May it
 * have run, may it be sent again, is a refusal true?
 */
class OnceTableTest {
    /** How far it has come. */
    enum Step {
        QUEUED,
        COMING_UP,
        HELD,
        WRITTEN,
        HEAD,
        BODY
    }

    /** What strikes it. */
    enum Strike {
        RESET,
        CLOSE,
        SILENCE,
        CLIENT_GONE,
        UNLISTED,
        EARLY_REFUSAL,
        EARLY_ERROR,
        EARLY_ANSWER
    }

    private static final long SHORT_MICROS = 300_000;

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
        // step, strike, how it ends, may it have run
        "QUEUED, RESET, OK, true", // of the connection that it waits for: it goes on another
        "QUEUED, CLOSE, OK, true",
        "QUEUED, SILENCE, NOT_SENT, false",
        "QUEUED, CLIENT_GONE, NOT_SENT, false",
        "QUEUED, UNLISTED, NOT_SENT, false",
        "COMING_UP, SILENCE, CONNECT_FAILED, false",
        "COMING_UP, CLIENT_GONE, NOT_SENT, false",
        "COMING_UP, UNLISTED, NOT_SENT, false",
        "HELD, RESET, NOT_SENT, false",
        "HELD, CLOSE, NOT_SENT, false",
        "HELD, SILENCE, CONNECT_FAILED, false",
        "HELD, CLIENT_GONE, NOT_SENT, false",
        "HELD, UNLISTED, OK, true",
        "HELD, EARLY_REFUSAL, FULL, false",
        "HELD, EARLY_ERROR, ERROR, true",
        "HELD, EARLY_ANSWER, OK, true",
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
    void aCallThatMayNotRepeat(Step step, Strike strike, Code code, boolean mayHaveRun) throws Exception {
        Told told =
                switch (step) {
                    case QUEUED -> queued(strike);
                    case COMING_UP -> comingUp(strike);
                    case HELD -> held("pay", strike);
                    default -> written(step, strike);
                };
        assertThat(told.code()).isEqualTo(code);
        CallState state = new CallState(false);
        state.attemptSent(state.nextAttempt());
        state.attemptEnded(0, told.code());
        assertThat(state.mayRefuse()).isEqualTo(!mayHaveRun);
        assertThat(state.maySend()).isEqualTo(!mayHaveRun);
    }

    /** Also where it has no body: the end of its head is kept back. */
    @ParameterizedTest
    @CsvSource({"RESET, NOT_SENT", "CLOSE, NOT_SENT", "CLIENT_GONE, NOT_SENT", "EARLY_ANSWER, OK", "UNLISTED, OK"})
    void aCallWithoutABodyOnAConnectionThatIsForgotten(Strike strike, Code code) throws Exception {
        assertThat(held("", strike).code()).isEqualTo(code);
    }

    /** Connections that have rested least are forgotten last. */
    @Test
    void aCallThatMayNotRepeatGoesOnTheConnectionThatWasUsedLast() throws Exception {
        try (CallerRig two = new CallerRig(2)) {
            server = new RawServer(4);
            two.send(server, "a", HttpMethod.GET, "", LONG_MICROS);
            Connection first = server.accept();
            first.request();
            two.send(server, "b", HttpMethod.GET, "", LONG_MICROS);
            Connection second = server.accept();
            second.request();
            first.says(answer(200, "a", "", "own"));
            assertThat(two.told().id()).isEqualTo("a");
            second.says(answer(200, "b", "", "own"));
            assertThat(two.told().id()).isEqualTo("b");
            two.send(server, "once", HttpMethod.POST, "pay", LONG_MICROS);
            assertThat(second.request()).contains("once");
            two.send(server, "any", HttpMethod.GET, "", LONG_MICROS);
            assertThat(first.request()).contains("any");
        }
    }

    private Told queued(Strike strike) throws Exception {
        server = new RawServer(4);
        rig.send(server, "before", HttpMethod.GET, "", LONG_MICROS);
        Connection taken = server.accept();
        taken.request();
        Upstream.Attempt attempt =
                rig.send(server, "once", HttpMethod.POST, "pay", strike == Strike.SILENCE ? SHORT_MICROS : LONG_MICROS);
        if (strike == Strike.RESET || strike == Strike.CLOSE) {
            strikes(strike, taken);
            assertThat(rig.told()).isEqualTo(new Told("before", Code.RESET, null));
            Connection next = server.accept();
            assertThat(next.request()).contains("/once");
            next.says(answer(200, "once", "", "own"));
        }
        here(strike, attempt, taken);
        return rig.told();
    }

    private static void strikes(Strike strike, Connection connection) throws Exception {
        if (strike == Strike.RESET) {
            connection.reset();
        } else {
            connection.ends();
        }
    }

    private Told comingUp(Strike strike) throws Exception {
        server = new RawServer(1);
        server.fill();
        Upstream.Attempt attempt =
                rig.send(server, "once", HttpMethod.POST, "pay", strike == Strike.SILENCE ? SHORT_MICROS : LONG_MICROS);
        here(strike, attempt, null);
        return rig.told();
    }

    /** The last byte is kept back while the loop waits here, so whatever strikes comes before it. */
    private Told held(String body, Strike strike) throws Exception {
        server = new RawServer(4);
        rig.send(server, "before", HttpMethod.GET, "", LONG_MICROS);
        Connection kept = server.accept();
        int head = kept.request().length();
        kept.says(answer(200, "before", "", "own"));
        rig.told();
        rig.onLoop(() -> {
            // Shorter than the least time for which a last byte is kept back.
            long micros = strike == Strike.SILENCE ? 1_000 : LONG_MICROS;
            Upstream.Attempt attempt = rig.start(server, "once", HttpMethod.POST, body, micros);
            int more = "POST /once".length() - "GET /before".length() + "once".length() - "before".length();
            kept.bytes(head + more + body.length() - 1);
            switch (strike) {
                case RESET, CLOSE -> strikes(strike, kept);
                case CLIENT_GONE -> attempt.cancel();
                case EARLY_REFUSAL -> kept.says(answer(503, "once", "Not-Executed: 1\r\n", ""));
                case EARLY_ERROR -> kept.says(answer(500, "once", "", ""));
                case EARLY_ANSWER -> kept.says(answer(200, "once", "", "own"));
                default -> {
                    // strikes below
                }
            }
            return null;
        });
        if (strike == Strike.UNLISTED) {
            rig.unlist();
            assertThat(kept.bytes(1)).hasSize(1);
            kept.says(answer(200, "once", "", "own"));
        } else if (strike != Strike.RESET && strike != Strike.CLOSE) {
            assertThat(kept.isClosed()).isTrue(); // and its last byte has never come
        }
        return rig.told();
    }

    private Told written(Step step, Strike strike) throws Exception {
        server = new RawServer(4);
        Upstream.Attempt attempt =
                rig.send(server, "once", HttpMethod.POST, "pay", strike == Strike.SILENCE ? SHORT_MICROS : LONG_MICROS);
        Connection connection = server.accept();
        assertThat(connection.request()).endsWith("pay");
        String whole = answer(200, "once", "", "own");
        int part = step == Step.WRITTEN ? 0 : step == Step.HEAD ? whole.length() - 3 : whole.length() - 1;
        if (part > 0) {
            connection.says(whole.substring(0, part));
        }
        if (strike == Strike.RESET || strike == Strike.CLOSE) {
            strikes(strike, connection);
        } else {
            here(strike, attempt, connection);
        }
        if (strike == Strike.UNLISTED) {
            connection.says(whole.substring(part));
        }
        return rig.told();
    }

    /** What strikes on this side. */
    private void here(Strike strike, Upstream.Attempt attempt, Connection connection) throws Exception {
        if (strike == Strike.CLIENT_GONE) {
            rig.onLoop(() -> {
                attempt.cancel();
                return null;
            });
        } else if (strike == Strike.UNLISTED) {
            rig.unlist();
        }
        assertThat(connection == null || connection.socket().isConnected()).isTrue();
    }
}
