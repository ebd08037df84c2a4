package gorsemast.simulation;

import java.util.Locale;

/**
 * Something that happens at a time of a day, from the start of traffic on.
 *
 * @param at in microseconds
 * @param span how long it lasts, in microseconds, where it lasts
 * @param pick which of the machines, servers or objects that fit: the same number picks the same
 */
public record Trouble(Kind kind, long at, long span, int pick) {
    /** What happens; the first group is planned work. */
    public enum Kind {
        /** The configuration changes. */
        CONFIG,
        /** Two operators change it at once, under one number with two contents. */
        CONFIG_RACE,
        /** An invalid one is sent. */
        BAD_CONFIG,
        /** An object changes and is purged, by path or tag. */
        PURGE,
        /** Purges come in a stream. */
        PURGE_STORM,
        /** A server drains and leaves. */
        DRAIN,
        /** A new server comes, then an old one drains. */
        RELEASE,
        /** Edges are asked to leave in turn and start again. */
        ROLL,
        /** Settings are read again, with the operator's present list. */
        RELOAD,
        /** A core machine is replaced by an empty one at another address. */
        REPLACE_CORE,
        /** An empty one comes first; then the old one is asked to leave, and is gone when its processes have ended. */
        REPLACE_CORE_PLANNED,
        /** The same, for the one that leads; and at once the one that leads then, if any, or the oldest loses its disk. */
        REPLACE_PRIMARY_THEN_WIPE,
        /** Core machines are asked to leave in turn and start again. */
        ROLL_CORES,
        /** A server ends without a word. */
        CRASH_SERVER,
        /** It does, and its address goes to another service. */
        REUSE,
        /** Servers of one service run requests and lose the answers of some. */
        LOSE_ANSWERS,
        /** Servers of one service answer late, twice, without a name, or reset; and forget idle connections. */
        CONFUSED,
        /** A server turns slow. */
        SLOW_SERVER,
        /** An edge's process is killed. */
        KILL_EDGE,
        /** Most edges are. */
        HERD,
        /** A core machine's processes are. */
        KILL_CORE,
        /** All of the core's are. */
        KILL_CORES,
        /** A core machine loses power. */
        POWER_CORE,
        /** The next core machine that acknowledges something loses power within 4 ms. */
        POWER_AFTER_ACK,
        /** The same, and its disk. */
        WIPE_AFTER_ACK,
        /** An edge stands still. */
        FREEZE_EDGE,
        /** A core machine does. */
        FREEZE_CORE,
        /** An edge reaches no core machine. */
        CUT_EDGE,
        /** A core machine reaches no other one. */
        CUT_CORE,
        /** Of one registry only the others and edges hear at once: what the others tell is held up, and what stores tell is not. */
        HOLD_NEWS,
        /** It hears the others, and they do not hear it. */
        CUT_ONE_WAY,
        /** A core machine's disk finishes nothing. */
        STALL,
        /** The time of day jumps on a core machine and an edge. */
        CLOCK
    }

    /** Everything that may end a day, right after a change was acknowledged. */
    public enum Closing {
        NONE,
        KILL_ALL,
        POWER_ALL,
        WIPE
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%.3f s %s for %.1f s, %d", at / 1e6, kind, span / 1e6, pick);
    }
}
