package gorsemast.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What is still to be passed on: for each process the latest claim, each sent a bounded number of times, the least
 * often sent first.
 *
 * <p><b>Idea.</b> SWIM's infection-style dissemination (section 4.1 of the paper): λ log n copies of a rumor reach all
 * with high probability, whatever else is lost, and no further messages are needed, as rumors ride on those that are
 * sent anyway.
 *
 * <p>O(processes) memory, O(rumors log rumors) a message; nothing where there is no news. One thread.
 */
final class Rumors {
    /** The paper's λ, over decimal logarithms as in its successors. */
    private static final int COPIES = 4;

    private static final class Waiting {
        final Message.Rumor rumor;
        final long order;
        int sent;

        Waiting(Message.Rumor rumor, long order) {
            this.rumor = rumor;
            this.order = order;
        }
    }

    /** Least sent first, then the latest. */
    private static final Comparator<Waiting> NEXT =
            Comparator.<Waiting>comparingInt(w -> w.sent).thenComparing(w -> -w.order);

    private final Map<ProcessId, Waiting> waiting = new HashMap<>();
    private long order;

    /** Passes this on from now on, in place of what was to be passed on of the same process. */
    void add(Message.Rumor rumor) {
        waiting.put(rumor.claim().id(), new Waiting(rumor, order++));
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    void forget(ProcessId id) {
        waiting.remove(id);
    }

    /**
     * Takes as many as fit in {@code bytes}; {@code first}, if not null, goes along in any case and is not counted as
     * sent again.
     */
    List<Message.Rumor> take(int bytes, int processes, Message.Rumor first) {
        List<Message.Rumor> taken = new ArrayList<>();
        int room = bytes;
        if (first != null) {
            taken.add(first);
            room -= first.size();
        }
        if (waiting.isEmpty()) {
            return taken;
        }
        int most = copies(processes);
        List<Waiting> rows = new ArrayList<>(waiting.values());
        rows.sort(NEXT);
        for (Waiting row : rows) {
            int size = row.rumor.size();
            if (size > room
                    || first != null
                            && row.rumor.claim().id().equals(first.claim().id())) {
                continue;
            }
            room -= size;
            taken.add(row.rumor);
            if (++row.sent >= most) {
                waiting.remove(row.rumor.claim().id());
            }
        }
        return taken;
    }

    /** How often each goes out in a fleet of so many. */
    static int copies(int processes) {
        return COPIES * Math.max(1, (int) Math.ceil(Math.log10(processes + 1)));
    }
}
