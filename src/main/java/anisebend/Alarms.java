package anisebend;

import java.util.PriorityQueue;

/** What is to be done later, earliest first and in the order set; keeps one timer of the caller armed. */
final class Alarms {
    private record Alarm(long at, long order, Runnable action) implements Comparable<Alarm> {
        @Override
        public int compareTo(Alarm other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Alarm> queue = new PriorityQueue<>();
    private long order;
    private long armed = Long.MAX_VALUE;

    void set(long at, Runnable action) {
        queue.add(new Alarm(Math.max(at, 0), order++, action));
    }

    /** Runs what is due; {@code token} is the timer's. */
    void run(long now, long token) {
        if (token == armed) {
            armed = Long.MAX_VALUE;
        }
        while (!queue.isEmpty() && queue.peek().at <= now) {
            queue.poll().action.run();
        }
    }

    /** Asks for a timer unless one is set for the earliest alarm or before it. */
    void arm(Balancer.Actions actions) {
        if (!queue.isEmpty() && queue.peek().at < armed) {
            armed = queue.peek().at;
            actions.timer(armed, armed);
        }
    }
}
