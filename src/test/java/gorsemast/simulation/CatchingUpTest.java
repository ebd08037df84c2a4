package gorsemast.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.http.NettyLog;
import gorsemast.simulation.Trouble.Closing;
import gorsemast.simulation.Trouble.Kind;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Stores whose disks hang and that were away, over days with many changes. */
class CatchingUpTest {
    private static final long SECOND = 1_000_000;

    @BeforeAll
    static void quiet() {
        NettyLog.install();
    }

    /** A disk that ends nothing unsettles no core, so each order is held to its 4 s. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void ordersAreAcknowledgedWhileADiskStallsForTwentySeconds(int disk) {
        List<Trouble> troubles = new ArrayList<>();
        troubles.add(new Trouble(Kind.STALL, 5 * SECOND, 20 * SECOND, disk));
        for (int order = 0; order < 20; order++) {
            troubles.add(new Trouble(Kind.CONFIG, (5 + order) * SECOND + 300_000, 0, 0));
        }
        Outcome outcome = new Day(3, 4, 71, 32 * SECOND, troubles, Closing.NONE).play(Plant.NONE);
        List<Long> took = outcome.times().get(Outcome.ACKNOWLEDGED);
        assertThat(took).hasSize(21);
        assertThat(Collections.max(took.subList(1, 21))).isLessThan(4 * SECOND);
    }
}
