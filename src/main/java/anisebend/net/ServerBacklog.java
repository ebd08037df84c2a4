package anisebend.net;

import io.netty.channel.Channel;
import io.netty.channel.IoHandle;
import io.netty.channel.epoll.EpollIoEvent;
import io.netty.channel.epoll.EpollIoOps;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Ends a listener whose address another process serves too. With {@code SO_REUSEPORT} each listener has a queue of its
 * own, and the system resets whoever still waits in it when the listener closes. So all who wait are taken in first, and
 * the close follows in the same turn of the loop. What comes up between the last accept and the close, some
 * microseconds, is lost. Runs on the loop of the listener.
 */
final class ServerBacklog {
    /** Each takes in a few; together more than can have come since the loop's last turn. */
    private static final int READS = 64;

    private ServerBacklog() {
    }

    static void close(Channel listener) {
        if (listener.isActive()) {
            listener.config().setAutoRead(true); // else one a read
            for (int i = 0; i < READS; i++) {
                accept(listener);
            }
        }
        listener.close();
    }

    /** Takes in who waits, as if the system had just told of it. */
    private static void accept(Channel listener) {
        if (listener instanceof AbstractNioChannel nio) {
            nio.unsafe().read();
        } else if (listener instanceof EpollServerSocketChannel && listener.unsafe() instanceof IoHandle epoll) {
            EpollIoEvent readable = () -> EpollIoOps.EPOLLIN;
            epoll.handle(null, readable);
        }
    }
}
