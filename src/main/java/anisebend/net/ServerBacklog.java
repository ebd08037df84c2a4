package anisebend.net;

import gorsemast.transport.Transport;
import io.netty.channel.Channel;

/**
 * Ends a listener whose address another process serves too. With {@code SO_REUSEPORT} each listener has a queue of its
 * own, and the system resets whoever still waits in it when the listener closes. So all who wait are taken in first, and
 * the close follows in the same turn of the loop. What comes up between the last accept and the close, some
 * microseconds, is lost. Runs on the loop of the listener.
 */
final class ServerBacklog {
    /** Each takes in a few; together more than can have come since the loop's last turn. */
    private static final int READS = 64;

    private ServerBacklog() {}

    static void close(Channel listener) {
        if (listener.isActive()) {
            listener.config().setAutoRead(true); // else one a read
            for (int i = 0; i < READS; i++) {
                Transport.accept(listener);
            }
        }
        listener.close();
    }
}
