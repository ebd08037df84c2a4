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

/** All short rows of events round {@link ConnectionState} and {@link gorsemast.dispatch.CallState}, against a referee. */
class AnswerModelTest {
    private static final int NAMED_DEPTH = 13;
    private static final int PLACED_DEPTH = 13;
    private static final int ALONE_DEPTH = 20;

    /** What a search has found: null for nothing, else the rule and the row of events that breaks it. */
    private record Found(int states, String broken, List<String> row) {}

    /** Breadth first, each state once; a state is reached by playing its row from the beginning. */
    private static Found search(boolean named, boolean alone, int depth, Supplier<ConnectionState> fresh) {
        Set<String> seen = new HashSet<>();
        List<List<Integer>> rows = List.of(List.of());
        for (int d = 0; d < depth; d++) {
            List<List<Integer>> next = new ArrayList<>();
            for (List<Integer> row : rows) {
                int count = play(named, alone, fresh, row, new ArrayList<>())
                        .events()
                        .size();
                for (int e = 0; e < count; e++) {
                    List<Integer> longer = new ArrayList<>(row);
                    longer.add(e);
                    List<String> story = new ArrayList<>();
                    try {
                        if (seen.add(play(named, alone, fresh, longer, story).key())) {
                            next.add(longer);
                        }
                    } catch (AnswerModel.Broken broken) {
                        return new Found(seen.size(), broken.getMessage(), story);
                    }
                }
            }
            rows = next;
        }
        return new Found(seen.size(), null, List.of());
    }

    private static AnswerModel play(
            boolean named, boolean alone, Supplier<ConnectionState> fresh, List<Integer> row, List<String> story) {
        AnswerModel model = new AnswerModel(named, alone, fresh);
        for (int e : row) {
            AnswerModel.Event event = model.events().get(e);
            story.add(event.name());
            event.happens().run();
        }
        return model;
    }

    /** Defects, each of which takes one clause out of the rule. */
    enum Defect {
        TIME_OUT_KEEPS_THE_CONNECTION,
        IDS_ARE_NOT_COMPARED,
        NAMELESS_ANSWERS_COUNT,
        SURPLUS_BYTES_ARE_KEPT,
        RESET_AFTER_THE_LAST_BYTE_NEVER_RAN,
        EARLY_ANSWERS_NEVER_RAN,
        TURNED_AWAY_COMES_BACK,
        NAMELESS_ONES_SHARE_A_CONNECTION
    }

    private static ConnectionState broken(Defect defect) {
        return new ConnectionState() {
            @Override
            public boolean abandoned() {
                super.abandoned();
                return defect == Defect.TIME_OUT_KEEPS_THE_CONNECTION;
            }

            @Override
            public boolean isAvailable() {
                return defect == Defect.TIME_OUT_KEEPS_THE_CONNECTION || super.isAvailable();
            }

            @Override
            public boolean canCarry(String called, boolean alone) {
                return defect == Defect.TURNED_AWAY_COMES_BACK
                        ? isAvailable()
                        : super.canCarry(called, alone && keepsAlone());
            }

            @Override
            public boolean mayHaveRun() {
                return defect != Defect.RESET_AFTER_THE_LAST_BYTE_NEVER_RAN && super.mayHaveRun();
            }

            private boolean whole;

            private boolean keepsAlone() {
                return defect != Defect.NAMELESS_ONES_SHARE_A_CONNECTION;
            }

            @Override
            public void lastByteSent() {
                super.lastByteSent();
                whole = true;
            }

            @Override
            public void carry(String called, boolean runsOnce, boolean alone) {
                super.carry(called, runsOnce, alone && keepsAlone());
                whole = false;
            }

            @Override
            public Disposition head(ResponseMatch whose, boolean interim, boolean notRun, boolean served) {
                boolean any = defect == Defect.IDS_ARE_NOT_COMPARED && whose == ResponseMatch.OTHER_REQUEST
                        || defect == Defect.NAMELESS_ANSWERS_COUNT && whose == ResponseMatch.UNIDENTIFIED;
                if (defect == Defect.EARLY_ANSWERS_NEVER_RAN && !whole) {
                    return super.head(ResponseMatch.UNIDENTIFIED, interim, true, served);
                }
                return super.head(any ? ResponseMatch.BY_ID : whose, interim, notRun, served);
            }

            @Override
            public ReadOutcome readDone(boolean rest) {
                return super.readDone(rest && defect != Defect.SURPLUS_BYTES_ARE_KEPT);
            }
        };
    }

    @ParameterizedTest
    @CsvSource({"true, false, " + NAMED_DEPTH, "false, false, " + PLACED_DEPTH, "false, true, " + ALONE_DEPTH})
    void noRowOfEventsGivesACallAnothersAnswerOrRunsItTwice(boolean named, boolean alone, int depth) {
        Found found = search(named, alone, depth, ConnectionState::new);
        assertThat(found.broken()).as(String.join("\n", found.row())).isNull();
        assertThat(found.states()).isGreaterThan(alone ? 500 : 30_000);
    }

    @ParameterizedTest
    @CsvSource({
        "TIME_OUT_KEEPS_THE_CONNECTION, false, false",
        "IDS_ARE_NOT_COMPARED, true, false",
        "NAMELESS_ANSWERS_COUNT, true, false",
        "SURPLUS_BYTES_ARE_KEPT, true, false",
        "RESET_AFTER_THE_LAST_BYTE_NEVER_RAN, true, false",
        "EARLY_ANSWERS_NEVER_RAN, true, false",
        "TURNED_AWAY_COMES_BACK, true, false",
        "NAMELESS_ONES_SHARE_A_CONNECTION, false, true"
    })
    void plantedDefectsAreFound(Defect defect, boolean named, boolean alone) {
        Found found = search(named, alone, named ? NAMED_DEPTH : PLACED_DEPTH, () -> broken(defect));
        assertThat(found.broken()).isNotNull();
    }

    @Test
    void anEndlessRowOfInterimAnswersIsNone() {
        ConnectionState state = new ConnectionState();
        state.carry("a", false, false);
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
