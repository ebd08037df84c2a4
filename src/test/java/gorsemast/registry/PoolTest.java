package gorsemast.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** The sum of what edges have seen: lies move little, old words go, its length follows the servers. */
class PoolTest {
    private final SpeedAggregator pool = new SpeedAggregator();

    @Test
    void oneThatLiesMovesLittleAmongMany() {
        for (int edge = 0; edge < 9; edge++) {
            pool.report(1_000, "e" + edge, Map.of("a", new double[] {1, 20}));
        }
        pool.report(
                1_000,
                "liar",
                Map.of("a", new double[] {1e9, 1e9}, "b", new double[] {Double.NaN, 5}, "c", new double[] {1, -1}));
        Map<String, double[]> sum = pool.aggregate(2_000);
        assertThat(sum).containsOnlyKeys("a");
        assertThat(sum.get("a")[0]).isLessThan(1.4);
        assertThat(sum.get("a")[1]).isEqualTo(200);
    }

    @Test
    void whatAnEdgeToldIsReplacedAndForgotten() {
        pool.report(1_000, "e", Map.of("a", new double[] {3, 10}));
        pool.report(2_000, "e", Map.of("b", new double[] {2, 10}));
        assertThat(pool.changed()).isTrue();
        assertThat(pool.aggregate(3_000)).containsOnlyKeys("b");
        assertThat(pool.changed())
                .as("who asks for the sum alone takes nobody else's")
                .isTrue();
        pool.markSent();
        assertThat(pool.changed()).isFalse();
        assertThat(pool.aggregate(2_001 + SpeedAggregator.TOLD_MICROS)).isEmpty();
    }
}
