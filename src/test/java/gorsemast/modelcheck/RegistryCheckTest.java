package gorsemast.modelcheck;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.http.NettyLog;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Whoever vouches knows what was acknowledged, over all short rows of events and drawn courses; planted defects are found. */
class RegistryCheckTest {
    @BeforeAll
    static void quiet() {
        NettyLog.install();
    }

    private static String told(RegistryCheck.Result result) {
        return result.broken() + "\n" + String.join("\n", result.story());
    }

    @Test
    void holdsOverAllRowsOfTwo() {
        RegistryCheck.Result result = RegistryCheck.all(2, RegistryPlant.NONE);
        assertThat(result.broken()).as(told(result)).isNull();
        assertThat(result.acknowledged()).isPositive();
    }

    @Test
    void holdsOverDrawnCourses() {
        RegistryCheck.Result result = RegistryCheck.drawn(1, 200, 40, RegistryPlant.NONE);
        assertThat(result.broken()).as(told(result)).isNull();
        assertThat(result.acknowledged()).isGreaterThan(200);
    }

    @ParameterizedTest
    @EnumSource(value = RegistryPlant.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void plantedDefectsAreFound(RegistryPlant plant) {
        assertThat(RegistryCheck.drawn(1, 400, 40, plant).broken()).isNotNull();
    }
}
