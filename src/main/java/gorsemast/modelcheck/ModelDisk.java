package gorsemast.modelcheck;

import gorsemast.store.Replica;
import gorsemast.store.ReplicaState;
import gorsemast.store.StoredVersion;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.SplittableRandom;

/**
 * The disk of one machine as its store uses it: the state and the version are records of their own, and a save of the
 * state alone leaves the version that was there. Saves complete in order; a stalled or full disk completes none. Of the
 * saves pending when a process ends, a prefix survives. Single-threaded.
 */
final class ModelDisk {
    private record Save(ReplicaState state, boolean withVersion, long token, Replica of) {}

    private final SplittableRandom random;
    private final StoreDefect defect;
    private final Deque<Save> saves = new ArrayDeque<>();
    private ReplicaState held;
    private ReplicaState earlier;
    private boolean stalled;

    ModelDisk(SplittableRandom random, StoreDefect defect) {
        this.random = random;
        this.defect = defect;
    }

    /** The stored state; null for an empty disk. */
    ReplicaState held() {
        return held;
    }

    /** Initializes an empty disk before its machine's first start. */
    void begin(ReplicaState first) {
        held = first;
    }

    /** Stops completing saves, as a disk that is full or hangs, or resumes. */
    void stall(boolean does) {
        stalled = does;
    }

    /** Queues a save. */
    void save(ReplicaState state, boolean withVersion, long token, Replica of) {
        saves.add(new Save(state, withVersion, token, of));
    }

    /** Completes one save and notifies its replica if it still runs. Returns whether there was one. */
    boolean sync(Replica running, long now) {
        if (saves.isEmpty() || stalled) {
            return false;
        }
        Save done = saves.poll();
        write(done);
        if (running == done.of && defect != StoreDefect.SAVED_TOO_EARLY) {
            running.saved(now, done.token);
        }
        return true;
    }

    private void write(Save save) {
        earlier = held;
        boolean withVersion = save.withVersion && defect != StoreDefect.STATE_WITHOUT_VERSION;
        held = with(save.state, withVersion || held == null ? save.state.stored() : held.stored());
    }

    private static ReplicaState with(ReplicaState state, StoredVersion kept) {
        return new ReplicaState(state.self(), state.promised(), state.view(), kept);
    }

    /** Ends the process: saves not started are lost, and a power loss tears the one in progress. */
    void end(boolean power) {
        while (!saves.isEmpty()) {
            Save next = saves.poll();
            if (stalled || random.nextBoolean()) {
                if (power) {
                    torn(next);
                }
                break;
            }
            write(next);
        }
        saves.clear();
        if (power && defect == StoreDefect.DISK_FORGETS_THE_LAST && earlier != null) {
            held = earlier;
        }
        if (power && defect == StoreDefect.FOLDER_NOT_SYNCED && random.nextInt(4) == 0) {
            held = null;
        }
    }

    /** A save torn by a power loss has no effect, except with the defect that accepts a torn record. */
    private void torn(Save save) {
        if (defect == StoreDefect.TORN_TAKEN_FOR_WHOLE && save.withVersion) {
            StoredVersion kept = save.state.stored();
            byte[] half = Arrays.copyOf(kept.body(), kept.body().length / 2);
            held = with(save.state, new StoredVersion(kept.version(), kept.term(), half, kept.history()));
        }
    }

    /** Erases the disk. */
    void wipe() {
        held = null;
        earlier = null;
    }
}
