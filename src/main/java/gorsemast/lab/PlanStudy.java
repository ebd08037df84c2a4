package gorsemast.lab;

import gorsemast.maintenance.Bounds;
import gorsemast.maintenance.Command;
import gorsemast.maintenance.ListPlanner;
import gorsemast.maintenance.Machine;
import gorsemast.maintenance.Plan;
import gorsemast.maintenance.Planner;
import gorsemast.maintenance.SolverPlanner;
import gorsemast.maintenance.WorksList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * Compares the maintenance planner with its baselines at several sizes: time until all works are done, peak refill load on
 * the origin, and the time to compute a plan. All columns but the last are reproducible.
 */
public final class PlanStudy {
    private static final int ZONES = 3;
    private static final int BLOCK = 6;
    private static final long SOLVER_FAIL_LIMIT = 2_000;

    private PlanStudy() {}

    /** Returns works for every node of a fleet in three zones, with works and machines drawn from a seed. */
    public static WorksList works(int nodes, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        WorksList list = new WorksList();
        long index = 0;
        double capacity = 0;
        double refill = 0;
        for (int i = 0; i < nodes; i++) {
            Machine machine = new Machine(
                    name(i),
                    Machine.Kind.NODE,
                    "z" + i % ZONES,
                    "b" + i / ZONES / BLOCK,
                    "m" + i % 2,
                    60 + random.nextInt(40),
                    4 + random.nextInt(12),
                    60_000L * (4 + random.nextInt(5)));
            capacity += machine.capacity();
            refill += machine.refill();
            list.apply(++index, new Command.Describe(0, machine));
        }
        int perZone = Math.max(1, nodes / ZONES / 5);
        list.apply(
                ++index,
                new Command.Bind(
                        0,
                        new Bounds(
                                perZone,
                                Math.max(1, BLOCK / 3),
                                Math.max(2, nodes / 8),
                                0.2,
                                refill / nodes * Math.max(2, nodes / 12)),
                        capacity * 0.6));
        for (int i = 0; i < nodes; i++) {
            list.apply(++index, new Command.Want(i, "w", name(i), "crew", 0, Long.MAX_VALUE, 10 + random.nextInt(80)));
        }
        return list;
    }

    private static String name(int number) {
        return String.format(Locale.ROOT, "n%03d", number);
    }

    /** Returns the comparison as a Markdown table. */
    public static String table(List<Integer> sizes, long seed) {
        StringBuilder s =
                new StringBuilder("| nodes | order | all done after, min | most out | ledger refills at most, /s | "
                        + "left | making the plan, ms |\n| --- | --- | --- | --- | --- | --- | --- |\n");
        for (int size : sizes) {
            for (Planner planner : List.of(
                    new ListPlanner(ListPlanner.Rule.ONE_AT_A_TIME),
                    new ListPlanner(ListPlanner.Rule.FIRST_COME),
                    new ListPlanner(ListPlanner.Rule.WIDEST),
                    new SolverPlanner(SOLVER_FAIL_LIMIT))) {
                WorksList list = works(size, seed);
                long begun = System.nanoTime();
                Plan plan = planner.plan(list, 0);
                double took = (System.nanoTime() - begun) / 1e6;
                s.append(String.format(
                        Locale.ROOT,
                        "| %d | %s | %d | %d | %.0f of %.0f | %d | %.0f |%n",
                        size,
                        planner instanceof SolverPlanner && !plan.by().equals("solver")
                                ? "solver (nothing better)"
                                : plan.by(),
                        plan.makespan(),
                        plan.width(),
                        plan.ledgerPeak(),
                        list.bounds().ledger(),
                        plan.left().size(),
                        took));
            }
        }
        return s.toString();
    }
}
