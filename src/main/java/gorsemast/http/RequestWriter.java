package gorsemast.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Writes one request at a time to a connection. One that may run once keeps its last byte back for the time that its
 * connection took to come up, a round trip at least, within bounds: a break before it shows that it never ran. The node
 * had closed the kept connection, had died, or let nobody in; whatever ends connections unseen is covered, proxies and
 * address translation on the way too. Costs so much of each such request, and an early answer to half a request is all
 * that it gets. On the event loop.
 */
final class RequestWriter extends HttpRequestEncoder {
    private static final long LEAST_HOLD_MICROS = 2_000;
    private static final long MOST_HOLD_MICROS = 20_000;

    /** Whoever sends. */
    interface Sending {
        /** The last byte is about to be handed over. */
        void leaves();

        /** The system has taken it, or never will. */
        void over(boolean left);
    }

    private final Channel channel;
    private long holdMicros = LEAST_HOLD_MICROS;

    RequestWriter(Channel channel) {
        this.channel = channel;
    }

    /** How long the connection took to come up, in microseconds. */
    void tookMicros(long took) {
        holdMicros = Math.max(LEAST_HOLD_MICROS, Math.min(MOST_HOLD_MICROS, took));
    }

    /**
     * Takes over the request's reference.
     *
     * @param holds whether its last byte is kept back for a time
     * @param wanted whether the rest is still wanted when that time is over
     */
    void write(FullHttpRequest request, boolean holds, BooleanSupplier wanted, Sending sending) {
        boolean body = request.content().isReadable();
        if (holds && !body) {
            holdHead(request, wanted, sending);
        } else if (holds || request.content().readableBytes() > BodyBuffer.BLOCK_BYTES) {
            writeInParts(request, holds, wanted, sending);
        } else {
            sending.leaves();
            finish(channel.writeAndFlush(request), sending);
        }
    }

    private static void finish(ChannelFuture written, Sending sending) {
        written.addListener(done -> sending.over(done.isSuccess()));
    }

    /**
     * A long body goes out as a row of parts: written as one, all of it would be copied for the socket at once. It is
     * not written before its last part is, which the node's pace decides; a break until then shows that it never ran.
     */
    private void writeInParts(FullHttpRequest whole, boolean holds, BooleanSupplier wanted, Sending sending) {
        ByteBuf content = whole.content();
        channel.write(new DefaultHttpRequest(whole.protocolVersion(), whole.method(), whole.uri(), whole.headers()));
        while (content.readableBytes() > BodyBuffer.BLOCK_BYTES) {
            channel.write(new DefaultHttpContent(content.readRetainedSlice(BodyBuffer.BLOCK_BYTES)));
        }
        if (!holds) {
            finish(channel.writeAndFlush(new DefaultLastHttpContent(content)), sending);
            return;
        }
        ByteBuf most = content.readRetainedSlice(content.readableBytes() - 1);
        hold(
                channel.writeAndFlush(new DefaultHttpContent(most)),
                content,
                () -> channel.writeAndFlush(new DefaultLastHttpContent(content)),
                wanted,
                sending);
    }

    /** Of a request without a body the end of its head is kept back: until it comes nobody can have read it. */
    private void holdHead(FullHttpRequest whole, BooleanSupplier wanted, Sending sending) {
        ByteBuf head = channel.alloc().heapBuffer();
        try {
            encodeInitialLine(head, whole);
            encodeHeaders(whole.headers(), head);
        } catch (Exception e) {
            head.release();
            whole.release();
            sending.over(false);
            return;
        }
        whole.release();
        head.writeByte('\r').writeByte('\n');
        ByteBuf most = head.readRetainedSlice(head.readableBytes() - 1);
        hold(pass(most), head, () -> pass(head), wanted, sending);
    }

    /** Past the encoder, which writes whole messages only. */
    private ChannelFuture pass(ByteBuf bytes) {
        return channel.pipeline().context(this).writeAndFlush(bytes);
    }

    /** What is behind {@code most} follows after a round trip, if it is still wanted; {@code rest} is released if not. */
    private void hold(
            ChannelFuture most, ByteBuf rest, Supplier<ChannelFuture> last, BooleanSupplier wanted, Sending sending) {
        most.addListener(done -> {
            if (!done.isSuccess()) {
                rest.release();
                sending.over(false);
                return;
            }
            channel.eventLoop()
                    .schedule(
                            () -> {
                                if (wanted.getAsBoolean()) {
                                    finish(last.get(), sending);
                                } else {
                                    rest.release();
                                }
                            },
                            holdMicros,
                            TimeUnit.MICROSECONDS);
        });
    }
}
