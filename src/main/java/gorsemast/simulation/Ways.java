package gorsemast.simulation;

import gorsemast.peer.PeerMessage.Program;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The ways between machines: how long a message takes, what is cut, reset, refused or held up. One thread; microseconds. */
final class Ways {
    /** What those on both sides of a cut see of it. */
    enum Cut {
        /** Nothing: what they send is lost. */
        SILENT,
        /** Links that stood are reset; what they dial is not answered. */
        RESET,
        /** Links that stood are reset; what they dial is refused at once. */
        REFUSED;

        /** Of a trouble's number. */
        static Cut of(int pick) {
            return values()[pick / Trouble.HOW % values().length];
        }
    }

    private record Way(Machine from, Machine to) {}

    /** Messages sent {@code now} are late by a share of the time since {@code from}, up to {@code most}. */
    private record Hold(long from, long most) {
        long late(long now) {
            return Math.min(most, (now - from) / 2);
        }
    }

    private record ProgramWay(Program program, Machine from, Machine to) {
        // An enum's own number differs from process to process.
        @Override
        public int hashCode() {
            return 31 * (31 * from.hashCode() + to.hashCode()) + program.ordinal();
        }
    }

    private static final long HELD_BACK = 50_000;

    private final World world;
    private final Map<Way, Cut> cuts = new HashMap<>();
    private final Map<Way, Hold> holds = new HashMap<>();
    private final Set<ProgramWay> heldPrograms = new HashSet<>();

    Ways(World world) {
        this.world = world;
    }

    /** Cuts the way in one direction, or joins it where {@code how} is null. */
    void cut(Machine from, Machine to, Cut how) {
        Way way = new Way(from, to);
        Cut before = how == null ? cuts.remove(way) : cuts.put(way, how);
        if (before == how) {
            return;
        }
        from.pathChanged = world.time.now();
        to.pathChanged = world.time.now();
        if (from.core && to.core) {
            world.contact.event();
        }
        if (how != null && how != Cut.SILENT) {
            from.processes.forEach(one -> one.reset(to));
        }
    }

    boolean cut(Machine from, Machine to) {
        return !cuts.isEmpty() && cuts.containsKey(new Way(from, to));
    }

    /** Whether who dials is told at once that nothing answers. */
    boolean refused(Machine from, Machine to) {
        return !cuts.isEmpty()
                && (cuts.get(new Way(from, to)) == Cut.REFUSED || cuts.get(new Way(to, from)) == Cut.REFUSED);
    }

    /** Messages from one to the other come late from now on, by {@code most} in the end; on time where that is 0. */
    void hold(Machine from, Machine to, long most) {
        if (most == 0) {
            holds.remove(new Way(from, to));
        } else {
            holds.put(new Way(from, to), new Hold(world.time.now(), most));
        }
    }

    /** What one program on a machine tells another machine is held up until it is no more. */
    void holdProgram(Program program, Machine from, Machine to, boolean does) {
        ProgramWay way = new ProgramWay(program, from, to);
        if (does) {
            heldPrograms.add(way);
        } else {
            heldPrograms.remove(way);
        }
    }

    /** Whether a record waits: behind a cut, or as its program is held up. */
    boolean waits(Program program, Machine from, Machine to) {
        return cut(from, to) || !heldPrograms.isEmpty() && heldPrograms.contains(new ProgramWay(program, from, to));
    }

    /** Whether what one sends the other comes late now. */
    boolean held(Machine from, Machine to) {
        return !holds.isEmpty() && holds.containsKey(new Way(from, to));
    }

    /** When a record behind a cut is tried again. */
    long retry() {
        return HELD_BACK + world.random.nextLong(HELD_BACK);
    }

    /** One way takes about so long. */
    long way(long micros) {
        return micros / 2 + world.random.nextLong(micros);
    }

    /** How long a message takes from one to the other. */
    long delay(Machine a, Machine b) {
        long usual = way(a == b ? 100 : a.zone.equals(b.zone) ? 400 : 1_200);
        if (holds.isEmpty()) {
            return usual;
        }
        Hold hold = holds.get(new Way(a, b));
        return hold == null ? usual : usual + hold.late(world.time.now());
    }
}
