package gorsemast.peer;

import gorsemast.logging.Log;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * A connection to another process of the system, dialled by either side. It is up once the other side has sent its
 * {@link PeerMessage.Hello}. It is closed when nothing arrived for {@link #IDLE_TIMEOUT_MICROS}, as a partition gives no
 * other sign, and the side that wants it dials again. Runs on its channel's event loop.
 */
public final class Link extends SimpleChannelInboundHandler<ByteBuf> implements Neighbour {
    /** The interval of pings. */
    static final long PING_INTERVAL_MICROS = 500_000;
    /** Without any message for this time the other side is considered gone: three pings and the latency. */
    static final long IDLE_TIMEOUT_MICROS = 1_800_000;
    /** The most bytes buffered for a peer that does not read. */
    private static final long MAX_PENDING_BYTES = 96L << 20;

    private static final Log LOG = new Log("peer");

    /** Receives the events of links. */
    public interface Receiver {
        /** The other side has sent its {@link PeerMessage.Hello}. */
        void connected(Neighbour neighbour);

        /** A message has arrived. */
        void received(Neighbour neighbour, PeerMessage message);

        /** The link has ended; called once, and only for links that were up. */
        void disconnected(Neighbour neighbour);
    }

    private final Links links;
    private final InetSocketAddress dialled;
    private Channel channel;
    private PeerMessage.Hello peer;
    private long lastReceivedAt;
    private ScheduledFuture<?> pingTask;

    Link(Links links, InetSocketAddress dialled) {
        this.links = links;
        this.dialled = dialled;
    }

    /** Returns the identity of the other side; null until the link is up. */
    @Override
    public PeerMessage.Hello hello() {
        return peer;
    }

    /** Returns the dialled address; null if the other side dialled. */
    public InetSocketAddress dialled() {
        return dialled;
    }

    @Override
    public void send(PeerMessage message) {
        if (channel == null || !channel.isActive()) {
            return;
        }
        if (channel.unsafe().outboundBuffer() != null
                && channel.unsafe().outboundBuffer().totalPendingWriteBytes() > MAX_PENDING_BYTES) {
            close();
            return;
        }
        ByteBuf buffer = channel.alloc().heapBuffer();
        buffer.writeInt(0);
        try (DataOutputStream out = new DataOutputStream(new ByteBufOutputStream(buffer))) {
            message.write(out, links.now());
        } catch (IOException e) {
            buffer.release();
            throw new IllegalStateException(e); // a byte array does not fail
        }
        buffer.setInt(0, buffer.readableBytes() - Integer.BYTES);
        channel.writeAndFlush(buffer);
    }

    /** Closes the link. */
    public void close() {
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        lastReceivedAt = links.now();
        send(links.hello());
        pingTask = channel.eventLoop()
                .scheduleWithFixedDelay(this::ping, PING_INTERVAL_MICROS, PING_INTERVAL_MICROS, TimeUnit.MICROSECONDS);
    }

    private void ping() {
        if (links.now() - lastReceivedAt > IDLE_TIMEOUT_MICROS) {
            close();
        } else {
            send(new PeerMessage.Ping());
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
        lastReceivedAt = links.now();
        PeerMessage message;
        try (DataInputStream in = new DataInputStream(new ByteBufInputStream(frame))) {
            message = PeerMessage.read(in, lastReceivedAt);
        } catch (IOException e) {
            LOG.warn("closing link to " + ctx.channel().remoteAddress() + ", invalid message: " + e.getMessage());
            close();
            return;
        }
        try {
            if (message instanceof PeerMessage.Hello hello) {
                if (peer == null) {
                    peer = hello;
                    links.connected(this);
                }
            } else if (peer == null) {
                LOG.warn("closing link to " + ctx.channel().remoteAddress() + ", first message is not a hello");
                close();
            } else if (!(message instanceof PeerMessage.Ping)) {
                links.receiver().received(this, message);
            }
        } catch (RuntimeException e) {
            LOG.internalError(e); // one faulty message must not end the link or the process
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (pingTask != null) {
            pingTask.cancel(false);
        }
        links.closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOG.warn("closing link to " + ctx.channel().remoteAddress() + ": " + cause.getMessage());
        }
        ctx.close();
    }
}
