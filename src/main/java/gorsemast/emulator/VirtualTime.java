package gorsemast.emulator;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/**
 * A clock that moves from one event to the next.
 *
 * <p><b>Idea.</b> Discrete-event simulation: events of one instant run in the order in which they were set, so the same
 * seed gives the same run. Times in microseconds. One thread. O(log n) an event.
 */
public final class VirtualTime {
    private record Event(long at, long order, Runnable run) {}

    private final PriorityQueue<Event> queue =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private long now;
    private long order;

    /** Begins at {@code start}. */
    public VirtualTime(long start) {
        now = start;
    }

    /** The present instant. */
    public long now() {
        return now;
    }

    /** Has it run {@code micros} from now; at once, after what is set already, where that is not positive. */
    public void after(long micros, Runnable run) {
        queue.add(new Event(now + Math.max(0, micros), order++, run));
    }

    /** Runs what falls due until {@code end}, which becomes the present instant. */
    public void run(long end) {
        run(end, Long.MAX_VALUE, () -> false);
    }

    /** The same, but ends as soon as {@code holds}, which is looked at each {@code period}; whether it held. */
    public boolean run(long end, long period, BooleanSupplier holds) {
        long looked = now;
        while (!queue.isEmpty() && queue.peek().at() <= end) {
            Event next = queue.poll();
            now = Math.max(now, next.at());
            next.run().run();
            if (now - looked >= period) {
                looked = now;
                if (holds.getAsBoolean()) {
                    return true;
                }
            }
        }
        now = Math.max(now, end);
        return holds.getAsBoolean();
    }
}
