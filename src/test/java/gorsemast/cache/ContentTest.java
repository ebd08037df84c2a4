package gorsemast.cache;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.gossip.PurgeRequest;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests cached responses and purges, homes that fail, and a limit that holds over any window. */
class ContentTest {
    private static final String KEY = ResponseCache.key("a.example", "/x/1");

    private static CachedResponse response(long requestedAt, String... tags) {
        return new CachedResponse(200, List.of(), new byte[1_000], Set.of(tags), requestedAt, 10_000_000);
    }

    @Test
    void responseIsFreshForItsTtlFromTheTimeOfItsRequest() {
        ResponseCache cache = new ResponseCache(1 << 20);
        cache.put(KEY, response(1_000_000));
        assertThat(cache.getFresh(10_999_999, KEY, 60_000_000)).isNotNull();
        assertThat(cache.getFresh(11_000_000, KEY, 60_000_000)).isNull();
        assertThat(cache.getFresh(3_000_000, KEY, 2_000_000))
                .as("the route's time to live became shorter")
                .isNull();
    }

    @Test
    void purgeMatchesResponsesRequestedBeforeIt() {
        ResponseCache cache = new ResponseCache(1 << 20);
        long before = cache.lastPurgeNumber();
        cache.purge(new PurgeRequest("p", "a.example", "/x/1", ""));
        long after = cache.lastPurgeNumber();
        cache.purge(new PurgeRequest("t", "", "", "red"));
        assertThat(cache.firstPurgeSince(before, KEY, response(0))).isEqualTo(before + 1);
        assertThat(cache.firstPurgeSince(before, KEY, response(0, "red")))
                .as("the earlier of two that match")
                .isEqualTo(before + 1);
        assertThat(cache.firstPurgeSince(after, KEY, response(0))).isEqualTo(ResponseCache.NO_PURGE);
        assertThat(cache.firstPurgeSince(after, KEY, response(0, "red"))).isEqualTo(after + 1);
        assertThat(cache.firstPurgeSince(cache.lastPurgeNumber(), KEY, response(0, "red")))
                .isEqualTo(ResponseCache.NO_PURGE);
        assertThat(cache.firstPurgeSince(before, ResponseCache.key("a.example", "/x/1?q"), response(0)))
                .as("with a query as well")
                .isEqualTo(before + 1);
        assertThat(cache.firstPurgeSince(before, ResponseCache.key("a.example", "/x/12"), response(0)))
                .isEqualTo(ResponseCache.NO_PURGE);
        for (int i = 0; i < 5_000; i++) {
            cache.purge(new PurgeRequest("n" + i, "b.example", "/" + i, ""));
        }
        assertThat(cache.firstPurgeSince(after, KEY, response(0)))
                .as("more purges than are remembered: any of them may match")
                .isEqualTo(after + 1);
    }

    @Test
    void cacheStaysWithinItsSizeAndIsPurgedByTag() {
        ResponseCache cache = new ResponseCache(100_000);
        for (int i = 0; i < 1_000; i++) {
            cache.put("k" + i, response(0, i % 2 == 0 ? "even" : "odd"));
            assertThat(cache.bytes()).isLessThanOrEqualTo(100_000);
        }
        cache.purge(new PurgeRequest("t", "", "", "even"));
        assertThat(cache.peek("k998")).isNull();
        assertThat(cache.peek("k999")).isNotNull();
        cache.removeExpired(20_000_000);
        assertThat(cache.bytes()).isZero();
    }

    @Test
    void failedHomeIsSkippedAndRetriedByOneRequestAtATime() {
        HomeSelector homes = new HomeSelector("self", "here");
        homes.updateEdges(Map.of("self", "there", "other", "here"));
        String key = java.util.stream.IntStream.range(0, 100)
                .mapToObj(i -> "k" + i)
                .filter(k -> homes.homeOf(0, k, false).equals("other"))
                .findFirst()
                .orElseThrow();
        homes.recordFailure(1_000_000, "other", 900_000);
        assertThat(homes.homeOf(1_100_000, key, false)).isEqualTo("self");
        assertThat(homes.homeOf(2_000_000, key, false)).as("one trial request").isEqualTo("other");
        assertThat(homes.homeOf(2_000_001, key, false)).as("only one").isEqualTo("self");
        homes.recordFailure(2_150_000, "other", 2_000_000);
        assertThat(homes.homeOf(2_700_000, key, false))
                .as("for longer after another failure")
                .isEqualTo("self");
        homes.recordAnswer(2_700_000, "other");
        assertThat(homes.homeOf(2_700_001, key, false)).isEqualTo("other");
    }

    @Test
    void homeThatAnswersOtherRequestsIsNotSilent() {
        HomeSelector homes = new HomeSelector("self", "here");
        homes.updateEdges(Map.of("self", "there", "other", "here"));
        homes.recordAnswer(1_500_000, "other");
        assertThat(homes.recordFailure(2_000_000, "other", 1_400_000)).isFalse();
        assertThat(homes.isSkipped(2_000_001, "other")).isFalse();
        assertThat(homes.recordFailure(2_000_000, "other", 1_500_000)).isTrue();
        assertThat(homes.isSkipped(2_000_001, "other")).isTrue();
    }

    @Test
    void homesPerZoneAreInTheOwnZone() {
        HomeSelector homes = new HomeSelector("self", "here");
        homes.updateEdges(Map.of("self", "here", "far", "there"));
        for (int i = 0; i < 50; i++) {
            assertThat(homes.homeOf(0, "k" + i, true)).isEqualTo("self");
        }
    }

    @Test
    void noWindowExceedsTheLimitAcrossARestart() {
        double edgeRate = 100.0 / 4;
        double permits = OriginPermits.permitsPerWindow(edgeRate, 5_000_000);
        long[] taken = new long[10_000];
        int count = 0;
        SlidingWindowLimiter limiter = new SlidingWindowLimiter(5_000_000, 0);
        for (long now = 20_000_000; now < 50_000_000; now += 7_000) {
            if (now == 20_000_000 + 7_000 * 2_000) {
                now += 800_000; // killed and restarted without any state
                limiter = new SlidingWindowLimiter(5_000_000, now);
            }
            boolean pause = now > 26_000_000 && now < 31_000_000; // then all at once, just before that process ends
            if (!pause && limiter.tryAcquire(now, permits, 0)) {
                taken[count++] = now;
            }
        }
        for (int i = 0; i < count; i++) {
            int from = i;
            long inWindow = java.util.Arrays.stream(taken, 0, count)
                    .filter(at -> at >= taken[from] && at < taken[from] + 5_000_000)
                    .count();
            assertThat((double) inWindow).as("from " + taken[from]).isLessThanOrEqualTo(edgeRate * 5 * 1.1);
        }
        assertThat(count).as("not much below the limit").isGreaterThan((int) (25 * edgeRate * 0.7));
    }

    @Test
    void refusalTellsWhenThePermitIsAvailable() {
        SlidingWindowLimiter limiter = new SlidingWindowLimiter(5_000_000, 0);
        long now = 100_000_000;
        long last = now;
        double permits = OriginPermits.permitsPerWindow(10, 5_000_000);
        for (; now < 104_000_000; now += 1_000) {
            last = limiter.tryAcquire(now, permits, 0) ? now : last;
        }
        long in = limiter.microsUntilAvailable(now, permits);
        assertThat(in).isBetween(1_000_000L, 2_000_000L);
        assertThat(limiter.tryAcquire(now + in - 600_000, permits, 0)).isFalse();
        assertThat(limiter.tryAcquire(now + in, permits, 0)).isTrue();
    }

    @Test
    void timeoutFollowsResponseTimes() {
        ResponseTimeoutEstimator estimator = new ResponseTimeoutEstimator();
        for (int i = 0; i < 100; i++) {
            estimator.recordResponse(5_000);
        }
        assertThat(estimator.timeoutMicros(0)).isEqualTo(ResponseTimeoutEstimator.MIN_MICROS);
        for (int i = 0; i < 100; i++) {
            estimator.recordResponse(i % 2 == 0 ? 20_000 : 200_000);
        }
        assertThat(estimator.timeoutMicros(0)).isEqualTo(ResponseTimeoutEstimator.MAX_MICROS);
        assertThat(new ResponseTimeoutEstimator().timeoutMicros(600_000))
                .as("a home that fetches is waited for while its answer is useful")
                .isEqualTo(720_000);
    }

    @Test
    void allEdgesAgreeOnFetchersAsHomes() {
        Map<String, String> edges = new java.util.HashMap<>();
        for (int i = 0; i < 40; i++) {
            edges.put("e" + i, "z" + i % 3);
        }
        java.util.Set<String> homes = new java.util.HashSet<>();
        for (int k = 0; k < 400; k++) {
            java.util.Set<String> selected = new java.util.HashSet<>();
            for (String edge : edges.keySet()) {
                HomeSelector mine = new HomeSelector(edge, edges.get(edge));
                mine.updateEdges(edges);
                selected.add(mine.homeOf(0, "k" + k, false, "objects", 10));
            }
            assertThat(selected).as("all agree on k" + k).hasSize(1);
            homes.addAll(selected);
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
