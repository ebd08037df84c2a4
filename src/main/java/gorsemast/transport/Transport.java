package gorsemast.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollDatagramChannel;
import io.netty.channel.epoll.EpollIoEvent;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollIoOps;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;

/**
 * Epoll by Netty's own native code where it can be had, else the JDK's selector.
 *
 * <p><b>Why.</b> The JDK's selector waits by a time-out that it counts down itself, in whole milliseconds, and begins
 * anew whenever the system ends a wait early: a timed wait that is disturbed more than once a millisecond never comes to
 * its end before a socket has something (EPollSelectorImpl and PollSelectorImpl of JDK 17). A loop that should have woken
 * for a timer was seen to stay in one wait for 0.2 to 1.7 s, and whoever's time was over meanwhile got no answer. Netty's
 * waits end by a timer of the system, a descriptor among the others, whatever else happens.
 *
 * <p>No state; any thread. What a loop is asked to carry must be of its own kind, so it is asked for by the loop.
 */
public final class Transport {
    /** Connections that may wait to be taken: a crowd that comes back at once. */
    private static final int BACKLOG = 1_024;
    /** Several round trips' worth within a data center, so that a connection never waits for its writer. */
    private static final int MAX_UNSENT_BYTES = 128 << 10;

    private Transport() {}

    /** What an event loop that carries sockets is made with. */
    public static IoHandlerFactory handlers() {
        return Epoll.isAvailable() ? EpollIoHandler.newFactory() : NioIoHandler.newFactory();
    }

    private static boolean epoll(EventLoop loop) {
        return loop instanceof IoEventLoop io && io.isIoType(EpollIoHandler.class);
    }

    /** What listens on such a loop. */
    public static Class<? extends ServerChannel> listener(EventLoop loop) {
        return epoll(loop) ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
    }

    /**
     * Listens at an address, each connection with {@code child}'s handlers, small writes at once and buffers on the heap; not
     * on the loop. Throws where the address can't be had.
     */
    public static Channel listen(EventLoop loop, InetSocketAddress at, ChannelInitializer<Channel> child)
            throws IOException {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(listener(loop))
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(child)
                .bind(at)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("can't listen at " + at, bound.cause());
        }
        return bound.channel();
    }

    /** What connects on such a loop. */
    public static Class<? extends SocketChannel> stream(EventLoop loop) {
        return epoll(loop) ? EpollSocketChannel.class : NioSocketChannel.class;
    }

    /**
     * Limits how much of what is written to a connection the system holds before it is sent. Without the limit it takes
     * megabytes at once, and a write is complete although hardly anything has left this machine.
     */
    public static void limitUnsent(Bootstrap connections, EventLoop loop) {
        if (epoll(loop)) {
            connections.option(EpollChannelOption.TCP_NOTSENT_LOWAT, (long) MAX_UNSENT_BYTES);
        } else {
            connections.option(ChannelOption.SO_SNDBUF, MAX_UNSENT_BYTES);
        }
    }

    /** What carries datagrams on such a loop. */
    public static Class<? extends DatagramChannel> datagrams(EventLoop loop) {
        return epoll(loop) ? EpollDatagramChannel.class : NioDatagramChannel.class;
    }

    /** Takes in who waits at a listener, as if the system had just told of them; on its loop. */
    public static void accept(Channel listener) {
        told(listener, EpollIoOps.EPOLLIN);
    }

    /** Writes what is waiting to be written, where room was made in a way that wakes nobody; on its loop. */
    public static void flush(Channel channel) {
        told(channel, EpollIoOps.EPOLLOUT);
    }

    private static void told(Channel channel, EpollIoOps what) {
        if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe nio) {
            if (what == EpollIoOps.EPOLLIN) {
                nio.read();
            } else {
                nio.forceFlush();
            }
        } else if (channel.unsafe() instanceof IoHandle epoll) {
            EpollIoEvent event = () -> what;
            epoll.handle(null, event);
        }
    }

    /** Lets several processes listen at one address. */
    public static ChannelOption<Boolean> reusePort(EventLoop loop) {
        return epoll(loop) ? EpollChannelOption.SO_REUSEPORT : NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT);
    }
}
