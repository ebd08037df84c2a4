package gorsemast.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Explores all short event sequences of {@link ConnectionState} and {@link gorsemast.dispatch.CallState} against a
 * model of the server.
 */
class AnswerModelTest {
    private static final int WITH_IDS_DEPTH = 13;
    private static final int BY_POSITION_DEPTH = 13;
    private static final int EXCLUSIVE_DEPTH = 20;

    /** Result of a search: the violated rule, or null, and the event sequence that violates it. */
    private record SearchResult(int states, String violation, List<String> trace) {}

    /** Breadth-first search that visits each state once; a state is reached by replaying its event sequence. */
    private static SearchResult search(
            boolean hasIds, boolean exclusive, int depth, Supplier<ConnectionState> newState) {
        Set<String> seen = new HashSet<>();
        List<List<Integer>> sequences = List.of(List.of());
        for (int d = 0; d < depth; d++) {
            List<List<Integer>> next = new ArrayList<>();
            for (List<Integer> sequence : sequences) {
                int count = replay(hasIds, exclusive, newState, sequence, new ArrayList<>())
                        .events()
                        .size();
                for (int e = 0; e < count; e++) {
                    List<Integer> longer = new ArrayList<>(sequence);
                    longer.add(e);
                    List<String> trace = new ArrayList<>();
                    try {
                        if (seen.add(replay(hasIds, exclusive, newState, longer, trace)
                                .stateKey())) {
                            next.add(longer);
                        }
                    } catch (AnswerModel.Violation violation) {
                        return new SearchResult(seen.size(), violation.getMessage(), trace);
                    }
                }
            }
            sequences = next;
        }
        return new SearchResult(seen.size(), null, List.of());
    }

    private static AnswerModel replay(
            boolean hasIds,
            boolean exclusive,
            Supplier<ConnectionState> newState,
            List<Integer> eventIndexes,
            List<String> trace) {
        AnswerModel model = new AnswerModel(hasIds, exclusive, newState);
        for (int e : eventIndexes) {
            AnswerModel.Event event = model.events().get(e);
            trace.add(event.name());
            event.action().run();
        }
        return model;
    }

    /** Injected defects, each of which removes one condition of the rule. */
    enum Defect {
        TIMEOUT_KEEPS_THE_CONNECTION,
        IDS_ARE_NOT_COMPARED,
        RESPONSES_WITHOUT_ID_ARE_ACCEPTED,
        SURPLUS_BYTES_ARE_KEPT,
        RESET_AFTER_THE_LAST_BYTE_NEVER_RAN,
        EARLY_ANSWERS_NEVER_RAN,
        REFUSED_CALL_IS_SENT_AGAIN,
        CALLS_WITHOUT_ID_SHARE_A_CONNECTION
    }

    private static ConnectionState defective(Defect defect) {
        return new ConnectionState() {
            @Override
            public boolean abandoned() {
                super.abandoned();
                return defect == Defect.TIMEOUT_KEEPS_THE_CONNECTION;
            }

            @Override
            public boolean isAvailable() {
                return defect == Defect.TIMEOUT_KEEPS_THE_CONNECTION || super.isAvailable();
            }

            @Override
            public boolean canCarry(String id, boolean exclusive) {
                return defect == Defect.REFUSED_CALL_IS_SENT_AGAIN
                        ? isAvailable()
                        : super.canCarry(id, exclusive && requiresExclusive());
            }

            @Override
            public boolean mayHaveRun() {
                return defect != Defect.RESET_AFTER_THE_LAST_BYTE_NEVER_RAN && super.mayHaveRun();
            }

            private boolean whole;

            private boolean requiresExclusive() {
                return defect != Defect.CALLS_WITHOUT_ID_SHARE_A_CONNECTION;
            }

            @Override
            public void lastByteSent() {
                super.lastByteSent();
                whole = true;
            }

            @Override
            public void assign(String id, boolean runsOnce, boolean exclusive) {
                super.assign(id, runsOnce, exclusive && requiresExclusive());
                whole = false;
            }

            @Override
            public Disposition head(ResponseMatch match, boolean interim, boolean notRun, boolean served) {
                boolean any = defect == Defect.IDS_ARE_NOT_COMPARED && match == ResponseMatch.OTHER_REQUEST
                        || defect == Defect.RESPONSES_WITHOUT_ID_ARE_ACCEPTED && match == ResponseMatch.UNIDENTIFIED;
                if (defect == Defect.EARLY_ANSWERS_NEVER_RAN && !whole) {
                    return super.head(ResponseMatch.UNIDENTIFIED, interim, true, served);
                }
                return super.head(any ? ResponseMatch.BY_ID : match, interim, notRun, served);
            }

            @Override
            public ReadOutcome readDone(boolean rest) {
                return super.readDone(rest && defect != Defect.SURPLUS_BYTES_ARE_KEPT);
            }
        };
    }

    @ParameterizedTest
    @CsvSource({
        "true, false, " + WITH_IDS_DEPTH,
        "false, false, " + BY_POSITION_DEPTH,
        "false, true, " + EXCLUSIVE_DEPTH
    })
    void noEventSequenceMixesUpResponsesOrRunsACallTwice(boolean hasIds, boolean exclusive, int depth) {
        SearchResult found = search(hasIds, exclusive, depth, ConnectionState::new);
        assertThat(found.violation()).as(String.join("\n", found.trace())).isNull();
        assertThat(found.states()).isGreaterThan(exclusive ? 500 : 30_000);
    }

    @ParameterizedTest
    @CsvSource({
        "TIMEOUT_KEEPS_THE_CONNECTION, false, false",
        "IDS_ARE_NOT_COMPARED, true, false",
        "RESPONSES_WITHOUT_ID_ARE_ACCEPTED, true, false",
        "SURPLUS_BYTES_ARE_KEPT, true, false",
        "RESET_AFTER_THE_LAST_BYTE_NEVER_RAN, true, false",
        "EARLY_ANSWERS_NEVER_RAN, true, false",
        "REFUSED_CALL_IS_SENT_AGAIN, true, false",
        "CALLS_WITHOUT_ID_SHARE_A_CONNECTION, false, true"
    })
    void injectedDefectsAreDetected(Defect defect, boolean hasIds, boolean exclusive) {
        SearchResult found =
                search(hasIds, exclusive, hasIds ? WITH_IDS_DEPTH : BY_POSITION_DEPTH, () -> defective(defect));
        assertThat(found.violation()).isNotNull();
    }

    @Test
    void endlessInterimResponsesAreAnError() {
        ConnectionState state = new ConnectionState();
        state.assign("a", false, false);
        state.lastByteSent();
        for (int i = 0; i < ConnectionState.MAX_INTERIM; i++) {
            assertThat(state.head(ResponseMatch.UNIDENTIFIED, true, false, false))
                    .isEqualTo(ConnectionState.Disposition.INTERIM);
            state.part(true);
        }
        assertThat(state.head(ResponseMatch.UNIDENTIFIED, true, false, false))
                .isEqualTo(ConnectionState.Disposition.BROKEN);
    }
}
