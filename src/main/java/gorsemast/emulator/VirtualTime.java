package gorsemast.emulator;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/**
 * Virtual clock and event queue; time advances from one event to the next.
 *
 * <p>Discrete-event simulation: events of one instant run in the order in which they were scheduled, so the same seed
 * gives the same run. Times in microseconds. Single-threaded. O(log n) per event.
 */
public final class VirtualTime {
    private record Event(long at, long order, Runnable run) {}

    private final PriorityQueue<Event> queue =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private long now;
    private long order;

    /** Creates a clock that starts at {@code start}. */
    public VirtualTime(long start) {
        now = start;
    }

    /** Current virtual time. */
    public long now() {
        return now;
    }

    /** Schedules an action {@code micros} from now; if not positive, for now, after events already scheduled for now. */
    public void after(long micros, Runnable run) {
        queue.add(new Event(now + Math.max(0, micros), order++, run));
    }

    /** Runs all events due until {@code end}, which becomes the current time. */
    public void run(long end) {
        run(end, Long.MAX_VALUE, () -> false);
    }

    /** Runs until {@code end} or the condition holds: {@code holds}, is checked every {@code period}. Returns whether it holds. */
    public boolean run(long end, long checkPeriod, BooleanSupplier condition) {
        long lastCheck = now;
        while (!queue.isEmpty() && queue.peek().at() <= end) {
            Event next = queue.poll();
            now = Math.max(now, next.at());
            next.run().run();
            if (now - lastCheck >= checkPeriod) {
                lastCheck = now;
                if (condition.getAsBoolean()) {
                    return true;
                }
            }
        }
        now = Math.max(now, end);
        return condition.getAsBoolean();
    }
}
