package gorsemast.cache;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.gossip.PurgeRequest;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Copies and purges, homes that fail, and a ceiling that holds over any window. */
class ContentTest {
    private static final String KEY = ResponseCache.key("a.example", "/x/1");

    private static CachedResponse copy(long asked, String... tags) {
        return new CachedResponse(200, List.of(), new byte[1_000], Set.of(tags), asked, 10_000_000);
    }

    @Test
    void aCopyIsServedForItsTimeFromWhenItWasAskedFor() {
        ResponseCache shelf = new ResponseCache(1 << 20);
        shelf.put(KEY, copy(1_000_000));
        assertThat(shelf.getFresh(10_999_999, KEY, 60_000_000)).isNotNull();
        assertThat(shelf.getFresh(11_000_000, KEY, 60_000_000)).isNull();
        assertThat(shelf.getFresh(3_000_000, KEY, 2_000_000))
                .as("the route's time became shorter")
                .isNull();
    }

    @Test
    void aPurgeHoldsAgainstWhatWasAskedForBeforeIt() {
        ResponseCache shelf = new ResponseCache(1 << 20);
        long before = shelf.lastPurgeNumber();
        shelf.purge(new PurgeRequest("p", "a.example", "/x/1", ""));
        long after = shelf.lastPurgeNumber();
        shelf.purge(new PurgeRequest("t", "", "", "red"));
        assertThat(shelf.purgedSince(before, KEY, copy(0))).isTrue();
        assertThat(shelf.purgedSince(after, KEY, copy(0))).isFalse();
        assertThat(shelf.purgedSince(after, KEY, copy(0, "red"))).isTrue();
        assertThat(shelf.purgedSince(shelf.lastPurgeNumber(), KEY, copy(0, "red")))
                .isFalse();
        assertThat(shelf.purgedSince(before, ResponseCache.key("a.example", "/x/1?q"), copy(0)))
                .as("with a query too")
                .isTrue();
        assertThat(shelf.purgedSince(before, ResponseCache.key("a.example", "/x/12"), copy(0)))
                .isFalse();
        for (int i = 0; i < 5_000; i++) {
            shelf.purge(new PurgeRequest("n" + i, "b.example", "/" + i, ""));
        }
        assertThat(shelf.purgedSince(after, KEY, copy(0)))
                .as("more purges than are remembered")
                .isTrue();
    }

    @Test
    void copiesAreHeldWithinTheirRoomAndPurgedByTag() {
        ResponseCache shelf = new ResponseCache(100_000);
        for (int i = 0; i < 1_000; i++) {
            shelf.put("k" + i, copy(0, i % 2 == 0 ? "even" : "odd"));
            assertThat(shelf.bytes()).isLessThanOrEqualTo(100_000);
        }
        shelf.purge(new PurgeRequest("t", "", "", "even"));
        assertThat(shelf.peek("k998")).isNull();
        assertThat(shelf.peek("k999")).isNotNull();
        shelf.removeExpired(20_000_000);
        assertThat(shelf.bytes()).isZero();
    }

    @Test
    void aHomeThatFailsIsPassedOverAndTriedByOneRequestAtATime() {
        HomeSelector homes = new HomeSelector("self", "here");
        homes.updateEdges(Map.of("self", "there", "other", "here"));
        String key = java.util.stream.IntStream.range(0, 100)
                .mapToObj(i -> "k" + i)
                .filter(k -> homes.homeOf(0, k, false).equals("other"))
                .findFirst()
                .orElseThrow();
        homes.recordFailure(1_000_000, "other", 900_000);
        assertThat(homes.homeOf(1_100_000, key, false)).isEqualTo("self");
        assertThat(homes.homeOf(2_000_000, key, false)).as("a trial").isEqualTo("other");
        assertThat(homes.homeOf(2_000_001, key, false)).as("and only one").isEqualTo("self");
        homes.recordFailure(2_150_000, "other", 2_000_000);
        assertThat(homes.homeOf(2_700_000, key, false))
                .as("for longer after another failure")
                .isEqualTo("self");
        homes.recordAnswer(2_700_000, "other");
        assertThat(homes.homeOf(2_700_001, key, false)).isEqualTo("other");
    }

    @Test
    void aHomeThatAnswersOthersMeanwhileIsSlowAndNotSilent() {
        HomeSelector homes = new HomeSelector("self", "here");
        homes.updateEdges(Map.of("self", "there", "other", "here"));
        homes.recordAnswer(1_500_000, "other");
        assertThat(homes.recordFailure(2_000_000, "other", 1_400_000)).isFalse();
        assertThat(homes.isSkipped(2_000_001, "other")).isFalse();
        assertThat(homes.recordFailure(2_000_000, "other", 1_500_000)).isTrue();
        assertThat(homes.isSkipped(2_000_001, "other")).isTrue();
    }

    @Test
    void aZonesHomesAreInTheZone() {
        HomeSelector homes = new HomeSelector("self", "here");
        homes.updateEdges(Map.of("self", "here", "far", "there"));
        for (int i = 0; i < 50; i++) {
            assertThat(homes.homeOf(0, "k" + i, true)).isEqualTo("self");
        }
    }

    @Test
    void noWindowHoldsMoreThanTheCeilingThroughAnotherLifeToo() {
        double part = 100.0 / 4;
        double rights = OriginPermits.permitsPerWindow(part, 5_000_000);
        long[] taken = new long[10_000];
        int count = 0;
        SlidingWindowLimiter ceiling = new SlidingWindowLimiter(5_000_000, 0);
        for (long now = 20_000_000; now < 50_000_000; now += 7_000) {
            if (now == 20_000_000 + 7_000 * 2_000) {
                now += 800_000; // killed, and back, and it has forgotten all
                ceiling = new SlidingWindowLimiter(5_000_000, now);
            }
            boolean pause = now > 26_000_000 && now < 31_000_000; // then all at once, just before the end of that life
            if (!pause && ceiling.tryAcquire(now, rights, false)) {
                taken[count++] = now;
            }
        }
        for (int i = 0; i < count; i++) {
            int from = i;
            long inWindow = java.util.Arrays.stream(taken, 0, count)
                    .filter(at -> at >= taken[from] && at < taken[from] + 5_000_000)
                    .count();
            assertThat((double) inWindow).as("from " + taken[from]).isLessThanOrEqualTo(part * 5 * 1.1);
        }
        assertThat(count).as("and not much less than it").isGreaterThan((int) (25 * part * 0.7));
    }

    @Test
    void whoIsRefusedIsToldWhenThereIsRoom() {
        SlidingWindowLimiter ceiling = new SlidingWindowLimiter(5_000_000, 0);
        long now = 100_000_000;
        long last = now;
        double rights = OriginPermits.permitsPerWindow(10, 5_000_000);
        for (; now < 104_000_000; now += 1_000) {
            last = ceiling.tryAcquire(now, rights, false) ? now : last;
        }
        long in = ceiling.microsUntilAvailable(now, rights);
        assertThat(in).isBetween(1_000_000L, 2_000_000L);
        assertThat(ceiling.tryAcquire(now + in - 600_000, rights, false)).isFalse();
        assertThat(ceiling.tryAcquire(now + in, rights, false)).isTrue();
    }

    @Test
    void patienceFollowsWhatAnswersTake() {
        ResponseTimeoutEstimator patience = new ResponseTimeoutEstimator();
        for (int i = 0; i < 100; i++) {
            patience.recordResponse(5_000);
        }
        assertThat(patience.timeoutMicros(0)).isEqualTo(ResponseTimeoutEstimator.MIN_MICROS);
        for (int i = 0; i < 100; i++) {
            patience.recordResponse(i % 2 == 0 ? 20_000 : 200_000);
        }
        assertThat(patience.timeoutMicros(0)).isEqualTo(ResponseTimeoutEstimator.MAX_MICROS);
        assertThat(new ResponseTimeoutEstimator().timeoutMicros(600_000))
                .as("a home that fetches is waited for while that is of use")
                .isEqualTo(720_000);
    }

    @Test
    void whereFewFetchTheyAreTheHomesOfAllAndAllAgree() {
        Map<String, String> edges = new java.util.HashMap<>();
        for (int i = 0; i < 40; i++) {
            edges.put("e" + i, "z" + i % 3);
        }
        java.util.Set<String> homes = new java.util.HashSet<>();
        for (int k = 0; k < 400; k++) {
            java.util.Set<String> told = new java.util.HashSet<>();
            for (String edge : edges.keySet()) {
                HomeSelector mine = new HomeSelector(edge, edges.get(edge));
                mine.updateEdges(edges);
                told.add(mine.homeOf(0, "k" + k, false, "objects", 10));
            }
            assertThat(told).as("all agree on k" + k).hasSize(1);
            homes.addAll(told);
        }
        assertThat(homes).hasSize(10);
        long fetching = edges.keySet().stream()
                .filter(edge -> {
                    HomeSelector mine = new HomeSelector(edge, "z0");
                    mine.updateEdges(edges);
                    return mine.isFetcher("objects", 10);
                })
                .count();
        assertThat(fetching).isEqualTo(10);
    }
}
