package gorsemast.proxy;

import io.netty.channel.Channel;
import io.netty.channel.MaxMessagesRecvByteBufAllocator;
import java.util.concurrent.TimeUnit;

/**
 * Limits the open connections of one listener. At the limit it stops reading from the listening socket, so further
 * connections wait in the system's accept queue: an accept without a free file descriptor would fail again and again.
 * Runs on the listener's event loop.
 */
final class AcceptLimiter {
    /** Observes changes in the number of connections. Called on the listener's event loop. */
    interface Observer {
        /** A connection was accepted. */
        void accepted();

        /** The limit was reached. The observer may close an idle connection. */
        void full();

        /**
         * The number fell below the limit again.
         *
         * @param micros how long the limit was reached
         */
        void noLongerFull(long micros);

        /**
         * A connection was closed.
         *
         * @param micros how long it was open
         */
        void closed(long micros);
    }

    private final int maxConnections;
    private final Observer observer;
    private Channel listener;
    private int open;
    /** When the limit was reached, as {@link System#nanoTime}. */
    private long fullSinceNanos;

    AcceptLimiter(int maxConnections, Observer observer) {
        this.maxConnections = Math.max(1, maxConnections);
        this.observer = observer;
    }

    /** Sets the listening channel. Must be called before the first connection arrives. */
    void attach(Channel channel) {
        if (channel.config().getRecvByteBufAllocator() instanceof MaxMessagesRecvByteBufAllocator allocator) {
            // Upper bound on the connections accepted in one pass of the event loop.
            allocator.maxMessagesPerRead(Math.max(1, Math.min(16, maxConnections / 4)));
        }
        channel.eventLoop().execute(() -> listener = channel);
    }

    /**
     * Whether more than half of the connections are in use, so that connections should be closed after their
     * responses.
     */
    boolean isMostlyFull() {
        return 2 * open > maxConnections;
    }

    /** Counts a connection that has been accepted, until it is closed. */
    void connectionAccepted(Channel channel) {
        open++;
        observer.accepted();
        long acceptedAt = System.nanoTime();
        channel.closeFuture().addListener(done -> {
            open--;
            observer.closed(microsSince(acceptedAt));
            if (listener != null && !listener.config().isAutoRead()) {
                observer.noLongerFull(microsSince(fullSinceNanos));
                listener.config().setAutoRead(true);
            }
        });
        if (open >= maxConnections) {
            if (listener != null && listener.config().isAutoRead()) {
                fullSinceNanos = System.nanoTime();
                listener.config().setAutoRead(false);
            }
            observer.full();
        }
    }

    private static long microsSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - nanos);
    }
}
