package gorsemast.cache;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.configuration.Route;
import gorsemast.gossip.GossipState;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each invariant is found violated where what carries requests out breaks its word. */
class FetchInvariantsTest implements ObjectSources<String> {
    private static final Route ROUTE = new Route(
            "r",
            "h",
            "/o/",
            Route.Kind.CACHEABLE,
            1_500_000,
            200_000,
            1,
            List.of(new Route.WeightedService("s", 1)),
            2,
            10_000_000);
    private static final ObjectRequest WANTED = new ObjectRequest(ROUTE, "h", "/o/1");

    private final List<ServerResponseListener<String>> fetched = new ArrayList<>();
    private long now = 100_000_000;
    private final FetchCoordinator<String> fetching = new FetchCoordinator<>(
            "e",
            () -> now,
            new ResponseCache(1 << 20),
            new HomeSelector("e", "z"),
            new GossipState(),
            5_000_000,
            Double.POSITIVE_INFINITY,
            1,
            this);
    private int told;

    @BeforeEach
    void longAfterTheStart() {
        now += 10_000_000; // a process that has just started counts as if its last life had spent its rights
    }

    private void ask() {
        fetching.request(WANTED, FetchCoordinator.HOP_CLIENT, now + 1_000_000, new ObjectWaiter<>() {
            @Override
            public void onResponse(CachedResponse copy, boolean once) {
                told++;
            }

            @Override
            public void onUncacheable(String answer) {
                told++;
            }

            @Override
            public void onRefused(long retryAfterMicros) {
                told++;
            }

            @Override
            public void onFailed() {
                told++;
            }

            @Override
            public void onTooLong() {
                told++;
            }

            @Override
            public void onStillFetching() {
                told++;
            }
        });
    }

    private long violations(FetchInvariants.Violation what) {
        fetching.checkInvariants();
        return fetching.invariants().count(what);
    }

    @Test
    void aSecondAnswerIsDroppedAndCounted() {
        ask();
        CachedResponse copy = new CachedResponse(200, List.of(), new byte[1], Set.of(), now, 10_000_000);
        fetched.get(0).onResponse(copy);
        assertThat(fetching.invariants().total()).isZero();
        fetched.get(0).onFailed();
        assertThat(told).isEqualTo(1);
        assertThat(violations(FetchInvariants.Violation.ENDED_TWICE)).isEqualTo(1);
        assertThat(fetching.invariants().describe()).isEqualTo("ended twice 1");
    }

    @Test
    void aFetchThatNeverEndsIsFound() {
        ask();
        now += 4_000_000;
        assertThat(violations(FetchInvariants.Violation.NEVER_ENDED)).isZero();
        now += 60_000_000;
        assertThat(violations(FetchInvariants.Violation.NEVER_ENDED))
                .as("a process that was stopped has its timers late")
                .isZero();
        for (int i = 0; i < 30; i++) {
            fetching.checkInvariants();
        }
        assertThat(violations(FetchInvariants.Violation.NEVER_ENDED)).isEqualTo(1);
    }

    @Test
    void aRightThatIsNotSettledIsFound() {
        fetching.permits().tryAcquire("s", false);
        assertThat(violations(FetchInvariants.Violation.RIGHT_UNSETTLED)).isEqualTo(1);
    }

    @Override
    public void requestFromEdge(HomeRequest question, HomeResponseListener<String> ending) {
        throw new IllegalStateException("the only edge");
    }

    @Override
    public boolean requestFromServers(
            String service, ObjectRequest what, long asked, long giveUp, ServerResponseListener<String> ending) {
        fetched.add(ending);
        return true;
    }

    @Override
    public double serverRatePerSecond(String service) {
        return 100;
    }

    @Override
    public void schedule(long micros, Runnable task) {
        // nothing waits here
    }

    @Override
    public int fetcherCount(String service) {
        return Integer.MAX_VALUE;
    }
}
