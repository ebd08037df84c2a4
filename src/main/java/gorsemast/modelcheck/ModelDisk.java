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
 * state alone leaves the version that was there. Saves end in their order; a stalled or full disk ends none. Of saves that
 * are under way when a process ends, a first part is there. One thread.
 */
final class ModelDisk {
    private record Save(ReplicaState state, boolean keptToo, long token, Replica of) {}

    private final SplittableRandom random;
    private final Plant plant;
    private final Deque<Save> saves = new ArrayDeque<>();
    private ReplicaState held;
    private ReplicaState earlier;
    private boolean stalled;

    ModelDisk(SplittableRandom random, Plant plant) {
        this.random = random;
        this.plant = plant;
    }

    /** What a start finds; null for an empty disk. */
    ReplicaState held() {
        return held;
    }

    /** What an empty disk is given before its machine's first life. */
    void begin(ReplicaState first) {
        held = first;
    }

    /** From now on it ends no save, as one that is full or hangs; or ends them again. */
    void stall(boolean does) {
        stalled = does;
    }

    /** Takes a save, which ends later. */
    void save(ReplicaState state, boolean keptToo, long token, Replica of) {
        saves.add(new Save(state, keptToo, token, of));
    }

    /** Ends one save. Returns whether there was one, and tells the replica that asked for it if it still runs. */
    boolean sync(Replica running, long now) {
        if (saves.isEmpty() || stalled) {
            return false;
        }
        Save done = saves.poll();
        write(done);
        if (running == done.of && plant != Plant.SAVED_TOO_EARLY) {
            running.saved(now, done.token);
        }
        return true;
    }

    private void write(Save save) {
        earlier = held;
        boolean keptToo = save.keptToo && plant != Plant.STATE_WITHOUT_VERSION;
        held = with(save.state, keptToo || held == null ? save.state.stored() : held.stored());
    }

    private static ReplicaState with(ReplicaState state, StoredVersion kept) {
        return new ReplicaState(state.self(), state.promised(), state.view(), kept);
    }

    /** The process ends: saves that it has not begun are gone, and power cuts the one that is under way. */
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
        if (power && plant == Plant.DISK_FORGETS_THE_LAST && earlier != null) {
            held = earlier;
        }
        if (power && plant == Plant.FOLDER_NOT_SYNCED && random.nextInt(4) == 0) {
            held = null;
        }
    }

    /** A save that power has cut: nothing of it counts, but where a torn record is taken for a whole one. */
    private void torn(Save save) {
        if (plant == Plant.TORN_TAKEN_FOR_WHOLE && save.keptToo) {
            StoredVersion kept = save.state.stored();
            byte[] half = Arrays.copyOf(kept.body(), kept.body().length / 2);
            held = with(save.state, new StoredVersion(kept.version(), kept.term(), half, kept.history()));
        }
    }

    /** Nothing is left on it. */
    void wipe() {
        held = null;
        earlier = null;
    }
}
