package gorsemast.simulation;

import static org.assertj.core.api.Assertions.assertThatCode;

import gorsemast.http.NettyLog;
import java.util.List;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * STALE, CONFIG, DRAIN: an edge whose only link led to a partitioned registry stayed there, served purged copies and
 * dropped routes, and sent to servers that were leaving.
 */
class CutOffRegistryTest {
    private static final long SECOND = 1_000_000;

    @BeforeAll
    static void quiet() {
        NettyLog.install();
    }

    private static Fault fault(Fault.Kind kind, long at, long span, int pick) {
        return new Fault(kind, at, span, pick);
    }

    /** One of three core machines is partitioned, frozen or reached one way while everything changes. */
    @ParameterizedTest
    @CsvSource({
        "CUT_CORE,0",
        "CUT_CORE,1",
        "CUT_CORE,2",
        "CUT_ONE_WAY,0",
        "CUT_ONE_WAY,1",
        "CUT_ONE_WAY_IN,0",
        "CUT_ONE_WAY_IN,1",
        "CUT_LEADER,0",
        "FREEZE_CORE,0",
        "FREEZE_CORE,1",
        "FREEZE_CORE,2"
    })
    void edgesFollowTheMajority(Fault.Kind kind, int pick) {
        for (long seed = 1; seed <= 8; seed++) {
            Scenario scenario = new Scenario(
                    3,
                    6,
                    seed,
                    24 * SECOND,
                    List.of(
                            fault(kind, 2 * SECOND, 8 * SECOND, pick),
                            fault(Fault.Kind.PURGE_STORM, 2 * SECOND + 200_000, 6 * SECOND, 1),
                            fault(Fault.Kind.CONFIG, 2 * SECOND + 300_000, 0, 0),
                            fault(Fault.Kind.DRAIN, 2 * SECOND + 400_000, 0, 0),
                            fault(kind, 14 * SECOND, 8 * SECOND, pick + 1),
                            fault(Fault.Kind.PURGE_STORM, 14 * SECOND + 200_000, 6 * SECOND, 1),
                            fault(Fault.Kind.CONFIG, 14 * SECOND + 300_000, 0, 0)),
                    Fault.Closing.NONE);
            assertThatCode(() -> scenario.run(InjectedDefect.NONE))
                    .as(scenario.toTestCode())
                    .doesNotThrowAnyException();
        }
    }
}
