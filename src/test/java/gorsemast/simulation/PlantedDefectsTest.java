package gorsemast.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.http.NettyLog;
import gorsemast.simulation.Trouble.Closing;
import gorsemast.simulation.Trouble.Kind;
import java.util.List;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** One planted defect for each newer rule of the referee, on days made for it; the rule is named, and the words. */
class PlantedDefectsTest {
    private static final long SECOND = 1_000_000;
    private static final int SEEDS = 12;

    @BeforeAll
    static void quiet() {
        NettyLog.install();
    }

    private static Day day(Plant plant, int seed) {
        List<Trouble> troubles =
                switch (plant) {
                    case ACKS_ANY_CONTENT -> List.of(new Trouble(Kind.SAME_NUMBER, 3 * SECOND, 2 * SECOND, 1));
                    case REFUSES_AGAIN ->
                        List.of(
                                new Trouble(Kind.CONFIG, 2 * SECOND, 0, 0),
                                new Trouble(Kind.CONFIG_AGAIN, 4 * SECOND, 0, 0));
                    case TELLS_ITS_OWN ->
                        List.of(
                                new Trouble(Kind.HOLD_NEWS, 3 * SECOND, SECOND, seed),
                                new Trouble(Kind.CONFIG_RACE, 3 * SECOND + 100_000, 0, 0));
                    case READS_ALONE ->
                        List.of(
                                new Trouble(Kind.CUT_SIDE, 2 * SECOND, 8 * SECOND, seed),
                                new Trouble(Kind.CONFIG, 5 * SECOND, 0, 0),
                                new Trouble(Kind.READ, 8 * SECOND, 0, 0));
                    case ANSWERS_NOTHING ->
                        List.of(
                                new Trouble(Kind.CONFIG, 2 * SECOND, 0, 0),
                                new Trouble(Kind.CONFIG, 3 * SECOND, 0, 0),
                                new Trouble(Kind.CONFIG, 4 * SECOND, 0, 0));
                    default -> List.of(new Trouble(Kind.KILL_EDGE, SECOND, 0, 0));
                };
        return new Day(3, 4, 100 + seed, 14 * SECOND, troubles, Closing.NONE);
    }

    @ParameterizedTest
    @CsvSource({
        "ACKS_ANY_CONTENT, two contents are acknowledged",
        "REFUSES_AGAIN, is sent again unchanged",
        "TELLS_ITS_OWN, CONFIG",
        "READS_ALONE, LOST",
        "ANSWERS_NOTHING, ACK",
        "NEVER_READY, DUTY"
    })
    void isFound(Plant plant, String words) {
        assertThat(Hunt.run(number -> day(plant, number), SEEDS, plant, SEEDS).found())
                .extracting(found -> found.broken().getMessage())
                .anyMatch(message -> message.contains(words));
    }

    @ParameterizedTest
    @CsvSource({"REFUSES_AGAIN", "READS_ALONE", "ANSWERS_NOTHING", "NEVER_READY", "ACKS_ANY_CONTENT", "TELLS_ITS_OWN"})
    void nothingIsFoundWithoutIt(Plant plant) {
        assertThat(Hunt.run(number -> day(plant, number), SEEDS, Plant.NONE, 1).found())
                .extracting(found -> found.broken().getMessage())
                .isEmpty();
    }
}
