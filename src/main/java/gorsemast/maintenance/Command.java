package gorsemast.maintenance;

/**
 * What may stand in the log. Each carries the time of whoever proposed it, Unix milliseconds, so that all who read it
 * compute the same; no reader looks at a clock of its own.
 */
public sealed interface Command {
    /** When it was proposed. */
    long at();

    /** A machine is part of the fleet, or is described anew. */
    record Describe(long at, Machine machine) implements Command {}

    /** A machine is not part of the fleet any more; refused while a work has it. */
    record Forget(long at, String machine) implements Command {}

    /** Other bounds hold from now on, and another demand. What is out stays out. */
    record Bind(long at, Bounds bounds, double demand) implements Command {}

    /** Somebody wants a machine. */
    record Want(long at, String id, String machine, String crew, long from, long until, int minutes)
            implements Command {}

    /** Whoever wanted it does not any more. */
    record Withdraw(long at, String id, String machine) implements Command {}

    /** No new grants, or grants again. */
    record Hold(long at, boolean held, String who) implements Command {}

    /** The machine may go: proposed by a leader's planner, and judged by the list whoever proposes it. */
    record Grant(long at, String id, String machine) implements Command {}

    /** A process of a proxy says that it has nothing in hand there and sends nothing new, under that grant. */
    record Emptied(long at, String machine, long token, String proxy, long generation) implements Command {}

    /**
     * The machine goes to the crew. Lists the processes that have to have emptied it: those that live by the proposer's
     * view; the dead are counted out once their work can't run any more.
     */
    record Release(long at, String machine, long token, java.util.List<String> processes) implements Command {
        public Release {
            processes = java.util.List.copyOf(processes);
        }
    }

    /** The crew has done its work, or has not been able to. */
    record Done(long at, String machine, long token, String crew, boolean well, String why) implements Command {}

    /** It is warm again. */
    record Warm(long at, String machine, long token) implements Command {}

    /** The crew has been silent for too long: see {@link WorksList#SILENT_FACTOR}. */
    record Overdue(long at, String machine, long token) implements Command {}

    /** Somebody has looked at a machine whose work failed, and says that it is there again, cold. */
    record Found(long at, String machine, long token, String who) implements Command {}
}
