package gorsemast.store;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The saves that a replica has requested and that are not on disk yet, with the action that follows each. Detects a
 * disk that has stalled. Times are in microseconds of the replica's clock; called by the replica only.
 */
final class PendingSaves {
    private record Save(View view, long startedAt, Runnable onSaved) {}

    private final long stallMicros;
    private final Runnable onSettled;
    private final Map<Long, Save> pending = new LinkedHashMap<>();
    private long lastToken;
    private long settledTerm;

    /**
     * Creates a tracker with no save pending.
     *
     * @param stallMicros a disk that has not finished a save for longer than this has stalled
     * @param onDisk the view on disk at the start
     * @param onSettled run when {@link #settledTerm} has grown, before the action that follows the save
     */
    PendingSaves(long stallMicros, View onDisk, Runnable onSettled) {
        this.stallMicros = stallMicros;
        this.settledTerm = onDisk.previousMembers().isEmpty() ? onDisk.term() : -1;
        this.onSettled = onSettled;
    }

    /** Returns the term of the last view on disk that is not joint; -1 for none. */
    long settledTerm() {
        return settledTerm;
    }

    /** Returns whether the disk has not finished a save for too long, as it hangs or is full. */
    boolean isStalled(long now) {
        return !pending.isEmpty() && now - pending.values().iterator().next().startedAt() > stallMicros;
    }

    /**
     * Adds a save.
     *
     * @param view the view that is saved
     * @param onSaved run once it is on disk
     * @return the token to pass to {@link #complete}
     */
    long add(View view, long now, Runnable onSaved) {
        lastToken++;
        pending.put(lastToken, new Save(view, now, onSaved));
        return lastToken;
    }

    /** Completes the save with this token and runs its action; an unknown token is ignored. */
    void complete(long token) {
        Save completed = pending.remove(token);
        if (completed == null) {
            return;
        }
        if (completed.view().previousMembers().isEmpty() && completed.view().term() > settledTerm) {
            settledTerm = completed.view().term();
            onSettled.run();
        }
        completed.onSaved().run();
    }
}
