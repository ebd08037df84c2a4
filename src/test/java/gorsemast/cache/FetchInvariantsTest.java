package gorsemast.cache;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.configuration.Route;
import gorsemast.gossip.GossipState;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each invariant's violation is detected when the sources break their contract. */
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
    private static final ObjectRequest OBJECT = new ObjectRequest(ROUTE, "h", "/o/1");

    private final List<ServerResponseListener<String>> serverRequests = new ArrayList<>();
    private long now = 100_000_000;
    private final FetchCoordinator<String> coordinator = new FetchCoordinator<>(
            "e",
            () -> now,
            new ResponseCache(1 << 20),
            new HomeSelector("e", "z"),
            new GossipState(),
            5_000_000,
            Double.POSITIVE_INFINITY,
            1,
            this);
    private int outcomes;

    @BeforeEach
    void advancePastTheFirstWindow() {
        now += 10_000_000; // a process that has just started counts its permits as spent by the previous process
    }

    private void request() {
        coordinator.request(OBJECT, FetchCoordinator.HOP_CLIENT, now + 1_000_000, new ObjectWaiter<>() {
            @Override
            public void onResponse(CachedResponse response, boolean purged) {
                outcomes++;
            }

            @Override
            public void onUncacheable(String answer) {
                outcomes++;
            }

            @Override
            public void onRefused(long retryAfterMicros) {
                outcomes++;
            }

            @Override
            public void onFailed() {
                outcomes++;
            }

            @Override
            public void onTooLong() {
                outcomes++;
            }

            @Override
            public void onStillFetching() {
                outcomes++;
            }
        });
    }

    private long violations(FetchInvariants.Violation violation) {
        coordinator.checkInvariants();
        return coordinator.invariants().count(violation);
    }

    @Test
    void secondAnswerIsDroppedAndCounted() {
        request();
        CachedResponse response = new CachedResponse(200, List.of(), new byte[1], Set.of(), now, 10_000_000);
        serverRequests.get(0).onResponse(response);
        assertThat(coordinator.invariants().total()).isZero();
        serverRequests.get(0).onFailed();
        assertThat(outcomes).isEqualTo(1);
        assertThat(violations(FetchInvariants.Violation.ENDED_TWICE)).isEqualTo(1);
        assertThat(coordinator.invariants().describe()).isEqualTo("ended twice 1");
    }

    @Test
    void fetchThatNeverEndsIsDetected() {
        request();
        now += 4_000_000;
        assertThat(violations(FetchInvariants.Violation.NEVER_ENDED)).isZero();
        now += 60_000_000;
        assertThat(violations(FetchInvariants.Violation.NEVER_ENDED))
                .as("a process that was suspended finds its timers late")
                .isZero();
        for (int i = 0; i < 30; i++) {
            coordinator.checkInvariants();
        }
        assertThat(violations(FetchInvariants.Violation.NEVER_ENDED)).isEqualTo(1);
    }

    @Test
    void unsettledPermitIsDetected() {
        coordinator.permits().tryAcquire("s");
        assertThat(violations(FetchInvariants.Violation.RIGHT_UNSETTLED)).isEqualTo(1);
    }

    @Override
    public void requestFromEdge(HomeRequest request, HomeResponseListener<String> listener) {
        throw new IllegalStateException("there is no other edge");
    }

    @Override
    public boolean requestFromServers(
            String service,
            ObjectRequest object,
            long requestedAt,
            long deadline,
            ServerResponseListener<String> listener) {
        serverRequests.add(listener);
        return true;
    }

    @Override
    public double serverRatePerSecond(String service) {
        return 100;
    }

    @Override
    public void schedule(long micros, Runnable task) {
        // no test waits
    }

    @Override
    public int fetcherCount(String service) {
        return Integer.MAX_VALUE;
    }
}
