package gorsemast.maintenance;

import gorsemast.maintenance.Work.Phase;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * What a leader proposes next: grants by the plan, a release once every process has emptied the machine, the end of silence,
 * and a machine's return to full service.
 *
 * <p><b>Idea.</b> It only proposes; the {@link WorksList} judges. So nothing here has to be right for the bounds to hold, and a
 * leader that goes on after a pause does no harm. What it does have to get right is who may still be sending: a process that
 * is dead by the view is counted out no sooner than its last request can have run, counted from when this leader has seen it
 * dead; and while the view is not sure nobody is counted out and nothing is granted.
 *
 * <p>Intervals go by the caller's own clock, which never goes back and knows no steps; the stamps in commands by the wall
 * clock, for people. A change of leader begins its waits anew, which makes them longer and never shorter.
 *
 * <p>One thread; no I/O. O(works + planner) a call.
 */
public final class Conductor {
    /** What a leader knows of the processes. */
    public interface Processes {
        /** Those that live, by the names of {@link WorksList#process}. */
        Set<String> live();

        /** Those that are held dead and have not left in good order. */
        Set<String> dead();

        /** Whether the view has settled. */
        boolean sure();
    }

    private static final long MINUTE = 60_000;

    private final Planner planner;
    private final long lastRequestMillis;
    /** Since when, by the own clock, this leader has seen a process dead without a break. */
    private final Map<String, Long> deadSince = new HashMap<>();
    /** Since when it has seen a machine warming under a token. */
    private final Map<Long, Long> warmingSince = new HashMap<>();
    /** Since when it has seen a phase in which somebody owes a word, by token and phase. */
    private final Map<String, Long> owedSince = new HashMap<>();

    private long proposedFor = -1;
    private long plannedAt = Long.MIN_VALUE;

    /**
     * @param lastRequestMillis the longest that a request of a dead process can still run at a node
     */
    public Conductor(Planner planner, long lastRequestMillis) {
        this.planner = planner;
        this.lastRequestMillis = lastRequestMillis;
    }

    /**
     * What to propose now.
     *
     * @param ticks the own clock in milliseconds, which never goes back
     * @param wall Unix milliseconds
     */
    public List<Command> propose(WorksList list, Processes processes, long ticks, long wall) {
        List<Command> commands = new ArrayList<>();
        watch(processes, ticks);
        Set<Long> warming = new HashSet<>();
        Set<String> owed = new HashSet<>();
        for (Work work : list.works()) {
            String debt = work.phase() + " " + work.token();
            switch (work.phase()) {
                case EMPTYING -> {
                    owed.add(debt);
                    Set<String> asked = asked(processes, ticks);
                    if (asked != null
                            && !asked.isEmpty()
                            && list.emptied(work.token()).containsAll(asked)) {
                        commands.add(new Command.Release(wall, work.machine(), work.token(), List.copyOf(asked)));
                    } else if (owes(debt, ticks, WorksList.EMPTYING_MILLIS)) {
                        commands.add(new Command.Overdue(
                                Math.max(wall, WorksList.overdueAt(work)), work.machine(), work.token()));
                    }
                }
                case OUT -> {
                    owed.add(debt);
                    if (owes(debt, ticks, WorksList.SILENT_FACTOR * MINUTE * work.minutes())) {
                        commands.add(new Command.Overdue(
                                Math.max(wall, WorksList.overdueAt(work)), work.machine(), work.token()));
                    }
                }
                case WARMING -> {
                    warming.add(work.token());
                    long since = warmingSince.computeIfAbsent(work.token(), token -> ticks);
                    if (ticks - since >= list.machine(work.machine()).warmMillis()) {
                        commands.add(new Command.Warm(wall, work.machine(), work.token()));
                    }
                }
                default -> {}
            }
        }
        warmingSince.keySet().retainAll(warming);
        owedSince.keySet().retainAll(owed);
        grant(list, processes, ticks, wall, commands);
        return commands;
    }

    private boolean owes(String debt, long ticks, long most) {
        return ticks - owedSince.computeIfAbsent(debt, d -> ticks) >= most;
    }

    private void watch(Processes processes, long ticks) {
        deadSince.keySet().retainAll(processes.dead());
        processes.dead().forEach(process -> deadSince.putIfAbsent(process, ticks));
    }

    /** Whose word a release needs; null while somebody who may be sending has not been counted out. */
    private Set<String> asked(Processes processes, long ticks) {
        if (!processes.sure()) {
            return null;
        }
        for (long since : deadSince.values()) {
            if (ticks - since < lastRequestMillis) {
                return null;
            }
        }
        return new TreeSet<>(processes.live());
    }

    /**
     * One look at the plan for each change of the list, and one a minute, as time alone lets works go. What the list turns
     * down is no change: else a grant that it refuses would be proposed again at once, and fill the log.
     */
    private void grant(WorksList list, Processes processes, long ticks, long wall, List<Command> commands) {
        boolean waits = list.works().stream().anyMatch(work -> work.phase() == Phase.WAITING);
        if (!processes.sure()
                || !waits
                || list.heldBy() != null
                || list.changes() == proposedFor && ticks - plannedAt < MINUTE) {
            return;
        }
        proposedFor = list.changes();
        plannedAt = ticks;
        for (Plan.Slot slot : planner.plan(list, wall).now()) {
            int slash = slot.key().lastIndexOf('/');
            commands.add(new Command.Grant(
                    wall, slot.key().substring(0, slash), slot.machine().name()));
        }
    }
}
