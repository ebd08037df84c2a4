package gorsemast.processes;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/**
 * As {@link SignalSoakTest}, and machines are also paused, cut off, reset and killed together, while each edge is asked for the routes that
 * the last confirmed change has added and dropped. {@code -Dwide.seeds} courses are played, 2 where nothing is said, from
 * {@code -Dwide.first} on, with {@code -Dwide.edges} edges, all of twenty sockets with {@code -Dwide.crowded=true}, and {@code -Dwide.clients} clients each, for {@code -Dwide.millis}. Machines
 * are paused or cut off for {@code -Dwide.lasting} milliseconds at most, and the links of every third edge are held most of the time
 * with {@code -Dwide.congested=true}.
 */
class WideSoakTest {
    private static final int SEEDS = Integer.getInteger("wide.seeds", 2);
    private static final long FIRST = Long.getLong("wide.first", 1);

    private static SignalSoak.Plan plan(boolean crowded) {
        return new SignalSoak.Plan(
                Integer.getInteger("wide.edges", 6),
                crowded,
                Integer.getInteger("wide.clients", 8),
                Long.getLong("wide.millis", 12_000),
                true,
                Long.getLong("wide.lasting", SignalSoak.LASTING_MILLIS),
                Boolean.getBoolean("wide.congested"));
    }

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path data;

    @Test
    void whatIsConfirmedIsInForceAndNobodyIsDeniedIt() throws IOException {
        play(plan(Boolean.getBoolean("wide.crowded")), SEEDS);
    }

    /** Edges with many sockets pass updates on between core machines that don't reach each other; here none has. */
    @Test
    void theSameWhereNoEdgePassesUpdatesOn() throws IOException {
        play(plan(true), 1);
    }

    private void play(SignalSoak.Plan plan, int seeds) throws IOException {
        try (SignalSoak soak = new SignalSoak(data, plan)) {
            for (long seed = FIRST; seed < FIRST + seeds; seed++) {
                SignalSoak.Verdict verdict = soak.play(seed);
                System.out.println(
                        "wide seed " + seed + ": " + verdict.served() + " of " + verdict.asked() + " served, of "
                                + verdict.added() + " on added routes, " + verdict.purged()
                                + " of purged objects judged, "
                                + verdict.faults().size() + " faults, "
                                + verdict.events());
                assertThat(verdict.faults())
                        .as("seed %d: %s", seed, verdict.events())
                        .isEmpty();
                assertThat(verdict.served()).as("seed %d", seed).isGreaterThan(verdict.asked() / 4);
            }
        }
    }
}
