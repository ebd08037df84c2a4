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
 * One connection to another process of the system, either way. It is up once both sides have said who they are; it is
 * closed when nothing has come for {@link #IDLE_TIMEOUT_MICROS}, as a cut says nothing, and whoever wants it dials again.
 * All of it runs on its channel's event loop.
 */
public final class Link extends SimpleChannelInboundHandler<ByteBuf> implements Neighbour {
    /** A sign of life goes out this often. */
    static final long PING_INTERVAL_MICROS = 500_000;
    /** After so long without one the other side is taken for gone: three of them, and the way. */
    static final long IDLE_TIMEOUT_MICROS = 1_800_000;
    /** A peer that reads nothing makes this process keep so much at most. */
    private static final long MOST_WAITING = 96L << 20;

    private static final Log LOG = new Log("peer");

    /** Who is told of links. */
    public interface Receiver {
        /** The other side has said who it is. */
        void connected(Neighbour one);

        /** Something has come. */
        void received(Neighbour one, PeerMessage record);

        /** It is over; told once, and only of links that were up. */
        void disconnected(Neighbour one);
    }

    private final Links owner;
    private final InetSocketAddress dialled;
    private Channel channel;
    private PeerMessage.Hello peer;
    private long heard;
    private ScheduledFuture<?> pings;

    Link(Links owner, InetSocketAddress dialled) {
        this.owner = owner;
        this.dialled = dialled;
    }

    /** Whom it leads to; null until it is up. */
    @Override
    public PeerMessage.Hello hello() {
        return peer;
    }

    /** What was dialled; null where the other side did. */
    public InetSocketAddress dialled() {
        return dialled;
    }

    @Override
    public void send(PeerMessage record) {
        if (channel == null || !channel.isActive()) {
            return;
        }
        if (channel.unsafe().outboundBuffer() != null
                && channel.unsafe().outboundBuffer().totalPendingWriteBytes() > MOST_WAITING) {
            close();
            return;
        }
        ByteBuf buffer = channel.alloc().heapBuffer();
        buffer.writeInt(0);
        try (DataOutputStream out = new DataOutputStream(new ByteBufOutputStream(buffer))) {
            record.write(out, owner.now());
        } catch (IOException e) {
            buffer.release();
            throw new IllegalStateException(e); // memory does not fail
        }
        buffer.setInt(0, buffer.readableBytes() - Integer.BYTES);
        channel.writeAndFlush(buffer);
    }

    /** Ends it. */
    public void close() {
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        heard = owner.now();
        send(owner.hello());
        pings = channel.eventLoop()
                .scheduleWithFixedDelay(this::ping, PING_INTERVAL_MICROS, PING_INTERVAL_MICROS, TimeUnit.MICROSECONDS);
    }

    private void ping() {
        if (owner.now() - heard > IDLE_TIMEOUT_MICROS) {
            close();
        } else {
            send(new PeerMessage.Ping());
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
        heard = owner.now();
        PeerMessage record;
        try (DataInputStream in = new DataInputStream(new ByteBufInputStream(frame))) {
            record = PeerMessage.read(in, heard);
        } catch (IOException e) {
            LOG.warn("closes " + ctx.channel().remoteAddress() + ", which sent no record: " + e.getMessage());
            close();
            return;
        }
        try {
            if (record instanceof PeerMessage.Hello hello) {
                if (peer == null) {
                    peer = hello;
                    owner.up(this);
                }
            } else if (peer == null) {
                LOG.warn("closes " + ctx.channel().remoteAddress() + ", which did not say who it is");
                close();
            } else if (!(record instanceof PeerMessage.Ping)) {
                owner.receiver().received(this, record);
            }
        } catch (RuntimeException e) {
            LOG.internalError(e); // one faulty record must not take the link, or the process, with it
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (pings != null) {
            pings.cancel(false);
        }
        owner.ended(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOG.warn("closes " + ctx.channel().remoteAddress() + ": " + cause.getMessage());
        }
        ctx.close();
    }
}
