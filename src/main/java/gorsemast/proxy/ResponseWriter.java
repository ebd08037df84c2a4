package gorsemast.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpObject;

/**
 * Writes responses to a client's channel, with little of them in direct memory and never with a gap.
 *
 * <p>What is written is copied to direct memory until the system accepts it, and there is little of that for all
 * connections together. So content is written in small chunks as long as the channel has room, and the rest stays in
 * the heap until the client reads. A write that fails ends the connection: the bytes that follow would otherwise take
 * the place of the missing ones. Runs on the event loop.
 */
final class ResponseWriter {
    private static final int CHUNK_BYTES = 16 << 10;
    private static final WriteBufferWaterMark ROOM = new WriteBufferWaterMark(2 * CHUNK_BYTES, 4 * CHUNK_BYTES);

    private final Channel channel;

    ResponseWriter(Channel channel) {
        this.channel = channel;
        channel.config().setWriteBufferWaterMark(ROOM);
    }

    /** Returns whether more may be written, after handing to the system what it accepts. */
    boolean hasRoom() {
        if (!channel.isWritable()) {
            channel.flush();
        }
        return channel.isWritable() && channel.isOpen();
    }

    /** Writes one message, whose reference is taken over. */
    ChannelFuture write(HttpObject message) {
        return channel.write(message).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /** Writes as much of the content as there is room for and returns whether that is all of it. */
    boolean writeContent(ByteBuf content) {
        while (content.isReadable()) {
            if (!hasRoom()) {
                return false;
            }
            int length = Math.min(CHUNK_BYTES, content.readableBytes());
            write(new DefaultHttpContent(content.readRetainedSlice(length)));
        }
        return true;
    }

    /** Hands what was written to the system. */
    void flush() {
        channel.flush();
    }
}
