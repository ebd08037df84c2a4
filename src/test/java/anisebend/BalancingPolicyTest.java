package anisebend;

import static anisebend.World.CHARGE;
import static anisebend.World.MS;
import static anisebend.World.READ;
import static anisebend.World.SAVE;
import static anisebend.World.SAVE_IN_ZONE;
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
    private final World world = new World(false).list(ListKind.FULL, "a1", "a2", "b3");

    @Test
    void refusesSettingsItCannotWorkWith() {
        Balancer.Settings s = World.settings(false);
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
        assertRefused("classes", bad);
        assertRefused("freeResends", World.rationed(s, -1, 0.1, 1000));
        assertRefused("resendShare", World.rationed(s, 1, -0.1, 1000));
        assertRefused("resendSpan", World.rationed(s, 1, 0.1, -1));
        assertRefused("resendSpan", World.rationed(s, 1, 0.1, 0));
    }

    private static void assertRefused(String setting, Balancer.Settings bad) {
        String message = assertThrows(
                        IllegalArgumentException.class, () -> new BalancingPolicy(new Recorder()).start(0, 1, bad))
                .getMessage();
        assertTrue(message.contains(setting), message);
    }

    @Test
    void furtherAttemptsStayWithinTheRation() {
        World few = new World(false, 7, World.rationed(World.settings(false), 2, 0.1, 5000 * MS))
                .list(ListKind.FULL, "a1", "a2", "b3");
        for (int i = 0; i < 10; i++) {
            few.ask("e" + i, READ, "k" + i).answer("e" + i, Code.ERROR).pass(20 * MS);
        }
        assertEquals(13, few.recorder.sent.size(), "two free ones, and the tenth request earns a third");
        assertTrue(few.recorder.has("refuse e5"), "told at once");
        few.pass(1 * MS).ask("f", READ, "k").answer("f", Code.ERROR).pass(20 * MS);
        assertEquals(1, few.sends("f"), "eleven requests taken allow no fourth");
        few.pass(6000 * MS).ask("g", READ, "k").answer("g", Code.ERROR).pass(20 * MS);
        assertEquals(2, few.sends("g"), "the span has passed");
    }

    @Test
    void anAttemptAfterAMissIsOutsideTheRation() {
        World none = new World(true, 7, World.rationed(World.settings(true), 0, 0.001, 5000 * MS))
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
            world.ask("r" + i, READ, "k").answer("r" + i, Code.OK).pass(20 * MS);
        }
        assertEquals(
                1,
                world.recorder.sent.stream()
                        .map(Recorder.Sent::server)
                        .distinct()
                        .count());
    }

    @Test
    void balancersThatShareNothingFindTheSameHomes() {
        World other = new World(false, 99).list(ListKind.FULL, "b3", "a2", "a1");
        for (int i = 0; i < 50; i++) {
            String id = "r" + i;
            world.ask(id, READ, "k" + i).answer(id, Code.OK);
            other.ask(id, READ, "k" + i).answer(id, Code.OK);
            assertEquals(world.serverOf(id), other.serverOf(id));
        }
    }

    @Test
    void aHotKeyGetsMoreHomesAcrossBalancersAndRetriedFailuresAreNotHeat() {
        String[] fleet = {"a1", "a2", "b3", "a4", "b5", "a6", "b7", "a8", "b9"};
        List<String> hot = new ArrayList<>();
        List<String> failing = new ArrayList<>();
        for (int b = 0; b < 20; b++) {
            World one = new World(false, b).list(ListKind.FULL, fleet);
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
            world.ask("r" + i, READ, "k" + i).answer("r" + i, Code.OK);
            before.put("k" + i, world.serverOf("r" + i));
        }
        assertEquals(3, before.values().stream().distinct().count());
        world.list(ListKind.FULL, "a1", "b3");
        for (int i = 0; i < 60; i++) {
            world.ask("s" + i, READ, "k" + i).answer("s" + i, Code.OK);
            String home = before.get("k" + i);
            if (home.equals("a2")) {
                assertNotEquals("a2", world.serverOf("s" + i));
            } else {
                assertEquals(home, world.serverOf("s" + i));
            }
        }
    }

    @Test
    void aPacedLaneHoldsItsNextSendUntilTheIntervalHasPassed() {
        World one = new World(false).list(ListKind.FULL, "a1");
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
        World one = new World(false).list(ListKind.FULL, "a1");
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
    void whatCannotLeaveInTimeIsRefusedEarly() {
        World one = new World(false).list(ListKind.FULL, "a1");
        for (int round = 0; round < 12; round++) {
            one.ask("f" + round, READ, "k").answer("f" + round, Code.FULL).pass(500 * MS);
        }
        for (int i = 0; i < 30; i++) {
            one.ask("r" + i, READ, "k");
        }
        assertTrue(one.recorder.count("refuse r") > 0, "refused at once, not when time is up");
        assertTrue(one.recorder.count("refuse r") < 30, "some can still leave");
    }

    @Test
    void anUnsafeRequestThatMayHaveRunIsNeitherRepeatedNorRefused() {
        world.ask("u", CHARGE, "k").answer("u", Code.RESET).pass(3000 * MS);
        assertEquals(1, world.sends("u"));
        assertTrue(world.recorder.has("fail u"));
        assertEquals(0, world.recorder.count("refuse u"));
    }

    @Test
    void aRetryAfterAFullAnswerGoesElsewhereAndTheKeyStays() {
        world.ask("r", READ, "k");
        String home = world.serverOf("r");
        world.answer("r", Code.FULL).pass(100 * MS);
        String second = world.serverOf("r");
        assertNotEquals(home, second);
        world.answer("r", Code.FULL).pass(100 * MS);
        assertEquals(
                3,
                world.recorder.sent.stream()
                        .map(Recorder.Sent::server)
                        .distinct()
                        .count());
        world.answer("r", Code.OK).ask("s", READ, "k");
        assertEquals(home, world.serverOf("s"));
    }

    /** A server that answers reads but lets charges wait says so by the first; it is tried again, and comes back. */
    @Test
    void aClassThatAServerIsSilentToGoesElsewhere() {
        world.ask("u", CHARGE, "k");
        String home = world.serverOf("u");
        world.ask("r", READ, "k").pass(10 * MS).answer("r", Code.OK);
        assertEquals(home, world.serverOf("r"));
        world.pass(600 * MS).ask("v", CHARGE, "k").ask("s", READ, "k");
        assertNotEquals(home, world.serverOf("v"), "each further one would be lost as well");
        assertEquals(home, world.serverOf("s"), "reads are well there");
        world.answer("v", Code.OK).answer("s", Code.OK).pass(3000 * MS);
        world.pass(World.COLD_TIME).ask("w", CHARGE, "k");
        assertEquals(home, world.serverOf("w"), "a paced trial");
        world.answer("w", Code.OK)
                .pass(2 * World.COLD_TIME)
                .ask("x", CHARGE, "k")
                .answer("x", Code.OK);
        world.ask("y", CHARGE, "k").ask("z", CHARGE, "k");
        assertEquals(home, world.serverOf("y"));
        assertEquals(home, world.serverOf("z"), "no trial any more");
    }

    /** Quick errors free a server for more at once; that must not draw all work to it. */
    @Test
    void aServerThatIsQuickWithErrorsLosesTheClass() {
        world.ask("a", READ, "k");
        String home = world.serverOf("a");
        world.answer("a", Code.ERROR).pass(100 * MS);
        assertEquals(home, world.serverOf("a"), "one may be chance");
        world.answer("a", Code.ERROR).pass(100 * MS);
        assertNotEquals(home, world.serverOf("a"));
        world.answer("a", Code.OK).ask("b", READ, "k");
        assertNotEquals(home, world.serverOf("b"));
    }

    /** Elsewhere it would be a miss again each time, wherever just then least is held. */
    @Test
    void aKeyWhoseHomeIsLeftOutStaysWhereItsCopyIs() {
        World one = new World(false).list(ListKind.FULL, "a1", "a2", "a3", "a4");
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

    /** The ledger fails: what it has to be asked for is paced and refused, and what is kept is served as ever. */
    @Test
    void failingFetchesArePacedAndKeptOnesAreNot() {
        for (int i = 0; i < 20; i++) {
            world.ask("w" + i, READ, "kept" + i)
                    .answer("w" + i, Code.OK, 50 * MS, CacheStatus.MISS)
                    .pass(20 * MS);
        }
        for (int i = 0; i < 40; i++) {
            world.ask("f" + i, READ, "new" + i);
            if (world.sends("f" + i) > 0) {
                world.answer("f" + i, Code.ERROR, 400 * MS, CacheStatus.NONE);
            }
            world.pass(5 * MS);
        }
        int before = world.recorder.sent.size();
        for (int i = 0; i < 40; i++) {
            world.ask("g" + i, READ, "other" + i);
        }
        int fetches = world.recorder.sent.size() - before;
        assertTrue(fetches < 10, "fetches let out at once: " + fetches);
        for (int i = 0; i < 20; i++) {
            world.ask("h" + i, READ, "kept" + i);
            assertEquals(1, world.sends("h" + i), "a hit waits for nobody");
            world.answer("h" + i, Code.OK, 20 * MS, CacheStatus.HIT);
        }
        world.ask("s", SAVE, "kept3").answer("s", Code.OK).ask("i", READ, "kept3");
        assertEquals(0, world.sends("i"), "a write has voided it");
    }

    /**
     * In a large fleet a few servers that fail a class meet each balancer seldom, so that it goes on trying them for
     * long: their errors are no news of the ledger, and what the others have to fetch is not paced for them.
     */
    @Test
    void errorsOfFewServersLeaveFetchesAtTheOthersAlone() {
        Set<String> few = Set.of(ids(20));
        long rest = meanRestOfTheLedger((server, hit) -> few.contains(server));
        assertTrue(rest < 20 * MS, "the ledger's lanes rest in the mean, in us: " + rest);
    }

    /** The ledger fails half of what it is asked for behind a large fleet, and hits are good at all servers. */
    @Test
    void errorsOfFetchesAtAllServersAreTheLedgers() {
        SplittableRandom chance = new SplittableRandom(1);
        long rest = meanRestOfTheLedger((server, hit) -> !hit && chance.nextBoolean());
        assertTrue(rest > 100 * MS, "the ledger's lanes rest in the mean, in us: " + rest);
    }

    /**
     * A proxy among many asks for keys that others have had fetched: most of its forecasts are hits. What comes back
     * counts for the lane that let it out, as what does not come back counts against it, whether it was a fetch or not.
     */
    @Test
    void forecastsThatWereHitsCountForTheLanesThatLetThemOut() {
        world.ask("w", READ, "kept").answer("w", Code.OK, 50 * MS, CacheStatus.MISS);
        for (int i = 0; i < 6; i++) {
            world.ask("e" + i, READ, "lost" + i, i % 2);
        }
        for (int i = 0; i < 6; i++) {
            world.answer("e" + i, Code.ERROR);
        }
        assertTrue(restOfTheLedger(world) > 0);
        for (int i = 0, met = world.recorder.sent.size(); i < 300; i++) {
            world.ask("f" + i, READ, "new" + i, i % 2).pass(15 * MS);
            for (; met < world.recorder.sent.size(); met++) {
                world.answer(world.recorder.sent.get(met).request(), Code.OK, 15 * MS, CacheStatus.HIT);
            }
        }
        assertEquals(0, restOfTheLedger(world));
    }

    /** Two in three forecasts are hits and every fetch fails: the hits do not hide that from the lanes. */
    @Test
    void hitsAmongForecastsDoNotHideALedgerThatFails() {
        world.ask("w", READ, "kept").answer("w", Code.OK, 50 * MS, CacheStatus.MISS);
        long rest = 0;
        for (int i = 0, met = 1; i < 600; i++) {
            world.ask("f" + i, READ, "new" + i, i % 2).pass(100 * MS);
            for (; met < world.recorder.sent.size(); met++) {
                boolean hit = met % 3 > 0;
                world.answer(
                        world.recorder.sent.get(met).request(),
                        hit ? Code.OK : Code.ERROR,
                        50 * MS,
                        hit ? CacheStatus.HIT : CacheStatus.NONE);
            }
            rest += restOfTheLedger(world);
        }
        assertTrue(rest / 600 > 50 * MS, "the ledger's lanes rest in the mean, in us: " + rest / 600);
    }

    /** The ledger is the last of a view. */
    private static long restOfTheLedger(World one) {
        List<Balancer.ServerView> all = one.balancer.view(one.now).servers();
        return all.get(all.size() - 1).meanInterval();
    }

    private static String[] ids(int servers) {
        return IntStream.range(0, servers).mapToObj(i -> "a" + i).toArray(String[]::new);
    }

    /** 40 s of 50 reads a second at 60 servers, a fourth of them fetches, each of 200 ms; some fail after 10 s. */
    private static long meanRestOfTheLedger(BiPredicate<String, Boolean> fails) {
        World one = new World(false).list(ListKind.FULL, ids(60));
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
            rest += restOfTheLedger(one);
        }
        return rest / 2_000;
    }

    /** A ledger that fails all for long is let go at no server in turn: each answers no good one in between. */
    @Test
    void errorsOfAllServersGoOnBeingTheLedgers() {
        world.ask("w", READ, "kept").answer("w", Code.OK, 50 * MS, CacheStatus.MISS);
        long rest = 0;
        for (int i = 0, answered = 1; i < 400; i++) {
            world.ask("f" + i, READ, "new" + i, i % 2).pass(150 * MS);
            for (; answered < world.recorder.sent.size(); answered++) {
                world.answer(world.recorder.sent.get(answered).request(), Code.ERROR, 150 * MS);
            }
            rest += restOfTheLedger(world);
        }
        assertTrue(rest / 400 > 250 * MS, "the ledger's lanes rest in the mean, in us: " + rest / 400);
    }

    /** Paced trials find the way back when the ledger answers again, without anything having to succeed first. */
    @Test
    void fetchesComeBackByThemselves() {
        world.ask("w", READ, "kept").answer("w", Code.OK, 50 * MS, CacheStatus.MISS);
        int answered = 1;
        for (int i = 0; i < 1_000; i++) {
            if (i < 60) {
                world.ask("f" + i, READ, "new" + i);
            }
            for (; answered < world.recorder.sent.size(); answered++) {
                world.answer(world.recorder.sent.get(answered).request(), Code.ERROR, 400 * MS, CacheStatus.NONE);
            }
            world.pass(10 * MS);
        }
        for (int i = 0; i < 30; i++) {
            world.ask("g" + i, READ, "later" + i);
            assertEquals(1, world.sends("g" + i), "after so long a rest nothing is left of the intervals");
            world.answer("g" + i, Code.OK, 50 * MS, CacheStatus.MISS);
        }
    }

    /** A fetch that takes long tells of the ledger: the lanes of its server stay as they were. */
    @Test
    void lateFetchesLeaveTheServersLanesAlone() {
        for (int i = 0; i < 30; i++) {
            world.ask("w" + i, READ, "k")
                    .answer("w" + i, Code.OK, 450 * MS, CacheStatus.MISS)
                    .pass(20 * MS);
        }
        long longest = world.balancer.view(world.now).servers().stream()
                .mapToLong(Balancer.ServerView::meanInterval)
                .max()
                .orElseThrow();
        assertEquals(0, longest);
        for (int i = 0; i < 30; i++) {
            world.ask("l" + i, READ, "k")
                    .answer("l" + i, Code.OK, 450 * MS, CacheStatus.HIT)
                    .pass(20 * MS);
        }
        assertTrue(world.balancer.view(world.now).servers().stream().anyMatch(s -> s.meanInterval() > 0));
    }

    /** Errors on all sides come from the origin behind, and moving keys would only add to its load. */
    @Test
    void errorsOnAllSidesLeaveKeysAtHome() {
        Map<String, String> homes = new HashMap<>();
        for (int round = 0; round < 4; round++) {
            for (int i = 0; i < 30; i++) {
                String id = "r" + round + "-" + i;
                world.ask(id, READ, "k" + i);
                homes.putIfAbsent("k" + i, world.serverOf(id));
            }
            for (int i = 0; i < 30; i++) {
                world.answer("r" + round + "-" + i, Code.ERROR);
            }
            world.pass(3000 * MS);
        }
        for (int i = 0; i < 30; i++) {
            world.ask("last" + i, READ, "k" + i);
            assertEquals(homes.get("k" + i), world.serverOf("last" + i));
        }
    }

    @Test
    void anUnsafeRequestThatNeverRanIsRepeated() {
        world.ask("u", CHARGE, "k").answer("u", Code.FULL).pass(100 * MS);
        assertEquals(2, world.sends("u"));
    }

    @Test
    void aKeyedRequestIsRepeatedOnlyWithinItsWindow() {
        world.ask("in", SAVE, "k").answer("in", Code.ERROR).pass(10 * MS);
        assertEquals(2, world.sends("in"));
        world.ask("out", SAVE, "k").pass(950 * MS).answer("out", Code.ERROR).pass(3000 * MS);
        assertEquals(1, world.sends("out"));
        assertTrue(world.recorder.has("refuse out"), "the group is all, so a refusal stays true");
    }

    @Test
    void aKeyedRequestStaysInItsGroup() {
        for (int i = 0; i < 20; i++) {
            String id = "z" + i;
            world.ask(id, SAVE_IN_ZONE, "k" + i);
            char zone = world.serverOf(id).charAt(0);
            world.answer(id, Code.ERROR).pass(10 * MS);
            assertEquals(zone, world.serverOf(id).charAt(0));
            world.pass(3000 * MS);
            assertTrue(world.recorder.has("fail " + id) || world.sends(id) == 4);
            assertEquals(0, world.recorder.count("refuse " + id));
        }
    }

    @Test
    void everyRequestEndsOnceAndInTime() {
        world.ask("r", READ, "k").ask("u", CHARGE, "k").pass(2000 * MS);
        assertEquals(1, world.recorder.count("refuse r") + world.recorder.count("fail r"));
        assertEquals(1, world.recorder.count("fail u"));
    }

    @Test
    void nothingIsSentWithoutAServerAndHeldWorkLeavesWhenOneAppears() {
        World empty = new World(false).list(ListKind.CACHED);
        empty.ask("r", READ, "k").pass(500 * MS);
        assertEquals(0, empty.sends("r"));
        empty.list(ListKind.CHANGES, "a1");
        assertEquals("a1", empty.serverOf("r"));
        empty.list(ListKind.FULL).ask("s", READ, "k").pass(2100 * MS);
        assertTrue(empty.recorder.has("refuse s"));
    }

    @Test
    void heldWorkLeavesADrainingServerAtOnce() {
        World two = new World(false).list(ListKind.FULL, "a1");
        two.ask("f", READ, "k").ask("g", READ, "k").answer("f", Code.FULL).answer("g", Code.FULL);
        two.ask("r", READ, "k");
        assertEquals(0, two.sends("r"));
        two.list(ListKind.CHANGES, List.of(World.server("a1", State.DRAINING, 0), World.server("b2", State.READY, 0)));
        assertEquals("b2", two.serverOf("r"));
        two.pass(3000 * MS);
        long late = two.recorder.sent.stream()
                .skip(2)
                .filter(s -> s.server().equals("a1"))
                .count();
        assertEquals(0, late);
    }

    @Test
    void aFailedListIsAskedForAgainAndTheOldOneServes() {
        world.list(ListKind.FAILED);
        assertEquals(1, world.recorder.count("subscribe"));
        world.pass(10_000 * MS);
        assertEquals(2, world.recorder.count("subscribe"));
        world.ask("r", READ, "k");
        assertEquals(1, world.sends("r"));
    }

    @Test
    void aSilentServerIsLeftUntilItAnswersATrial() {
        for (int i = 0; i < 30; i++) {
            world.ask("w" + i, READ, "k").answer("w" + i, Code.OK).pass(50 * MS);
        }
        String silent = world.serverOf("w0");
        world.ask("r", READ, "k").ask("q", READ, "k").pass(1000 * MS);
        assertTrue(world.recorder.has("cancel r 0"), "called back long before its time is up");
        world.answer("r", Code.CANCELLED).pass(10 * MS);
        assertNotEquals(silent, world.serverOf("r"));
        int others = 0;
        for (int i = 0; i < 20; i++) {
            world.ask("s" + i, READ, "k");
            if (world.serverOf("s" + i).equals(silent)) {
                world.answer("s" + i, Code.CONNECT_FAILED);
            } else {
                others++;
                world.answer("s" + i, Code.OK);
            }
            world.pass(50 * MS);
        }
        assertTrue(others >= 17, "only paced trials go to it, not " + (20 - others) + " of 20");
    }

    /** Taken for silent too soon, a healthy server loses its keys, and their misses load the origin. */
    @Test
    void aServerIsNotSuspectBeforeTheAimHasPassed() {
        World world = new World(false).list(ListKind.FULL, "a1", "a2", "b3").pass(MS);
        world.ask("r", READ, "k").ask("q", READ, "k").pass(490 * MS);
        assertEquals(0, world.recorder.count("log server not responding"));
        world.pass(20 * MS);
        assertEquals(1, world.recorder.count("log server not responding"));
    }

    /** A pause of our own looks like silence on all sides; moving most keys would make it worse. */
    @Test
    void noMoreThanAThirdOfTheServersAreSuspect() {
        World world = new World(false)
                .list(ListKind.FULL, "a1", "a2", "b3", "a4", "b5", "a6", "b7", "a8", "b9")
                .pass(MS);
        for (int i = 0; i < 60; i++) {
            world.ask("r" + i, READ, "k" + i);
        }
        world.pass(1500 * MS);
        assertEquals(3, world.recorder.count("log server not responding"));
    }

    /** Sixty servers in each of two zones; one zone falls silent after so many requests. Returns the world then. */
    private static World zoneLost(List<String> lost, List<String> kept) {
        for (int i = 0; i < 60; i++) {
            lost.add("a" + i);
            kept.add("b" + i);
        }
        List<String> all = new ArrayList<>(lost);
        all.addAll(kept);
        World world =
                new World(false).list(ListKind.FULL, all.toArray(String[]::new)).pass(MS);
        for (int i = 0; i < 200; i++) {
            world.ask("w" + i, READ, "warm" + i).answer("w" + i, Code.OK).pass(5 * MS);
        }
        for (int i = 0; i < 80; i++) {
            world.ask("r" + i, READ, "k" + i);
            if (kept.contains(world.serverOf("r" + i))) {
                world.answer("r" + i, Code.OK);
            }
            world.pass(20 * MS);
        }
        return world;
    }

    /** No server of it is asked twice: what is known of it is known of the zone. */
    @Test
    void aSilentZoneIsLeftThoughEachOfItsServersWasAskedOnceAtMost() {
        List<String> lost = new ArrayList<>();
        List<String> kept = new ArrayList<>();
        World world = zoneLost(lost, kept);
        assertTrue(world.recorder.has("log server not responding: zone "
                + World.server("a0", State.READY, 0).zone()));
        assertTrue(world.recorder.has("cancel r79 0") || kept.contains(world.serverOf("r79")));
        int there = 0;
        for (int i = 0; i < 60; i++) {
            world.ask("s" + i, READ, "new" + i);
            there += lost.contains(world.serverOf("s" + i)) ? 1 : 0;
            world.answer("s" + i, lost.contains(world.serverOf("s" + i)) ? Code.CONNECT_FAILED : Code.OK)
                    .pass(20 * MS);
        }
        assertTrue(there >= 1 && there <= 5, "paced trials only, not " + there + " of 60");
    }

    /** One answer to a trial brings the whole zone back, as cold as it may be. */
    @Test
    void aZoneThatAnswersAgainIsUsedAgainLittleByLittle() {
        List<String> lost = new ArrayList<>();
        List<String> kept = new ArrayList<>();
        World world = zoneLost(lost, kept);
        int there = 0;
        int first = -1;
        for (int i = 0; i < 900; i++) {
            world.ask("s" + i, READ, "new" + i);
            if (lost.contains(world.serverOf("s" + i))) {
                there++;
                first = first < 0 ? i : first;
            }
            world.answer("s" + i, Code.OK).pass(20 * MS);
            if (i == first + 50 && first >= 0) {
                assertTrue(there <= 20, "cold at first: " + there + " of 50");
            }
        }
        assertTrue(first >= 0 && there >= 300, "half of the servers are there again: " + there + " of 900");
    }

    /** An answer from the zone, or silence on all sides, says that it is not the zone. */
    @Test
    void aZoneIsNotLeftForSilenceOfSomeOfItsServersOrOnAllSides() {
        World world = new World(false)
                .list(ListKind.FULL, "a1", "a2", "a3", "a4", "a5", "b1", "b2", "b3", "b4", "b5")
                .pass(MS);
        for (int i = 0; i < 200; i++) {
            world.ask("r" + i, READ, "k" + i);
            if (world.serverOf("r" + i) != null && !world.serverOf("r" + i).matches("a[123]")) {
                world.answer("r" + i, Code.OK);
            }
            world.pass(20 * MS);
        }
        for (int i = 0; i < 50; i++) {
            world.ask("q" + i, READ, "x" + i);
        }
        world.pass(3000 * MS);
        assertEquals(0, world.recorder.count("log server not responding: zone"));
    }

    /** Far servers answer late by the way there and back alone, which sending less does not shorten. */
    @Test
    void theWayToAServerDoesNotCountAsLateness() {
        World world = new World(false).list(ListKind.FULL, "a1");
        world.ask("near", READ, "k").answer("near", Code.OK, 200 * MS);
        for (int i = 0; i < 10; i++) {
            world.ask("r" + i, READ, "k").answer("r" + i, Code.OK, 300 * MS);
        }
        int before = world.recorder.sent.size();
        world.ask("x", READ, "k").ask("y", READ, "k").ask("z", READ, "k");
        assertEquals(before + 3, world.recorder.sent.size(), "no lane is paced");
    }

    @Test
    void aFailedConnectionMakesAServerSuspectAndTrialsAreFew() {
        World many = new World(false).list(ListKind.FULL, "a1", "a2", "b3", "a4", "b5", "a6", "b7");
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
    void aColdServerGetsItsPartOnly() {
        for (int i = 0; i < 400; i++) {
            world.ask("w" + i, READ, "k" + i % 40).answer("w" + i, Code.OK).pass(10 * MS);
        }
        world.list(ListKind.CHANGES, List.of(World.server("a9", State.READY, world.now)));
        for (int i = 0; i < 100; i++) {
            world.ask("c" + i, READ, "new" + i).answer("c" + i, Code.OK).pass(10 * MS);
        }
        long cold = world.recorder.sent.stream()
                .filter(s -> s.server().equals("a9"))
                .count();
        assertTrue(cold > 0 && cold <= 100 / 4 * 0.4 + 1, "a part of a fair quarter of 100, was " + cold);
    }

    @Test
    void theAllowanceOfAColdServerHoldsSummedOverManyQuietBalancers() {
        long cold = 0;
        long warm = 0;
        for (int b = 0; b < 300; b++) {
            World quiet = new World(false, b).list(ListKind.FULL, "a1", "a2", "b3");
            for (int i = 0; i < 20; i++) {
                quiet.ask("w" + i, READ, "k" + b + "-" + i)
                        .answer("w" + i, Code.OK)
                        .pass(500 * MS);
            }
            quiet.list(ListKind.CHANGES, List.of(World.server("a9", State.READY, quiet.now)));
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
        double bound = warm / 3.0 * 0.5 * 1.5; // three seconds' warmth at the most, and the room over it
        assertTrue(cold > bound / 4 && cold < bound, cold + " sends to the cold server, bound " + bound);
    }

    @Test
    void manyColdServersDoNotStarveEachOther() {
        for (int i = 0; i < 600; i++) {
            world.ask("w" + i, READ, "k" + i % 40).answer("w" + i, Code.OK).pass(10 * MS);
        }
        List<Balancer.Server> fresh = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            fresh.add(World.server("a" + (50 + i), State.READY, world.now));
        }
        world.list(ListKind.CHANGES, fresh);
        for (int i = 0; i < 200; i++) {
            world.ask("c" + i, READ, "new" + i).answer("c" + i, Code.OK).pass(10 * MS);
        }
        long cold = world.recorder.sent.stream()
                .filter(s -> s.server().length() == 3)
                .count();
        double part = 200 / 3.0 * 0.4 * 1.5; // of a warm server's two seconds, at two seconds' warmth and room
        assertTrue(cold > 100, "nine cold servers take most of the new keys, was " + cold);
        assertTrue(cold < 9 * part * 1.2, "and none more than its part, was " + cold);
    }

    @Test
    void missesOfOneKeyShareAFetch() {
        World aside = new World(true).list(ListKind.FULL, "a1", "a2", "origin");
        aside.ask("r", READ, "k").ask("s", READ, "k").answer("r", Code.MISS).answer("s", Code.MISS);
        assertEquals(
                1,
                aside.recorder.sent.stream()
                        .filter(x -> x.server().equals("origin"))
                        .count());
        aside.ask("t", READ, "k");
        assertEquals(0, aside.sends("t"), "waits for the fetch that is out");
        aside.answer("r", Code.OK);
        assertEquals(2, aside.sends("s"));
        assertNotEquals("origin", aside.serverOf("s"));
        assertNotEquals("origin", aside.serverOf("t"));
    }

    @Test
    void aFullOriginIsPacedBeforeItIsUsedMore() {
        World aside = new World(true).list(ListKind.FULL, "a1", "a2", "origin");
        aside.ask("v", SAVE, "k").ask("w", SAVE, "l").answer("v", Code.FULL).answer("w", Code.FULL);
        int before = aside.recorder.sent.size();
        aside.ask("x", SAVE, "m");
        assertEquals(before, aside.recorder.sent.size(), "as few lanes as any server has to begin with");
        aside.pass(50 * MS);
        assertTrue(aside.recorder.sent.size() > before);
    }

    @Test
    void aRationIsNotSpentOnCallBacks() {
        World few = new World(false, 7, World.rationed(World.settings(false), 2, 0.1, 5000 * MS))
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
        World aside = new World(true).list(ListKind.FULL, "a1", "a2", "origin");
        aside.ask("w", SAVE, "k");
        assertEquals("origin", aside.serverOf("w"));
    }

    @Test
    void overShareWorkGivesWayUnderPressureOnly() {
        World one = new World(false).list(ListKind.FULL, "a1");
        for (int i = 0; i < 200; i++) {
            one.ask("r" + i, READ, "k", 1).answer("r" + i, Code.OK).pass(5 * MS);
        }
        assertEquals(0, one.recorder.count("refuse"), "there is room");
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
            world.ask(id, READ, "k" + i);
            while (world.sends(id) > 0 && !world.recorder.has("refuse " + id) && world.sends(id) < 4) {
                world.answer(id, Code.ERROR).pass(5 * MS);
            }
            world.answer(id, Code.ERROR).pass(5 * MS);
        }
        assertTrue(world.recorder.sent.size() < 100 * 1.2, "attempts: " + world.recorder.sent.size());
    }

    @Test
    void lateAnswersPaceAServerAndPacedLanesCarryOneRequestEach() {
        World one = new World(false).list(ListKind.FULL, "a1");
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
        assertEquals(1, one.sends("r4"), "the newest leaves first");
        one.answer("r4", Code.OK).pass(60 * MS);
        assertEquals(15, one.recorder.sent.size());
    }

    @Test
    void aBusyBalancerHasMoreLanes() {
        World one = new World(false).list(ListKind.FULL, "a1");
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
        world.ask("r", READ, "k");
        int before = world.recorder.sent.size();
        world.balancer.outcome(
                world.now, new Balancer.Outcome("r", 5, Code.FULL, 0, false, Balancer.CacheStatus.NONE, null));
        world.balancer.outcome(
                world.now, new Balancer.Outcome("x", 0, Code.OK, 0, true, Balancer.CacheStatus.NONE, null));
        world.balancer.timer(world.now, 123);
        world.balancer.abandoned(world.now, "y");
        world.balancer.probed(world.now, "z", true, null);
        assertEquals(before, world.recorder.sent.size());
        assertEquals(0, world.recorder.count("refuse") + world.recorder.count("fail"));
    }

    @Test
    void theSameEventsGiveTheSameActions() {
        List<List<String>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            RandomEvents events = new RandomEvents(5, false);
            events.run(3000);
            runs.add(events.world.recorder.lines);
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
    void theRationHoldsOverRandomLegalEvents() {
        int resent = 0;
        for (int seed = 0; seed < 30; seed++) {
            RandomEvents events = new RandomEvents(seed, seed % 2 == 1, 2, 0.05, 3000 * MS);
            events.run(1500);
            resent += events.resentInAll;
        }
        assertTrue(resent > 300, "the ration is used, not only kept: " + resent);
    }

    @Test
    void theRationCheckerSeesACountOffByOne() {
        assertThrows(AssertionError.class, () -> {
            for (int seed = 0; seed < 10; seed++) {
                RandomEvents events = new RandomEvents(seed, false, 3, 0.05, 3000 * MS);
                events.free = 2;
                events.run(1500);
            }
        });
    }

    @Test
    void whatHasOnlyWaitedIsRefusedOnceItWouldComeTooLateToBeOfUse() {
        World one = new World(false);
        one.ask("r", READ, "k").pass(500 * MS);
        assertEquals(0, one.recorder.count("refuse r"), "it may still be of use");
        one.pass(400 * MS);
        assertTrue(one.recorder.has("refuse r"), "at 1.7 wanted times, long before its deadline");
    }

    @Test
    void refusedClientsComeBackLaterTheLongerAStormLasts() {
        World one = new World(false);
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

    /** An estimate that refuses all that could correct it would hold for ever. */
    @Test
    void aLedgerThatWasSlowIsTriedAgain() {
        World one = new World(false).list(ListKind.FULL, "a1");
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
            assertEquals(1, one.sends("r" + i), "nothing else is out, and the storm is long over");
            one.answer("r" + i, Code.OK).pass(500 * MS);
        }
    }

    /** A world whose balancer knows that answers tell what was fetched. */
    private static World telling() {
        World one = new World(false).list(ListKind.FULL, "a1");
        one.ask("first", READ, "other")
                .answer("first", Code.OK, 50 * MS, CacheStatus.MISS)
                .pass(1_000 * MS);
        return one;
    }

    @Test
    void aKeyIsFetchedOnceAtATimeAndWhoeverFollowsFindsItKept() {
        World one = telling();
        for (int i = 0; i < 5; i++) {
            one.ask("r" + i, READ, "k").pass(5 * MS);
        }
        assertEquals(2, one.recorder.sent.size(), "one fetch of the key");
        one.answer("r0", Code.OK, 60 * MS, CacheStatus.MISS).pass(100 * MS);
        assertEquals(6, one.recorder.sent.size(), "the others leave with its answer");
        for (int i = 1; i < 5; i++) {
            one.answer("r" + i, Code.OK, 10 * MS, CacheStatus.HIT);
        }
        assertEquals(0, one.recorder.count("refuse"));
    }

    @Test
    void whoFollowsAFetchGoesOnWhenItFailsOrItsClientLeaves() {
        World one = telling();
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

    /** A node that is full says so with the mark of a hit; nobody must wait for that one's next attempt. */
    @Test
    void whoFollowsAFetchGoesOnWhenItIsTurnedAway() {
        World one = telling();
        one.ask("leads", READ, "k").ask("follows", READ, "k");
        assertEquals(0, one.sends("follows"));
        one.answer("leads", Code.FULL, 5 * MS, CacheStatus.HIT);
        assertEquals(1, one.sends("follows"));
    }

    @Test
    void aFollowerThatWaitedInVainIsNotTakenForOneWithoutAServer() {
        World one = telling();
        one.ask("leads", READ, "k").ask("follows", READ, "k").pass(900 * MS);
        assertTrue(one.recorder.has("refuse follows"));
        long[] concluded = one.balancer.view(one.now).unservedByReason();
        assertEquals(0, concluded[Balancer.UnservedReason.NO_SERVER.ordinal()]);
        assertEquals(1, concluded[Balancer.UnservedReason.TIME_UP.ordinal()]);
    }
}
