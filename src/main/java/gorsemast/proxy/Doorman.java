package gorsemast.proxy;

import io.netty.channel.Channel;
import io.netty.channel.MaxMessagesRecvByteBufAllocator;

/**
 * Keeps the connections of one listener within their places: whoever is one too many waits in the system's queue, as an
 * accept without a descriptor would fail again and again. On the listener's event loop.
 */
final class Doorman {
    private final int places;
    private final Runnable crowded;
    private Channel listener;
    private int open;

    /** @param crowded called when the last place is taken, so that somebody may be asked to go */
    Doorman(int places, Runnable crowded) {
        this.places = Math.max(1, places);
        this.crowded = crowded;
    }

    /** The listener; before the first connection is of interest. */
    void at(Channel channel) {
        if (channel.config().getRecvByteBufAllocator() instanceof MaxMessagesRecvByteBufAllocator takes) {
            takes.maxMessagesPerRead(Math.max(1, Math.min(16, places / 4))); // how many are accepted at once
        }
        channel.eventLoop().execute(() -> listener = channel);
    }

    /** Whether most places are taken: connections had better end with their answers. */
    boolean tight() {
        return 2 * open > places;
    }

    /** A connection has been accepted. */
    void comes(Channel channel) {
        open++;
        channel.closeFuture().addListener(done -> {
            open--;
            if (listener != null && !listener.config().isAutoRead()) {
                listener.config().setAutoRead(true);
            }
        });
        if (open >= places) {
            if (listener != null) {
                listener.config().setAutoRead(false);
            }
            crowded.run();
        }
    }
}
