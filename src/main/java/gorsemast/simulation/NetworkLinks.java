package gorsemast.simulation;

import gorsemast.peer.PeerMessage.Program;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The simulated network paths between machines: latencies, cuts, resets, refused connections and delays. Single-threaded;
 * times in microseconds.
 */
final class NetworkLinks {
    /** How a cut appears to both sides. */
    enum Cut {
        /** Messages are lost silently. */
        SILENT,
        /** Existing links are reset; new connections are not answered. */
        RESET,
        /** Existing links are reset; new connections are refused at once. */
        REFUSED;

        /** Selects the kind by a fault's {@code pick}. */
        static Cut of(int pick) {
            return values()[pick / Fault.HOW % values().length];
        }
    }

    private record Path(Machine from, Machine to) {}

    /** Messages sent {@code now} are late by a share of the time since {@code from}, up to {@code most}. */
    private record Delay(long from, long most) {
        long late(long now) {
            return Math.min(most, (now - from) / 2);
        }
    }

    private record ProgramPath(Program program, Machine from, Machine to) {
        // The identity hash of an enum differs between JVM processes.
        @Override
        public int hashCode() {
            return 31 * (31 * from.hashCode() + to.hashCode()) + program.ordinal();
        }
    }

    private static final long HELD_BACK = 50_000;

    private final Simulation simulation;
    private final Map<Path, Cut> cuts = new HashMap<>();
    private final Map<Path, Delay> holds = new HashMap<>();
    private final Set<ProgramPath> heldPrograms = new HashSet<>();

    NetworkLinks(Simulation simulation) {
        this.simulation = simulation;
    }

    /** Cuts the path in one direction, or restores it if {@code how} is null. */
    void cut(Machine from, Machine to, Cut how) {
        Path way = new Path(from, to);
        Cut before = how == null ? cuts.remove(way) : cuts.put(way, how);
        if (before == how) {
            return;
        }
        from.pathChanged = simulation.time.now();
        to.pathChanged = simulation.time.now();
        if (from.core && to.core) {
            simulation.connectivity.recordEvent();
        }
        if (how != null && how != Cut.SILENT) {
            from.processes.forEach(one -> one.reset(to));
        }
    }

    boolean isCut(Machine from, Machine to) {
        return !cuts.isEmpty() && cuts.containsKey(new Path(from, to));
    }

    /** Whether a connection attempt is refused at once. */
    boolean isRefused(Machine from, Machine to) {
        return !cuts.isEmpty()
                && (cuts.get(new Path(from, to)) == Cut.REFUSED || cuts.get(new Path(to, from)) == Cut.REFUSED);
    }

    /** Delays messages from now on by a growing time of up to {@code most}; 0 ends the delay. */
    void delayMessages(Machine from, Machine to, long most) {
        if (most == 0) {
            holds.remove(new Path(from, to));
        } else {
            holds.put(new Path(from, to), new Delay(simulation.time.now(), most));
        }
    }

    /** Blocks or unblocks what a program sends from one machine to another. */
    void blockProgram(Program program, Machine from, Machine to, boolean does) {
        ProgramPath way = new ProgramPath(program, from, to);
        if (does) {
            heldPrograms.add(way);
        } else {
            heldPrograms.remove(way);
        }
    }

    /** Whether a record has to wait, behind a cut or because its program is blocked. */
    boolean isBlocked(Program program, Machine from, Machine to) {
        return isCut(from, to) || !heldPrograms.isEmpty() && heldPrograms.contains(new ProgramPath(program, from, to));
    }

    /** Whether messages from one to the other are delayed now. */
    boolean isDelayed(Machine from, Machine to) {
        return !holds.isEmpty() && holds.containsKey(new Path(from, to));
    }

    /** The delay until a blocked record is retried. */
    long retryDelay() {
        return HELD_BACK + simulation.random.nextLong(HELD_BACK);
    }

    /** A random one-way latency around {@code micros}. */
    long randomLatency(long micros) {
        return micros / 2 + simulation.random.nextLong(micros);
    }

    /** How long a message takes from one to the other. */
    long delay(Machine a, Machine b) {
        long usual = randomLatency(a == b ? 100 : a.zone.equals(b.zone) ? 400 : 1_200);
        if (holds.isEmpty()) {
            return usual;
        }
        Delay hold = holds.get(new Path(a, b));
        return hold == null ? usual : usual + hold.late(simulation.time.now());
    }
}
