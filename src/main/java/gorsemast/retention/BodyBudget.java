package gorsemast.retention;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Room for the bodies of requests that are kept until they have an answer, shared by all that are too long to be kept
 * without asking.
 *
 * <p><b>Idea.</b> Whoever finds no room waits, and is not read from meanwhile: its time only counts from its last byte,
 * so waiting costs it nothing but the wait, where turning it away would cost the request. Rooms are handed out in the
 * order of asking, which starves nobody. A body whose length is known gets all of its room before its first byte is
 * read, so that those that have begun can always end. One whose length is not known asks again as it grows; two of them
 * could wait for each other for ever, so only one grows at a time (the ordered acquisition of deadlock prevention), and
 * it goes before those that wait to begin.
 *
 * <p><b>When it could hurt.</b> A slow body of unknown length holds back the others of its kind: its sender's own time
 * limit is the bound. A long body at the head of the row holds back shorter ones that would fit.
 *
 * <p><b>Bounds.</b> One entry for each that holds or waits; O(1) a call but for those let in. One thread.
 *
 * @param <G> a request that keeps its body, compared by identity of its {@code equals}
 */
public final class BodyBudget<G> {
    private record Wish<G>(G guest, long bytes) {}

    private final long most;
    private final Map<G, Long> held = new HashMap<>();
    private final Deque<Wish<G>> begin = new ArrayDeque<>();
    private final Deque<Wish<G>> grow = new ArrayDeque<>();
    private long used;
    private G grower;

    /** Room for so many bytes in all. */
    public BodyBudget(long capacity) {
        this.most = capacity;
    }

    /** The longest body that can ever be kept. */
    public long capacity() {
        return most;
    }

    /** How many bytes are handed out. */
    public long reserved() {
        return used;
    }

    /** How many wait for room. */
    public int waiting() {
        return begin.size() + grow.size();
    }

    /**
     * Asks for all the room of a body whose length is known, once.
     *
     * @param bytes {@link #capacity} at most
     * @return whether it has it; else {@link #release} names it when it does
     */
    public boolean reserve(G guest, long bytes) {
        if (grow.isEmpty() && begin.isEmpty() && fits(bytes)) {
            take(guest, bytes);
            return true;
        }
        begin.addLast(new Wish<>(guest, bytes));
        return false;
    }

    /**
     * Asks for room of so many bytes in all for a body whose length is not known, again each time it has outgrown it.
     *
     * @param bytes {@link #capacity} at most
     * @return whether it has it; else {@link #release} names it when it does
     */
    public boolean growTo(G guest, long bytes) {
        if ((grower == null || grower == guest) && fits(bytes - held.getOrDefault(guest, 0L))) {
            grower = guest;
            take(guest, bytes);
            return true;
        }
        if (grower == guest) {
            grow.addFirst(new Wish<>(guest, bytes));
        } else {
            grow.addLast(new Wish<>(guest, bytes));
        }
        return false;
    }

    /** It keeps nothing any more, or has left the row; returns those that have what they asked for now. */
    public List<G> release(G guest) {
        Long had = held.remove(guest);
        used -= had == null ? 0 : had;
        begin.removeIf(wish -> wish.guest() == guest);
        grow.removeIf(wish -> wish.guest() == guest);
        if (grower == guest) {
            grower = null;
        }
        List<G> in = new ArrayList<>(0);
        while (!grow.isEmpty()
                && (grower == null || grower == grow.peekFirst().guest())
                && fits(grow.peekFirst().bytes()
                        - held.getOrDefault(grow.peekFirst().guest(), 0L))) {
            Wish<G> wish = grow.pollFirst();
            grower = wish.guest();
            take(wish.guest(), wish.bytes());
            in.add(wish.guest());
        }
        // One that is growing and waits has what comes free; one that only waits to be the grower holds nobody up.
        boolean kept = grower != null && !grow.isEmpty() && grow.peekFirst().guest() == grower;
        while (!kept && !begin.isEmpty() && fits(begin.peekFirst().bytes())) {
            Wish<G> wish = begin.pollFirst();
            take(wish.guest(), wish.bytes());
            in.add(wish.guest());
        }
        return in;
    }

    private boolean fits(long bytes) {
        return used + bytes <= most;
    }

    private void take(G guest, long bytes) {
        Long had = held.put(guest, bytes);
        used += bytes - (had == null ? 0 : had);
    }
}
