package gorsemast.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import gorsemast.fleet.FleetView.MemberView;
import gorsemast.fleet.Learning.Offer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Whose list a restarted process takes: never one that only one of several says, nor a stale one. */
class LearningTest {
    private final Learning learning = new Learning();

    /** A view of these list versions, at addresses a0, a1, and so on. */
    private static FleetView view(long... versions) {
        ProcessId self = new ProcessId("me", 1);
        List<MemberView> members = new ArrayList<>();
        members.add(new MemberView(self, "h:0", Claim.State.ALIVE, 0, 0, "", new TreeMap<>()));
        for (int i = 0; i < versions.length; i++) {
            members.add(new MemberView(
                    new ProcessId("p" + i, 1),
                    "h:" + (i + 1),
                    Claim.State.ALIVE,
                    0,
                    0,
                    "",
                    new TreeMap<>(Map.of(Learning.LIST, Long.toString(versions[i]), Learning.ADMIN, "a" + i))));
        }
        return new FleetView(self, 0, 0, true, 0, members);
    }

    private static Offer offer(int from, long version, long digest) {
        return new Offer("a" + from, version, digest, 1_000);
    }

    @Test
    void theThreeWithTheNewestListsAreAskedOnce() {
        assertEquals(
                List.of("a1", "a3", "a4"),
                learning.ask(0, view(5, 9, 4, 8, 7), 4, false).stream().sorted().toList());
        assertEquals(List.of(), learning.ask(1, view(5, 9, 4, 8, 7), 4, false));
    }

    @Test
    void whatTwoSayAlikeIsTakenAndALiarIsOutvoted() {
        learning.ask(0, view(9, 9, 99), 4, false);
        assertNull(learning.answered(1, offer(2, 99, 666), 4), "one alone is believed");
        assertNull(learning.answered(1, offer(0, 9, 7), 4));
        assertEquals(offer(1, 9, 7), learning.answered(2, offer(1, 9, 7), 4));
        assertNull(learning.answered(3, offer(0, 9, 7), 4), "taken twice");
    }

    @Test
    void oneOfSeveralIsNotBelievedWhereTheOthersSayNothing() {
        learning.ask(0, view(9, 9), 4, false);
        assertNull(learning.answered(1, offer(0, 9, 7), 4));
        assertNull(learning.failed(2, "a1"));
        assertEquals(List.of(), learning.ask(3, view(9, 9), 4, false), "it asks again at once");
        assertEquals(2, learning.ask(2_000_000, view(9, 9), 4, false).size());
    }

    @Test
    void theOnlyOneThereIsBelieved() {
        learning.ask(0, view(9), 4, false);
        assertEquals(offer(0, 9, 7), learning.answered(1, offer(0, 9, 7), 4));
    }

    @Test
    void whatIsStaleOrNoNewerIsTakenFromNobody() {
        learning.ask(0, view(9), 4, false);
        assertNull(learning.answered(1, new Offer("a0", 9, 7, Learning.MOST_AGE + 1), 4));
        Learning second = new Learning();
        second.ask(0, view(9), 4, false);
        assertNull(second.answered(1, offer(0, 4, 7), 4));
        assertEquals(List.of(), new Learning().ask(0, view(3, 4), 4, false), "it asks who has nothing newer");
    }

    @Test
    void nothingIsAskedOrTakenOnceTheRegisterHasAnswered() {
        learning.ask(0, view(9), 4, false);
        assertEquals(List.of(), learning.ask(1, view(9), 5, true));
        assertNull(learning.answered(2, offer(0, 9, 7), 5));
        assertEquals(List.of(), learning.ask(9_000_000, view(9), 5, false));
    }
}
