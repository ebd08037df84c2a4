package gorsemast.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Most of the processes killed under load while half of the nodes are replaced: nothing is lost and nothing runs twice. */
class HerdTest {
    @TempDir
    Path folder;

    @Test
    void mostOfTheProcessesAreKilledUnderLoadAndComeBackToOtherNodes() throws Exception {
        Herd.Result result =
                new Herd(6, 3, 60, 400, folder, line -> {}).untilListed().run(true);
        String said = result.line() + "\n" + String.join("\n", result.findings());
        assertEquals(0, result.lost(), said);
        assertEquals(0, result.twice(), said);
        assertEquals(result.killed(), result.listedMillis().size(), said);
        assertTrue(result.asked() > 0 && result.served() > 0, said);
    }
}
