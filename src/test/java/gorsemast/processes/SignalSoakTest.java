package gorsemast.processes;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/**
 * Clients keep using their connections while real processes get signals and are restarted, and the configuration changes, in
 * series that overlap. {@code -Dsignals.seeds} courses are played, 3 where nothing is said, from {@code -Dsignals.first} on, with
 * {@code -Dsignals.edges} edges.
 */
class SignalSoakTest {
    private static final int SEEDS = Integer.getInteger("signals.seeds", 3);
    private static final long FIRST = Long.getLong("signals.first", 1);
    private static final int EDGES = Integer.getInteger("signals.edges", 5);

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path data;

    @Test
    void nothingThatRanIsLostAndNothingRunsTwice() throws IOException {
        try (SignalSoak soak = new SignalSoak(data, SignalSoak.Plan.signals(EDGES))) {
            for (long seed = FIRST; seed < FIRST + SEEDS; seed++) {
                SignalSoak.Verdict verdict = soak.play(seed);
                System.out.println("signals seed " + seed + ": " + verdict.served() + " of " + verdict.asked()
                        + " served, " + verdict.faults().size() + " faults, " + verdict.events());
                assertThat(verdict.faults())
                        .as("seed %d: %s", seed, verdict.events())
                        .isEmpty();
                assertThat(verdict.served()).as("seed %d", seed).isGreaterThan(verdict.asked() / 4);
            }
        }
    }
}
