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

/** Which machines become members and which of them hold copies, for given machines. */
class MembershipPlannerTest {
    private static final long SECOND = 1_000_000;
    private final MembershipPlanner machineTolerant = new MembershipPlanner(FaultTolerance.ofMachines(1));
    private final MembershipPlanner zoneTolerant = new MembershipPlanner(new FaultTolerance(1, 1, 0));

    private static Member member(String name) {
        return new Member(name, name.split("#")[0]);
    }

    private static Candidate healthy(String name, String zone) {
        return new Candidate(member(name), 0, false, new Location(zone, "r", true));
    }

    private static Candidate silent(String name, long micros) {
        return new Candidate(member(name), micros, false, new Location("z", "r", true));
    }

    private static Candidate leaving(String name) {
        return new Candidate(member(name), 0, true, new Location("z", "r", true));
    }

    private static List<Candidate> healthy(String zones) {
        List<Candidate> all = new ArrayList<>();
        for (String zone : zones.split("")) {
            all.add(healthy("m" + (all.size() + 1) + "#0", zone));
        }
        return all;
    }

    private static String names(List<Member> members) {
        return members == null
                ? ""
                : String.join(" ", members.stream().map(Member::ip).toList());
    }

    @Test
    void aFourthMachineStaysASpareWhileThreeMembersAreHealthy() {
        assertThat(machineTolerant.planChange(member("m1#0"), healthy("zzz"), List.of(healthy("s#1", "z"))))
                .isNull();
        assertThat(machineTolerant.targetMemberCount()).isEqualTo(3);
    }

    @Test
    void aSpareReplacesALeavingMemberAtOnceAndASilentOneLater() {
        Member self = member("m1#0");
        List<Candidate> spare = List.of(healthy("s#1", "z"));
        assertThat(names(machineTolerant.planChange(
                        self, List.of(healthy("m1#0", "z"), healthy("m2#0", "z"), leaving("m3#0")), spare)))
                .isEqualTo("m1 m2 s");
        List<Candidate> briefSilence = List.of(healthy("m1#0", "z"), silent("m2#0", SECOND), healthy("m3#0", "z"));
        assertThat(machineTolerant.planChange(self, briefSilence, spare)).isNull();
        List<Candidate> longSilence = List.of(
                healthy("m1#0", "z"), silent("m2#0", MembershipPlanner.REPLACE_AFTER_MICROS + 1), healthy("m3#0", "z"));
        assertThat(names(machineTolerant.planChange(self, longSilence, spare))).isEqualTo("m1 s m3");
    }

    @Test
    void aMachineWithAnEmptyDiskReplacesItsFormerMemberBeforeASpareDoes() {
        List<Candidate> members = List.of(healthy("m1#0", "z"), silent("m2#0", 2 * SECOND), healthy("m3#0", "z"));
        List<Candidate> others = List.of(healthy("a#1", "z"), healthy("m2#7", "z"));
        assertThat(machineTolerant.planChange(member("m1#0"), members, others)).contains(member("m2#7"));
        // The member with the lost disk, silent since, never replaces the new one.
        List<Candidate> replaced = List.of(healthy("m1#0", "z"), healthy("m2#7", "z"), healthy("m3#0", "z"));
        assertThat(machineTolerant.planChange(member("m1#0"), replaced, List.of(silent("m2#0", SECOND / 2))))
                .isNull();
    }

    @Test
    void onlyMachinesWhoseLossCountsAndThatAreNotLeavingJoin() {
        List<Candidate> members = List.of(healthy("m1#0", "z"), healthy("m2#0", "z"), leaving("m3#0"));
        Candidate uncounted = new Candidate(member("s#1"), 0, false, new Location("z", "r", false));
        assertThat(machineTolerant.planChange(member("m1#0"), members, List.of(uncounted, leaving("t#1"))))
                .isNull();
    }

    @Test
    void thePrimaryNeverReplacesItself() {
        List<Candidate> members = List.of(leaving("m1#0"), healthy("m2#0", "z"), healthy("m3#0", "z"));
        assertThat(machineTolerant.planChange(member("m1#0"), members, List.of(healthy("s#1", "z"))))
                .isNull();
    }

    @ParameterizedTest
    @CsvSource({"1, 3, 1", "1, 4, 1", "1, 5, 2", "2, 3, 2", "2, 4, 2", "2, 5, 2", "1, 1, 0"})
    void everyMajorityContainsACopy(int losses, int members, int backups) {
        MembershipPlanner planner = new MembershipPlanner(FaultTolerance.ofMachines(losses));
        assertThat(planner.backupCount(members)).isEqualTo(backups);
        int majority = members / 2 + 1;
        assertThat(1 + backups + majority).isGreaterThan(members);
    }

    @Test
    void membersAreAddedOneAtATimeWhileAllAreHealthy() {
        MembershipPlanner planner = new MembershipPlanner(FaultTolerance.ofMachines(2));
        List<Candidate> spares = List.of(healthy("s#1", "z"), healthy("t#1", "z"));
        assertThat(names(planner.planChange(member("m1#0"), healthy("zzz"), spares)))
                .isEqualTo("m1 m2 m3 s");
        List<Candidate> oneSilent = List.of(healthy("m1#0", "z"), silent("m2#0", SECOND), healthy("m3#0", "z"));
        assertThat(planner.planChange(member("m1#0"), oneSilent, spares)).isNull();
    }

    @Test
    void membersMoveToOtherZonesUntilAZoneLossIsTolerated() {
        List<Candidate> members = healthy("aab");
        assertThat(names(zoneTolerant.planChange(
                        member("m1#0"), members, List.of(healthy("s#1", "a"), healthy("t#1", "c")))))
                .isEqualTo("m1 t m3");
        assertThat(zoneTolerant.planChange(member("m1#0"), healthy("abc"), List.of(healthy("s#1", "a"))))
                .isNull();
        assertThat(machineTolerant.planChange(member("m1#0"), members, List.of(healthy("t#1", "c"))))
                .isNull();
    }

    @Test
    void aCopyIsPlacedInAnotherZone() {
        List<Candidate> members = healthy("aab");
        Set<String> able = Set.of("m2#0", "m3#0");
        assertThat(zoneTolerant.chooseBackups("m1#0", members, able, List.of("m2#0")))
                .containsExactly("m3#0");
        assertThat(machineTolerant.chooseBackups("m1#0", members, able, List.of("m2#0")))
                .containsExactly("m2#0");
        assertThat(zoneTolerant.areSound("m1#0", members, List.of("m2#0"))).isFalse();
        assertThat(zoneTolerant.areSound("m1#0", members, List.of("m3#0"))).isTrue();
    }

    @Test
    void aLeavingMemberHoldsACopyOnlyIfNoOtherCan() {
        List<Candidate> members = List.of(healthy("m1#0", "z"), leaving("m2#0"), healthy("m3#0", "z"));
        assertThat(machineTolerant.chooseBackups("m1#0", members, Set.of("m2#0", "m3#0"), List.of("m2#0")))
                .containsExactly("m3#0");
        assertThat(machineTolerant.chooseBackups("m1#0", members, Set.of("m2#0"), List.of()))
                .containsExactly("m2#0");
    }

    @Test
    void aShortfallIsReportedOnce() {
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
    void nonMembersAreForgottenAndTheirNumberIsLimited() {
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
