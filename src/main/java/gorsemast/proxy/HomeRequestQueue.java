package gorsemast.proxy;

import gorsemast.observe.EventCounters;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Requests to other edges that wait for a connection: so many are out at a time, the others follow in the order in which they came.
 *
 * <p>An edge with few descriptors may have two connections to all other edges; what found none free would else end at once,
 * though one comes free within milliseconds. O(1) a request. On the event loop; times in microseconds.
 */
final class HomeRequestQueue {
    /** One request. */
    interface Ask {
        /** A connection is free: it goes out; {@link #over} is called once it has ended. */
        void start();

        /** None came free in time. */
        void expired();
    }

    private static final class Waiting {
        private final Ask ask;
        private final long begunNanos = System.nanoTime();
        private ScheduledFuture<?> limit;
        private boolean over;

        Waiting(Ask ask) {
            this.ask = ask;
        }
    }

    private final EventLoop loop;
    private final int most;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private final EventCounters<SocketEvent> sockets;
    private int out;

    /** @param most that are out at a time */
    HomeRequestQueue(EventLoop loop, int most, EventCounters<SocketEvent> sockets) {
        this.loop = loop;
        this.sockets = sockets;
        this.most = Math.max(1, most);
    }

    /** Starts a request now, or as soon as one of those that are out has ended, if that is within so long. */
    void add(Ask ask, long withinMicros) {
        if (out < most) {
            out++;
            ask.start();
            return;
        }
        Waiting one = new Waiting(ask);
        one.limit = loop.schedule(() -> expire(one), withinMicros, TimeUnit.MICROSECONDS);
        waiting.add(one);
    }

    private void expire(Waiting one) {
        if (!one.over) {
            one.over = true;
            waiting.remove(one);
            sockets.count(SocketEvent.QUESTION_EXPIRED);
            one.ask.expired();
        }
    }

    /** One that was out has ended; the next one starts when its connection has been given back. */
    void over() {
        loop.execute(() -> {
            out--;
            Waiting next = waiting.poll();
            if (next != null) {
                next.over = true;
                next.limit.cancel(false);
                out++;
                sockets.count(
                        SocketEvent.QUESTION_WAITED,
                        TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - next.begunNanos));
                next.ask.start();
            }
        });
    }
}
