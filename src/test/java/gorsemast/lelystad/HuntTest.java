package gorsemast.lelystad;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.exchange.NettyLog;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Drawn days of the whole network in virtual time, and planted defects that the referee has to find. */
class HuntTest {
    @BeforeAll
    static void quiet() {
        NettyLog.install();
    }

    @Test
    void noRuleIsBrokenOnDrawnDays() {
        Hunt.Result result = Hunt.run(3, 4, 1, 160, Plant.NONE, 1);
        assertThat(result.found()).extracting(found -> found.broken().getMessage() + found.day().asTest()).isEmpty();
        assertThat(result.days()).isEqualTo(160);
    }

    @Test
    void norWithFourCoreMachines() {
        Hunt.Result result = Hunt.run(4, 6, 5_000, 40, Plant.NONE, 1);
        assertThat(result.found()).extracting(found -> found.broken().getMessage() + found.day().asTest()).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(value = Plant.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void plantedDefectsAreFound(Plant plant) {
        assertThat(Hunt.run(3, 4, 1, 160, plant, 1).found()).isNotEmpty();
    }

    @Test
    void aDayIsTheSameFromTheSameSeedAndCutDownToWhatItTakes() {
        Hunt.Found found = Hunt.run(3, 4, 1, 60, Plant.SENDS_TO_LEAVING, 1).found().get(0);
        Hunt.Found least = Hunt.shortest(found, Plant.SENDS_TO_LEAVING);
        assertThat(least.broken().rule()).isEqualTo("DRAIN");
        assertThat(least.day().troubles().size()).isLessThanOrEqualTo(found.day().troubles().size());
        Hunt.Found again = Hunt.shortest(found, Plant.SENDS_TO_LEAVING);
        assertThat(again.story()).isEqualTo(least.story());
    }
}
