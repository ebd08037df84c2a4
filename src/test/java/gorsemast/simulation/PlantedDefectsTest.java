package gorsemast.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.http.NettyLog;
import gorsemast.simulation.Fault.Closing;
import gorsemast.simulation.Fault.Kind;
import java.util.List;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that each newer rule of the checkers detects an injected defect, in scenarios made for it. */
class PlantedDefectsTest {
    private static final long SECOND = 1_000_000;
    private static final int SEEDS = 12;

    @BeforeAll
    static void quiet() {
        NettyLog.install();
    }

    private static Scenario scenario(InjectedDefect defect, int seed) {
        List<Fault> faults =
                switch (defect) {
                    case ACKS_ANY_CONTENT -> List.of(new Fault(Kind.SAME_NUMBER, 3 * SECOND, 2 * SECOND, 1));
                    case REFUSES_AGAIN ->
                        List.of(
                                new Fault(Kind.CONFIG, 2 * SECOND, 0, 0),
                                new Fault(Kind.CONFIG_AGAIN, 4 * SECOND, 0, 0));
                    case TELLS_ITS_OWN ->
                        List.of(
                                new Fault(Kind.HOLD_NEWS, 3 * SECOND, SECOND, seed),
                                new Fault(Kind.CONFIG_RACE, 3 * SECOND + 100_000, 0, 0));
                    case READS_ALONE ->
                        List.of(
                                new Fault(Kind.CUT_SIDE, 2 * SECOND, 8 * SECOND, seed),
                                new Fault(Kind.CONFIG, 5 * SECOND, 0, 0),
                                new Fault(Kind.READ, 8 * SECOND, 0, 0));
                    case ANSWERS_NOTHING ->
                        List.of(
                                new Fault(Kind.CONFIG, 2 * SECOND, 0, 0),
                                new Fault(Kind.CONFIG, 3 * SECOND, 0, 0),
                                new Fault(Kind.CONFIG, 4 * SECOND, 0, 0));
                    default -> List.of(new Fault(Kind.KILL_EDGE, SECOND, 0, 0));
                };
        return new Scenario(3, 4, 100 + seed, 14 * SECOND, faults, Closing.NONE);
    }

    @ParameterizedTest
    @CsvSource({
        "ACKS_ANY_CONTENT, two contents are acknowledged",
        "REFUSES_AGAIN, is resent unchanged",
        "TELLS_ITS_OWN, CONFIG",
        "READS_ALONE, LOST",
        "ANSWERS_NOTHING, ACK",
        "NEVER_READY, DUTY"
    })
    void isFound(InjectedDefect defect, String words) {
        assertThat(ScenarioSearch.run(number -> scenario(defect, number), SEEDS, defect, SEEDS)
                        .failures())
                .extracting(found -> found.violation().getMessage())
                .anyMatch(message -> message.contains(words));
    }

    @ParameterizedTest
    @CsvSource({"REFUSES_AGAIN", "READS_ALONE", "ANSWERS_NOTHING", "NEVER_READY", "ACKS_ANY_CONTENT", "TELLS_ITS_OWN"})
    void nothingIsFoundWithoutIt(InjectedDefect defect) {
        assertThat(ScenarioSearch.run(number -> scenario(defect, number), SEEDS, InjectedDefect.NONE, 1)
                        .failures())
                .extracting(found -> found.violation().getMessage())
                .isEmpty();
    }
}
