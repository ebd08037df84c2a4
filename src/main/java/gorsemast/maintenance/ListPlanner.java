package gorsemast.maintenance;

import gorsemast.maintenance.Plan.Slot;
import gorsemast.maintenance.Work.Phase;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * List scheduling (Graham, "Bounds on Multiprocessing Timing Anomalies", 1969): goes through the minutes at which something
 * changes and lets go, in a fixed order, whoever the bounds allow. The plain order to fall back to, and the baselines that a
 * solver has to beat: first come with nobody overtaking, one at a time, and the widest that fits.
 *
 * <p>O(works² × machines). Deterministic.
 */
public final class ListPlanner implements Planner {
    /** The baselines. */
    public enum Rule {
        /** In the order in which they were wanted; who can't go holds all behind. */
        FIRST_COME(true, Integer.MAX_VALUE),
        /** One machine out at a time. */
        ONE_AT_A_TIME(false, 1),
        /** Whoever fits goes, deadlines first, then the longest. */
        WIDEST(false, Integer.MAX_VALUE);

        private final boolean strict;
        private final int width;

        Rule(boolean strict, int width) {
            this.strict = strict;
            this.width = width;
        }
    }

    private static final int MOST_MINUTES = 60 * 24 * 365;

    private final Rule rule;

    public ListPlanner(Rule rule) {
        this.rule = rule;
    }

    @Override
    public Plan plan(WorksList list, long now) {
        Comparator<Work> order = rule == Rule.WIDEST
                ? Comparator.comparingLong(Work::until)
                        .thenComparing(Comparator.comparingInt(Work::minutes).reversed())
                : Comparator.comparingLong(Work::since);
        List<Work> waiting = new ArrayList<>(list.works().stream()
                .filter(work -> work.phase() == Phase.WAITING)
                .sorted(order.thenComparing(Work::key))
                .toList());
        List<Slot> slots = new ArrayList<>();
        List<Slot> going = new ArrayList<>();
        for (Work work : list.works()) {
            if (work.phase().out) {
                Machine machine = list.machine(work.machine());
                int end = Planner.remaining(work, machine, now);
                int given = work.phase() == Phase.WARMING ? 0 : Math.max(0, end - Planner.warming(machine));
                going.add(new Slot(
                        work.key(), machine, 0, work.phase() == Phase.EMPTYING ? EMPTYING_MINUTES : 0, given, end));
            }
        }
        Map<String, String> left = new HashMap<>();
        TreeSet<Integer> moments = new TreeSet<>(Set.of(0));
        going.forEach(slot -> moments.addAll(List.of(slot.emptied(), slot.given(), slot.end())));
        waiting.forEach(work ->
                moments.add((int) Math.min(MOST_MINUTES, Math.max(0, work.from() - now + MINUTE - 1) / MINUTE)));
        for (Integer at = 0; at != null && !waiting.isEmpty(); at = moments.higher(at)) {
            int minute = at;
            Set<Machine> out = new HashSet<>();
            for (Slot slot : going) {
                if (slot.out(minute)) {
                    out.add(slot.machine());
                }
            }
            for (Work work : List.copyOf(waiting)) {
                Machine machine = list.machine(work.machine());
                long then = now + minute * MINUTE;
                int given = minute + EMPTYING_MINUTES + work.minutes();
                Slot slot = new Slot(
                        work.key(),
                        machine,
                        minute,
                        minute + EMPTYING_MINUTES,
                        given,
                        given + Planner.warming(machine));
                String why = list.heldBy() != null
                        ? "grants are held by " + list.heldBy()
                        : then < work.from()
                                ? "not before its time"
                                : out.size() >= rule.width
                                        ? "one at a time"
                                        : list.bounds()
                                                .against(
                                                        machine,
                                                        list.machines(),
                                                        out,
                                                        refilling(going, slot),
                                                        list.demand());
                if (why == null && work.until() != Long.MAX_VALUE && now + given * MINUTE > work.until()) {
                    left.put(work.key(), "it could not be back by its time any more");
                    waiting.remove(work);
                    continue;
                }
                if (why == null) {
                    slots.add(slot);
                    going.add(slot);
                    moments.addAll(List.of(slot.emptied(), slot.given(), slot.end()));
                    out.add(machine);
                    waiting.remove(work);
                    left.remove(work.key());
                } else {
                    left.put(work.key(), why);
                    if (rule.strict) {
                        break;
                    }
                }
            }
        }
        return new Plan(slots, left, rule.name().toLowerCase(java.util.Locale.ROOT));
    }

    /**
     * Those whose refill meets this one's, at the worst minute of its emptying and of its warming up: what comes back later
     * must not meet what is let go now.
     */
    private static Set<Machine> refilling(List<Slot> going, Slot wanted) {
        Set<Machine> worst = new HashSet<>();
        double most = -1;
        for (int minute = wanted.start(); minute < wanted.end(); minute++) {
            if (!wanted.refilling(minute)) {
                minute = wanted.given() - 1; // nothing of it until then
                continue;
            }
            Set<Machine> met = new HashSet<>();
            double sum = 0;
            for (Slot slot : going) {
                if (slot.refilling(minute)) {
                    met.add(slot.machine());
                    sum += slot.machine().refill();
                }
            }
            if (sum > most) {
                most = sum;
                worst = met;
            }
        }
        return worst;
    }
}
