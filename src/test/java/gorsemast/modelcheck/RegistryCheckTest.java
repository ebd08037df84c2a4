package gorsemast.modelcheck;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.http.NettyLog;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Synced registries know what was acknowledged, in all short event sequences and random scenarios; defects are found. */
class RegistryCheckTest {
    @BeforeAll
    static void quiet() {
        NettyLog.install();
    }

    private static String told(RegistryCheck.Result result) {
        return result.violation() + "\n" + String.join("\n", result.eventLog());
    }

    @Test
    void holdsOverAllRowsOfTwo() {
        RegistryCheck.Result result = RegistryCheck.exhaustive(2, RegistryDefect.NONE);
        assertThat(result.violation()).as(told(result)).isNull();
        assertThat(result.acknowledged()).isPositive();
    }

    @Test
    void holdsOverDrawnCourses() {
        RegistryCheck.Result result = RegistryCheck.random(1, 200, 40, RegistryDefect.NONE);
        assertThat(result.violation()).as(told(result)).isNull();
        assertThat(result.acknowledged()).isGreaterThan(200);
    }

    @ParameterizedTest
    @EnumSource(value = RegistryDefect.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void plantedDefectsAreFound(RegistryDefect defect) {
        assertThat(RegistryCheck.random(1, 400, 40, defect).violation()).isNotNull();
    }
}
