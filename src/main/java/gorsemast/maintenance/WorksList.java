package gorsemast.maintenance;

import gorsemast.maintenance.Work.Phase;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The works and their machines: what the replicated log makes of all its commands.
 *
 * <p><b>Idea.</b> State machine replication (Schneider, "Implementing Fault-Tolerant Services Using the State Machine
 * Approach", 1990): each command is judged here, when it is applied, by what all readers of the log hold at that index. So a
 * leader that was paused, or a planner that is wrong, can propose what it likes: a grant over the bounds is turned down by
 * the list itself. A grant's token is the log's index at which it was applied (a fencing token, as in Burrows, "The Chubby
 * Lock Service", OSDI 2006); whatever names another token than the work's present one is turned down too.
 *
 * <p><b>Silence</b> ends each state by a rule of its own. Emptying that does not end is called off: the machine was never
 * given away, so it warms up and waits again. A crew that has the machine and says nothing for {@value #SILENT_FACTOR} times
 * the time that it asked for leaves it {@link Phase#FAILED}: it counts as out until somebody has looked, as what has been
 * unplugged is not assumed to be back.
 *
 * <p>Deterministic; one thread. O(works + machines) a command.
 */
public final class WorksList {
    /** A crew may take so many times what it asked for before it counts as silent. */
    public static final int SILENT_FACTOR = 3;
    /** Emptying that has not ended by then is called off. */
    public static final long EMPTYING_MILLIS = 10 * 60_000L;

    private static final long MINUTE = 60_000;

    /**
     * What became of a command.
     *
     * @param why what is wrong with it, or what it came to; in words for people
     */
    public record Result(boolean accepted, String why) {}

    private final Map<String, Machine> machines = new TreeMap<>();
    private final Map<String, Work> works = new TreeMap<>();
    private final Map<Long, Set<String>> emptied = new TreeMap<>();
    private Bounds bounds = new Bounds(1, 1, 1, 0, 0);
    private double demand;
    private String heldBy;
    private long index;
    private long changes;

    /** Applies the command at this index of the log, which has to be above the last one's. */
    public Result apply(long at, Command command) {
        if (at <= index) {
            throw new IllegalArgumentException("index " + at + " after " + index);
        }
        index = at;
        Result result = judge(command);
        changes += result.accepted() ? 1 : 0;
        return result;
    }

    private Result judge(Command command) {
        if (command instanceof Command.Describe c) {
            machines.put(c.machine().name(), c.machine());
            return yes(c.machine().name() + " is in the fleet");
        } else if (command instanceof Command.Forget c) {
            return forget(c);
        } else if (command instanceof Command.Bind c) {
            bounds = c.bounds();
            demand = c.demand();
            return yes("bounds changed");
        } else if (command instanceof Command.Want c) {
            return want(c);
        } else if (command instanceof Command.Withdraw c) {
            return withdraw(c);
        } else if (command instanceof Command.Hold c) {
            heldBy = c.held() ? c.who() : null;
            return yes(c.held() ? "no new grants" : "grants go on");
        } else if (command instanceof Command.Grant c) {
            return grant(c);
        } else if (command instanceof Command.Emptied c) {
            return emptied(c);
        } else if (command instanceof Command.Release c) {
            return release(c);
        } else if (command instanceof Command.Done c) {
            return done(c);
        } else if (command instanceof Command.Warm c) {
            return warm(c);
        } else if (command instanceof Command.Overdue c) {
            return overdue(c);
        } else if (command instanceof Command.Found c) {
            return found(c);
        }
        return no("unknown command " + command);
    }

    private static Result yes(String why) {
        return new Result(true, why);
    }

    private static Result no(String why) {
        return new Result(false, why);
    }

    private Result put(Work work) {
        works.put(work.key(), work);
        return yes(work.key() + ": " + work.why());
    }

    private Result forget(Command.Forget c) {
        for (Work work : works.values()) {
            if (work.machine().equals(c.machine()) && work.phase().out) {
                return no(work.key() + " has it: " + work.phase());
            }
        }
        works.values().removeIf(work -> work.machine().equals(c.machine()));
        return machines.remove(c.machine()) == null
                ? no(c.machine() + " is not in the fleet")
                : yes(c.machine() + " forgotten");
    }

    private Result want(Command.Want c) {
        if (!machines.containsKey(c.machine())) {
            return no(c.machine() + " is not in the fleet");
        }
        Work wanted;
        try {
            wanted = new Work(
                    c.id(),
                    c.machine(),
                    c.crew(),
                    c.from(),
                    c.until(),
                    c.minutes(),
                    Phase.WAITING,
                    0,
                    c.at(),
                    "waits for its turn",
                    0,
                    Phase.WAITING);
        } catch (IllegalArgumentException e) {
            return no(e.getMessage());
        }
        Work before = works.get(wanted.key());
        if (before != null && !before.over()) {
            return no(wanted.key() + " is wanted already: " + before.phase());
        }
        return put(wanted);
    }

    private Result withdraw(Command.Withdraw c) {
        Work work = works.get(c.id() + "/" + c.machine());
        if (work == null) {
            return no(c.id() + "/" + c.machine() + " is not in the list");
        }
        return switch (work.phase()) {
            case WAITING -> put(work.in(Phase.WITHDRAWN, c.at(), "withdrawn before its turn"));
            case EMPTYING -> put(work.warming(Phase.WITHDRAWN, c.at(), "withdrawn while it was emptied; warms up"));
            case WARMING ->
                work.next() == Phase.WAITING
                        ? put(work.warming(Phase.WITHDRAWN, work.since(), "withdrawn; warms up"))
                        : no(work.key() + " is on its way back already");
            case OUT -> no(work.key() + " is out: its crew gives it back");
            case FAILED -> no(work.key() + " has failed: somebody has to look at " + work.machine());
            case BACK, WITHDRAWN -> no(work.key() + " is over");
        };
    }

    private Result grant(Command.Grant c) {
        Work work = works.get(c.id() + "/" + c.machine());
        if (work == null || work.phase() != Phase.WAITING) {
            return no(c.id() + "/" + c.machine()
                    + (work == null ? " is not in the list" : " does not wait: " + work.phase()));
        }
        String against = against(work, c.at());
        return against == null ? put(work.granted(index, c.at())) : no(against);
    }

    /** Why a waiting work can't be granted now; null where it can. */
    public String against(Work work, long at) {
        if (heldBy != null) {
            return "grants are held by " + heldBy;
        }
        if (at < work.from()) {
            return "not before its time";
        }
        if (work.until() != Long.MAX_VALUE && at + work.minutes() * MINUTE > work.until()) {
            return "it could not be back by its time any more";
        }
        return bounds.against(machines.get(work.machine()), machines.values(), out(), refilling(), demand);
    }

    private Result emptied(Command.Emptied c) {
        Work work = holder(c.machine(), c.token());
        if (work == null || work.phase() != Phase.EMPTYING) {
            return no("token " + c.token() + " empties nothing of " + c.machine());
        }
        emptied.computeIfAbsent(c.token(), token -> new TreeSet<>()).add(process(c.proxy(), c.generation()));
        return yes(c.proxy() + " has nothing in hand at " + c.machine());
    }

    /** How a process is named in {@link Command.Release}. */
    public static String process(String proxy, long generation) {
        return proxy + "#" + generation;
    }

    private Result release(Command.Release c) {
        Work work = holder(c.machine(), c.token());
        if (work == null || work.phase() != Phase.EMPTYING) {
            return no("token " + c.token() + " empties nothing of " + c.machine());
        }
        List<String> missing = new ArrayList<>(c.processes());
        missing.removeAll(emptied.getOrDefault(c.token(), Set.of()));
        if (c.processes().isEmpty() || !missing.isEmpty()) {
            return no(
                    c.machine() + " is not emptied by " + (missing.isEmpty() ? "anybody" : String.join(", ", missing)));
        }
        emptied.remove(c.token());
        return put(work.in(Phase.OUT, c.at(), work.crew() + " has it"));
    }

    private Result done(Command.Done c) {
        Work work = holder(c.machine(), c.token());
        if (work == null || work.phase() != Phase.OUT || !work.crew().equals(c.crew())) {
            return no(c.crew() + " has not got " + c.machine() + " under token " + c.token());
        }
        return put(
                c.well()
                        ? work.warming(Phase.BACK, c.at(), "done; warms up")
                        : work.in(Phase.FAILED, c.at(), "failed: " + c.why()));
    }

    private Result warm(Command.Warm c) {
        Work work = holder(c.machine(), c.token());
        if (work == null || work.phase() != Phase.WARMING) {
            return no("token " + c.token() + " warms nothing of " + c.machine());
        }
        return put(work.in(work.next(), c.at(), work.next() == Phase.WAITING ? "waits for its turn again" : "over"));
    }

    private Result overdue(Command.Overdue c) {
        Work work = holder(c.machine(), c.token());
        if (work == null || c.at() < overdueAt(work)) {
            return no(c.machine() + " is not overdue under token " + c.token());
        }
        emptied.remove(c.token());
        return put(
                work.phase() == Phase.EMPTYING
                        ? work.warming(Phase.WAITING, c.at(), "was not emptied in time; warms up and waits again")
                        : work.in(
                                Phase.FAILED,
                                c.at(),
                                work.crew() + " has said nothing: it counts as out until somebody has looked"));
    }

    /** From when on silence ends the work's phase; never for those in which nobody owes a word. */
    public static long overdueAt(Work work) {
        return switch (work.phase()) {
            case EMPTYING -> work.since() + EMPTYING_MILLIS;
            case OUT -> work.since() + SILENT_FACTOR * MINUTE * work.minutes();
            default -> Long.MAX_VALUE;
        };
    }

    private Result found(Command.Found c) {
        Work work = holder(c.machine(), c.token());
        if (work == null || work.phase() != Phase.FAILED) {
            return no("nothing of " + c.machine() + " has failed under token " + c.token());
        }
        return put(work.warming(Phase.WAITING, c.at(), c.who() + " has found it there; warms up and waits again"));
    }

    /** The work that has a machine under a token; null for every older or unknown one. */
    private Work holder(String machine, long token) {
        for (Work work : works.values()) {
            if (work.machine().equals(machine) && work.phase().out && work.token() == token) {
                return work;
            }
        }
        return null;
    }

    /** Machines that are not in full service, in the order of their names. */
    public Set<Machine> out() {
        return machinesIn(true);
    }

    /** Those of them whose keys the ledger is refilling. */
    public Set<Machine> refilling() {
        return machinesIn(false);
    }

    private Set<Machine> machinesIn(boolean anyOut) {
        Set<Machine> found = new HashSet<>();
        for (Work work : works.values()) {
            if (anyOut && work.phase().out || work.phase() == Phase.EMPTYING || work.phase() == Phase.WARMING) {
                found.add(machines.get(work.machine()));
            }
        }
        return found;
    }

    /** All works, by their keys. */
    public Collection<Work> works() {
        return List.copyOf(works.values());
    }

    /** The fleet, by names. */
    public Collection<Machine> machines() {
        return List.copyOf(machines.values());
    }

    /** A machine; null where it is not in the fleet. */
    public Machine machine(String name) {
        return machines.get(name);
    }

    /** Who has emptied the machine of that grant so far. */
    public Set<String> emptied(long token) {
        return Set.copyOf(emptied.getOrDefault(token, Set.of()));
    }

    public Bounds bounds() {
        return bounds;
    }

    /** Requests a second that the nodes have to carry. */
    public double demand() {
        return demand;
    }

    /** Who holds grants; null where nobody does. */
    public String heldBy() {
        return heldBy;
    }

    /** How many commands have changed it: what was turned down is in the log, and makes no difference here. */
    public long changes() {
        return changes;
    }

    /** The index of the last command. */
    public long index() {
        return index;
    }
}
