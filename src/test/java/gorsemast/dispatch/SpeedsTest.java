package gorsemast.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** What is known of servers' speeds, seen here and told by others. */
class SpeedsTest {
    private final ServerSpeeds speeds = new ServerSpeeds();

    private void answers(String server, int times, long micros) {
        for (int i = 0; i < times; i++) {
            speeds.recordAnswer(server, 0, micros);
        }
    }

    @Test
    void aSlowServerGetsLessAndIsNotForgotten() {
        for (int i = 0; i < 50; i++) {
            answers("quick", 1, 60_000);
            answers("slow", 1, 180_000);
        }
        double part = speeds.weightFactor(0, "slow") / speeds.weightFactor(0, "quick");
        assertThat(part).isBetween(0.02, 0.2);
        assertThat(speeds.hasChanged(0, "slow"))
                .as("the module has just been told")
                .isFalse();
        answers("slow", 30, 60_000);
        assertThat(speeds.hasChanged(0, "slow")).isTrue();
    }

    @Test
    void whatOthersHaveSeenIsTakenInAndForgotten() {
        answers("a", 3, 60_000);
        speeds.applyPooled(1_000, Map.of("b", new ServerSpeeds.Observation(3, 120)));
        assertThat(speeds.slowness(2_000, "b")).isGreaterThan(2.5);
        assertThat(speeds.slowness(2_000 + ServerSpeeds.POOLED_VALID_MICROS, "b"))
                .isEqualTo(1);
    }

    @Test
    void numbersThatAreNoneAreLetBe() {
        speeds.applyPooled(1_000, Map.of("a", new ServerSpeeds.Observation(Double.NaN, Double.NaN)));
        assertThat(speeds.weightFactor(2_000, "a")).isEqualTo(1);
    }

    @Test
    void serversThatHaveGoneAreForgotten() {
        answers("a", 3, 60_000);
        speeds.retainOnly(java.util.List.of("b"));
        assertThat(speeds.ownObservations()).isEmpty();
    }
}
