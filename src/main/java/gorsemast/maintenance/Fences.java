package gorsemast.maintenance;

import java.util.HashMap;
import java.util.Map;

/**
 * What one process of a proxy obeys of grants: it empties a machine under the newest token that it has seen for it, says once
 * that it has nothing in hand there, and turns down whatever is older.
 *
 * <p><b>Idea.</b> A fencing token is compared where the effect takes place (Kleppmann, "How to do distributed locking", 2016):
 * a leader that was paused can't have a machine emptied, or taken back into service, by a word that has been overtaken. Words
 * come over a log that each process reads in order, but a process also hears operators and other processes, and may read a
 * part of the log twice after a restart.
 *
 * <p>O(1) a call, one entry a machine. One thread; no I/O.
 */
public final class Fences {
    private static final class Fence {
        long token;
        boolean shut;
        boolean told;
    }

    private final Map<String, Fence> fences = new HashMap<>();

    /** The machine is to be emptied under that token. Returns whether this process does. */
    public boolean shut(String machine, long token) {
        Fence fence = fences.computeIfAbsent(machine, name -> new Fence());
        if (token < fence.token || token == fence.token && !fence.shut) {
            return false; // overtaken, or opened again under this very token
        }
        if (token > fence.token) {
            fence.token = token;
            fence.told = false;
        }
        fence.shut = true;
        return true;
    }

    /** The machine may be sent work again, as its absence under that token is over. Returns whether this process does. */
    public boolean open(String machine, long token) {
        Fence fence = fences.computeIfAbsent(machine, name -> new Fence());
        if (token < fence.token) {
            return false;
        }
        fence.token = token;
        fence.shut = false;
        return true;
    }

    /** Whether nothing new may be sent there. */
    public boolean isShut(String machine) {
        Fence fence = fences.get(machine);
        return fence != null && fence.shut;
    }

    /**
     * So many requests are in hand there now. Returns the token under which it is to be said that there are none, once a
     * token; 0 where there is nothing to say.
     */
    public long inHand(String machine, int requests) {
        Fence fence = fences.get(machine);
        if (fence == null || !fence.shut || fence.told || requests > 0) {
            return 0;
        }
        fence.told = true;
        return fence.token;
    }

    /** The newest token seen for a machine; 0 for none. */
    public long token(String machine) {
        Fence fence = fences.get(machine);
        return fence == null ? 0 : fence.token;
    }
}
