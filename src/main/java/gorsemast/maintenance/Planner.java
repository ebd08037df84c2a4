package gorsemast.maintenance;

/** Puts the waiting works in an order. Deterministic; one thread; proposes only, as the list judges each grant. */
public interface Planner {
    /** An order for what waits now, Unix milliseconds. */
    Plan plan(WorksList list, long now);

    /** Minutes that emptying takes, as expected. */
    int EMPTYING_MINUTES = 2;
    /** Milliseconds a minute. */
    long MINUTE = 60_000;

    /** How long a machine takes to be warm, in whole minutes, 1 at the least. */
    static int warming(Machine machine) {
        return (int) Math.max(1, (machine.warmMillis() + MINUTE - 1) / MINUTE);
    }

    /** Minutes from now until a work that is out is expected to be in full service again. */
    static int remaining(Work work, Machine machine, long now) {
        long gone = Math.max(0, now - work.since()) / MINUTE;
        long left =
                switch (work.phase()) {
                    case EMPTYING -> Math.max(1, EMPTYING_MINUTES - gone) + work.minutes() + warming(machine);
                    case OUT -> Math.max(1, work.minutes() - gone) + warming(machine);
                    case WARMING -> Math.max(1, warming(machine) - gone);
                    // Nobody knows when somebody will have looked.
                    case FAILED -> (long) WorksList.SILENT_FACTOR * work.minutes() + warming(machine);
                    default -> 0;
                };
        return (int) Math.min(left, Integer.MAX_VALUE / 4);
    }
}
