package gorsemast.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsemast.lab.PlanStudy;
import gorsemast.maintenance.Plan.Slot;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Whatever a planner says, the bounds hold in each of its minutes, and nothing that could go is left. */
class PlannerTest {
    static Stream<Planner> planners() {
        return Stream.concat(
                Stream.of(ListPlanner.Rule.values()).map(ListPlanner::new), Stream.of(new SolverPlanner(2_000)));
    }

    private static void holds(WorksList list, Plan plan) {
        for (Slot one : plan.slots()) {
            Set<Machine> out = new HashSet<>();
            Set<Machine> refilling = new HashSet<>();
            for (Slot other : plan.slots()) {
                // Of two that go in the same minute one is the first.
                if (other != one
                        && other.out(one.start())
                        && (other.start() < one.start() || other.key().compareTo(one.key()) < 0)) {
                    out.add(other.machine());
                    if (other.refilling(one.start())) {
                        refilling.add(other.machine());
                    }
                }
            }
            String against = list.bounds().against(one.machine(), list.machines(), out, refilling, list.demand());
            assertNull(against, () -> plan.by() + " lets " + one.key() + " go at " + one.start() + ": " + against);
        }
        for (Slot one :
                plan.slots()) { // warming up later must not meet another's emptying beyond what the ledger bears
            double sum = plan.slots().stream()
                    .filter(slot -> slot.refilling(one.given()))
                    .mapToDouble(slot -> slot.machine().refill())
                    .sum();
            if (plan.by().equals("solver")) {
                assertTrue(
                        sum <= list.bounds().ledger() + 1e-6
                                || sum == one.machine().refill(),
                        () -> "ledger " + sum);
            }
        }
    }

    @ParameterizedTest
    @MethodSource("planners")
    void theBoundsHoldInEachMinute(Planner planner) {
        for (long seed = 1; seed <= 5; seed++) {
            WorksList list = PlanStudy.works(12, seed);
            Plan plan = planner.plan(list, 0);
            holds(list, plan);
            assertEquals(12, plan.slots().size() + plan.left().size(), plan.left()::toString);
            assertEquals(
                    plan.slots(), planner.plan(PlanStudy.works(12, seed), 0).slots(), "the same list, the same plan");
        }
    }

    @ParameterizedTest
    @MethodSource("planners")
    void whatIsOutAlreadyCountsAndAHoldLeavesAllWaiting(Planner planner) {
        WorksList list = PlanStudy.works(12, 1);
        String first = planner.plan(list, 0).now().get(0).machine().name();
        String zone = list.machine(first).zone();
        assertTrue(
                list.apply(list.index() + 1, new Command.Grant(0, "w", first)).accepted());
        for (Slot slot : planner.plan(list, 0).now()) {
            assertTrue(list.bounds().perZone() > 1 || !slot.machine().zone().equals(zone), slot.key());
        }
        list.apply(list.index() + 1, new Command.Hold(0, true, "op"));
        Plan held = planner.plan(list, 0);
        assertTrue(held.slots().isEmpty());
        assertTrue(held.left().containsValue("grants are held by op"));
    }
}
