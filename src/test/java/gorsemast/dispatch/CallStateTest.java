package gorsemast.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import anisebend.Balancer.Code;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** All short rows of outcomes: what may have run is neither sent again nor refused, whatever the module asks for. */
class CallStateTest {
    private static final int DEPTH = 4;

    /** Defects that the rows must find. */
    enum Defect {
        /** A break after the last byte counts as not run. */
        RESET_NEVER_RAN,
        /** Silence counts as not run. */
        SILENCE_NEVER_RAN,
        /** What may have run is sent again. */
        SENDS_AGAIN,
        /** It is refused while an attempt is out. */
        REFUSES_WHILE_OUT,
        /** A server's 503 is passed on, though only {@code Not-Executed} would make it true. */
        PASSES_PROMISES
    }

    private static CallState broken(Defect defect) {
        return new CallState(false) {
            @Override
            protected boolean mayHaveRun(Code code) {
                boolean forgets = defect == Defect.RESET_NEVER_RAN && code == Code.RESET
                        || defect == Defect.SILENCE_NEVER_RAN && code == Code.TIMEOUT;
                return !forgets && super.mayHaveRun(code);
            }

            @Override
            public boolean maySend() {
                return defect == Defect.SENDS_AGAIN || super.maySend();
            }

            @Override
            public boolean mayRefuse() {
                return defect == Defect.REFUSES_WHILE_OUT && isInFlight() || super.mayRefuse();
            }

            @Override
            public boolean mayForward(int status) {
                return defect == Defect.PASSES_PROMISES || super.mayForward(status);
            }
        };
    }

    /** Plays all rows of outcomes; returns what the referee has seen broken. */
    private static List<String> broken(boolean repeatable, Function<Boolean, CallState> fresh) {
        List<String> found = new ArrayList<>();
        int rows = (int) Math.pow(Code.values().length + 1, DEPTH);
        for (int row = 0; row < rows; row++) {
            CallState state = fresh.apply(repeatable);
            boolean ran = false;
            int rest = row;
            for (int i = 0; i < DEPTH; i++, rest /= Code.values().length + 1) {
                boolean may = state.maySend();
                if (may && ran && !repeatable) {
                    found.add("TWICE in row " + row);
                }
                if (!may) {
                    continue;
                }
                int attempt = state.nextAttempt();
                state.attemptSent(attempt);
                if (!repeatable && state.mayRefuse()) {
                    found.add("REFUSED while out in row " + row);
                }
                int pick = rest % (Code.values().length + 1);
                if (pick < Code.values().length) {
                    // The referee's own table: a reset, silence, a cancel or any answer but Not-Executed may have run.
                    Code code = Code.values()[pick];
                    ran |= switch (code) {
                        case OK, ERROR, TIMEOUT, RESET, CANCELLED -> true;
                        case FULL, CONNECT_FAILED, NOT_SENT, MISS -> false;
                    };
                    state.attemptEnded(attempt, code);
                    state.attemptEnded(attempt, Code.NOT_SENT); // late, and heard no more
                }
                if (ran && !repeatable && state.mayRefuse()) {
                    found.add("REFUSED in row " + row);
                }
                for (int status = 200; status < 600; status++) {
                    boolean promise = status == 408 || status == 421 || status == 429 || status == 503;
                    if (!repeatable && promise && state.mayForward(status)) {
                        found.add("REFUSED by " + status);
                    }
                }
            }
        }
        return found;
    }

    @Test
    void noRowOfOutcomesBreaksARule() {
        assertThat(broken(false, CallState::new)).isEmpty();
        assertThat(broken(true, CallState::new)).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(Defect.class)
    void plantedDefectsAreFound(Defect defect) {
        assertThat(broken(false, repeatable -> broken(defect))).isNotEmpty();
    }

    @Test
    void whatMayBeRepeatedIsSentAgainAndItsAnswerPassedOn() {
        CallState state = new CallState(true);
        state.attemptSent(state.nextAttempt());
        assertThat(state.maySend()).isFalse();
        state.attemptEnded(0, Code.RESET);
        assertThat(state.maySend()).isTrue();
        assertThat(state.mayForward(503)).isTrue();
    }
}
