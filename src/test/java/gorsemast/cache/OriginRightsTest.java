package gorsemast.cache;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how the servers' rate is divided among the edges. */
class OriginRightsTest {
    private static final long WINDOW = 5_000_000;

    private static long sum(int edges, int fetcherCount, double ratePerSecond) {
        Map<String, String> all = new HashMap<>();
        for (int i = 0; i < edges; i++) {
            all.put("10.0.0." + i, "z" + i % 3);
        }
        long sum = 0;
        for (Map.Entry<String, String> edge : all.entrySet()) {
            HomeSelector homes = new HomeSelector(edge.getKey(), edge.getValue());
            homes.updateEdges(all);
            OriginPermits permits = new OriginPermits(
                    () -> 100_000_000L, homes, WINDOW, service -> ratePerSecond, service -> fetcherCount);
            sum += permits.permitShare("objects");
        }
        return sum;
    }

    @ParameterizedTest
    @CsvSource({
        "15, 15, 19.1",
        "85, 85, 126",
        "65, 65, 210",
        "15, 2, 19.1",
        "85, 15, 126",
        "16, 15, 15.7",
        "300, 119, 119",
        "300, 50, 60",
        "500, 500, 100",
        "7, 7, 0.1"
    })
    void sharesOfAllEdgesAddUpToTheServersRate(int edges, int fetcherCount, double ratePerSecond) {
        long total = Math.max(1, (long) OriginPermits.permitsPerWindow(ratePerSecond, WINDOW));
        assertThat(sum(edges, fetcherCount, ratePerSecond)).isEqualTo(total);
    }

    @Test
    void nonFetchersGetNoMorePermitsThanFetchers() {
        Map<String, String> all = new HashMap<>();
        for (int i = 0; i < 16; i++) {
            all.put("10.0.0." + i, "z");
        }
        for (String edge : all.keySet()) {
            HomeSelector homes = new HomeSelector(edge, "z");
            homes.updateEdges(all);
            OriginPermits permits =
                    new OriginPermits(() -> 100_000_000L, homes, WINDOW, service -> 15.7, service -> 15);
            boolean isFetcher = homes.isFetcher("objects", 15);
            assertThat(permits.permitShare("objects")).isBetween(isFetcher ? 4L : 0L, isFetcher ? 5L : 1L);
        }
    }

    @Test
    void shareShrinksAtOnceAndGrowsToItsLowestEntitlementOfAWindow() {
        SlowGrowingShare share = new SlowGrowingShare(WINDOW);
        assertThat(share.update(0, 10)).isEqualTo(10);
        assertThat(share.update(1, 4)).isEqualTo(4);
        assertThat(share.update(2, 10)).isEqualTo(4);
        assertThat(share.update(WINDOW / 2, 6)).isEqualTo(4);
        assertThat(share.update(WINDOW, 9)).isEqualTo(4);
        assertThat(share.update(WINDOW + 2, 9)).isEqualTo(6);
        assertThat(share.update(WINDOW + 3, 9)).isEqualTo(6);
        assertThat(share.update(WINDOW + 4, 6))
                .as("the increase did not last for a window")
                .isEqualTo(6);
        assertThat(share.update(2 * WINDOW + 4, 9)).isEqualTo(6);
        assertThat(share.update(3 * WINDOW + 4, 9)).isEqualTo(9);
    }

    @Test
    void releasedPermitCanBeTakenAgainOnce() {
        long[] now = {100_000_000};
        OriginPermits permits = permitsOfOneEdge(now);
        now[0] += 2 * WINDOW;
        OriginPermits.Permit first = permits.tryAcquire("objects");
        assertThat(first).isNotNull();
        assertThat(permits.tryAcquire("objects")).as("one per half second").isNull();
        first.release();
        first.release();
        assertThat(permits.tryAcquire("objects")).isNotNull();
        assertThat(permits.tryAcquire("objects")).isNull();
    }

    @Test
    void permitReleasedAfterItsWindowFreesNothing() {
        long[] now = {100_000_000};
        OriginPermits permits = permitsOfOneEdge(now);
        now[0] += 2 * WINDOW;
        OriginPermits.Permit first = permits.tryAcquire("objects");
        now[0] += 11 * WINDOW / 10; // the step that now occupies its slot in the ring
        assertThat(permits.tryAcquire("objects")).isNotNull();
        first.release();
        now[0] += WINDOW / 10;
        assertThat(permits.tryAcquire("objects")).isNotNull();
        now[0] += WINDOW / 10;
        assertThat(permits.tryAcquire("objects"))
                .as("two per window are the limit")
                .isNull();
    }

    private static OriginPermits permitsOfOneEdge(long[] now) {
        return new OriginPermits(() -> now[0], new HomeSelector("e", "z"), WINDOW, service -> 0.5, service -> 1);
    }
}
