package gorsemast.cache;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How what servers bear is dealt out to edges. */
class OriginRightsTest {
    private static final long WINDOW = 5_000_000;

    private static long sum(int edges, int fetchers, double perSecond) {
        Map<String, String> all = new HashMap<>();
        for (int i = 0; i < edges; i++) {
            all.put("10.0.0." + i, "z" + i % 3);
        }
        long sum = 0;
        for (Map.Entry<String, String> edge : all.entrySet()) {
            HomeSelector homes = new HomeSelector(edge.getKey(), edge.getValue());
            homes.updateEdges(all);
            OriginPermits rights =
                    new OriginPermits(() -> 100_000_000L, homes, WINDOW, service -> perSecond, service -> fetchers);
            sum += rights.permitShare("objects");
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
    void thePartsOfAllEdgesAreWhatServersBear(int edges, int fetchers, double perSecond) {
        long whole = Math.max(1, (long) OriginPermits.permitsPerWindow(perSecond, WINDOW));
        assertThat(sum(edges, fetchers, perSecond)).isEqualTo(whole);
    }

    @Test
    void theFewThatDoNotFetchHaveNoMoreThanThoseThatDo() {
        Map<String, String> all = new HashMap<>();
        for (int i = 0; i < 16; i++) {
            all.put("10.0.0." + i, "z");
        }
        for (String edge : all.keySet()) {
            HomeSelector homes = new HomeSelector(edge, "z");
            homes.updateEdges(all);
            OriginPermits rights = new OriginPermits(() -> 100_000_000L, homes, WINDOW, service -> 15.7, service -> 15);
            boolean fetches = homes.isFetcher("objects", 15);
            assertThat(rights.permitShare("objects")).isBetween(fetches ? 4L : 0L, fetches ? 5L : 1L);
        }
    }

    @Test
    void aPartShrinksAtOnceAndGrowsToWhatItWasEntitledToAllTheWhile() {
        SlowGrowingShare part = new SlowGrowingShare(WINDOW);
        assertThat(part.update(0, 10)).isEqualTo(10);
        assertThat(part.update(1, 4)).isEqualTo(4);
        assertThat(part.update(2, 10)).isEqualTo(4);
        assertThat(part.update(WINDOW / 2, 6)).isEqualTo(4);
        assertThat(part.update(WINDOW, 9)).isEqualTo(4);
        assertThat(part.update(WINDOW + 2, 9)).isEqualTo(6);
        assertThat(part.update(WINDOW + 3, 9)).isEqualTo(6);
        assertThat(part.update(WINDOW + 4, 6)).as("it has not held").isEqualTo(6);
        assertThat(part.update(2 * WINDOW + 4, 9)).isEqualTo(6);
        assertThat(part.update(3 * WINDOW + 4, 9)).isEqualTo(9);
    }

    @Test
    void whatIsGivenBackCanBeTakenAgainOnce() {
        long[] now = {100_000_000};
        OriginPermits rights = one(now);
        now[0] += 2 * WINDOW;
        OriginPermits.Permit first = rights.tryAcquire("objects", false);
        assertThat(first).isNotNull();
        assertThat(rights.tryAcquire("objects", false))
                .as("one in half a second")
                .isNull();
        first.release();
        first.release();
        assertThat(rights.tryAcquire("objects", false)).isNotNull();
        assertThat(rights.tryAcquire("objects", false)).isNull();
    }

    @Test
    void whatIsGivenBackLongAfterwardsMakesNoRoom() {
        long[] now = {100_000_000};
        OriginPermits rights = one(now);
        now[0] += 2 * WINDOW;
        OriginPermits.Permit first = rights.tryAcquire("objects", false);
        now[0] += 11 * WINDOW / 10; // the step that has its place in the ring now
        assertThat(rights.tryAcquire("objects", false)).isNotNull();
        first.release();
        now[0] += WINDOW / 10;
        assertThat(rights.tryAcquire("objects", false)).isNotNull();
        now[0] += WINDOW / 10;
        assertThat(rights.tryAcquire("objects", false))
                .as("two in a window are all")
                .isNull();
    }

    private static OriginPermits one(long[] now) {
        return new OriginPermits(() -> now[0], new HomeSelector("e", "z"), WINDOW, service -> 0.5, service -> 1);
    }
}
