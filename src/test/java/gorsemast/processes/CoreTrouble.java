package gorsemast.processes;

import java.util.List;
import java.util.stream.IntStream;

/** What can happen to one core machine so that it misses what the others acknowledge. Edges reach it as before. */
enum CoreTrouble {
    /** Nothing passes between it and the others. */
    CUT_OFF,
    /** It hears the others, and they don't hear it. */
    CUT_OFF_OUTWARDS,
    /** The others hear it, and it doesn't hear them. */
    CUT_OFF_INWARDS,
    /** Its processes are stopped, and their connections stay open. */
    STANDS_STILL;

    /** Begins the trouble at a machine, which {@code others} are the rest of the core to. */
    void begin(ProcessNetwork network, int core, int... others) {
        LinkRelay relay = network.relay();
        List<Integer> rest = IntStream.of(others).boxed().toList();
        switch (this) {
            case CUT_OFF -> network.between(core, rest, relay::cut);
            case CUT_OFF_OUTWARDS -> network.between(core, rest, relay::hold);
            case CUT_OFF_INWARDS -> network.between(core, rest, (one, other) -> relay.hold(other, one));
            case STANDS_STILL -> network.pause(core);
        }
    }

    /** Ends it. */
    void end(ProcessNetwork network, int core, int... others) {
        if (this == STANDS_STILL) {
            network.resume(core);
        } else {
            network.between(core, IntStream.of(others).boxed().toList(), network.relay()::heal);
        }
    }
}
