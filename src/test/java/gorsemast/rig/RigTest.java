package gorsemast.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsemast.rig.Scenario.Event;
import gorsemast.rig.Scenario.Kind;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Real processes with faults between them, and the rig itself. */
class RigTest {
    private static final int AN_HOUR = 3_600;

    @TempDir
    Path folder;

    private Rig.Result play(Scenario day, String plant) throws Exception {
        StringBuilder told = new StringBuilder();
        try (Rig rig = new Rig(day, plant, folder, line -> told.append(line).append('\n'))) {
            Rig.Result result = rig.run(AN_HOUR);
            System.out.println(told + result.line());
            return result;
        }
    }

    /** Joins, crashes of one and of most, cuts, a one-way cut, heals, a stop, a vanished machine, restarts of all. */
    @Test
    void twelveProcessesSettleAfterEachFailureAndLoseNothing() throws Exception {
        Scenario day = Scenario.ofEveryFault(12, 4);
        Rig.Result result = play(day, "");
        assertTrue(result.holds(), () -> result.line() + "\n" + String.join("\n", result.findings()));
        assertEquals(day.events().size() + 1, result.settled());
        assertTrue(result.counts().get("served") > 1_000, result.counts().toString());
    }

    @ParameterizedTest
    @ValueSource(strings = {"twice", "lost"})
    void whatTheRigItselfDoesWrongIsFound(String plant) throws Exception {
        Rig.Result result = play(new Scenario(2, 1, List.of()), plant);
        assertFalse(result.holds());
        assertEquals(plant.equals("lost") ? 1 : 0, result.lost(), result.line());
        assertEquals(plant.equals("twice") ? 1 : 0, result.twice(), result.line());
    }

    @Test
    void aViewThatTheRigKeepsFromSettlingIsFound() throws Exception {
        Rig.Result result = play(
                new Scenario(3, 1, List.of(new Event(Kind.CUT, List.of(), 2), new Event(Kind.HEAL, List.of(), 0))),
                "unsettled");
        assertFalse(result.holds());
        assertEquals(2, result.settled(), result.line());
        assertEquals(3, result.faults());
    }

    @Test
    void aDayIsPlayedAgainFromItsFile() throws Exception {
        Scenario day = Scenario.draw(7, 99, 60);
        Path file = folder.resolve("day.json");
        day.write(file);
        assertEquals(day, Scenario.read(file));
        assertEquals(day, Scenario.draw(7, 99, 60));
        assertEquals(
                Kind.values().length,
                day.events().stream().map(Event::kind).distinct().count(),
                day.toString());
        Files.writeString(file, "{\"processes\": 3, \"seed\": 1, \"events\": [ {\"kind\": \"KILL\", \"how\": 3} ]}");
        assertTrue(assertThrows(IOException.class, () -> Scenario.read(file))
                .getMessage()
                .contains("day.json:1:"));
    }
}
