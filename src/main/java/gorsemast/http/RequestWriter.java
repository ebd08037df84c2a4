package gorsemast.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Writes requests to a connection, one at a time.
 *
 * <p>The last byte of a request that may run only once is withheld for as long as the connection took to establish,
 * which is at least a round trip, within bounds. If the connection breaks before, the request has certainly not run.
 * This covers every unnoticed end of a connection: the node closed a kept connection, died or refused it, or a proxy
 * or address translation in between dropped it. It delays each such request by that time, and an early response to
 * the incomplete request is the only one it gets. Runs on the event loop.
 */
final class RequestWriter extends HttpRequestEncoder {
    private static final long MIN_HOLD_MICROS = 2_000;
    private static final long MAX_HOLD_MICROS = 20_000;

    /** Follows the progress of a request. */
    interface SendListener {
        /** The last byte is about to be handed over to the system. */
        void lastByteSending();

        /**
         * Writing has ended.
         *
         * @param accepted whether the system accepted the last byte
         */
        void finished(boolean accepted);
    }

    private final Channel channel;
    private long holdMicros = MIN_HOLD_MICROS;

    RequestWriter(Channel channel) {
        this.channel = channel;
    }

    /** Sets how long the connection took to establish, in microseconds. */
    void setConnectMicros(long micros) {
        holdMicros = Math.max(MIN_HOLD_MICROS, Math.min(MAX_HOLD_MICROS, micros));
    }

    /**
     * Writes a request and takes over its reference.
     *
     * @param holds whether its last byte is withheld for a time
     * @param isStillWanted whether the rest is still to be sent after that time
     */
    void write(FullHttpRequest request, boolean holds, BooleanSupplier isStillWanted, SendListener listener) {
        boolean body = request.content().isReadable();
        if (holds && !body) {
            holdHead(request, isStillWanted, listener);
        } else if (holds || request.content().readableBytes() > BodyBuffer.BLOCK_BYTES) {
            writeInParts(request, holds, isStillWanted, listener);
        } else {
            listener.lastByteSending();
            finish(channel.writeAndFlush(request), listener);
        }
    }

    private static void finish(ChannelFuture written, SendListener listener) {
        written.addListener(done -> listener.finished(done.isSuccess()));
    }

    /**
     * Writes a long body in parts: as one buffer, all of it would be copied for the socket at once. Writing completes
     * when the last part has been written, at the node's pace; if the connection breaks before, the request has not
     * run.
     */
    private void writeInParts(
            FullHttpRequest whole, boolean holds, BooleanSupplier isStillWanted, SendListener listener) {
        ByteBuf content = whole.content();
        writePart(new DefaultHttpRequest(whole.protocolVersion(), whole.method(), whole.uri(), whole.headers()));
        while (content.readableBytes() > BodyBuffer.BLOCK_BYTES) {
            writePart(new DefaultHttpContent(content.readRetainedSlice(BodyBuffer.BLOCK_BYTES)));
        }
        if (!holds) {
            finish(channel.writeAndFlush(new DefaultLastHttpContent(content)), listener);
            return;
        }
        ByteBuf allButLast = content.readRetainedSlice(content.readableBytes() - 1);
        hold(
                channel.writeAndFlush(new DefaultHttpContent(allButLast)),
                content,
                () -> channel.writeAndFlush(new DefaultLastHttpContent(content)),
                isStillWanted,
                listener);
    }

    /** Writes what more is to follow: without it, the rest and the next request would be taken for parts of the body. */
    private void writePart(HttpObject part) {
        channel.write(part).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /** Withholds the end of the head of a request without a body: until it arrives no server can have parsed it. */
    private void holdHead(FullHttpRequest whole, BooleanSupplier isStillWanted, SendListener listener) {
        ByteBuf head = channel.alloc().heapBuffer();
        try {
            encodeInitialLine(head, whole);
            encodeHeaders(whole.headers(), head);
        } catch (Exception e) {
            head.release();
            whole.release();
            listener.finished(false);
            return;
        }
        whole.release();
        head.writeByte('\r').writeByte('\n');
        ByteBuf allButLast = head.readRetainedSlice(head.readableBytes() - 1);
        hold(writeRaw(allButLast), head, () -> writeRaw(head), isStillWanted, listener);
    }

    /** Writes bytes past the encoder, which accepts only whole messages. */
    private ChannelFuture writeRaw(ByteBuf bytes) {
        return channel.pipeline().context(this).writeAndFlush(bytes);
    }

    /** Writes the withheld byte after the hold time if the request is still wanted; otherwise releases {@code rest}. */
    private void hold(
            ChannelFuture beforeLast,
            ByteBuf rest,
            Supplier<ChannelFuture> last,
            BooleanSupplier isStillWanted,
            SendListener listener) {
        beforeLast.addListener(done -> {
            if (!done.isSuccess()) {
                rest.release();
                listener.finished(false);
                return;
            }
            channel.eventLoop()
                    .schedule(
                            () -> {
                                if (isStillWanted.getAsBoolean()) {
                                    finish(last.get(), listener);
                                } else {
                                    rest.release();
                                }
                            },
                            holdMicros,
                            TimeUnit.MICROSECONDS);
        });
    }
}
