package gorsemast.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsemast.lab.VirtualFleet;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The fleet's view in virtual time, under each failure that it is for. */
class FleetTest {
    private static final long SECOND = 1_000_000;
    private static final FleetSettings SETTINGS = FleetSettings.of(SECOND);

    private static VirtualFleet fleet(int many, long seed) {
        VirtualFleet fleet = new VirtualFleet(many, SETTINGS, seed, message -> 0).startAll();
        within(fleet, 15, "joined");
        return fleet;
    }

    private static long within(VirtualFleet fleet, long seconds, String what) {
        long took = fleet.await(seconds * SECOND, VirtualFleet::agree);
        assertTrue(took >= 0, () -> "not " + what + " within " + seconds + " s: " + String.join("\n", fleet.lines()));
        return took;
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 3, 12, 60})
    void allJoin(int many) {
        fleet(many, many);
    }

    @Test
    void aCrashIsFoundOutAndProven() {
        VirtualFleet fleet = fleet(12, 1);
        fleet.machine(5).kill(false);
        within(fleet, 15, "found out");
        assertEquals(Claim.State.GONE, state(fleet, 0, "p5"));
    }

    @Test
    void aMachineThatIsGoneWithItsProcessIsSilentOnly() {
        VirtualFleet fleet = fleet(12, 2);
        fleet.machine(5).kill(true);
        within(fleet, 60, "found out");
        assertEquals(Claim.State.SILENT, state(fleet, 0, "p5"));
    }

    private static Claim.State state(VirtualFleet fleet, int at, String name) {
        return fleet.machine(at).view().members().stream()
                .filter(m -> m.id().name().equals(name))
                .reduce((a, b) -> b)
                .orElseThrow()
                .state();
    }

    @Test
    void whoLeavesIsGoneAtOnce() {
        VirtualFleet fleet = fleet(12, 3);
        fleet.machine(7).leave();
        long took = within(fleet, 5, "told");
        assertTrue(took < 3 * SECOND, "took " + took);
        assertEquals(Claim.State.LEFT, state(fleet, 0, "p7"));
    }

    @ParameterizedTest
    @ValueSource(longs = {4, 5, 6})
    void mostAreKilledAndComeBackWithinASecond(long seed) {
        VirtualFleet fleet = fleet(12, seed);
        for (int i = 0; i < 10; i++) {
            fleet.machine(i).kill(false);
        }
        fleet.run(SECOND);
        for (int i = 0; i < 10; i++) {
            fleet.machine(i).start(0, 1, 2);
        }
        within(fleet, 30, "back");
        fleet.run(60 * SECOND);
        assertTrue(fleet.agree(), "did not stay so");
    }

    /** So many at once that news and one comparison can't hold them all. */
    @Test
    void mostAreGoneForAMinuteAndBackAtOnce() {
        VirtualFleet fleet = fleet(90, 22);
        for (int i = 3; i < 90; i++) {
            fleet.machine(i).kill(false);
        }
        fleet.run(60 * SECOND);
        fleet.lose(0.3, 0);
        for (int i = 3; i < 90; i++) {
            fleet.machine(i).start(0);
        }
        fleet.run(3 * SECOND);
        fleet.lose(0, 0);
        within(fleet, 12, "back");
    }

    @Test
    void allSeedsDeadAndTheRestStillHeals() {
        VirtualFleet fleet = fleet(12, 7);
        for (int i = 0; i < 3; i++) {
            fleet.machine(i).kill(true);
        }
        within(fleet, 60, "found out");
        fleet.split(n -> n % 2);
        assertTrue(fleet.await(90 * SECOND, f -> f.agree(n -> n % 2 == 0) && f.agree(n -> n % 2 == 1)) >= 0, "halves");
        fleet.heal();
        within(fleet, 60, "healed");
    }

    @Test
    void cutInThreeAndHealedInAnotherOrder() {
        VirtualFleet fleet = fleet(12, 8);
        fleet.split(n -> n % 3);
        assertTrue(
                fleet.await(
                                90 * SECOND,
                                f -> f.agree(n -> n % 3 == 0) && f.agree(n -> n % 3 == 1) && f.agree(n -> n % 3 == 2))
                        >= 0,
                "thirds");
        fleet.split(n -> n % 3 == 2 ? 1 : 0);
        assertTrue(fleet.await(60 * SECOND, f -> f.agree(n -> n % 3 != 2)) >= 0, "two thirds");
        fleet.heal();
        within(fleet, 60, "healed");
    }

    @Test
    void aOneWayCutBetweenTwoHurtsNobody() {
        VirtualFleet fleet = fleet(6, 9);
        fleet.cut((from, to) -> from == 1 && to == 2);
        for (int i = 0; i < 120; i++) {
            fleet.run(SECOND);
            assertEquals(0, fleet.falselyDead(), "after " + i + " s");
            assertEquals(0, fleet.suspicions(), "suspected after " + i + " s, though others reach it");
        }
        assertTrue(fleet.agree(), "views differ");
    }

    @Test
    void oneThatOnlySomeCanReachStays() {
        VirtualFleet fleet = fleet(8, 10);
        fleet.cut((from, to) -> (from == 7) != (to == 7) && Math.min(from, to) < 4);
        for (int i = 0; i < 120; i++) {
            fleet.run(SECOND);
            assertEquals(0, fleet.falselyDead(), "after " + i + " s");
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14})
    void aFifthOfAllLostForAMinuteAndNobodyIsCalledDead(long seed) {
        VirtualFleet fleet = fleet(12, seed);
        fleet.lose(0.2, 0.1);
        fleet.delays(500, 60_000);
        for (int i = 0; i < 60; i++) {
            fleet.run(SECOND);
            assertEquals(0, fleet.falselyDead(), "after " + i + " s");
        }
        fleet.lose(0, 0);
        within(fleet, 30, "quiet again");
    }

    @Test
    void stoppedForHalfAMinuteAndBackFullOfOldBeliefs() {
        VirtualFleet fleet = fleet(12, 15);
        fleet.machine(4).stop(true);
        fleet.run(30 * SECOND);
        assertTrue(fleet.machine(0).view().live() == 11, "not found out");
        fleet.machine(4).stop(false);
        within(fleet, 20, "back");
        fleet.run(60 * SECOND);
        assertTrue(fleet.agree(), "it called others dead");
    }

    @Test
    void whoIsSlowAsAWholeDoubtsItselfFirst() {
        VirtualFleet fleet = fleet(12, 16);
        fleet.machine(3).slow(700_000);
        for (int i = 0; i < 60; i++) {
            fleet.run(SECOND);
            for (int other = 0; other < 12; other++) {
                for (int about = 0; about < 12; about++) {
                    int of = about;
                    boolean dead = fleet.machine(other).view().members().stream()
                            .anyMatch(m ->
                                    m.id().name().equals("p" + of) && !m.state().live());
                    assertTrue(about == 3 || !dead, "p" + other + " calls p" + about + " dead after " + i + " s");
                }
            }
        }
    }

    @Test
    void aRestartEndsItsOldSelfAtOnceEvenWithItsClockSetBack() {
        VirtualFleet fleet = fleet(6, 17);
        ProcessId old = fleet.machine(2).fleet().self();
        fleet.machine(2).kill(false);
        fleet.machine(2).clock(-500_000);
        fleet.machine(2).start(0, 1);
        within(fleet, 10, "back");
        ProcessId now = fleet.machine(2).fleet().self();
        assertTrue(now.generation() > old.generation(), old + " is not before " + now);
    }

    @Test
    void twoMachinesOfOneNameAreReportedAndNeitherEndsTheOther() {
        VirtualFleet fleet = fleet(4, 18);
        Fleet[] twin = new Fleet[1];
        Recorded actions = new Recorded();
        twin[0] = new Fleet(SETTINGS, new ProcessId("p1", Long.MAX_VALUE / 2), "10.0.0.99:1", 1, actions);
        FleetView before = fleet.machine(0).view();
        fleet.machine(0)
                .fleet()
                .received(
                        fleet.now(),
                        "10.0.0.99:1",
                        new Message(
                                Message.Kind.GOSSIP,
                                twin[0].self(),
                                null,
                                0,
                                "",
                                null,
                                0,
                                java.util.List.of(),
                                java.util.List.of(
                                        new Message.Rumor(Claim.first(twin[0].self(), "10.0.0.99:1"), "p1"))));
        fleet.machine(0)
                .fleet()
                .received(
                        fleet.now(),
                        "10.0.0.99:1",
                        new Message(
                                Message.Kind.GOSSIP,
                                twin[0].self(),
                                null,
                                0,
                                "",
                                null,
                                0,
                                java.util.List.of(),
                                java.util.List.of()));
        assertEquals(before.live() + 1, fleet.machine(0).view().live(), "one ended the other");
        fleet.run(SECOND * 3);
        assertTrue(fleet.lines().stream().anyMatch(line -> line.contains("name p1 is used at")), "not reported");
    }

    @Test
    void aLaterGenerationAtAnAddressEndsTheEarlierByHearsay() {
        Fleet one = new Fleet(SETTINGS, new ProcessId("me", 1), "10.0.0.0:1", 1, new Recorded());
        one.start(0, java.util.List.of());
        for (long generation : new long[] {5, 7, 6}) {
            Claim claim = Claim.first(new ProcessId("p", generation), "10.0.0.7:1");
            one.received(
                    generation,
                    "10.0.0.8:1",
                    new Message(
                            Message.Kind.GOSSIP,
                            new ProcessId("q", 1),
                            null,
                            0,
                            "",
                            null,
                            0,
                            java.util.List.of(),
                            java.util.List.of(new Message.Rumor(claim, "p"))));
        }
        FleetView view = one.view(9);
        assertEquals(2, view.live());
        assertTrue(
                view.members().stream()
                        .anyMatch(m -> m.id().generation() == 7 && m.state().live()),
                view.toString());
    }

    @Test
    void threeHundredNamesAreNotRemembered() {
        FleetSettings few = new FleetSettings(SECOND, SECOND / 2, 3, 4, 6, true, 3, 30, 5 * SECOND, 40, 3_600 * SECOND);
        Recorded actions = new Recorded();
        Fleet one = new Fleet(few, new ProcessId("me", 1), "10.0.0.0:1", 1, actions);
        one.start(0, java.util.List.of());
        for (int i = 1; i <= 300; i++) {
            ProcessId id = new ProcessId("n" + i, i);
            Claim claim = Claim.first(id, "10.0.1." + i + ":1");
            one.received(
                    i * 1_000L,
                    claim.address(),
                    new Message(
                            Message.Kind.GOSSIP,
                            id,
                            null,
                            0,
                            "",
                            null,
                            0,
                            java.util.List.of(),
                            java.util.List.of(new Message.Rumor(claim, id.name()))));
            if (i > 12) {
                one.refused(i * 1_000L, "10.0.1." + (i - 12) + ":1");
            }
        }
        assertEquals(13, one.view(300_000).live());
        assertTrue(
                one.view(300_000).members().size() <= 13 + 40,
                "remembers " + one.view(300_000).members().size());
    }

    @Test
    void factsReachAllAndTheLastWordStays() {
        VirtualFleet fleet = fleet(12, 19);
        fleet.machine(3).fleet().facts(fleet.now(), Map.of("phase", "starting", "list", "7"));
        fleet.run(SECOND / 2);
        fleet.machine(3).fleet().facts(fleet.now(), Map.of("phase", "serving", "list", ""));
        assertTrue(fleet.await(10 * SECOND, f -> f.machines().stream().allMatch(m -> m.view().members().stream()
                        .anyMatch(v -> v.id().name().equals("p3") && v.facts().equals(Map.of("phase", "serving")))))
                >= 0);
    }

    @Test
    void aViewSaysHowSureItIs() {
        VirtualFleet fleet = fleet(6, 20);
        fleet.run(20 * SECOND);
        assertTrue(fleet.machine(0).view().sure());
        fleet.machine(1).kill(true);
        assertTrue(fleet.await(20 * SECOND, f -> !f.machine(0).view().sure()) >= 0, "still sure");
    }

    @Test
    void theSameSeedGivesTheSameRun() {
        VirtualFleet one = fleet(12, 21);
        VirtualFleet two = fleet(12, 21);
        assertEquals(one.messages(), two.messages());
        assertEquals(one.lines(), two.lines());
    }

    private static final class Recorded implements Fleet.Actions {
        @Override
        public void send(String address, Message message) {}

        @Override
        public void changed() {}

        @Override
        public void log(String text) {}
    }
}
