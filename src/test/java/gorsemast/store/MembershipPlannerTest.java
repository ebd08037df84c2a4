package gorsemast.store;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.node.FaultTolerance;
import gorsemast.store.MembershipPlanner.Candidate;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Who is to be a member and who holds copies, for given machines. */
class MembershipPlannerTest {
    private static final long SECOND = 1_000_000;
    private final MembershipPlanner machines = new MembershipPlanner(FaultTolerance.ofMachines(1));
    private final MembershipPlanner zones = new MembershipPlanner(new FaultTolerance(1, 1, 0));

    private static Member member(String name) {
        return new Member(name, name.split("#")[0]);
    }

    private static Candidate well(String name, String zone) {
        return new Candidate(member(name), 0, false, new Location(zone, "r", true));
    }

    private static Candidate silent(String name, long micros) {
        return new Candidate(member(name), micros, false, new Location("z", "r", true));
    }

    private static Candidate leaves(String name) {
        return new Candidate(member(name), 0, true, new Location("z", "r", true));
    }

    private static List<Candidate> well(String zones) {
        List<Candidate> all = new ArrayList<>();
        for (String zone : zones.split("")) {
            all.add(well("m" + (all.size() + 1) + "#0", zone));
        }
        return all;
    }

    private static String names(List<Member> members) {
        return members == null
                ? ""
                : String.join(" ", members.stream().map(Member::ip).toList());
    }

    @Test
    void aFourthMachineIsASpareWhileThreeAreWell() {
        assertThat(machines.planChange(member("m1#0"), well("zzz"), List.of(well("s#1", "z"))))
                .isNull();
        assertThat(machines.targetMemberCount()).isEqualTo(3);
    }

    @Test
    void itTakesThePlaceOfOneThatLeavesAtOnceAndOfASilentOneLater() {
        Member me = member("m1#0");
        List<Candidate> spare = List.of(well("s#1", "z"));
        assertThat(names(machines.planChange(me, List.of(well("m1#0", "z"), well("m2#0", "z"), leaves("m3#0")), spare)))
                .isEqualTo("m1 m2 s");
        List<Candidate> short1 = List.of(well("m1#0", "z"), silent("m2#0", SECOND), well("m3#0", "z"));
        assertThat(machines.planChange(me, short1, spare)).isNull();
        List<Candidate> gone = List.of(
                well("m1#0", "z"), silent("m2#0", MembershipPlanner.REPLACE_AFTER_MICROS + 1), well("m3#0", "z"));
        assertThat(names(machines.planChange(me, gone, spare))).isEqualTo("m1 s m3");
    }

    @Test
    void theMachineOfALostDiskTakesItsOwnPlaceBeforeASpareDoes() {
        List<Candidate> members = List.of(well("m1#0", "z"), silent("m2#0", 2 * SECOND), well("m3#0", "z"));
        List<Candidate> others = List.of(well("a#1", "z"), well("m2#7", "z"));
        assertThat(machines.planChange(member("m1#0"), members, others)).contains(member("m2#7"));
        // The life before, not heard any more, never takes it back.
        List<Candidate> back = List.of(well("m1#0", "z"), well("m2#7", "z"), well("m3#0", "z"));
        assertThat(machines.planChange(member("m1#0"), back, List.of(silent("m2#0", SECOND / 2))))
                .isNull();
    }

    @Test
    void onlyMachinesWhoseLossCountsAndThatStayAreTakenIn() {
        List<Candidate> members = List.of(well("m1#0", "z"), well("m2#0", "z"), leaves("m3#0"));
        Candidate uncounted = new Candidate(member("s#1"), 0, false, new Location("z", "r", false));
        assertThat(machines.planChange(member("m1#0"), members, List.of(uncounted, leaves("t#1"))))
                .isNull();
    }

    @Test
    void thePrimaryNeverReplacesItself() {
        List<Candidate> members = List.of(leaves("m1#0"), well("m2#0", "z"), well("m3#0", "z"));
        assertThat(machines.planChange(member("m1#0"), members, List.of(well("s#1", "z"))))
                .isNull();
    }

    @ParameterizedTest
    @CsvSource({"1, 3, 1", "1, 4, 1", "1, 5, 2", "2, 3, 2", "2, 4, 2", "2, 5, 2", "1, 1, 0"})
    void everyMajorityMeetsACopy(int losses, int members, int backups) {
        MembershipPlanner planner = new MembershipPlanner(FaultTolerance.ofMachines(losses));
        assertThat(planner.backupCount(members)).isEqualTo(backups);
        int majority = members / 2 + 1;
        assertThat(1 + backups + majority).isGreaterThan(members);
    }

    @Test
    void membersGrowOneAtATimeWhileAllAreWell() {
        MembershipPlanner two = new MembershipPlanner(FaultTolerance.ofMachines(2));
        List<Candidate> spares = List.of(well("s#1", "z"), well("t#1", "z"));
        assertThat(names(two.planChange(member("m1#0"), well("zzz"), spares))).isEqualTo("m1 m2 m3 s");
        List<Candidate> one = List.of(well("m1#0", "z"), silent("m2#0", SECOND), well("m3#0", "z"));
        assertThat(two.planChange(member("m1#0"), one, spares)).isNull();
    }

    @Test
    void membersMoveToOtherZonesUntilOneMayGo() {
        List<Candidate> members = well("aab");
        assertThat(names(zones.planChange(member("m1#0"), members, List.of(well("s#1", "a"), well("t#1", "c")))))
                .isEqualTo("m1 t m3");
        assertThat(zones.planChange(member("m1#0"), well("abc"), List.of(well("s#1", "a"))))
                .isNull();
        assertThat(machines.planChange(member("m1#0"), members, List.of(well("t#1", "c"))))
                .isNull();
    }

    @Test
    void aCopyStandsInAnotherZone() {
        List<Candidate> members = well("aab");
        Set<String> able = Set.of("m2#0", "m3#0");
        assertThat(zones.chooseBackups("m1#0", members, able, List.of("m2#0"))).containsExactly("m3#0");
        assertThat(machines.chooseBackups("m1#0", members, able, List.of("m2#0")))
                .containsExactly("m2#0");
        assertThat(zones.areSound("m1#0", members, List.of("m2#0"))).isFalse();
        assertThat(zones.areSound("m1#0", members, List.of("m3#0"))).isTrue();
    }

    @Test
    void oneThatLeavesHoldsACopyOnlyWhereNobodyElseCan() {
        List<Candidate> members = List.of(well("m1#0", "z"), leaves("m2#0"), well("m3#0", "z"));
        assertThat(machines.chooseBackups("m1#0", members, Set.of("m2#0", "m3#0"), List.of("m2#0")))
                .containsExactly("m3#0");
        assertThat(machines.chooseBackups("m1#0", members, Set.of("m2#0"), List.of()))
                .containsExactly("m2#0");
    }

    @Test
    void whatTheMachinesDoNotAllowIsSaidOnce() {
        Membership membership = new Membership(new FaultTolerance(1, 1, 0), new Location("a", "r", true));
        List<Member> members = List.of(member("m1#0"), member("m2#0"), member("m3#0"));
        View view = new View(1, "m1#0", List.of("m2#0"), members, List.of());
        for (Member other : members.subList(1, 3)) {
            membership.liveness.recordHeard(other, SECOND);
            membership.liveness.recordReport(other.id(), new Location("a", "r", true), false, 1);
        }
        assertThat(membership.newShortfall(view, members.get(0), SECOND)).contains("do not keep a majority");
        assertThat(membership.newShortfall(view, members.get(0), SECOND)).isNull();
    }

    @Test
    void whoIsInNoViewIsForgottenAndNoMoreThanSomeAreRemembered() {
        Liveness liveness = new Liveness();
        View view = Replica.initialView(List.of(member("m1#0")));
        for (int i = 0; i < 3 * Liveness.MAX_NON_MEMBERS; i++) {
            liveness.recordHeard(member("x" + i + "#1"), i);
        }
        liveness.recordHeard(member("m1#0"), 0);
        liveness.forget(view, 200);
        assertThat(liveness.nonMembers(view)).hasSize(Liveness.MAX_NON_MEMBERS);
        liveness.forget(view, 200 + Liveness.FORGET_MICROS);
        assertThat(liveness.nonMembers(view)).isEmpty();
        assertThat(liveness.member("m1#0").ip()).isEqualTo("m1");
    }
}
