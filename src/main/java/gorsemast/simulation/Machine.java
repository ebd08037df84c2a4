package gorsemast.simulation;

import gorsemast.store.ReplicaState;
import java.util.ArrayList;
import java.util.List;

/**
 * A simulated machine: its power, freezes and active faults. Its disk survives its processes; of what was not synced when
 * power is lost, a part survives. Single-threaded; times in microseconds of the simulation's clock.
 */
final class Machine {
    /** Disk contents; null fields stand for missing files. */
    static final class Disk {
        byte[] known;
        final List<byte[]> journal = new ArrayList<>();
        ReplicaState saved;

        /** Replaces the state, and the version where that is saved too. */
        void save(ReplicaState state, boolean withVersion) {
            saved = withVersion || saved == null
                    ? state
                    : new ReplicaState(state.self(), state.promised(), state.view(), saved.stored());
        }
    }

    final String ip;
    final String zone;
    final boolean core;
    /** Whether this edge has so few sockets that it keeps a link to one registry and none to other edges. */
    boolean fewLinks;

    final List<Process> processes = new ArrayList<>();
    Disk disk = new Disk();
    boolean power = true;
    boolean removed;
    /** Until then the disk is stalled and completes no write. */
    long stalledUntil;

    /** Until then the disk is full and accepts no write. */
    long fullUntil;
    /** Factor by which writes are slowed. */
    int diskTimes = 1;
    /** When a link from or to it was last cut or restored. */
    long pathChanged;
    /** How often its processes have been stopped. */
    int stops;

    long frozenUntil;
    /** Error of the wall clock, which is read only at start-up. */
    long clockError;

    private int activeFaults;
    private long calmSince;

    Machine(String ip, String zone, boolean core, long now) {
        this.ip = ip;
        this.zone = zone;
        this.core = core;
        this.calmSince = now;
    }

    /** A fault affects the machine until {@link #endFault}. */
    void beginFault() {
        activeFaults++;
    }

    /** One fault has ended. */
    void endFault(long now) {
        activeFaults--;
        calmSince = now;
    }

    /** For how long no fault has affected it; 0 during a fault. */
    long calmFor(long now) {
        return activeFaults > 0 || removed ? 0 : now - calmSince;
    }
}
