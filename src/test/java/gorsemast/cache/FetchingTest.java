package gorsemast.cache;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.cache.Fetching.FromHome;
import gorsemast.cache.Fetching.FromServers;
import gorsemast.cache.Fetching.Wanted;
import gorsemast.configuration.Route;
import gorsemast.gossip.GossipState;
import gorsemast.gossip.PurgeNews;
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
class FetchingTest implements Fetching.Ways<String> {
    private static final long TTL = 10_000_000;
    private static final Route ROUTE = new Route(
            "r", "h", "/o/", Route.Kind.CACHEABLE, 1_500_000, 200_000, 1, List.of(new Route.Weighted("s", 1)), 2, TTL);

    private record Asked(String edge, int hop, long step, FromHome<String> ending) {}

    private final GossipState board = new GossipState();
    private final CopyCache shelf = new CopyCache(1 << 20);
    private final Homes homes = new Homes("e0", "z");
    private final Deque<Asked> asked = new ArrayDeque<>();
    private final Deque<FromServers<String>> fetched = new ArrayDeque<>();
    private final Deque<Runnable> later = new ArrayDeque<>();
    private final List<String> told = new ArrayList<>();
    private long now = 100_000_000;
    private int fetchers = Integer.MAX_VALUE;
    private double perSecond = Double.POSITIVE_INFINITY;
    private Fetching<String> fetching;

    @BeforeEach
    void edges() {
        Map<String, String> all = new HashMap<>();
        for (int i = 0; i < 8; i++) {
            all.put("e" + i, "z");
        }
        homes.edges(all);
        fetching = new Fetching<>("e0", () -> now, shelf, homes, board, 5_000_000, 1, this);
    }

    /** An object whose home is this edge, or another one; and whether this edge is to fetch for others. */
    private Wanted wanted(boolean here) {
        for (int i = 0; ; i++) {
            Wanted what = new Wanted(ROUTE, "h", "/o/" + i);
            if (homes.of(now, what.key(), false).equals("e0") == here) {
                return what;
            }
        }
    }

    private void ask(Wanted what, int hop) {
        fetching.ask(what, hop, now + 1_000_000, new Fetching.Waiter<>() {
            @Override
            public void here(Copy copy, boolean once) {
                told.add(once ? "once" : "here");
            }

            @Override
            public void other(String answer) {
                told.add(answer);
            }

            @Override
            public void refused(long retryAfterMicros) {
                told.add("refused " + retryAfterMicros / 1_000_000);
            }

            @Override
            public void failed() {
                told.add("failed");
            }

            @Override
            public void tooLong() {
                told.add("long");
            }
        });
    }

    private Copy copy() {
        return new Copy(200, List.of(), new byte[10], Set.of("red"), now, TTL);
    }

    @Test
    void allWhoAskMeanwhileHaveOneFetch() {
        Wanted what = wanted(true);
        ask(what, Fetching.ASKED_BY_CLIENT);
        ask(what, Fetching.ASKED_AS_HOME);
        assertThat(fetched).hasSize(1);
        fetched.poll().copy(copy());
        assertThat(told).containsExactly("here", "here");
        assertThat(fetching.held(what)).isNotNull();
    }

    @Test
    void whatWasAskedForBeforeAPurgeIsNotHeldAfterIt() {
        Wanted what = wanted(true);
        ask(what, Fetching.ASKED_BY_CLIENT);
        fetching.purged(new PurgeNews("p", "", "", "red").item(now));
        fetched.poll().copy(copy());
        assertThat(told).containsExactly("once");
        assertThat(fetching.held(what)).isNull();
    }

    @Test
    void whoAsksAfterAPurgeByPathGetsAnotherFetch() {
        Wanted what = wanted(true);
        ask(what, Fetching.ASKED_BY_CLIENT);
        fetching.purged(new PurgeNews("p", "h", what.uri(), "").item(now));
        ask(what, Fetching.ASKED_BY_CLIENT);
        assertThat(fetched).hasSize(2);
        fetched.pollLast().copy(copy());
        assertThat(told).containsExactly("here");
        fetched.poll().copy(copy());
        assertThat(told).containsExactly("here", "once");
    }

    @Test
    void aHomeIsAskedWithWhatIsKnownOfPurgesAndPassedOverWhenSilent() {
        Wanted what = wanted(false);
        board.merge(now, new PurgeNews("p", "h", "/other", "").item(now));
        ask(what, Fetching.ASKED_BY_CLIENT);
        Asked first = asked.poll();
        assertThat(first.hop).isEqualTo(Fetching.ASKED_AS_HOME);
        assertThat(first.step).isEqualTo(board.purgeDigest()).isNotZero();
        first.ending.silent(false);
        assertThat(fetched).as("this edge fetches too, so it does").hasSize(1);
        fetched.poll().copy(copy());
        assertThat(told).containsExactly("here");
        assertThat(homes.of(now, what.key(), false)).isNotEqualTo(first.edge);
    }

    @Test
    void whereFewFetchAHomeAsksOneOfThem() {
        fetchers = 2;
        assertThat(homes.fetches("s", 2))
                .as("what follows is about an edge that does not")
                .isFalse();
        ask(wanted(true), Fetching.ASKED_AS_HOME);
        Asked one = asked.poll();
        assertThat(one.hop).isEqualTo(Fetching.ASKED_AS_FETCHER);
        one.ending.useless();
        Asked other = asked.poll();
        assertThat(other.hop)
                .as("not the servers, of which it has hardly a part")
                .isEqualTo(Fetching.ASKED_AS_FETCHER);
        other.ending.copy(copy());
        assertThat(told).containsExactly("here");
        ask(wanted(false), Fetching.ASKED_AS_FETCHER);
        assertThat(fetched).as("who is asked to fetch does").hasSize(1);
    }

    @Test
    void whoWaitsForAHomeDoesNotMakeTheHomeWait() {
        Wanted what = wanted(false);
        ask(what, Fetching.ASKED_BY_CLIENT);
        assertThat(asked).hasSize(1);
        ask(what, Fetching.ASKED_AS_FETCHER);
        assertThat(fetched)
                .as("the home asks back, and is not to wait for itself")
                .hasSize(1);
        ask(what, Fetching.ASKED_BY_CLIENT);
        fetched.poll().copy(copy());
        assertThat(told).containsExactly("here", "here");
    }

    @Test
    void whatFindsNoRoomWaitsWithinItsAimAndIsThenToldWhen() {
        perSecond = 80; // ten a second for each of eight edges: 47 in a window, seven in half a second
        now += 10_000_000; // longer than a window after the start
        for (int i = 0; fetched.size() < 7; i++) {
            ask(new Wanted(ROUTE, "h", "/o/" + i), Fetching.ASKED_AS_HOME);
        }
        ask(new Wanted(ROUTE, "h", "/o/more"), Fetching.ASKED_AS_HOME);
        assertThat(told).as("half a second is more than half of its aim").containsExactly("refused 0");
        now += 420_000;
        ask(new Wanted(ROUTE, "h", "/o/waits"), Fetching.ASKED_AS_HOME);
        assertThat(later).hasSize(1);
        now += 90_000;
        later.poll().run();
        assertThat(fetched).hasSize(8);
    }

    @Override
    public void home(String edge, Wanted what, int hop, long step, long begun, long wait, FromHome<String> ending) {
        asked.add(new Asked(edge, hop, step, ending));
    }

    @Override
    public boolean servers(String service, Wanted what, long at, long giveUp, FromServers<String> ending) {
        fetched.add(ending);
        return true;
    }

    @Override
    public double perSecond(String service) {
        return perSecond;
    }

    @Override
    public void later(long micros, Runnable task) {
        later.add(task);
    }

    @Override
    public int fetchers(String service) {
        return fetchers;
    }
}
