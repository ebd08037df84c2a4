package gorsemast.simulation;

import java.util.Locale;

/**
 * A fault or planned operation at a given time after the start of traffic.
 *
 * @param at in microseconds
 * @param span its duration in microseconds, if it has one
 * @param pick selects among the eligible machines, servers or objects; see {@link #HOW}
 */
public record Fault(Kind kind, long at, long span, int pick) {
    /**
     * {@code pick / HOW} selects the variant: of a cut, {@link NetworkLinks.Cut}; of a fault after an acknowledgement, {@link AcknowledgedChange}.
     */
    public static final int HOW = 1_000;

    /** The kinds; the first group is planned work. */
    public enum Kind {
        /** The configuration changes. */
        CONFIG,
        /** Two operators send contents of their own under one number at once; what was acknowledged is sent again. */
        CONFIG_RACE,
        /** Two operators send two contents under one number, to two machines: at once, or a tenth of the span apart. */
        SAME_NUMBER,
        /** One change is sent to three machines at once. */
        CONFIG_THRICE,
        /** Eight changes are under way at once. */
        CONFIG_MANY,
        /** Changes come one after the other, several each second. */
        CONFIG_STREAM,
        /** A change that was acknowledged is sent again, unchanged. */
        CONFIG_AGAIN,
        /** All core machines that are known are asked for the configuration. */
        READ,
        /** Seven of ten answers to operators are lost. */
        LOSE_ACKS,
        /** An invalid change is sent, or one with the current or an older version, or an earlier one again. */
        BAD_CONFIG,
        /** An object changes and is purged, by path or tag. */
        PURGE,
        /** Purges come in a stream. */
        PURGE_STORM,
        /** A server drains and leaves. */
        DRAIN,
        /** A server drains, serves on for long, and leaves. */
        DRAIN_LONG,
        /** A new server comes, then an old one drains. */
        RELEASE,
        /** Edges are asked to leave in turn and start again. */
        ROLL,
        /** Settings are read again, with the operator's present list. */
        RELOAD,
        /** A core machine is replaced by an empty one at another address. */
        REPLACE_CORE,
        /** A core machine is replaced gracefully: an empty one is added, then the old one is asked to leave. */
        REPLACE_CORE_PLANNED,
        /** The same, for the one that leads; and at once the one that leads then, if any, or the oldest loses its disk. */
        REPLACE_PRIMARY_THEN_WIPE,
        /** Core machines are asked to leave in turn and start again. */
        ROLL_CORES,
        /** Two are replaced at once, where two may be lost. */
        REPLACE_TWO,
        /** All are replaced in turn, so that all first lists are old. */
        REPLACE_ALL,
        /** A further core machine comes, empty. */
        SPARE_CORE,
        /** A server crashes. */
        CRASH_SERVER,
        /** A server crashes and its address is reused by another service. */
        REUSE,
        /** Servers of one service run requests and lose the answers of some. */
        LOSE_ANSWERS,
        /** Servers of one service answer late, twice, without an id, or reset; and drop idle connections. */
        CONFUSED,
        /** A server turns slow. */
        SLOW_SERVER,
        /** An edge's process is killed. */
        KILL_EDGE,
        /** Most edges' processes are killed. */
        HERD,
        /** A core machine's processes are killed. */
        KILL_CORE,
        /** All processes of the core are killed. */
        KILL_CORES,
        /** A core machine loses power. */
        POWER_CORE,
        /** The next core machine that acknowledges something loses power within 4 ms. */
        POWER_AFTER_ACK,
        /** The same, and its disk. */
        WIPE_AFTER_ACK,
        /** All core machines lose power right after one of them acknowledges something. */
        POWER_ALL_AFTER_ACK,
        /** All core machines lose power 5 to 400 ms after a change is sent, acknowledged or not. */
        POWER_ALL_TIMED,
        /** A core machine loses power and disk. */
        WIPE_CORE,
        /** One loses its disk and all others their power, right after one acknowledges something. */
        WIPE_REST_POWER,
        /** An edge freezes. */
        FREEZE_EDGE,
        /** All edges freeze, each for half of the span to all of it. */
        FREEZE_EDGES,
        /** A core machine freezes. */
        FREEZE_CORE,
        /** An edge reaches no core machine. */
        CUT_EDGE,
        /** A core machine reaches no other one. */
        CUT_CORE,
        /** A core machine receives from the others, and they do not receive from it. */
        CUT_ONE_WAY,
        /** Updates of all registries but one are blocked; what stores send still arrives. */
        HOLD_NEWS,
        /** The others receive from a core machine, and it does not receive from them. */
        CUT_ONE_WAY_IN,
        /** The machine whose store leads reaches no other one. */
        CUT_LEADER,
        /** The primary's machine is cut off from the others in one direction. */
        CUT_LEADER_ONE_WAY,
        /** A core machine and the edges of its zone are on one side, all others on the other; an edge of each is restarted. */
        CUT_SIDE,
        /** The same with two core machines, where two may be lost. */
        CUT_TWO,
        /** The same with one, which is restarted, then the others. */
        CUT_BOTH,
        /** A core machine is cut off, new lists begin with it, and edges are restarted. */
        CUT_SEEDS,
        /** What two core machines send each other is delayed by up to some seconds. */
        HOLD_LINK,
        /** What an edge and all core machines send each other is delayed by up to some seconds. */
        HOLD_EDGE,
        /** All machines of a zone lose power. */
        ZONE_POWER,
        /** All machines of a zone are cut off from the others. */
        ZONE_CUT,
        /** A core machine's disk is slow at each write. */
        SLOW_DISK,
        /** A core machine's disk is full. */
        FULL_DISK,
        /** A core machine's disk completes no write. */
        STALL,
        /** The time of day jumps on a core machine and an edge. */
        CLOCK
    }

    /** The closing fault of a scenario, right after a change was acknowledged unless stated otherwise. */
    public enum Closing {
        NONE,
        KILL_ALL,
        POWER_ALL,
        WIPE,
        /** Power is lost right after a purge or a drain was acknowledged. */
        POWER_ANY,
        /** Power is lost 5 to 400 ms after a change was sent, acknowledged or not. */
        POWER_TIMED
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%.3f s %s for %.1f s, %d", at / 1e6, kind, span / 1e6, pick);
    }
}
