package gorsemast.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import anisebend.Balancer.Code;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tries all short sequences of outcomes: a call that may have been executed is neither sent again nor refused,
 * whatever the decision module requests.
 */
class CallStateTest {
    private static final int DEPTH = 4;

    /** Injected defects that the sequences must detect. */
    enum Defect {
        /** A reset after the last byte counts as not executed. */
        RESET_NEVER_RAN,
        /** A timeout counts as not executed. */
        TIMEOUT_NEVER_RAN,
        /** A call that may have been executed is sent again. */
        RESENDS_EXECUTED,
        /** A call is refused while an attempt is in flight. */
        REFUSES_WHILE_IN_FLIGHT,
        /** A server's 503 is forwarded, though only {@code Not-Executed} would make its promise true. */
        FORWARDS_PROMISES
    }

    private static CallState broken(Defect defect) {
        return new CallState(false) {
            @Override
            protected boolean mayHaveRun(Code code) {
                boolean ignored = defect == Defect.RESET_NEVER_RAN && code == Code.RESET
                        || defect == Defect.TIMEOUT_NEVER_RAN && code == Code.TIMEOUT;
                return !ignored && super.mayHaveRun(code);
            }

            @Override
            public boolean maySend() {
                return defect == Defect.RESENDS_EXECUTED || super.maySend();
            }

            @Override
            public boolean mayRefuse() {
                return defect == Defect.REFUSES_WHILE_IN_FLIGHT && isInFlight() || super.mayRefuse();
            }

            @Override
            public boolean mayForward(int status) {
                return defect == Defect.FORWARDS_PROMISES || super.mayForward(status);
            }
        };
    }

    /** Tries all sequences of outcomes; returns the violations that the checker found. */
    private static List<String> violations(boolean repeatable, Function<Boolean, CallState> newState) {
        List<String> violations = new ArrayList<>();
        int sequences = (int) Math.pow(Code.values().length + 1, DEPTH);
        for (int sequence = 0; sequence < sequences; sequence++) {
            CallState state = newState.apply(repeatable);
            boolean executed = false;
            int rest = sequence;
            for (int i = 0; i < DEPTH; i++, rest /= Code.values().length + 1) {
                boolean allowed = state.maySend();
                if (allowed && executed && !repeatable) {
                    violations.add("EXECUTED TWICE in sequence " + sequence);
                }
                if (!allowed) {
                    continue;
                }
                int attempt = state.nextAttempt();
                state.attemptSent(attempt);
                if (!repeatable && state.mayRefuse()) {
                    violations.add("REFUSED while in flight in sequence " + sequence);
                }
                int pick = rest % (Code.values().length + 1);
                if (pick < Code.values().length) {
                    // The checker's own table: a reset, timeout, cancellation or answer without Not-Executed may have
                    // run.
                    Code code = Code.values()[pick];
                    executed |= switch (code) {
                        case OK, ERROR, TIMEOUT, RESET, CANCELLED -> true;
                        case FULL, CONNECT_FAILED, NOT_SENT, MISS -> false;
                    };
                    state.attemptEnded(attempt, code);
                    state.attemptEnded(attempt, Code.NOT_SENT); // late, must be ignored
                }
                if (executed && !repeatable && state.mayRefuse()) {
                    violations.add("REFUSED after execution in sequence " + sequence);
                }
                for (int status = 200; status < 600; status++) {
                    boolean promise = status == 408 || status == 421 || status == 429 || status == 503;
                    if (!repeatable && promise && state.mayForward(status)) {
                        violations.add("REFUSED by status " + status);
                    }
                }
            }
        }
        return violations;
    }

    @Test
    void noSequenceOfOutcomesBreaksARule() {
        assertThat(violations(false, CallState::new)).isEmpty();
        assertThat(violations(true, CallState::new)).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(Defect.class)
    void injectedDefectsAreDetected(Defect defect) {
        assertThat(violations(false, repeatable -> broken(defect))).isNotEmpty();
    }

    @Test
    void repeatableCallIsSentAgainAndItsAnswerForwarded() {
        CallState state = new CallState(true);
        state.attemptSent(state.nextAttempt());
        assertThat(state.maySend()).isFalse();
        state.attemptEnded(0, Code.RESET);
        assertThat(state.maySend()).isTrue();
        assertThat(state.mayForward(503)).isTrue();
    }
}
