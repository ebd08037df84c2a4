package gorsemast.processes;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/**
 * Objects are asked for while real processes are killed, paused, cut off and left without answers, two or three troubles at a time.
 * {@code -Dsoak.seeds} courses are played, 2 where nothing is said, from {@code -Dsoak.first} on.
 */
class ObjectSoakTest {
    private static final int SEEDS = Integer.getInteger("soak.seeds", 2);
    private static final long FIRST = Long.getLong("soak.first", 1);

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path data;

    @Test
    void everyRequestEndsAndEveryInvariantHolds() throws IOException {
        try (ObjectSoak soak = new ObjectSoak(data)) {
            for (long seed = FIRST; seed < FIRST + SEEDS; seed++) {
                ObjectSoak.Verdict verdict = soak.play(seed);
                System.out.println("soak seed " + seed + ": " + verdict.served() + " of " + verdict.asked()
                        + " served, " + verdict.faults().size() + " faults, " + verdict.troubles());
                assertThat(verdict.faults())
                        .as("seed %d: %s", seed, verdict.troubles())
                        .isEmpty();
                assertThat(verdict.served()).as("seed %d", seed).isGreaterThan(verdict.asked() / 4);
            }
        }
    }
}
