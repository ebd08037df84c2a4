package anisebend;

import static anisebend.BalancerHarness.CHARGE;
import static anisebend.BalancerHarness.MS;
import static anisebend.BalancerHarness.READ;
import static anisebend.BalancerHarness.SAVE;
import static anisebend.BalancerHarness.SAVE_IN_ZONE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import anisebend.Balancer.CacheStatus;
import anisebend.Balancer.Code;
import anisebend.Balancer.ListKind;
import anisebend.Balancer.State;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class BalancingPolicyTest {
    private final BalancerHarness harness = new BalancerHarness(false).list(ListKind.FULL, "a1", "a2", "b3");

    @Test
    void rejectsInvalidSettings() {
        Balancer.Settings s = BalancerHarness.settings(false);
        Balancer.Settings bad = new Balancer.Settings(
                s.balancers(),
                s.zone(),
                s.originKind(),
                List.of(),
                s.tenants(),
                s.overShareFactor(),
                s.maxAttempts(),
                s.mayCancel(),
                s.mayProbe(),
                s.retryAfter(),
                s.maxRetryAfter(),
                s.listMustBeAsked(),
                s.listAskWithin(),
                s.coldShare(),
                s.coldTime(),
                0,
                0,
                0);
        assertRejected("classes", bad);
        assertRejected("freeResends", BalancerHarness.withResendLimit(s, -1, 0.1, 1000));
        assertRejected("resendShare", BalancerHarness.withResendLimit(s, 1, -0.1, 1000));
        assertRejected("resendSpan", BalancerHarness.withResendLimit(s, 1, 0.1, -1));
        assertRejected("resendSpan", BalancerHarness.withResendLimit(s, 1, 0.1, 0));
    }

    private static void assertRejected(String setting, Balancer.Settings bad) {
        String message = assertThrows(
                        IllegalArgumentException.class, () -> new BalancingPolicy(new Recorder()).start(0, 1, bad))
                .getMessage();
        assertTrue(message.contains(setting), message);
    }

    @Test
    void resendsStayWithinTheLimit() {
        BalancerHarness few = new BalancerHarness(
                        false, 7, BalancerHarness.withResendLimit(BalancerHarness.settings(false), 2, 0.1, 5000 * MS))
                .list(ListKind.FULL, "a1", "a2", "b3");
        for (int i = 0; i < 10; i++) {
            few.ask("e" + i, READ, "k" + i).answer("e" + i, Code.ERROR).pass(20 * MS);
        }
        assertEquals(13, few.recorder.sent.size(), "two free ones, and the tenth request earns a third");
        assertTrue(few.recorder.has("refuse e5"), "refused at once");
        few.pass(1 * MS).ask("f", READ, "k").answer("f", Code.ERROR).pass(20 * MS);
        assertEquals(1, few.sends("f"), "eleven requests taken allow no fourth");
        few.pass(6000 * MS).ask("g", READ, "k").answer("g", Code.ERROR).pass(20 * MS);
        assertEquals(2, few.sends("g"), "the span has passed");
    }

    @Test
    void attemptsAfterAMissAreNotLimited() {
        BalancerHarness none = new BalancerHarness(
                        true, 7, BalancerHarness.withResendLimit(BalancerHarness.settings(true), 0, 0.001, 5000 * MS))
                .list(ListKind.FULL, "a1", "a2", "origin");
        for (int i = 0; i < 5; i++) {
            none.ask("m" + i, READ, "k" + i).answer("m" + i, Code.MISS).pass(20 * MS);
            assertEquals("origin", none.serverOf("m" + i));
        }
        none.answer("m0", Code.ERROR).pass(100 * MS);
        assertEquals(2, none.sends("m0"));
    }

    @Test
    void aKeyStaysOnItsServer() {
        for (int i = 0; i < 20; i++) {
            harness.ask("r" + i, READ, "k").answer("r" + i, Code.OK).pass(20 * MS);
        }
        assertEquals(
                1,
                harness.recorder.sent.stream()
                        .map(Recorder.Sent::server)
                        .distinct()
                        .count());
    }

    @Test
    void independentBalancersFindTheSameHomes() {
        BalancerHarness other = new BalancerHarness(false, 99).list(ListKind.FULL, "b3", "a2", "a1");
        for (int i = 0; i < 50; i++) {
            String id = "r" + i;
            harness.ask(id, READ, "k" + i).answer(id, Code.OK);
            other.ask(id, READ, "k" + i).answer(id, Code.OK);
            assertEquals(harness.serverOf(id), other.serverOf(id));
        }
    }

    @Test
    void aHotKeyGetsMoreHomesAcrossBalancersAndRetriedFailuresDoNotCount() {
        String[] fleet = {"a1", "a2", "b3", "a4", "b5", "a6", "b7", "a8", "b9"};
        List<String> hot = new ArrayList<>();
        List<String> failing = new ArrayList<>();
        for (int b = 0; b < 20; b++) {
            BalancerHarness one = new BalancerHarness(false, b).list(ListKind.FULL, fleet);
            for (int i = 0; i < 60; i++) {
                one.ask("h" + i, READ, "hot").answer("h" + i, Code.OK).pass(100 * MS);
                one.ask("f" + i, READ, "failing").answer("f" + i, i % 2 == 0 ? Code.ERROR : Code.OK);
                one.balancer.abandoned(one.now, "f" + i);
                one.pass(100 * MS);
                one.ask("o" + i, READ, "other" + i).answer("o" + i, Code.OK).pass(100 * MS);
            }
            one.pass(500 * MS).ask("x", READ, "hot").ask("y", READ, "failing");
            hot.add(one.serverOf("x"));
            failing.add(one.serverOf("y"));
        }
        assertTrue(hot.stream().distinct().count() >= 2, "homes: " + hot);
        assertEquals(1, failing.stream().distinct().count(), "homes: " + failing);
    }

    @Test
    void onlyTheKeysOfALostServerMove() {
        Map<String, String> before = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            harness.ask("r" + i, READ, "k" + i).answer("r" + i, Code.OK);
            before.put("k" + i, harness.serverOf("r" + i));
        }
        assertEquals(3, before.values().stream().distinct().count());
        harness.list(ListKind.FULL, "a1", "b3");
        for (int i = 0; i < 60; i++) {
            harness.ask("s" + i, READ, "k" + i).answer("s" + i, Code.OK);
            String home = before.get("k" + i);
            if (home.equals("a2")) {
                assertNotEquals("a2", harness.serverOf("s" + i));
            } else {
                assertEquals(home, harness.serverOf("s" + i));
            }
        }
    }

    @Test
    void aPacedLaneHoldsItsNextSendUntilTheIntervalHasPassed() {
        BalancerHarness one = new BalancerHarness(false).list(ListKind.FULL, "a1");
        one.ask("f0", READ, "k").ask("f1", READ, "k").answer("f0", Code.FULL).answer("f1", Code.FULL);
        long before = one.recorder.sent.size();
        for (int i = 0; i < 4; i++) {
            one.ask("r" + i, READ, "k");
        }
        assertEquals(before, one.recorder.sent.size(), "both lanes are paced by the shortest deadline / 50");
        one.pass(39 * MS);
        assertEquals(before, one.recorder.sent.size());
        one.pass(2 * MS);
        assertEquals(before + 2, one.recorder.sent.size());
    }

    /** A lane at its longest interval takes that and an answer for each request; the usual rate must still fit. */
    @Test
    void pacedLanesStillCarryTheUsualRate() {
        BalancerHarness one = new BalancerHarness(false).list(ListKind.FULL, "a1");
        for (int i = 0; i < 300; i++) {
            one.ask("u" + i, READ, "k").pass(20 * MS).answer("u" + i, Code.OK, 100 * MS);
        }
        for (int i = 0; i < 500; i++) {
            one.ask("f" + i, READ, "k").answer("f" + i, Code.FULL);
            one.balancer.abandoned(one.now, "f" + i);
            one.pass(500 * MS);
        }
        long before = one.recorder.sent.size();
        for (int i = 0; i < 40; i++) {
            one.ask("r" + i, READ, "k");
        }
        one.pass(400 * MS); // the longest interval
        assertTrue(one.recorder.sent.size() - before >= 22, "lanes: " + (one.recorder.sent.size() - before));
    }

    @Test
    void requestsThatCannotBeSentInTimeAreRefusedEarly() {
        BalancerHarness one = new BalancerHarness(false).list(ListKind.FULL, "a1");
        for (int round = 0; round < 12; round++) {
            one.ask("f" + round, READ, "k").answer("f" + round, Code.FULL).pass(500 * MS);
        }
        for (int i = 0; i < 30; i++) {
            one.ask("r" + i, READ, "k");
        }
        assertTrue(one.recorder.count("refuse r") > 0, "refused at once, not when time is up");
        assertTrue(one.recorder.count("refuse r") < 30, "some can still be sent");
    }

    @Test
    void anUnsafeRequestThatMayHaveRunIsNeitherRepeatedNorRefused() {
        harness.ask("u", CHARGE, "k").answer("u", Code.RESET).pass(3000 * MS);
        assertEquals(1, harness.sends("u"));
        assertTrue(harness.recorder.has("fail u"));
        assertEquals(0, harness.recorder.count("refuse u"));
    }

    @Test
    void aRetryAfterAFullAnswerGoesElsewhereAndTheKeyStays() {
        harness.ask("r", READ, "k");
        String home = harness.serverOf("r");
        harness.answer("r", Code.FULL).pass(100 * MS);
        String second = harness.serverOf("r");
        assertNotEquals(home, second);
        harness.answer("r", Code.FULL).pass(100 * MS);
        assertEquals(
                3,
                harness.recorder.sent.stream()
                        .map(Recorder.Sent::server)
                        .distinct()
                        .count());
        harness.answer("r", Code.OK).ask("s", READ, "k");
        assertEquals(home, harness.serverOf("s"));
    }

    /** A server that answers reads but not charges loses the charges after the first; paced trials bring them back. */
    @Test
    void classThatAServerDoesNotAnswerGoesElsewhere() {
        harness.ask("u", CHARGE, "k");
        String home = harness.serverOf("u");
        harness.ask("r", READ, "k").pass(10 * MS).answer("r", Code.OK);
        assertEquals(home, harness.serverOf("r"));
        harness.pass(600 * MS).ask("v", CHARGE, "k").ask("s", READ, "k");
        assertNotEquals(home, harness.serverOf("v"), "each further one would be lost as well");
        assertEquals(home, harness.serverOf("s"), "reads are answered there");
        harness.answer("v", Code.OK).answer("s", Code.OK).pass(3000 * MS);
        harness.pass(BalancerHarness.COLD_TIME).ask("w", CHARGE, "k");
        assertEquals(home, harness.serverOf("w"), "a paced trial");
        harness.answer("w", Code.OK)
                .pass(2 * BalancerHarness.COLD_TIME)
                .ask("x", CHARGE, "k")
                .answer("x", Code.OK);
        harness.ask("y", CHARGE, "k").ask("z", CHARGE, "k");
        assertEquals(home, harness.serverOf("y"));
        assertEquals(home, harness.serverOf("z"), "no trial any more");
    }

    /** Fast errors free a server for more requests at once, which must not attract all requests to it. */
    @Test
    void aServerThatIsQuickWithErrorsLosesTheClass() {
        harness.ask("a", READ, "k");
        String home = harness.serverOf("a");
        harness.answer("a", Code.ERROR).pass(100 * MS);
        assertEquals(home, harness.serverOf("a"), "one may be chance");
        harness.answer("a", Code.ERROR).pass(100 * MS);
        assertNotEquals(home, harness.serverOf("a"));
        harness.answer("a", Code.OK).ask("b", READ, "k");
        assertNotEquals(home, harness.serverOf("b"));
    }

    /** With the home node excluded, going to the least loaded server each time would be a miss each time. */
    @Test
    void keyWithExcludedHomeStaysWhereItIsCached() {
        BalancerHarness one = new BalancerHarness(false).list(ListKind.FULL, "a1", "a2", "a3", "a4");
        one.ask("a", READ, "k");
        String home = one.serverOf("a");
        one.answer("a", Code.ERROR).pass(100 * MS).answer("a", Code.ERROR).pass(100 * MS);
        String copy = one.serverOf("a");
        assertNotEquals(home, copy);
        one.answer("a", Code.OK, 50 * MS, CacheStatus.MISS);
        for (int i = 0; i < 5; i++) {
            one.ask("b" + i, READ, "k");
            assertEquals(copy, one.serverOf("b" + i), "request " + i);
        }
    }

    /** While the origin fails, fetches are paced and refused, and cached responses are served as before. */
    @Test
    void failingFetchesArePacedAndCacheHitsAreNot() {
        for (int i = 0; i < 20; i++) {
            harness.ask("w" + i, READ, "kept" + i)
                    .answer("w" + i, Code.OK, 50 * MS, CacheStatus.MISS)
                    .pass(20 * MS);
        }
        for (int i = 0; i < 40; i++) {
            harness.ask("f" + i, READ, "new" + i);
            if (harness.sends("f" + i) > 0) {
                harness.answer("f" + i, Code.ERROR, 400 * MS, CacheStatus.NONE);
            }
            harness.pass(5 * MS);
        }
        int before = harness.recorder.sent.size();
        for (int i = 0; i < 40; i++) {
            harness.ask("g" + i, READ, "other" + i);
        }
        int fetches = harness.recorder.sent.size() - before;
        assertTrue(fetches < 10, "fetches sent at once: " + fetches);
        for (int i = 0; i < 20; i++) {
            harness.ask("h" + i, READ, "kept" + i);
            assertEquals(1, harness.sends("h" + i), "a hit does not wait");
            harness.answer("h" + i, Code.OK, 20 * MS, CacheStatus.HIT);
        }
        harness.ask("s", SAVE, "kept3").answer("s", Code.OK).ask("i", READ, "kept3");
        assertEquals(0, harness.sends("i"), "a write has invalidated it");
    }

    /**
     * In a large fleet each balancer seldom uses the few servers that fail a class, so it goes on trying them for long.
     * Their errors say nothing about the origin, and fetches of the other servers are not paced because of them.
     */
    @Test
    void errorsOfFewServersDoNotPaceFetchesOfOthers() {
        Set<String> few = Set.of(ids(20));
        long rest = averageOriginInterval((server, hit) -> few.contains(server));
        assertTrue(rest < 20 * MS, "mean interval of the origin's lanes, in us: " + rest);
    }

    /** The origin fails half of the fetches of a large fleet, and hits succeed at all servers. */
    @Test
    void errorsOfFetchesAtAllServersCountAgainstTheOrigin() {
        SplittableRandom chance = new SplittableRandom(1);
        long rest = averageOriginInterval((server, hit) -> !hit && chance.nextBoolean());
        assertTrue(rest > 100 * MS, "mean interval of the origin's lanes, in us: " + rest);
    }

    /**
     * A proxy among many requests keys that others have had fetched: most requests that it predicts to be fetches are
     * hits. A success counts for the lane that sent the request, as a failure counts against it, fetch or not.
     */
    @Test
    void predictedFetchesThatWereHitsCountForTheirLanes() {
        harness.ask("w", READ, "kept").answer("w", Code.OK, 50 * MS, CacheStatus.MISS);
        for (int i = 0; i < 6; i++) {
            harness.ask("e" + i, READ, "lost" + i, i % 2);
        }
        for (int i = 0; i < 6; i++) {
            harness.answer("e" + i, Code.ERROR);
        }
        assertTrue(originInterval(harness) > 0);
        for (int i = 0, met = harness.recorder.sent.size(); i < 300; i++) {
            harness.ask("f" + i, READ, "new" + i, i % 2).pass(15 * MS);
            for (; met < harness.recorder.sent.size(); met++) {
                harness.answer(harness.recorder.sent.get(met).request(), Code.OK, 15 * MS, CacheStatus.HIT);
            }
        }
        assertEquals(0, originInterval(harness));
    }

    /** Two in three predicted fetches are hits and every fetch fails: the hits do not hide that from the lanes. */
    @Test
    void hitsAmongPredictedFetchesDoNotHideAFailingOrigin() {
        harness.ask("w", READ, "kept").answer("w", Code.OK, 50 * MS, CacheStatus.MISS);
        long rest = 0;
        for (int i = 0, met = 1; i < 600; i++) {
            harness.ask("f" + i, READ, "new" + i, i % 2).pass(100 * MS);
            for (; met < harness.recorder.sent.size(); met++) {
                boolean hit = met % 3 > 0;
                harness.answer(
                        harness.recorder.sent.get(met).request(),
                        hit ? Code.OK : Code.ERROR,
                        50 * MS,
                        hit ? CacheStatus.HIT : CacheStatus.NONE);
            }
            rest += originInterval(harness);
        }
        assertTrue(rest / 600 > 50 * MS, "mean interval of the origin's lanes, in us: " + rest / 600);
    }

    /** Returns the mean interval of the origin, which is the last entry of a view. */
    private static long originInterval(BalancerHarness one) {
        List<Balancer.ServerView> all = one.balancer.view(one.now).servers();
        return all.get(all.size() - 1).meanInterval();
    }

    private static String[] ids(int servers) {
        return IntStream.range(0, servers).mapToObj(i -> "a" + i).toArray(String[]::new);
    }

    /** 40 s of 50 reads a second at 60 servers, a fourth of them fetches, each of 200 ms; some fail after 10 s. */
    private static long averageOriginInterval(BiPredicate<String, Boolean> fails) {
        BalancerHarness one = new BalancerHarness(false).list(ListKind.FULL, ids(60));
        List<Long> due = new ArrayList<>();
        long rest = 0;
        for (int i = 0, answered = 0; i < 2_000; i++) {
            one.ask("r" + i, READ, i % 4 == 0 ? "new" + i : "k" + i % 50, i % 2).pass(20 * MS);
            while (due.size() < one.recorder.sent.size()) {
                due.add(one.now + 180 * MS);
            }
            for (; answered < due.size() && due.get(answered) <= one.now; answered++) {
                Recorder.Sent sent = one.recorder.sent.get(answered);
                boolean hit = i > 100 && Integer.parseInt(sent.request().substring(1)) % 4 > 0;
                boolean bad = i > 500 && fails.test(sent.server(), hit);
                one.answer(
                        sent.request(),
                        bad ? Code.ERROR : Code.OK,
                        200 * MS,
                        bad ? CacheStatus.NONE : hit ? CacheStatus.HIT : CacheStatus.MISS);
            }
            rest += originInterval(one);
        }
        return rest / 2_000;
    }

    /** A long complete failure of the origin stays attributed to it, as no server answers successfully meanwhile. */
    @Test
    void errorsOfAllServersStayAttributedToTheOrigin() {
        harness.ask("w", READ, "kept").answer("w", Code.OK, 50 * MS, CacheStatus.MISS);
        long rest = 0;
        for (int i = 0, answered = 1; i < 400; i++) {
            harness.ask("f" + i, READ, "new" + i, i % 2).pass(150 * MS);
            for (; answered < harness.recorder.sent.size(); answered++) {
                harness.answer(harness.recorder.sent.get(answered).request(), Code.ERROR, 150 * MS);
            }
            rest += originInterval(harness);
        }
        assertTrue(rest / 400 > 250 * MS, "mean interval of the origin's lanes, in us: " + rest / 400);
    }

    /** Intervals of a long idle origin expire, without any fetch having to succeed first. */
    @Test
    void fetchesRecoverByThemselves() {
        harness.ask("w", READ, "kept").answer("w", Code.OK, 50 * MS, CacheStatus.MISS);
        int answered = 1;
        for (int i = 0; i < 1_000; i++) {
            if (i < 60) {
                harness.ask("f" + i, READ, "new" + i);
            }
            for (; answered < harness.recorder.sent.size(); answered++) {
                harness.answer(harness.recorder.sent.get(answered).request(), Code.ERROR, 400 * MS, CacheStatus.NONE);
            }
            harness.pass(10 * MS);
        }
        for (int i = 0; i < 30; i++) {
            harness.ask("g" + i, READ, "later" + i);
            assertEquals(1, harness.sends("g" + i), "the intervals have expired");
            harness.answer("g" + i, Code.OK, 50 * MS, CacheStatus.MISS);
        }
    }

    /** A slow fetch counts against the origin; the lanes of the server stay as they were. */
    @Test
    void lateFetchesDoNotPaceTheServer() {
        for (int i = 0; i < 30; i++) {
            harness.ask("w" + i, READ, "k")
                    .answer("w" + i, Code.OK, 450 * MS, CacheStatus.MISS)
                    .pass(20 * MS);
        }
        long longest = harness.balancer.view(harness.now).servers().stream()
                .mapToLong(Balancer.ServerView::meanInterval)
                .max()
                .orElseThrow();
        assertEquals(0, longest);
        for (int i = 0; i < 30; i++) {
            harness.ask("l" + i, READ, "k")
                    .answer("l" + i, Code.OK, 450 * MS, CacheStatus.HIT)
                    .pass(20 * MS);
        }
        assertTrue(harness.balancer.view(harness.now).servers().stream().anyMatch(s -> s.meanInterval() > 0));
    }

    /** Errors at all servers come from the origin, and moving keys would only add to its load. */
    @Test
    void errorsAtAllServersLeaveKeysAtHome() {
        Map<String, String> homes = new HashMap<>();
        for (int round = 0; round < 4; round++) {
            for (int i = 0; i < 30; i++) {
                String id = "r" + round + "-" + i;
                harness.ask(id, READ, "k" + i);
                homes.putIfAbsent("k" + i, harness.serverOf(id));
            }
            for (int i = 0; i < 30; i++) {
                harness.answer("r" + round + "-" + i, Code.ERROR);
            }
            harness.pass(3000 * MS);
        }
        for (int i = 0; i < 30; i++) {
            harness.ask("last" + i, READ, "k" + i);
            assertEquals(homes.get("k" + i), harness.serverOf("last" + i));
        }
    }

    @Test
    void anUnsafeRequestThatNeverRanIsRepeated() {
        harness.ask("u", CHARGE, "k").answer("u", Code.FULL).pass(100 * MS);
        assertEquals(2, harness.sends("u"));
    }

    @Test
    void aKeyedRequestIsRepeatedOnlyWithinItsWindow() {
        harness.ask("in", SAVE, "k").answer("in", Code.ERROR).pass(10 * MS);
        assertEquals(2, harness.sends("in"));
        harness.ask("out", SAVE, "k").pass(950 * MS).answer("out", Code.ERROR).pass(3000 * MS);
        assertEquals(1, harness.sends("out"));
        assertTrue(harness.recorder.has("refuse out"), "the group is all, so a refusal stays true");
    }

    @Test
    void aKeyedRequestStaysInItsGroup() {
        for (int i = 0; i < 20; i++) {
            String id = "z" + i;
            harness.ask(id, SAVE_IN_ZONE, "k" + i);
            char zone = harness.serverOf(id).charAt(0);
            harness.answer(id, Code.ERROR).pass(10 * MS);
            assertEquals(zone, harness.serverOf(id).charAt(0));
            harness.pass(3000 * MS);
            assertTrue(harness.recorder.has("fail " + id) || harness.sends(id) == 4);
            assertEquals(0, harness.recorder.count("refuse " + id));
        }
    }

    @Test
    void everyRequestEndsOnceAndInTime() {
        harness.ask("r", READ, "k").ask("u", CHARGE, "k").pass(2000 * MS);
        assertEquals(1, harness.recorder.count("refuse r") + harness.recorder.count("fail r"));
        assertEquals(1, harness.recorder.count("fail u"));
    }

    @Test
    void requestsWaitForAServerAndAreSentWhenOneAppears() {
        BalancerHarness empty = new BalancerHarness(false).list(ListKind.CACHED);
        empty.ask("r", READ, "k").pass(500 * MS);
        assertEquals(0, empty.sends("r"));
        empty.list(ListKind.CHANGES, "a1");
        assertEquals("a1", empty.serverOf("r"));
        empty.list(ListKind.FULL).ask("s", READ, "k").pass(2100 * MS);
        assertTrue(empty.recorder.has("refuse s"));
    }

    @Test
    void queuedRequestsLeaveADrainingServerAtOnce() {
        BalancerHarness two = new BalancerHarness(false).list(ListKind.FULL, "a1");
        two.ask("f", READ, "k").ask("g", READ, "k").answer("f", Code.FULL).answer("g", Code.FULL);
        two.ask("r", READ, "k");
        assertEquals(0, two.sends("r"));
        two.list(
                ListKind.CHANGES,
                List.of(BalancerHarness.server("a1", State.DRAINING, 0), BalancerHarness.server("b2", State.READY, 0)));
        assertEquals("b2", two.serverOf("r"));
        two.pass(3000 * MS);
        long late = two.recorder.sent.stream()
                .skip(2)
                .filter(s -> s.server().equals("a1"))
                .count();
        assertEquals(0, late);
    }

    @Test
    void failedListIsRequestedAgainAndTheOldOneStaysInUse() {
        harness.list(ListKind.FAILED);
        assertEquals(1, harness.recorder.count("subscribe"));
        harness.pass(10_000 * MS);
        assertEquals(2, harness.recorder.count("subscribe"));
        harness.ask("r", READ, "k");
        assertEquals(1, harness.sends("r"));
    }

    @Test
    void aSilentServerIsLeftUntilItAnswersATrial() {
        for (int i = 0; i < 30; i++) {
            harness.ask("w" + i, READ, "k").answer("w" + i, Code.OK).pass(50 * MS);
        }
        String silent = harness.serverOf("w0");
        harness.ask("r", READ, "k").ask("q", READ, "k").pass(1000 * MS);
        assertTrue(harness.recorder.has("cancel r 0"), "cancelled long before its deadline");
        harness.answer("r", Code.CANCELLED).pass(10 * MS);
        assertNotEquals(silent, harness.serverOf("r"));
        int others = 0;
        for (int i = 0; i < 20; i++) {
            harness.ask("s" + i, READ, "k");
            if (harness.serverOf("s" + i).equals(silent)) {
                harness.answer("s" + i, Code.CONNECT_FAILED);
            } else {
                others++;
                harness.answer("s" + i, Code.OK);
            }
            harness.pass(50 * MS);
        }
        assertTrue(others >= 17, "only paced trials go to it, not " + (20 - others) + " of 20");
    }

    /** A healthy server suspected too early would lose its keys, and their misses would load the origin. */
    @Test
    void serverIsNotSuspectBeforeTheTargetLatency() {
        BalancerHarness harness =
                new BalancerHarness(false).list(ListKind.FULL, "a1", "a2", "b3").pass(MS);
        harness.ask("r", READ, "k").ask("q", READ, "k").pass(490 * MS);
        assertEquals(0, harness.recorder.count("log server not responding"));
        harness.pass(20 * MS);
        assertEquals(1, harness.recorder.count("log server not responding"));
    }

    /** A pause of this process looks like silence of all servers; moving most keys would make it worse. */
    @Test
    void noMoreThanAThirdOfTheServersAreSuspect() {
        BalancerHarness harness = new BalancerHarness(false)
                .list(ListKind.FULL, "a1", "a2", "b3", "a4", "b5", "a6", "b7", "a8", "b9")
                .pass(MS);
        for (int i = 0; i < 60; i++) {
            harness.ask("r" + i, READ, "k" + i);
        }
        harness.pass(1500 * MS);
        assertEquals(3, harness.recorder.count("log server not responding"));
    }

    /** Simulates sixty servers in each of two zones, one of which stops answering after 200 requests. */
    private static BalancerHarness zoneLost(List<String> lost, List<String> healthy) {
        for (int i = 0; i < 60; i++) {
            lost.add("a" + i);
            healthy.add("b" + i);
        }
        List<String> all = new ArrayList<>(lost);
        all.addAll(healthy);
        BalancerHarness harness = new BalancerHarness(false)
                .list(ListKind.FULL, all.toArray(String[]::new))
                .pass(MS);
        for (int i = 0; i < 200; i++) {
            harness.ask("w" + i, READ, "warm" + i).answer("w" + i, Code.OK).pass(5 * MS);
        }
        for (int i = 0; i < 80; i++) {
            harness.ask("r" + i, READ, "k" + i);
            if (healthy.contains(harness.serverOf("r" + i))) {
                harness.answer("r" + i, Code.OK);
            }
            harness.pass(20 * MS);
        }
        return harness;
    }

    /** No server gets two requests, so the silence is only known of the zone as a whole. */
    @Test
    void silentZoneIsAvoidedWithAtMostOneRequestToEachServer() {
        List<String> lost = new ArrayList<>();
        List<String> healthy = new ArrayList<>();
        BalancerHarness harness = zoneLost(lost, healthy);
        assertTrue(harness.recorder.has("log server not responding: zone "
                + BalancerHarness.server("a0", State.READY, 0).zone()));
        assertTrue(harness.recorder.has("cancel r79 0") || healthy.contains(harness.serverOf("r79")));
        int there = 0;
        for (int i = 0; i < 60; i++) {
            harness.ask("s" + i, READ, "new" + i);
            there += lost.contains(harness.serverOf("s" + i)) ? 1 : 0;
            harness.answer("s" + i, lost.contains(harness.serverOf("s" + i)) ? Code.CONNECT_FAILED : Code.OK)
                    .pass(20 * MS);
        }
        assertTrue(there >= 1 && there <= 5, "paced trials only, not " + there + " of 60");
    }

    /** One answered trial makes the whole zone usable again, with the limits for cold servers. */
    @Test
    void recoveredZoneIsUsedGradually() {
        List<String> lost = new ArrayList<>();
        List<String> healthy = new ArrayList<>();
        BalancerHarness harness = zoneLost(lost, healthy);
        int there = 0;
        int first = -1;
        for (int i = 0; i < 900; i++) {
            harness.ask("s" + i, READ, "new" + i);
            if (lost.contains(harness.serverOf("s" + i))) {
                there++;
                first = first < 0 ? i : first;
            }
            harness.answer("s" + i, Code.OK).pass(20 * MS);
            if (i == first + 50 && first >= 0) {
                assertTrue(there <= 20, "cold at first: " + there + " of 50");
            }
        }
        assertTrue(first >= 0 && there >= 300, "half of the servers are in use again: " + there + " of 900");
    }

    /** With an answer from the zone, or silence of all servers, the zone is not suspect. */
    @Test
    void zoneIsNotSuspectIfOnlySomeOrAllServersAreSilent() {
        BalancerHarness harness = new BalancerHarness(false)
                .list(ListKind.FULL, "a1", "a2", "a3", "a4", "a5", "b1", "b2", "b3", "b4", "b5")
                .pass(MS);
        for (int i = 0; i < 200; i++) {
            harness.ask("r" + i, READ, "k" + i);
            if (harness.serverOf("r" + i) != null && !harness.serverOf("r" + i).matches("a[123]")) {
                harness.answer("r" + i, Code.OK);
            }
            harness.pass(20 * MS);
        }
        for (int i = 0; i < 50; i++) {
            harness.ask("q" + i, READ, "x" + i);
        }
        harness.pass(3000 * MS);
        assertEquals(0, harness.recorder.count("log server not responding: zone"));
    }

    /** Distant servers answer late because of the round trip, which pacing does not shorten. */
    @Test
    void roundTripDoesNotCountAsLateness() {
        BalancerHarness harness = new BalancerHarness(false).list(ListKind.FULL, "a1");
        harness.ask("near", READ, "k").answer("near", Code.OK, 200 * MS);
        for (int i = 0; i < 10; i++) {
            harness.ask("r" + i, READ, "k").answer("r" + i, Code.OK, 300 * MS);
        }
        int before = harness.recorder.sent.size();
        harness.ask("x", READ, "k").ask("y", READ, "k").ask("z", READ, "k");
        assertEquals(before + 3, harness.recorder.sent.size(), "no lane is paced");
    }

    @Test
    void aFailedConnectionMakesAServerSuspectAndTrialsAreFew() {
        BalancerHarness many = new BalancerHarness(false).list(ListKind.FULL, "a1", "a2", "b3", "a4", "b5", "a6", "b7");
        many.ask("r", READ, "k");
        String gone = many.serverOf("r");
        many.answer("r", Code.CONNECT_FAILED).pass(100 * MS);
        assertNotEquals(gone, many.serverOf("r"));
        many.answer("r", Code.OK);
        for (int i = 0; i < 40; i++) {
            many.ask("s" + i, READ, "k")
                    .answer("s" + i, many.serverOf("s" + i).equals(gone) ? Code.CONNECT_FAILED : Code.OK)
                    .pass(3000 * MS);
        }
        long trials =
                many.recorder.sent.stream().filter(s -> s.server().equals(gone)).count() - 1;
        assertTrue(trials >= 2 && trials <= 4, "one request in ten, though its own pace allows all: " + trials);
    }

    @Test
    void coldServerGetsOnlyItsShare() {
        for (int i = 0; i < 400; i++) {
            harness.ask("w" + i, READ, "k" + i % 40).answer("w" + i, Code.OK).pass(10 * MS);
        }
        harness.list(ListKind.CHANGES, List.of(BalancerHarness.server("a9", State.READY, harness.now)));
        for (int i = 0; i < 100; i++) {
            harness.ask("c" + i, READ, "new" + i).answer("c" + i, Code.OK).pass(10 * MS);
        }
        long cold = harness.recorder.sent.stream()
                .filter(s -> s.server().equals("a9"))
                .count();
        assertTrue(cold > 0 && cold <= 100 / 4 * 0.4 + 1, "a part of a fair quarter of 100, was " + cold);
    }

    @Test
    void theAllowanceOfAColdServerHoldsSummedOverManyQuietBalancers() {
        long cold = 0;
        long warm = 0;
        for (int b = 0; b < 300; b++) {
            BalancerHarness quiet = new BalancerHarness(false, b).list(ListKind.FULL, "a1", "a2", "b3");
            for (int i = 0; i < 20; i++) {
                quiet.ask("w" + i, READ, "k" + b + "-" + i)
                        .answer("w" + i, Code.OK)
                        .pass(500 * MS);
            }
            quiet.list(ListKind.CHANGES, List.of(BalancerHarness.server("a9", State.READY, quiet.now)));
            int before = quiet.recorder.sent.size();
            for (int i = 0; i < 6; i++) {
                quiet.ask("c" + i, READ, "new" + b + "-" + i)
                        .answer("c" + i, Code.OK)
                        .pass(500 * MS);
            }
            for (Recorder.Sent sent : quiet.recorder.sent.subList(before, quiet.recorder.sent.size())) {
                cold += sent.server().equals("a9") ? 1 : 0;
                warm += sent.server().equals("a9") ? 0 : 1;
            }
        }
        double bound = warm / 3.0 * 0.5 * 1.5; // three seconds of warm-up at most, and the tolerance
        assertTrue(cold > bound / 4 && cold < bound, cold + " sends to the cold server, bound " + bound);
    }

    @Test
    void manyColdServersDoNotStarveEachOther() {
        for (int i = 0; i < 600; i++) {
            harness.ask("w" + i, READ, "k" + i % 40).answer("w" + i, Code.OK).pass(10 * MS);
        }
        List<Balancer.Server> fresh = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            fresh.add(BalancerHarness.server("a" + (50 + i), State.READY, harness.now));
        }
        harness.list(ListKind.CHANGES, fresh);
        for (int i = 0; i < 200; i++) {
            harness.ask("c" + i, READ, "new" + i).answer("c" + i, Code.OK).pass(10 * MS);
        }
        long cold = harness.recorder.sent.stream()
                .filter(s -> s.server().length() == 3)
                .count();
        double part =
                200 / 3.0 * 0.4 * 1.5; // of a warm server's two seconds, at two seconds of warm-up and the tolerance
        assertTrue(cold > 100, "nine cold servers take most of the new keys, was " + cold);
        assertTrue(cold < 9 * part * 1.2, "and none more than its part, was " + cold);
    }

    @Test
    void missesOfOneKeyShareAFetch() {
        BalancerHarness aside = new BalancerHarness(true).list(ListKind.FULL, "a1", "a2", "origin");
        aside.ask("r", READ, "k").ask("s", READ, "k").answer("r", Code.MISS).answer("s", Code.MISS);
        assertEquals(
                1,
                aside.recorder.sent.stream()
                        .filter(x -> x.server().equals("origin"))
                        .count());
        aside.ask("t", READ, "k");
        assertEquals(0, aside.sends("t"), "waits for the fetch in flight");
        aside.answer("r", Code.OK);
        assertEquals(2, aside.sends("s"));
        assertNotEquals("origin", aside.serverOf("s"));
        assertNotEquals("origin", aside.serverOf("t"));
    }

    @Test
    void aFullOriginIsPacedBeforeItIsUsedMore() {
        BalancerHarness aside = new BalancerHarness(true).list(ListKind.FULL, "a1", "a2", "origin");
        aside.ask("v", SAVE, "k").ask("w", SAVE, "l").answer("v", Code.FULL).answer("w", Code.FULL);
        int before = aside.recorder.sent.size();
        aside.ask("x", SAVE, "m");
        assertEquals(before, aside.recorder.sent.size(), "as few lanes as any server has to begin with");
        aside.pass(50 * MS);
        assertTrue(aside.recorder.sent.size() > before);
    }

    @Test
    void resendLimitIsNotSpentOnCancellations() {
        BalancerHarness few = new BalancerHarness(
                        false, 7, BalancerHarness.withResendLimit(BalancerHarness.settings(false), 2, 0.1, 5000 * MS))
                .list(ListKind.FULL, "a1", "a2", "b3");
        for (int i = 0; i < 30; i++) {
            few.ask("w" + i, READ, "k").answer("w" + i, Code.OK).pass(50 * MS);
        }
        few.ask("r", READ, "k").ask("q", READ, "k").pass(1000 * MS);
        assertTrue(few.recorder.count("log server not responding") > 0);
        assertEquals(0, few.recorder.count("cancel"));
    }

    @Test
    void writesGoToTheOriginWhereCachesDoNotFetch() {
        BalancerHarness aside = new BalancerHarness(true).list(ListKind.FULL, "a1", "a2", "origin");
        aside.ask("w", SAVE, "k");
        assertEquals("origin", aside.serverOf("w"));
    }

    @Test
    void requestsOverTheShareAreRefusedUnderLoadOnly() {
        BalancerHarness one = new BalancerHarness(false).list(ListKind.FULL, "a1");
        for (int i = 0; i < 200; i++) {
            one.ask("r" + i, READ, "k", 1).answer("r" + i, Code.OK).pass(5 * MS);
        }
        assertEquals(0, one.recorder.count("refuse"), "there is capacity");
        for (int i = 0; i < 20; i++) {
            one.ask("s" + i, READ, "k", 0).answer("s" + i, Code.OK, 450 * MS);
        }
        one.ask("over", READ, "k", 1)
                .ask("over2", READ, "k", 1)
                .ask("within", READ, "k", 0)
                .pass(1000 * MS);
        assertTrue(one.recorder.has("refuse over2"));
        assertEquals(1, one.sends("within"));
    }

    @Test
    void retriesOfErrorsRunOutWhenNothingIsServed() {
        for (int i = 0; i < 100; i++) {
            String id = "e" + i;
            harness.ask(id, READ, "k" + i);
            while (harness.sends(id) > 0 && !harness.recorder.has("refuse " + id) && harness.sends(id) < 4) {
                harness.answer(id, Code.ERROR).pass(5 * MS);
            }
            harness.answer(id, Code.ERROR).pass(5 * MS);
        }
        assertTrue(harness.recorder.sent.size() < 100 * 1.2, "attempts: " + harness.recorder.sent.size());
    }

    @Test
    void lateResponsesPaceAServerAndPacedLanesCarryOneRequestEach() {
        BalancerHarness one = new BalancerHarness(false).list(ListKind.FULL, "a1");
        for (int i = 0; i < 10; i++) {
            one.ask("w" + i, READ, "k").answer("w" + i, Code.OK).pass(500 * MS);
        }
        one.ask("s", READ, "k").ask("t", READ, "k");
        one.answer("s", Code.OK, 450 * MS).answer("t", Code.OK, 450 * MS);
        for (int i = 0; i < 5; i++) {
            one.ask("r" + i, READ, "k");
        }
        one.pass(60 * MS);
        assertEquals(14, one.recorder.sent.size(), "two lanes, both busy until they are answered");
        assertEquals(1, one.sends("r4"), "the newest is sent first");
        one.answer("r4", Code.OK).pass(60 * MS);
        assertEquals(15, one.recorder.sent.size());
    }

    @Test
    void aBusyBalancerHasMoreLanes() {
        BalancerHarness one = new BalancerHarness(false).list(ListKind.FULL, "a1");
        for (int i = 0; i < 400; i++) {
            one.ask("w" + i, READ, "k").answer("w" + i, Code.OK).pass(20 * MS);
        }
        for (int i = 0; i < 10; i++) {
            one.ask("f" + i, READ, "k").answer("f" + i, Code.FULL);
            one.ask("r" + i, READ, "k");
        }
        assertTrue(one.sends("r0") + one.sends("r5") == 2, "ten failures do not pace all lanes at 50 a second");
    }

    @Test
    void strayEventsAreHarmless() {
        harness.ask("r", READ, "k");
        int before = harness.recorder.sent.size();
        harness.balancer.outcome(
                harness.now, new Balancer.Outcome("r", 5, Code.FULL, 0, false, Balancer.CacheStatus.NONE, null));
        harness.balancer.outcome(
                harness.now, new Balancer.Outcome("x", 0, Code.OK, 0, true, Balancer.CacheStatus.NONE, null));
        harness.balancer.timer(harness.now, 123);
        harness.balancer.abandoned(harness.now, "y");
        harness.balancer.probed(harness.now, "z", true, null);
        assertEquals(before, harness.recorder.sent.size());
        assertEquals(0, harness.recorder.count("refuse") + harness.recorder.count("fail"));
    }

    @Test
    void theSameEventsGiveTheSameActions() {
        List<List<String>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            RandomEvents events = new RandomEvents(5, false);
            events.run(3000);
            runs.add(events.harness.recorder.lines);
        }
        assertEquals(runs.get(0), runs.get(1));
        assertTrue(runs.get(0).size() > 1500, "lines: " + runs.get(0).size());
    }

    @Test
    void theRulesHoldOverRandomLegalEvents() {
        for (int seed = 0; seed < 30; seed++) {
            new RandomEvents(seed, seed % 2 == 1).run(1500);
        }
    }

    @Test
    void resendLimitHoldsOverRandomLegalEvents() {
        int resent = 0;
        for (int seed = 0; seed < 30; seed++) {
            RandomEvents events = new RandomEvents(seed, seed % 2 == 1, 2, 0.05, 3000 * MS);
            events.run(1500);
            resent += events.resentInAll;
        }
        assertTrue(resent > 300, "the resend limit is reached, not only respected: " + resent);
    }

    @Test
    void resendLimitCheckDetectsAnOffByOne() {
        assertThrows(AssertionError.class, () -> {
            for (int seed = 0; seed < 10; seed++) {
                RandomEvents events = new RandomEvents(seed, false, 3, 0.05, 3000 * MS);
                events.free = 2;
                events.run(1500);
            }
        });
    }

    @Test
    void queuedRequestsAreRefusedOnceTooLateToBeUseful() {
        BalancerHarness one = new BalancerHarness(false);
        one.ask("r", READ, "k").pass(500 * MS);
        assertEquals(0, one.recorder.count("refuse r"), "it may still be of use");
        one.pass(400 * MS);
        assertTrue(one.recorder.has("refuse r"), "at 1.7 times the target latency, long before its deadline");
    }

    @Test
    void retryDelayGrowsWithTheOverload() {
        BalancerHarness one = new BalancerHarness(false);
        one.ask("first", READ, "k").pass(1000 * MS);
        for (int i = 0; i < 300; i++) {
            one.ask("r" + i, READ, "k").pass(10 * MS);
        }
        one.pass(1000 * MS);
        long early = one.recorder.retryAfter("first");
        long late = one.recorder.retryAfter("r299");
        assertTrue(early > 0 && late > 2 * early, early + " and " + late);
        long least = Long.MAX_VALUE;
        long most = 0;
        for (int i = 200; i < 300; i++) {
            least = Math.min(least, one.recorder.retryAfter("r" + i));
            most = Math.max(most, one.recorder.retryAfter("r" + i));
        }
        assertTrue(most > 2 * least, "spread: " + least + " to " + most);
    }

    /** An estimate that refuses every request that could correct it would last for ever. */
    @Test
    void slowOriginIsTriedAgain() {
        BalancerHarness one = new BalancerHarness(false).list(ListKind.FULL, "a1");
        for (int i = 0; i < 20; i++) {
            one.ask("s" + i, READ, "k" + i).pass(300 * MS);
            if (one.sends("s" + i) == 1) {
                one.answer("s" + i, Code.OK, 1_500 * MS, CacheStatus.MISS);
            }
            one.pass(1_000 * MS);
        }
        one.pass(20_000 * MS);
        for (int i = 0; i < 5; i++) {
            one.ask("r" + i, READ, "n" + i);
            assertEquals(1, one.sends("r" + i), "nothing else is in flight, and the overload is long over");
            one.answer("r" + i, Code.OK).pass(500 * MS);
        }
    }

    /** Returns a harness whose balancer has seen that responses carry a cache status. */
    private static BalancerHarness harnessWithCacheStatus() {
        BalancerHarness one = new BalancerHarness(false).list(ListKind.FULL, "a1");
        one.ask("first", READ, "other")
                .answer("first", Code.OK, 50 * MS, CacheStatus.MISS)
                .pass(1_000 * MS);
        return one;
    }

    @Test
    void keyIsFetchedOnceAtATimeAndFollowersHitTheCache() {
        BalancerHarness one = harnessWithCacheStatus();
        for (int i = 0; i < 5; i++) {
            one.ask("r" + i, READ, "k").pass(5 * MS);
        }
        assertEquals(2, one.recorder.sent.size(), "one fetch of the key");
        one.answer("r0", Code.OK, 60 * MS, CacheStatus.MISS).pass(100 * MS);
        assertEquals(6, one.recorder.sent.size(), "the others are sent after its response");
        for (int i = 1; i < 5; i++) {
            one.answer("r" + i, Code.OK, 10 * MS, CacheStatus.HIT);
        }
        assertEquals(0, one.recorder.count("refuse"));
    }

    @Test
    void followersProceedWhenTheFetchFailsOrIsAbandoned() {
        BalancerHarness one = harnessWithCacheStatus();
        one.ask("leaves", READ, "k")
                .ask("fails", READ, "k")
                .ask("last", READ, "k")
                .pass(5 * MS);
        one.balancer.abandoned(one.now, "leaves");
        one.answer("leaves", Code.CANCELLED, 5 * MS, CacheStatus.NONE).pass(300 * MS);
        List<String> second =
                Stream.of("fails", "last").filter(id -> one.sends(id) == 1).toList();
        assertEquals(1, second.size(), "one of the two fetches now");
        one.answer(second.get(0), Code.ERROR, 50 * MS, CacheStatus.MISS).pass(400 * MS);
        assertTrue(one.sends("fails") >= 1 && one.sends("last") >= 1, "the other did not wait for its retry");
    }

    /** A full node answers with the cache status of a hit; no follower must wait for the next attempt. */
    @Test
    void followersProceedWhenTheFetchIsRejected() {
        BalancerHarness one = harnessWithCacheStatus();
        one.ask("leads", READ, "k").ask("follows", READ, "k");
        assertEquals(0, one.sends("follows"));
        one.answer("leads", Code.FULL, 5 * MS, CacheStatus.HIT);
        assertEquals(1, one.sends("follows"));
    }

    @Test
    void timedOutFollowerIsNotCountedAsWithoutServer() {
        BalancerHarness one = harnessWithCacheStatus();
        one.ask("leads", READ, "k").ask("follows", READ, "k").pass(900 * MS);
        assertTrue(one.recorder.has("refuse follows"));
        long[] concluded = one.balancer.view(one.now).unservedByReason();
        assertEquals(0, concluded[Balancer.UnservedReason.NO_SERVER.ordinal()]);
        assertEquals(1, concluded[Balancer.UnservedReason.TIME_UP.ordinal()]);
    }
}
