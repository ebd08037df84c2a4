package gorsemast.retention;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which long answers are handed to the system when the process is about to end, as their clients read too slowly to have
 * them in time.
 *
 * <p><b>Idea.</b> What a socket's send buffer holds is delivered after the process has gone. While a process serves, the
 * buffers stay as the system sizes them, since what they hold is memory too and a slow client would get more of it than
 * it needs. One that leaves gives each answer in hand a buffer that takes its rest, so that it can end its part at once.
 * There is a bound for all of them. The shortest rests come first, as that saves the most answers for the same room; what
 * has been given stays given.
 *
 * <p><b>When it could hurt.</b> The room is the kernel's and is not seen in the process's own memory. A client that never
 * reads keeps it until the system's own limit on connections whose process is gone ends it.
 *
 * <p><b>Bounds.</b> O(n log n) for n long answers in hand; one thread; no I/O.
 *
 * @param <G> an answer on its way
 */
public final class SendBufferHandoff<G> {
    private final long most;
    private final long each;
    private final Set<G> given = new HashSet<>();
    private long used;

    /**
     * @param most bytes for all answers together
     * @param each bytes that one may have; a longer rest is not worth beginning with
     */
    public SendBufferHandoff(long most, long each) {
        this.most = most;
        this.each = each;
    }

    /**
     * Whose rest is to be handed over now, of all that are in hand and have had nothing yet.
     *
     * @param rests the bytes that are still to come from the node, negative where that is not known
     */
    public List<G> select(Map<G, Long> rests) {
        List<G> chosen = new ArrayList<>();
        List<G> waiting = new ArrayList<>(rests.keySet());
        waiting.removeAll(given);
        waiting.sort(Comparator.comparingLong(g -> room(rests.get(g))));
        for (G answer : waiting) {
            long room = room(rests.get(answer));
            if (room <= each && used + room <= most) {
                used += room;
                given.add(answer);
                chosen.add(answer);
            }
        }
        return chosen;
    }

    private long room(long rest) {
        return rest < 0 ? each : rest;
    }

    /** The answer is out of this process's hands, or has ended; what the system holds of it still counts. */
    public void finished(G answer) {
        given.remove(answer);
    }
}
