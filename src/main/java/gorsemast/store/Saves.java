package gorsemast.store;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The saves that a replica has asked for and that are not on disk yet: what follows each of them, and whether the disk
 * takes too long. Times in microseconds of the replica's clock; one caller, the replica's.
 */
final class Saves {
    private record Saving(View view, long since, Runnable then) {}

    private final long slowMicros;
    private final Runnable whenSettled;
    private final Map<Long, Saving> pending = new LinkedHashMap<>();
    private long token;
    private long settled;

    /**
     * No save pending.
     *
     * @param slowMicros a disk that has not ended a save for longer than this is slow
     * @param onDisk the view that the disk holds at the start
     * @param whenSettled run when {@link #settled} has grown, before what follows the save
     */
    Saves(long slowMicros, View onDisk, Runnable whenSettled) {
        this.slowMicros = slowMicros;
        this.settled = onDisk.previousMembers().isEmpty() ? onDisk.term() : -1;
        this.whenSettled = whenSettled;
    }

    /** The term of the last view without an old list of members that is on disk; -1 for none. */
    long settled() {
        return settled;
    }

    /** Whether the disk has not ended a save for long: it hangs, or is full. */
    boolean slow(long now) {
        return !pending.isEmpty() && now - pending.values().iterator().next().since() > slowMicros;
    }

    /**
     * A save begins.
     *
     * @param view the view that is saved
     * @param then run once it is on disk
     * @return the token to give to {@link #done}
     */
    long begin(View view, long now, Runnable then) {
        token++;
        pending.put(token, new Saving(view, now, then));
        return token;
    }

    /** The save of this token is on disk; runs what follows it. An unknown token is passed over. */
    void done(long which) {
        Saving done = pending.remove(which);
        if (done == null) {
            return;
        }
        if (done.view().previousMembers().isEmpty() && done.view().term() > settled) {
            settled = done.view().term();
            whenSettled.run();
        }
        done.then().run();
    }
}
