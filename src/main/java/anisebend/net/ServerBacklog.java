package anisebend.net;

import gorsemast.transport.Transport;
import io.netty.channel.Channel;

/**
 * Closes a listener whose address another process serves too. With {@code SO_REUSEPORT} each listener has its own accept
 * queue, and the kernel resets the connections still queued when the listener closes. So all queued connections are
 * accepted first, and the close follows in the same event loop iteration. A connection that arrives in the microseconds
 * between the last accept and the close is lost.
 */
final class ServerBacklog {
    /** Each read accepts several connections; together more than can have arrived since the last loop iteration. */
    private static final int ACCEPT_READS = 64;

    private ServerBacklog() {}

    /** Accepts all queued connections, then closes the listener. Must run on the listener's event loop. */
    static void close(Channel listener) {
        if (listener.isActive()) {
            listener.config().setAutoRead(true); // otherwise a read accepts only one
            for (int i = 0; i < ACCEPT_READS; i++) {
                Transport.accept(listener);
            }
        }
        listener.close();
    }
}
