package gorsemast.proxy;

import gorsemast.observe.EventCounters;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Queues requests to other edges that wait for a connection. A limited number is in flight; the others follow in
 * order of arrival.
 *
 * <p>An edge with few file descriptors may have only two connections to all other edges together. Without the queue,
 * requests that find no free connection would fail at once, though one becomes free within milliseconds. O(1) per
 * request. Runs on the event loop; times in microseconds.
 */
final class HomeRequestQueue {
    /** A queued request. */
    interface QueuedRequest {
        /** A connection is free: sends the request. {@link #requestEnded} is called once it has ended. */
        void start();

        /** No connection became free in time. */
        void expired();
    }

    private static final class Entry {
        private final QueuedRequest request;
        private final long queuedAtNanos = System.nanoTime();
        private ScheduledFuture<?> timeout;
        private boolean done;

        Entry(QueuedRequest request) {
            this.request = request;
        }
    }

    private final EventLoop loop;
    private final int maxInFlight;
    private final Deque<Entry> waiting = new ArrayDeque<>();
    private final EventCounters<SocketEvent> socketEvents;
    private int inFlight;

    /** @param maxInFlight how many requests may be in flight at a time */
    HomeRequestQueue(EventLoop loop, int maxInFlight, EventCounters<SocketEvent> socketEvents) {
        this.loop = loop;
        this.socketEvents = socketEvents;
        this.maxInFlight = Math.max(1, maxInFlight);
    }

    /**
     * Starts a request now, or once one of those in flight has ended. Expires it if that takes longer than the
     * timeout.
     */
    void add(QueuedRequest request, long timeoutMicros) {
        if (inFlight < maxInFlight) {
            inFlight++;
            request.start();
            return;
        }
        Entry entry = new Entry(request);
        entry.timeout = loop.schedule(() -> expire(entry), timeoutMicros, TimeUnit.MICROSECONDS);
        waiting.add(entry);
    }

    private void expire(Entry entry) {
        if (!entry.done) {
            entry.done = true;
            waiting.remove(entry);
            socketEvents.count(SocketEvent.QUESTION_EXPIRED);
            entry.request.expired();
        }
    }

    /** A request in flight has ended. The next one starts in a later task, when the connection has been returned. */
    void requestEnded() {
        loop.execute(() -> {
            inFlight--;
            Entry next = waiting.poll();
            if (next != null) {
                next.done = true;
                next.timeout.cancel(false);
                inFlight++;
                socketEvents.count(
                        SocketEvent.QUESTION_WAITED,
                        TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - next.queuedAtNanos));
                next.request.start();
            }
        });
    }
}
