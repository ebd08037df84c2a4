package gorsemast.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the aggregate of speed reports: the weight of wrong figures, and the replacement and expiry of reports. */
class SpeedAggregatorTest {
    private final SpeedAggregator aggregator = new SpeedAggregator();

    @Test
    void oneEdgeWithWrongFiguresHasLittleWeight() {
        for (int edge = 0; edge < 9; edge++) {
            aggregator.report(1_000, "e" + edge, Map.of("a", new double[] {1, 20}));
        }
        aggregator.report(
                1_000,
                "wrong",
                Map.of("a", new double[] {1e9, 1e9}, "b", new double[] {Double.NaN, 5}, "c", new double[] {1, -1}));
        Map<String, double[]> sum = aggregator.aggregate(2_000);
        assertThat(sum).containsOnlyKeys("a");
        assertThat(sum.get("a")[0]).isLessThan(1.4);
        assertThat(sum.get("a")[1]).isEqualTo(200);
    }

    @Test
    void reportIsReplacedAndExpires() {
        aggregator.report(1_000, "e", Map.of("a", new double[] {3, 10}));
        aggregator.report(2_000, "e", Map.of("b", new double[] {2, 10}));
        assertThat(aggregator.changed()).isTrue();
        assertThat(aggregator.aggregate(3_000)).containsOnlyKeys("b");
        assertThat(aggregator.changed())
                .as("aggregating alone does not mark the reports as sent")
                .isTrue();
        aggregator.markSent();
        assertThat(aggregator.changed()).isFalse();
        assertThat(aggregator.aggregate(2_001 + SpeedAggregator.REPORT_LIFETIME_MICROS))
                .isEmpty();
    }
}
