package gorsemast.modelcheck;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.node.FaultTolerance;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** What was acknowledged outlives each loss that is to be borne, also where the membership has just changed. */
class MembershipTest {
    private static final long SECOND = 1_000_000;

    /** A world that has run, with an acknowledged version. */
    private static StoreWorld settled(int members, int spares, int losses, long seed, Plant plant) {
        StoreWorld world =
                new StoreWorld(members, spares, FaultTolerance.ofMachines(losses), Map.of(), seed, plant).telling();
        world.calm(SECOND);
        world.machines().forEach(world::start);
        world.calm(6 * SECOND);
        put(world);
        return world;
    }

    private static void put(StoreWorld world) {
        long before = world.newest();
        world.put(world.leader(), false);
        world.calm(SECOND / 5);
        assertThat(world.newest()).as(String.join("\n", world.story())).isGreaterThan(before);
    }

    private static void reads(StoreWorld world) {
        assertThat(world.readAnswers(MembershipCheck.READ_WITHIN))
                .as(String.join("\n", world.story()))
                .isNotNegative();
    }

    private static void holds(StoreCheck.Result result) {
        assertThat(result.broken()).as(String.join("\n", result.story())).isNull();
    }

    @Test
    void fiveMembersGrowWhereTwoLossesAreToBeBorne() {
        for (int a = 1; a <= 5; a++) {
            for (int b = a + 1; b <= 5; b++) {
                StoreWorld world = settled(3, 2, 2, 31 + a * 7 + b, Plant.NONE);
                world.lose("m" + a);
                world.lose("m" + b);
                reads(world);
            }
        }
    }

    @Test
    void aMachineThatIsReplacedAtAnotherAddressMayBeFollowedByASecondLossAfterSyncTime() {
        for (String removed : List.of("m1", "m2", "m3")) {
            for (String lost : others(List.of("m1", "m2", "m3", "m4"), removed)) {
                for (int seed = 0; seed < 24; seed++) {
                    int killed = seed % 4; // all processes, so many seconds after the new one's start
                    StoreWorld world = new StoreWorld(3, 1, seed, Plant.NONE).telling();
                    world.calm(6 * SECOND);
                    world.remove(removed);
                    world.calm(SECOND);
                    world.start("m4");
                    world.calm(SECOND * killed);
                    world.quietKill();
                    world.calm(MembershipCheck.SYNC_TIME - SECOND * killed);
                    world.lose(lost);
                    reads(world);
                }
            }
        }
    }

    /** From the successor's start until the lost one is out of the view; it had 4.4 s of the 4 s when all were killed. */
    @Test
    void aLostMembersPlaceIsFilledWellWithinSyncTime() {
        for (int seed = 0; seed < 16; seed++) {
            for (String lost : List.of("m1", "m2", "m3")) {
                for (boolean sameAddress : new boolean[] {true, false}) {
                    StoreWorld world = new StoreWorld(3, 1, seed, Plant.NONE).telling();
                    world.calm(6 * SECOND);
                    world.lose(lost);
                    world.calm(SECOND);
                    world.start(sameAddress ? lost : "m4");
                    world.calm(SECOND);
                    world.quietKill();
                    long rest = 0;
                    while (rest < SECOND && !out(world, lost + "#0")) {
                        world.calm(SECOND / 40);
                        rest += SECOND / 40;
                    }
                    assertThat(rest).as(String.join("\n", world.story())).isLessThan(SECOND);
                }
            }
        }
    }

    private static boolean out(StoreWorld world, String id) {
        String leader = world.leader();
        return leader != null
                && world.replica(leader).view().previousMembers().isEmpty()
                && !world.replica(leader).view().isVoter(id);
    }

    @Test
    void aMemberThatLeavesForASpareMayBeFollowedByALossAtOnce() {
        aMemberLeavesAndAnotherIsLost(Plant.NONE);
    }

    private static void aMemberLeavesAndAnotherIsLost(Plant plant) {
        for (String leaves : List.of("m1", "m2", "m3")) {
            for (String lost : others(List.of("m1", "m2", "m3", "m4"), leaves)) {
                StoreWorld world = settled(3, 1, 1, 5, plant);
                assertThat(world.leave(leaves, MembershipCheck.GRACE)).isLessThan(SECOND / 2);
                world.remove(leaves);
                world.lose(lost);
                reads(world);
            }
        }
    }

    @Test
    void theLeavingPrimaryAndTheOnlyOtherCopyLostJustBefore() {
        theOnlyCopyLeaves(Plant.NONE);
    }

    private static void theOnlyCopyLeaves(Plant plant) {
        for (int seed = 0; seed < 8; seed++) {
            StoreWorld world = settled(3, 1, 1, seed, plant);
            String primary = world.leader();
            String backup = world.replica(primary).view().backups().get(0).split("#")[0];
            world.lose(backup);
            assertThat(world.leave(primary, MembershipCheck.GRACE)).isLessThan(MembershipCheck.GRACE);
            world.remove(primary);
            reads(world);
        }
    }

    /** Two or all three are replaced at the same moment; the others are lost one by one as soon as their time is over. */
    @ParameterizedTest
    @CsvSource({"2, 1", "2, 2", "2, 3", "3, 1", "3, 2", "3, 3"})
    void severalAreReplacedAtOnce(int many, int seed) {
        StoreWorld world = settled(3, many, 1, seed, Plant.NONE);
        List<String> old = new ArrayList<>(List.of("m1", "m2", "m3"));
        while (old.size() > many) {
            old.remove(seed % old.size());
        }
        old.forEach(world::ask);
        long waited = 0;
        while (!old.stream().allMatch(world::left) && waited < MembershipCheck.GRACE) {
            world.calm(SECOND / 40);
            waited += SECOND / 40;
        }
        assertThat(waited).as(String.join("\n", world.story())).isLessThan(MembershipCheck.GRACE);
        old.forEach(world::remove);
        reads(world);
        world.lose("m4");
        reads(world);
    }

    @Test
    void nobodyWaitsForASuccessorThatIsNotThere() {
        for (String leaves : List.of("m1", "m2", "m3")) {
            StoreWorld world = settled(3, 0, 1, 3, Plant.NONE);
            assertThat(world.leave(leaves, MembershipCheck.GRACE)).isLessThan(SECOND / 4);
            world.calm(SECOND / 10);
            put(world); // somebody else leads already
        }
    }

    @Test
    void allRestartedInTurnAreFollowedAtOnce() {
        for (int spares = 0; spares <= 1; spares++) {
            StoreWorld world = settled(3, spares, 1, 9, Plant.NONE);
            for (String ip : world.machines()) {
                world.leave(ip, MembershipCheck.GRACE);
                world.calm(SECOND / 10); // an election that it began may be under way
                put(world);
                world.calm(SECOND / 2);
                world.start(ip);
                world.calm(SECOND / 2);
            }
            reads(world);
        }
    }

    @Test
    void whoHasLeftIsForgotten() {
        StoreWorld world = settled(3, 1, 1, 4, Plant.NONE);
        world.remove("m2");
        world.calm(15 * SECOND);
        assertThat(world.replica(world.leader()).knownMembers())
                .extracting(member -> member.ip())
                .doesNotContain("m2")
                .hasSize(3);
    }

    @ParameterizedTest
    @CsvSource({"3, 1", "4, 1", "5, 1", "3, 2", "5, 2"})
    void drawnChangesOfMembersKeepWhatWasAcknowledged(int members, int losses) {
        holds(MembershipCheck.drawn(members, losses, 100L * members + losses, 60, 5, Plant.NONE));
    }

    @Test
    void drawnCoursesOfFourAndFiveMembersWithASpareKeepWhatWasAcknowledged() {
        for (int members = 4; members <= 5; members++) {
            holds(StoreCheck.drawn(members, 1, 17, 200, 1_200, Plant.NONE));
        }
    }

    /**
     * The backup is down when the primary leaves: the third leads, with the spare as backup. The one that has left and the
     * old backup, cut off from these, are a majority of the old list.
     */
    @Test
    void whoMissedAChangeCannotLeadByTheOldList() {
        assertThat(missesAChange(Plant.NONE)).isNull();
    }

    private static String missesAChange(Plant plant) {
        for (int seed = 0; seed < 8; seed++) {
            StoreWorld world = settled(3, 1, 1, seed, plant);
            String old = world.leader();
            String backup = world.replica(old).view().backups().get(0).split("#")[0];
            try {
                world.kill(backup, false);
                world.ask(old);
                for (int i = 0; i < 200 && !joined(world, old); i++) {
                    world.calm(SECOND / 40);
                }
                assertThat(joined(world, old)).isTrue();
                for (String left : List.of(old, backup)) {
                    others(others(world.machines(), old), backup).forEach(right -> {
                        world.cut(left, right, true);
                        world.cut(right, left, true);
                    });
                }
                world.start(backup);
                put(world);
                for (int i = 0; i < 30; i++) {
                    world.calm(SECOND / 10);
                    world.get(backup);
                    world.get(old);
                }
            } catch (StoreWorld.Broken e) {
                return e.getMessage();
            }
        }
        return null;
    }

    private static boolean joined(StoreWorld world, String old) {
        String leader = world.leader();
        return leader != null
                && !leader.equals(old)
                && world.replica(leader).view().members().stream()
                        .anyMatch(member -> member.ip().equals("m4"))
                && world.replica(leader).view().previousMembers().isEmpty();
    }

    /** Seeds in one zone, in two, and as many machines beside them as let each zone's loss be borne. */
    @ParameterizedTest
    @CsvSource({"aaabc", "aabbc", "aabc", "abc", "abcabc", "aabbcc"})
    void aZonesLossIsBorneWhereThereAreThreeZones(String zones) {
        for (String lost : List.of("a", "b", "c")) {
            for (int seed = 0; seed < 4; seed++) {
                holds(MembershipCheck.zoneLost(List.of(zones.split("")), lost, seed, Plant.NONE));
            }
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Plant.class,
            names = {"LEAVES_AT_ONCE", "JOINS_EMPTY", "CHANGES_OVERLAP", "ZONES_UNKNOWN", "OUTSIDER_VOTES"})
    void eachPlantedDefectIsFound(Plant plant) {
        String broken =
                switch (plant) {
                    case CHANGES_OVERLAP -> missesAChange(plant);
                    case ZONES_UNKNOWN ->
                        MembershipCheck.zoneLost(List.of("a", "a", "b", "c"), "a", 1, plant)
                                .broken();
                    default -> drawn(plant);
                };
        assertThat(broken).isNotNull();
    }

    private static String drawn(Plant plant) {
        for (int losses = 1; losses <= 2; losses++) {
            String broken = MembershipCheck.drawn(3, losses, 7, 200, 5, plant).broken();
            if (broken != null) {
                return broken;
            }
        }
        return null;
    }

    private static List<String> others(List<String> all, String but) {
        List<String> others = new ArrayList<>(all);
        others.remove(but);
        return others;
    }
}
