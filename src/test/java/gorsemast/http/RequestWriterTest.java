package gorsemast.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class RequestWriterTest {
    private static final int BLOCKS = 3;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final RequestWriter writer = new RequestWriter(channel);
    private final List<Boolean> accepted = new ArrayList<>();
    private int blocksToWrite = Integer.MAX_VALUE;

    RequestWriterTest() {
        channel.pipeline().addLast(new FailingWrites(), writer);
    }

    /** Fails the write of a whole block of a body once so many have been written. */
    private final class FailingWrites extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            boolean isBlock = message instanceof ByteBuf bytes && bytes.readableBytes() == BodyBuffer.BLOCK_BYTES;
            if (isBlock && blocksToWrite-- <= 0) {
                ((ByteBuf) message).release();
                promise.setFailure(new OutOfMemoryError("injected: no direct memory"));
            } else {
                ctx.write(message, promise);
            }
        }
    }

    @AfterEach
    void stop() {
        channel.finishAndReleaseAll();
    }

    private void write() {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.PUT,
                "/k",
                Unpooled.wrappedBuffer(new byte[BLOCKS * BodyBuffer.BLOCK_BYTES]));
        writer.write(request, false, () -> true, new RequestWriter.SendListener() {
            @Override
            public void lastByteSending() {
                // not checked
            }

            @Override
            public void finished(boolean all) {
                accepted.add(all);
            }
        });
        channel.runPendingTasks();
    }

    @Test
    void longBodyIsWrittenInParts() {
        write();
        assertThat(accepted).containsExactly(true);
        assertThat(channel.isOpen()).isTrue();
    }

    /** The rest of the body, or the next request, would take the place of the missing part. */
    @Test
    void failedWriteOfAPartEndsTheConnection() {
        blocksToWrite = 1;
        write();
        assertThat(channel.isOpen()).isFalse();
        assertThat(accepted).containsExactly(false);
    }
}
