package gorsemast.maintenance;

/**
 * One machine's going out for one piece of work, as the list knows it.
 *
 * @param id the operator's name for it; with the machine it is unique in the list
 * @param crew who works on it, and may say that it is done
 * @param from not before this, Unix milliseconds; 0 for any time
 * @param until has to be back by then; {@link Long#MAX_VALUE} for any time
 * @param minutes how long the crew needs it, as expected
 * @param token of its grant: the log's index at which it was granted; 0 while it has none
 * @param since when it came into this phase, Unix milliseconds by the clock of whoever proposed that
 * @param why for people: what it waits for, or what went wrong
 * @param tries how often it has been granted
 * @param next what it is once its machine is warm again: {@link Phase#BACK} where the work was done, {@link Phase#WAITING}
 *     where it has to be granted again, {@link Phase#WITHDRAWN}
 */
public record Work(
        String id,
        String machine,
        String crew,
        long from,
        long until,
        int minutes,
        Phase phase,
        long token,
        long since,
        String why,
        int tries,
        Phase next) {
    /** The life of a work. */
    public enum Phase {
        /** Waits for its turn. */
        WAITING(false),
        /** Its machine is being emptied by every proxy. */
        EMPTYING(true),
        /** The crew has the machine. */
        OUT(true),
        /** It is there again and cold. */
        WARMING(true),
        /** Done, and in full service. */
        BACK(false),
        /** Its crew never said a word, or says that it went wrong: the machine counts as out until somebody says what is. */
        FAILED(true),
        /** Taken back by whoever wanted it. */
        WITHDRAWN(false);

        /** Whether the machine is not in full service. */
        public final boolean out;

        Phase(boolean out) {
            this.out = out;
        }
    }

    public Work {
        if (id.isEmpty() || machine.isEmpty() || crew.isEmpty()) {
            throw new IllegalArgumentException("a work has an id, a machine and a crew");
        }
        if (minutes < 1 || from < 0 || until <= from) {
            throw new IllegalArgumentException(
                    id + ": minutes are 1 or more, until is after from; not " + minutes + ", " + from + " to " + until);
        }
    }

    /** What names it in the list. */
    public String key() {
        return id + "/" + machine;
    }

    Work in(Phase other, long at, String because) {
        return new Work(id, machine, crew, from, until, minutes, other, token, at, because, tries, next);
    }

    Work granted(long index, long at) {
        return new Work(
                id,
                machine,
                crew,
                from,
                until,
                minutes,
                Phase.EMPTYING,
                index,
                at,
                "is being emptied",
                tries + 1,
                Phase.WAITING);
    }

    /** On its way back, and what it is then. */
    Work warming(Phase then, long at, String because) {
        return new Work(id, machine, crew, from, until, minutes, Phase.WARMING, token, at, because, tries, then);
    }

    /** Whether it has ended. */
    public boolean over() {
        return phase == Phase.BACK || phase == Phase.WITHDRAWN;
    }
}
