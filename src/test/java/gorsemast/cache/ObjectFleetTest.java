package gorsemast.cache;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.cache.ObjectFleet.Result;
import gorsemast.cache.ObjectFleet.Setup;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Compares what a fleet of edges serves with what one shared cache would serve. */
class ObjectFleetTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void fleetServesNearlyAsMuchAsOneSharedCache(long seed) {
        Setup setup = Setup.scaledDown(seed);
        Result fleet = ObjectFleet.simulate(setup);
        Result sharedCache = ObjectFleet.simulateSharedCache(setup);
        assertThat(fleet.servedRatio())
                .as("%s compared with %s", fleet, sharedCache)
                .isGreaterThan(0.9 * sharedCache.servedRatio());
        assertThat(fleet.inTargetRatio())
                .as("within the target latency, %s", fleet)
                .isGreaterThan(0.75 * sharedCache.servedRatio());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void unsentRequestsConsumeNoServerCapacity(long seed) {
        Setup setup = Setup.scaledDown(seed).withUnsent(0.3);
        Result fleet = ObjectFleet.simulate(setup);
        Result sharedCache = ObjectFleet.simulateSharedCache(setup);
        assertThat(fleet.serverRequests())
                .as("%s compared with %s", fleet, sharedCache)
                .isGreaterThan((long) (0.9 * sharedCache.serverRequests()));
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, 0.2, 0.59, 0.8})
    void noWindowExceedsTheServersRate(double killedRatio) {
        Setup fullSize = Setup.scaledDown(5).fullSize().withKilled(killedRatio);
        for (Setup setup :
                List.of(Setup.scaledDown(4).withKilled(killedRatio), fullSize, fullSize.withServerRate(0.4))) {
            Result fleet = ObjectFleet.simulate(setup);
            assertThat(fleet.violations()).as("%s", fleet).isZero();
            assertThat((double) fleet.maxInWindow())
                    .as("%s", fleet)
                    .isLessThanOrEqualTo(setup.serverRatePerSecond() * 5);
        }
    }

    /** With one home, the transfers of a popular object to all edges would saturate that home's link. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void popularLargeObjectsDoNotSaturateOneLink(long seed) {
        Setup setup = Setup.popularObjects(seed);
        Result fleet = ObjectFleet.simulate(setup);
        Result single = ObjectFleet.simulate(setup.withoutSpreading());
        assertThat(fleet.busiestLink())
                .as("%s compared with %s", fleet, single)
                .isLessThan(0.95 * single.busiestLink());
        assertThat(fleet.inTargetRatio())
                .as("%s compared with %s", fleet, single)
                .isGreaterThan(single.inTargetRatio());
        assertThat(fleet.skippedEdges()).as("edges considered silent").isLessThan(single.skippedEdges());
    }
}
