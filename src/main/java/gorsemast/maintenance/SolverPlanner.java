package gorsemast.maintenance;

import gorsemast.maintenance.Plan.Slot;
import gorsemast.maintenance.Work.Phase;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.chocosolver.solver.Model;
import org.chocosolver.solver.Solution;
import org.chocosolver.solver.search.strategy.Search;
import org.chocosolver.solver.variables.IntVar;
import org.chocosolver.solver.variables.Task;

/**
 * The order as a scheduling problem with cumulative resources (Baptiste, Le Pape and Nuijten, "Constraint-Based
 * Scheduling", 2001), on the Choco solver: each zone, block and class, the capacity that may be missing and what the ledger
 * bears are resources; a work takes one unit of each while its machine is out, and its refill while it is emptied and while
 * it warms up. The time until all is back is made short.
 *
 * <p>Starts from the widest list schedule, which bounds the time from above, and gives that back where the solver has found
 * nothing better within its bound of backtracks. The bound counts steps, not time, so that the same list gives the same plan.
 *
 * <p>The list schedule judges a ledger that one machine alone goes over by letting it go alone; here its share is cut to
 * what the ledger bears, which says the same.
 */
public final class SolverPlanner implements Planner {
    /** Parts into which a resource is cut, as the solver counts in whole numbers. */
    private static final int UNITS = 1_000;

    private final long mostFails;

    /** Gives up after so many dead ends. */
    public SolverPlanner(long mostFails) {
        this.mostFails = mostFails;
    }

    @Override
    public Plan plan(WorksList list, long now) {
        Plan plain = new ListPlanner(ListPlanner.Rule.WIDEST).plan(list, now);
        if (plain.slots().size() < 2 || list.heldBy() != null) {
            return plain;
        }
        Map<String, Work> works = new HashMap<>();
        list.works().forEach(work -> works.put(work.key(), work));
        Problem problem = new Problem(list, now, plain.makespan());
        plain.slots().forEach(slot -> problem.add(works.get(slot.key()), slot.machine()));
        int[] starts = problem.solve(mostFails);
        if (starts == null) {
            return plain;
        }
        List<Slot> slots = new ArrayList<>();
        for (int i = 0; i < starts.length; i++) {
            Slot old = plain.slots().get(i);
            int moved = starts[i] - old.start();
            slots.add(new Slot(
                    old.key(),
                    old.machine(),
                    starts[i],
                    old.emptied() + moved,
                    old.given() + moved,
                    old.end() + moved));
        }
        return new Plan(slots, plain.left(), "solver");
    }

    private static final class Problem {
        private final Model model = new Model("works");
        private final WorksList list;
        private final long now;
        private final int horizon;
        private final List<Machine> machines = new ArrayList<>();
        private final List<IntVar> starts = new ArrayList<>();
        private final List<Task> absences = new ArrayList<>();
        private final List<Machine> refilled = new ArrayList<>();
        private final List<Task> refills = new ArrayList<>();

        Problem(WorksList list, long now, int horizon) {
            this.list = list;
            this.now = now;
            this.horizon = horizon;
            for (Work work : list.works()) { // those that are out already stay where they are
                Machine machine = list.machine(work.machine());
                if (work.phase().out) {
                    int end = Math.max(1, Math.min(horizon, Planner.remaining(work, machine, now)));
                    machines.add(machine);
                    absences.add(model.taskVar(model.intVar(0), end));
                    if (work.phase() == Phase.EMPTYING) {
                        refill(machine, model.intVar(0), EMPTYING_MINUTES);
                    }
                    int warming = Math.min(end, Planner.warming(machine));
                    refill(machine, model.intVar(end - warming), warming);
                }
            }
        }

        void add(Work work, Machine machine) {
            int warming = Planner.warming(machine);
            int takes = EMPTYING_MINUTES + work.minutes() + warming;
            int from = (int) Math.min(horizon, Math.max(0, work.from() - now + MINUTE - 1) / MINUTE);
            long latest = work.until() == Long.MAX_VALUE
                    ? horizon - takes
                    : Math.min(horizon - takes, (work.until() - now) / MINUTE - EMPTYING_MINUTES - work.minutes());
            IntVar start = model.intVar(work.key(), from, (int) Math.max(from, latest), true);
            starts.add(start);
            machines.add(machine);
            absences.add(model.taskVar(start, takes));
            refill(machine, start, EMPTYING_MINUTES);
            refill(machine, model.intView(1, start, EMPTYING_MINUTES + work.minutes()), warming);
        }

        private void refill(Machine machine, IntVar start, int minutes) {
            refilled.add(machine);
            refills.add(model.taskVar(start, minutes));
        }

        int[] solve(long mostFails) {
            Bounds bounds = list.bounds();
            for (Machine.Kind kind : Machine.Kind.values()) {
                group(kind, machine -> "zone " + machine.zone(), zone -> Math.min(bounds.perZone(), spare(kind, zone)));
                group(kind, machine -> "block " + machine.zone() + "/" + machine.block(), block -> bounds.perBlock());
                group(kind, machine -> "class " + machine.group(), group -> bounds.perGroup());
            }
            long proxies = list.machines().stream()
                    .filter(machine -> machine.kind() == Machine.Kind.PROXY)
                    .count();
            resource(machine -> machine.kind() == Machine.Kind.PROXY, machine -> 1, (int) ((proxies - 1) / 2));
            double all = list.machines().stream()
                    .filter(machine -> machine.kind() == Machine.Kind.NODE)
                    .mapToDouble(Machine::capacity)
                    .sum();
            double spare = all - list.demand() * (1 + bounds.reserve());
            if (all > 0) {
                resource(
                        machine -> machine.kind() == Machine.Kind.NODE,
                        machine -> (int) Math.ceil(machine.capacity() / all * UNITS * 100),
                        (int) Math.floor(spare / all * UNITS * 100));
            }
            double ledger = bounds.ledger();
            IntVar[] heights = refilled.stream()
                    .map(machine -> model.intVar(
                            machine.kind() == Machine.Kind.PROXY || ledger == 0
                                    ? 0
                                    : (int) Math.min(UNITS, Math.ceil(machine.refill() / ledger * UNITS))))
                    .toArray(IntVar[]::new);
            model.cumulative(refills.toArray(Task[]::new), heights, model.intVar(UNITS))
                    .post();
            IntVar makespan = model.intVar("makespan", 0, horizon);
            model.max(makespan, absences.stream().map(Task::getEnd).toArray(IntVar[]::new))
                    .post();
            model.setObjective(Model.MINIMIZE, makespan);
            model.arithm(makespan, "<", horizon).post(); // the plain order is as good as that
            model.getSolver().setSearch(Search.inputOrderLBSearch(starts.toArray(IntVar[]::new)));
            model.getSolver().limitFail(mostFails);
            Solution best = new Solution(model, starts.toArray(IntVar[]::new));
            boolean found = false;
            while (model.getSolver().solve()) {
                best.record();
                found = true;
            }
            return found ? starts.stream().mapToInt(best::getIntVal).toArray() : null;
        }

        /** So many of a zone's machines of that kind may go that one is left, where there are others. */
        private int spare(Machine.Kind kind, String zone) {
            long kin = list.machines().stream()
                    .filter(machine -> machine.kind() == kind)
                    .count();
            long there = list.machines().stream()
                    .filter(machine -> machine.kind() == kind && ("zone " + machine.zone()).equals(zone))
                    .count();
            return (int) (kin > 1 ? Math.max(0, there - 1) : there);
        }

        private void group(
                Machine.Kind kind, java.util.function.Function<Machine, String> name, ToIntFunction<String> capacity) {
            Map<String, Integer> groups = new TreeMap<>();
            machines.stream()
                    .filter(machine -> machine.kind() == kind)
                    .forEach(machine -> groups.merge(name.apply(machine), 1, Integer::sum));
            groups.forEach((group, many) -> resource(
                    machine -> machine.kind() == kind && name.apply(machine).equals(group),
                    machine -> 1,
                    capacity.applyAsInt(group)));
        }

        private void resource(Predicate<Machine> takes, ToIntFunction<Machine> height, int capacity) {
            List<Task> tasks = new ArrayList<>();
            List<IntVar> heights = new ArrayList<>();
            for (int i = 0; i < machines.size(); i++) {
                if (takes.test(machines.get(i))) {
                    tasks.add(absences.get(i));
                    heights.add(model.intVar(height.applyAsInt(machines.get(i))));
                }
            }
            // Where more is out already than the bounds allow by now there is no solution, and the plain order stays.
            if (!tasks.isEmpty()) {
                model.cumulative(
                                tasks.toArray(Task[]::new),
                                heights.toArray(IntVar[]::new),
                                model.intVar(Math.max(0, capacity)))
                        .post();
            }
        }
    }
}
