package gorsemast.cache;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.configuration.Route;
import gorsemast.gossip.GossipState;
import gorsemast.gossip.PurgeRequest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Where objects come from, with homes and servers that answer when the test says so. */
class FetchingTest implements ObjectSources<String> {
    private static final long TTL = 10_000_000;
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
            TTL);

    private record Later(long at, Runnable task) {}

    private record Asked(String edge, int hop, long step, HomeResponseListener<String> ending) {}

    private final GossipState board = new GossipState();
    private final ResponseCache shelf = new ResponseCache(1 << 20);
    private final HomeSelector homes = new HomeSelector("e0", "z");
    private final Deque<Asked> asked = new ArrayDeque<>();
    private final Deque<ServerResponseListener<String>> fetched = new ArrayDeque<>();
    private final List<Later> later = new ArrayList<>();
    private final List<String> told = new ArrayList<>();
    private long now = 100_000_000;
    private int fetchers = Integer.MAX_VALUE;
    private double perSecond = Double.POSITIVE_INFINITY;
    private FetchCoordinator<String> fetching;

    @BeforeEach
    void edges() {
        Map<String, String> all = new HashMap<>();
        for (int i = 0; i < 8; i++) {
            all.put("e" + i, "z");
        }
        homes.updateEdges(all);
        fetching = new FetchCoordinator<>(
                "e0", () -> now, shelf, homes, board, 5_000_000, Double.POSITIVE_INFINITY, 1, this);
    }

    /** An object whose home is this edge, or another one; and whether this edge is to fetch for others. */
    private ObjectRequest wanted(boolean here) {
        for (int i = 0; ; i++) {
            ObjectRequest what = new ObjectRequest(ROUTE, "h", "/o/" + i);
            if (homes.homeOf(now, what.key(), false).equals("e0") == here) {
                return what;
            }
        }
    }

    private void ask(ObjectRequest what, int hop) {
        fetching.request(what, hop, now + 1_000_000, new ObjectWaiter<>() {
            @Override
            public void onResponse(CachedResponse copy, boolean once) {
                told.add(once ? "once" : "here");
            }

            @Override
            public void onUncacheable(String answer) {
                told.add(answer);
            }

            @Override
            public void onRefused(long retryAfterMicros) {
                told.add("refused " + retryAfterMicros / 1_000_000);
            }

            @Override
            public void onFailed() {
                told.add("failed");
            }

            @Override
            public void onTooLong() {
                told.add("long");
            }

            @Override
            public void onStillFetching() {
                told.add("in hand");
            }
        });
    }

    /** Time passes, and what was to be done meanwhile is done. */
    private void pass(long micros) {
        now += micros;
        List<Later> due = later.stream().filter(one -> one.at <= now).toList();
        later.removeAll(due);
        due.forEach(one -> one.task.run());
    }

    private CachedResponse copy() {
        return new CachedResponse(200, List.of(), new byte[10], Set.of("red"), now, TTL);
    }

    @Test
    void allWhoAskMeanwhileHaveOneFetch() {
        ObjectRequest what = wanted(true);
        ask(what, FetchCoordinator.HOP_CLIENT);
        ask(what, FetchCoordinator.HOP_HOME);
        assertThat(fetched).hasSize(1);
        fetched.poll().onResponse(copy());
        assertThat(told).containsExactly("here", "here");
        assertThat(fetching.lookUp(what)).isNotNull();
    }

    @Test
    void whatWasAskedForBeforeAPurgeIsNotHeldAfterIt() {
        ObjectRequest what = wanted(true);
        ask(what, FetchCoordinator.HOP_CLIENT);
        fetching.applyPurge(new PurgeRequest("p", "", "", "red").toEntry(now));
        fetched.poll().onResponse(copy());
        assertThat(told).containsExactly("once");
        assertThat(fetching.lookUp(what)).isNull();
    }

    @Test
    void whoAsksAfterAPurgeByPathGetsAnotherFetch() {
        ObjectRequest what = wanted(true);
        ask(what, FetchCoordinator.HOP_CLIENT);
        fetching.applyPurge(new PurgeRequest("p", "h", what.uri(), "").toEntry(now));
        ask(what, FetchCoordinator.HOP_CLIENT);
        assertThat(fetched).hasSize(2);
        fetched.pollLast().onResponse(copy());
        assertThat(told).containsExactly("here");
        fetched.poll().onResponse(copy());
        assertThat(told).containsExactly("here", "once");
    }

    @Test
    void aHomeIsAskedWithWhatIsKnownOfPurgesAndPassedOverWhenSilent() {
        ObjectRequest what = wanted(false);
        board.merge(now, new PurgeRequest("p", "h", "/other", "").toEntry(now));
        ask(what, FetchCoordinator.HOP_CLIENT);
        Asked first = asked.poll();
        assertThat(first.hop).isEqualTo(FetchCoordinator.HOP_HOME);
        assertThat(first.step).isEqualTo(board.purgeDigest()).isNotZero();
        first.ending.onSilent(false);
        Asked second = asked.poll();
        assertThat(second.hop)
                .as("as all edges do that have passed the first over, so that they find one copy")
                .isEqualTo(FetchCoordinator.HOP_HOME);
        assertThat(second.edge).isNotEqualTo(first.edge);
        second.ending.onResponse(copy());
        assertThat(told).containsExactly("here");
        assertThat(homes.homeOf(now, what.key(), false)).isEqualTo(second.edge);
    }

    @Test
    void aHomeThatIsStillFetchingIsAskedAgainAndNotPassedOver() {
        ObjectRequest what = wanted(false);
        ask(what, FetchCoordinator.HOP_CLIENT);
        Asked first = asked.poll();
        for (int i = 0; i < 5; i++) {
            now += 100_000;
            first.ending.onStillFetching();
            assertThat(asked).hasSize(1);
            Asked again = asked.poll();
            assertThat(again.edge).isEqualTo(first.edge);
            first = again;
        }
        first.ending.onResponse(copy());
        assertThat(told).containsExactly("here");
        assertThat(homes.homeOf(now, what.key(), false)).isEqualTo(first.edge);
    }

    @Test
    void whoHasNoTimeToAskAgainIsToldToComeBack() {
        ask(wanted(false), FetchCoordinator.HOP_CLIENT);
        now += 980_000;
        asked.poll().ending.onStillFetching();
        assertThat(asked).isEmpty();
        assertThat(told).containsExactly("refused 0");
    }

    @Test
    void whoAsksAHomeIsAnsweredWithinItsTimeThoughTheFetchGoesOn() {
        ObjectRequest what = wanted(true);
        ask(what, FetchCoordinator.HOP_HOME);
        pass(900_000);
        assertThat(told).containsExactly("in hand");
        ask(what, FetchCoordinator.HOP_HOME);
        assertThat(fetched).as("it joins the same fetch").hasSize(1);
        fetched.poll().onResponse(copy());
        assertThat(told).containsExactly("in hand", "here");
        pass(2_000_000);
        assertThat(told).as("told once").hasSize(2);
    }

    @Test
    void aRightThatNothingWasSentForIsThereAgain() {
        perSecond = 3.4; // 16 in a window: two for each of eight edges, one of them within half a second
        now += 10_000_000;
        for (int i = 0; i < 20; i++) {
            ask(new ObjectRequest(ROUTE, "h", "/o/" + i), FetchCoordinator.HOP_FETCHER);
            assertThat(fetched).as("the right of the last one is free").hasSize(1);
            fetched.poll().onNotSent(1);
        }
        ask(new ObjectRequest(ROUTE, "h", "/o/sent"), FetchCoordinator.HOP_FETCHER);
        fetched.poll().onRefused(1);
        ask(new ObjectRequest(ROUTE, "h", "/o/after"), FetchCoordinator.HOP_FETCHER);
        assertThat(fetched).as("a server may have got that one").isEmpty();
    }

    @Test
    void whereFewFetchAHomeAsksOneOfThem() {
        fetchers = 2;
        assertThat(homes.isFetcher("s", 2))
                .as("what follows is about an edge that does not")
                .isFalse();
        ask(wanted(true), FetchCoordinator.HOP_HOME);
        Asked one = asked.poll();
        assertThat(one.hop).isEqualTo(FetchCoordinator.HOP_FETCHER);
        one.ending.onUnusable();
        Asked other = asked.poll();
        assertThat(other.hop)
                .as("not the servers, of which it has hardly a part")
                .isEqualTo(FetchCoordinator.HOP_FETCHER);
        other.ending.onResponse(copy());
        assertThat(told).containsExactly("here");
        ask(wanted(false), FetchCoordinator.HOP_FETCHER);
        assertThat(fetched).as("who is asked to fetch does").hasSize(1);
    }

    @Test
    void whoWaitsForAHomeDoesNotMakeTheHomeWait() {
        ObjectRequest what = wanted(false);
        ask(what, FetchCoordinator.HOP_CLIENT);
        assertThat(asked).hasSize(1);
        ask(what, FetchCoordinator.HOP_FETCHER);
        assertThat(fetched)
                .as("the home asks back, and is not to wait for itself")
                .hasSize(1);
        ask(what, FetchCoordinator.HOP_CLIENT);
        fetched.poll().onResponse(copy());
        assertThat(told).containsExactly("here", "here");
    }

    @Test
    void whatFindsNoRoomWaitsWithinItsAimAndIsThenToldWhen() {
        perSecond = 80; // ten a second for each of eight edges: 47 in a window, seven in half a second
        now += 10_000_000; // longer than a window after the start
        for (int i = 0; fetched.size() < 7; i++) {
            ask(new ObjectRequest(ROUTE, "h", "/o/" + i), FetchCoordinator.HOP_HOME);
        }
        ask(new ObjectRequest(ROUTE, "h", "/o/more"), FetchCoordinator.HOP_HOME);
        assertThat(told).as("half a second is more than a part of its aim").containsExactly("refused 0");
        pass(480_000);
        told.clear();
        ask(new ObjectRequest(ROUTE, "h", "/o/waits"), FetchCoordinator.HOP_HOME);
        assertThat(told).as("20 ms are not").isEmpty();
        assertThat(fetched).hasSize(7);
        pass(20_000);
        assertThat(fetched).hasSize(8);
    }

    @Override
    public void requestFromEdge(HomeRequest question, HomeResponseListener<String> ending) {
        asked.add(new Asked(question.edge(), question.hop(), question.purgeDigest(), ending));
    }

    @Override
    public boolean requestFromServers(
            String service, ObjectRequest what, long at, long giveUp, ServerResponseListener<String> ending) {
        fetched.add(ending);
        return true;
    }

    @Override
    public double serverRatePerSecond(String service) {
        return perSecond;
    }

    @Override
    public void schedule(long micros, Runnable task) {
        later.add(new Later(now + micros, task));
    }

    @Override
    public int fetcherCount(String service) {
        return fetchers;
    }
}
