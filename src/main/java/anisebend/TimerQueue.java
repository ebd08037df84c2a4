package anisebend;

import java.util.PriorityQueue;

/** Runs actions at their times, in the order scheduled, using a single timer of the caller. */
final class TimerQueue {
    private record Timer(long at, long sequence, Runnable action) implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Timer> queue = new PriorityQueue<>();
    private long nextSequence;
    private long armed = Long.MAX_VALUE;

    void schedule(long at, Runnable action) {
        queue.add(new Timer(Math.max(at, 0), nextSequence++, action));
    }

    /** Runs the actions that are due; {@code token} identifies the timer that fired. */
    void runDue(long now, long token) {
        if (token == armed) {
            armed = Long.MAX_VALUE;
        }
        while (!queue.isEmpty() && queue.peek().at <= now) {
            queue.poll().action.run();
        }
    }

    /** Requests a timer unless one is set for the earliest action or before it. */
    void arm(Balancer.Actions actions) {
        if (!queue.isEmpty() && queue.peek().at < armed) {
            armed = queue.peek().at;
            actions.timer(armed, armed);
        }
    }
}
