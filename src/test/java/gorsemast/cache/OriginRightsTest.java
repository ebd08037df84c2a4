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
            Homes homes = new Homes(edge.getKey(), edge.getValue());
            homes.edges(all);
            OriginRights rights =
                    new OriginRights(() -> 100_000_000L, homes, WINDOW, service -> perSecond, service -> fetchers);
            sum += rights.part("objects");
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
        long whole = Math.max(1, (long) OriginRights.whole(perSecond, WINDOW));
        assertThat(sum(edges, fetchers, perSecond)).isEqualTo(whole);
    }

    @Test
    void theFewThatDoNotFetchHaveNoMoreThanThoseThatDo() {
        Map<String, String> all = new HashMap<>();
        for (int i = 0; i < 16; i++) {
            all.put("10.0.0." + i, "z");
        }
        for (String edge : all.keySet()) {
            Homes homes = new Homes(edge, "z");
            homes.edges(all);
            OriginRights rights = new OriginRights(() -> 100_000_000L, homes, WINDOW, service -> 15.7, service -> 15);
            boolean fetches = homes.fetches("objects", 15);
            assertThat(rights.part("objects")).isBetween(fetches ? 4L : 0L, fetches ? 5L : 1L);
        }
    }

    @Test
    void aPartShrinksAtOnceAndGrowsToWhatItWasEntitledToAllTheWhile() {
        GrowingPart part = new GrowingPart(WINDOW);
        assertThat(part.of(0, 10)).isEqualTo(10);
        assertThat(part.of(1, 4)).isEqualTo(4);
        assertThat(part.of(2, 10)).isEqualTo(4);
        assertThat(part.of(WINDOW / 2, 6)).isEqualTo(4);
        assertThat(part.of(WINDOW, 9)).isEqualTo(4);
        assertThat(part.of(WINDOW + 2, 9)).isEqualTo(6);
        assertThat(part.of(WINDOW + 3, 9)).isEqualTo(6);
        assertThat(part.of(WINDOW + 4, 6)).as("it has not held").isEqualTo(6);
        assertThat(part.of(2 * WINDOW + 4, 9)).isEqualTo(6);
        assertThat(part.of(3 * WINDOW + 4, 9)).isEqualTo(9);
    }

    @Test
    void whatIsGivenBackCanBeTakenAgainOnce() {
        long[] now = {100_000_000};
        OriginRights rights = one(now);
        now[0] += 2 * WINDOW;
        OriginRights.Right first = rights.take("objects", false);
        assertThat(first).isNotNull();
        assertThat(rights.take("objects", false)).as("one in half a second").isNull();
        first.giveBack();
        first.giveBack();
        assertThat(rights.take("objects", false)).isNotNull();
        assertThat(rights.take("objects", false)).isNull();
    }

    @Test
    void whatIsGivenBackLongAfterwardsMakesNoRoom() {
        long[] now = {100_000_000};
        OriginRights rights = one(now);
        now[0] += 2 * WINDOW;
        OriginRights.Right first = rights.take("objects", false);
        now[0] += 11 * WINDOW / 10; // the step that has its place in the ring now
        assertThat(rights.take("objects", false)).isNotNull();
        first.giveBack();
        now[0] += WINDOW / 10;
        assertThat(rights.take("objects", false)).isNotNull();
        now[0] += WINDOW / 10;
        assertThat(rights.take("objects", false)).as("two in a window are all").isNull();
    }

    private static OriginRights one(long[] now) {
        return new OriginRights(() -> now[0], new Homes("e", "z"), WINDOW, service -> 0.5, service -> 1);
    }
}
