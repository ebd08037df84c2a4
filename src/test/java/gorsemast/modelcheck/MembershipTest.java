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

/** What was acknowledged survives each tolerable loss, also right after a membership change. */
class MembershipTest {
    private static final long SECOND = 1_000_000;

    /** A simulation that has run, with an acknowledged version. */
    private static StoreSimulation settled(int members, int spares, int losses, long seed, StoreDefect defect) {
        StoreSimulation simulation = new StoreSimulation(
                        members, spares, FaultTolerance.ofMachines(losses), Map.of(), seed, defect)
                .recordingEvents();
        simulation.calm(SECOND);
        simulation.machines().forEach(simulation::start);
        simulation.calm(6 * SECOND);
        put(simulation);
        return simulation;
    }

    private static void put(StoreSimulation simulation) {
        long before = simulation.newest();
        simulation.put(simulation.leader(), false);
        simulation.calm(SECOND / 5);
        assertThat(simulation.newest())
                .as(String.join("\n", simulation.eventLog()))
                .isGreaterThan(before);
    }

    private static void reads(StoreSimulation simulation) {
        assertThat(simulation.readAnswers(MembershipCheck.READ_WITHIN))
                .as(String.join("\n", simulation.eventLog()))
                .isNotNegative();
    }

    private static void holds(StoreCheck.Result result) {
        assertThat(result.violation()).as(String.join("\n", result.eventLog())).isNull();
    }

    @Test
    void fiveMembersGrowWhereTwoLossesAreToBeBorne() {
        for (int a = 1; a <= 5; a++) {
            for (int b = a + 1; b <= 5; b++) {
                StoreSimulation simulation = settled(3, 2, 2, 31 + a * 7 + b, StoreDefect.NONE);
                simulation.lose("m" + a);
                simulation.lose("m" + b);
                reads(simulation);
            }
        }
    }

    @Test
    void aMachineThatIsReplacedAtAnotherAddressMayBeFollowedByASecondLossAfterSyncTime() {
        for (String removed : List.of("m1", "m2", "m3")) {
            for (String lost : others(List.of("m1", "m2", "m3", "m4"), removed)) {
                for (int seed = 0; seed < 24; seed++) {
                    int killed = seed % 4; // all processes, this many seconds after the new one's start
                    StoreSimulation simulation = new StoreSimulation(3, 1, seed, StoreDefect.NONE).recordingEvents();
                    simulation.calm(6 * SECOND);
                    simulation.remove(removed);
                    simulation.calm(SECOND);
                    simulation.start("m4");
                    simulation.calm(SECOND * killed);
                    simulation.quietKill();
                    simulation.calm(MembershipCheck.SYNC_TIME - SECOND * killed);
                    simulation.lose(lost);
                    reads(simulation);
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
                    StoreSimulation simulation = new StoreSimulation(3, 1, seed, StoreDefect.NONE).recordingEvents();
                    simulation.calm(6 * SECOND);
                    simulation.lose(lost);
                    simulation.calm(SECOND);
                    simulation.start(sameAddress ? lost : "m4");
                    simulation.calm(SECOND);
                    simulation.quietKill();
                    long rest = 0;
                    while (rest < SECOND && !out(simulation, lost + "#0")) {
                        simulation.calm(SECOND / 40);
                        rest += SECOND / 40;
                    }
                    assertThat(rest)
                            .as(String.join("\n", simulation.eventLog()))
                            .isLessThan(SECOND);
                }
            }
        }
    }

    private static boolean out(StoreSimulation simulation, String id) {
        String leader = simulation.leader();
        return leader != null
                && simulation.replica(leader).view().previousMembers().isEmpty()
                && !simulation.replica(leader).view().isVoter(id);
    }

    @Test
    void aMemberThatLeavesForASpareMayBeFollowedByALossAtOnce() {
        aMemberLeavesAndAnotherIsLost(StoreDefect.NONE);
    }

    private static void aMemberLeavesAndAnotherIsLost(StoreDefect defect) {
        for (String leaves : List.of("m1", "m2", "m3")) {
            for (String lost : others(List.of("m1", "m2", "m3", "m4"), leaves)) {
                StoreSimulation simulation = settled(3, 1, 1, 5, defect);
                assertThat(simulation.leave(leaves, MembershipCheck.GRACE)).isLessThan(SECOND / 2);
                simulation.remove(leaves);
                simulation.lose(lost);
                reads(simulation);
            }
        }
    }

    @Test
    void theLeavingPrimaryAndTheOnlyOtherCopyLostJustBefore() {
        theOnlyCopyLeaves(StoreDefect.NONE);
    }

    private static void theOnlyCopyLeaves(StoreDefect defect) {
        for (int seed = 0; seed < 8; seed++) {
            StoreSimulation simulation = settled(3, 1, 1, seed, defect);
            String primary = simulation.leader();
            String backup = simulation.replica(primary).view().backups().get(0).split("#")[0];
            simulation.lose(backup);
            assertThat(simulation.leave(primary, MembershipCheck.GRACE)).isLessThan(MembershipCheck.GRACE);
            simulation.remove(primary);
            reads(simulation);
        }
    }

    /** Two or all three are replaced at the same moment; the others are lost one by one as soon as the time to sync is over. */
    @ParameterizedTest
    @CsvSource({"2, 1", "2, 2", "2, 3", "3, 1", "3, 2", "3, 3"})
    void severalAreReplacedAtOnce(int many, int seed) {
        StoreSimulation simulation = settled(3, many, 1, seed, StoreDefect.NONE);
        List<String> old = new ArrayList<>(List.of("m1", "m2", "m3"));
        while (old.size() > many) {
            old.remove(seed % old.size());
        }
        old.forEach(simulation::ask);
        long waited = 0;
        while (!old.stream().allMatch(simulation::left) && waited < MembershipCheck.GRACE) {
            simulation.calm(SECOND / 40);
            waited += SECOND / 40;
        }
        assertThat(waited).as(String.join("\n", simulation.eventLog())).isLessThan(MembershipCheck.GRACE);
        old.forEach(simulation::remove);
        reads(simulation);
        simulation.lose("m4");
        reads(simulation);
    }

    @Test
    void nobodyWaitsForASuccessorThatIsNotThere() {
        for (String leaves : List.of("m1", "m2", "m3")) {
            StoreSimulation simulation = settled(3, 0, 1, 3, StoreDefect.NONE);
            assertThat(simulation.leave(leaves, MembershipCheck.GRACE)).isLessThan(SECOND / 4);
            simulation.calm(SECOND / 10);
            put(simulation); // another primary is elected already
        }
    }

    @Test
    void allRestartedInTurnAreFollowedAtOnce() {
        for (int spares = 0; spares <= 1; spares++) {
            StoreSimulation simulation = settled(3, spares, 1, 9, StoreDefect.NONE);
            for (String ip : simulation.machines()) {
                simulation.leave(ip, MembershipCheck.GRACE);
                simulation.calm(SECOND / 10); // an election that it began may be in progress
                put(simulation);
                simulation.calm(SECOND / 2);
                simulation.start(ip);
                simulation.calm(SECOND / 2);
            }
            reads(simulation);
        }
    }

    @Test
    void whoHasLeftIsForgotten() {
        StoreSimulation simulation = settled(3, 1, 1, 4, StoreDefect.NONE);
        simulation.remove("m2");
        simulation.calm(15 * SECOND);
        assertThat(simulation.replica(simulation.leader()).knownMembers())
                .extracting(member -> member.ip())
                .doesNotContain("m2")
                .hasSize(3);
    }

    @ParameterizedTest
    @CsvSource({"3, 1", "4, 1", "5, 1", "3, 2", "5, 2"})
    void drawnChangesOfMembersKeepWhatWasAcknowledged(int members, int losses) {
        holds(MembershipCheck.random(members, losses, 100L * members + losses, 60, 5, StoreDefect.NONE));
    }

    @Test
    void drawnCoursesOfFourAndFiveMembersWithASpareKeepWhatWasAcknowledged() {
        for (int members = 4; members <= 5; members++) {
            holds(StoreCheck.random(members, 1, 17, 200, 1_200, StoreDefect.NONE));
        }
    }

    /**
     * The backup is down when the primary leaves: the third becomes primary, with the spare as backup. The one that has left and the
     * old backup, cut off from these, are a majority of the old list.
     */
    @Test
    void whoMissedAChangeCannotLeadByTheOldList() {
        assertThat(missesAChange(StoreDefect.NONE)).isNull();
    }

    private static String missesAChange(StoreDefect defect) {
        for (int seed = 0; seed < 8; seed++) {
            StoreSimulation simulation = settled(3, 1, 1, seed, defect);
            String old = simulation.leader();
            String backup = simulation.replica(old).view().backups().get(0).split("#")[0];
            try {
                simulation.kill(backup, false);
                simulation.ask(old);
                for (int i = 0; i < 200 && !joined(simulation, old); i++) {
                    simulation.calm(SECOND / 40);
                }
                assertThat(joined(simulation, old)).isTrue();
                for (String left : List.of(old, backup)) {
                    others(others(simulation.machines(), old), backup).forEach(right -> {
                        simulation.cut(left, right, true);
                        simulation.cut(right, left, true);
                    });
                }
                simulation.start(backup);
                put(simulation);
                for (int i = 0; i < 30; i++) {
                    simulation.calm(SECOND / 10);
                    simulation.get(backup);
                    simulation.get(old);
                }
            } catch (StoreSimulation.Violation e) {
                return e.getMessage();
            }
        }
        return null;
    }

    private static boolean joined(StoreSimulation simulation, String old) {
        String leader = simulation.leader();
        return leader != null
                && !leader.equals(old)
                && simulation.replica(leader).view().members().stream()
                        .anyMatch(member -> member.ip().equals("m4"))
                && simulation.replica(leader).view().previousMembers().isEmpty();
    }

    /** Seeds in one zone, in two, and as many further machines as make each zone's loss tolerable. */
    @ParameterizedTest
    @CsvSource({"aaabc", "aabbc", "aabc", "abc", "abcabc", "aabbcc"})
    void aZonesLossIsBorneWhereThereAreThreeZones(String zones) {
        for (String lost : List.of("a", "b", "c")) {
            for (int seed = 0; seed < 4; seed++) {
                holds(MembershipCheck.zoneLost(List.of(zones.split("")), lost, seed, StoreDefect.NONE));
            }
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = StoreDefect.class,
            names = {"LEAVES_AT_ONCE", "JOINS_EMPTY", "CHANGES_OVERLAP", "ZONES_UNKNOWN", "OUTSIDER_VOTES"})
    void eachPlantedDefectIsFound(StoreDefect defect) {
        String broken =
                switch (defect) {
                    case CHANGES_OVERLAP -> missesAChange(defect);
                    case ZONES_UNKNOWN ->
                        MembershipCheck.zoneLost(List.of("a", "a", "b", "c"), "a", 1, defect)
                                .violation();
                    default -> drawn(defect);
                };
        assertThat(broken).isNotNull();
    }

    private static String drawn(StoreDefect defect) {
        for (int losses = 1; losses <= 2; losses++) {
            String broken = MembershipCheck.random(3, losses, 7, 200, 5, defect).violation();
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
