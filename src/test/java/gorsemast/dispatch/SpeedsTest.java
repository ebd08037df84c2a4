package gorsemast.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests estimates of servers' speeds from this edge's and other edges' observations. */
class SpeedsTest {
    private final ServerSpeeds speeds = new ServerSpeeds();

    private void recordAnswers(String server, int times, long micros) {
        for (int i = 0; i < times; i++) {
            speeds.recordAnswer(server, 0, micros);
        }
    }

    @Test
    void slowServerGetsLessTrafficAndCanRecover() {
        for (int i = 0; i < 50; i++) {
            recordAnswers("quick", 1, 60_000);
            recordAnswers("slow", 1, 180_000);
        }
        double ratio = speeds.weightFactor(0, "slow") / speeds.weightFactor(0, "quick");
        assertThat(ratio).isBetween(0.02, 0.2);
        assertThat(speeds.hasChanged(0, "slow"))
                .as("just reported to the module")
                .isFalse();
        recordAnswers("slow", 30, 60_000);
        assertThat(speeds.hasChanged(0, "slow")).isTrue();
    }

    @Test
    void pooledObservationsCountUntilTheyExpire() {
        recordAnswers("a", 3, 60_000);
        speeds.applyPooled(1_000, Map.of("b", new ServerSpeeds.Observation(3, 120)));
        assertThat(speeds.slowness(2_000, "b")).isGreaterThan(2.5);
        assertThat(speeds.slowness(2_000 + ServerSpeeds.POOLED_VALID_MICROS, "b"))
                .isEqualTo(1);
    }

    @Test
    void nonFiniteObservationsAreIgnored() {
        speeds.applyPooled(1_000, Map.of("a", new ServerSpeeds.Observation(Double.NaN, Double.NaN)));
        assertThat(speeds.weightFactor(2_000, "a")).isEqualTo(1);
    }

    @Test
    void departedServersAreForgotten() {
        recordAnswers("a", 3, 60_000);
        speeds.retainOnly(java.util.List.of("b"));
        assertThat(speeds.ownObservations()).isEmpty();
    }
}
