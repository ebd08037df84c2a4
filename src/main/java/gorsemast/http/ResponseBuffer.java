package gorsemast.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/** The response being read on one connection: its head and the buffered part of its body. Runs on the event loop. */
final class ResponseBuffer {
    /** Longer responses violate the protocol and close the connection. */
    private static final long MAX_RESPONSE_BYTES = 64L << 20;

    private HttpResponse head;
    private ByteBuf body;
    private long length;
    private long received;

    /** Starts a response; false if its announced length exceeds the limit. */
    boolean start(HttpResponse responseHead) {
        head = responseHead;
        received = 0;
        length = HttpUtil.getContentLength(responseHead, -1L);
        return length <= MAX_RESPONSE_BYTES;
    }

    /** Whether a response has started that has not been taken yet. */
    boolean isStarted() {
        return head != null;
    }

    HttpResponse head() {
        return head;
    }

    /** Announced length in bytes; -1 where it is unknown. */
    long length() {
        return length;
    }

    /** Counts received bytes; false once they exceed the limit. */
    boolean count(int bytes) {
        received += bytes;
        return received <= MAX_RESPONSE_BYTES;
    }

    /**
     * Whether the body is longer than the limit: by the bytes received, or by the announced length once its body has
     * started.
     */
    boolean isLongerThan(int limit, boolean bodyStarted) {
        return received > limit || length > limit && bodyStarted;
    }

    /** Whether a complete response can be distinguished from a truncated one. */
    boolean isFramed() {
        return length >= 0 || HttpUtil.isTransferEncodingChunked(head);
    }

    void add(ByteBufAllocator allocator, ByteBuf bytes) {
        if (bytes.isReadable()) {
            body = body == null ? allocator.heapBuffer(bytes.readableBytes()) : body;
            body.writeBytes(bytes);
        }
    }

    /** Passes the buffered part of the body to the sink. */
    void drainTo(ResponseSink sink) {
        if (body != null) {
            sink.part(body);
            body.release();
            body = null;
        }
    }

    /** Takes the complete response. The caller must release it; this buffer is empty afterwards. */
    FullHttpResponse take() {
        FullHttpResponse whole = new DefaultFullHttpResponse(
                head.protocolVersion(),
                head.status(),
                body == null ? Unpooled.EMPTY_BUFFER : body,
                head.headers(),
                EmptyHttpHeaders.INSTANCE);
        body = null;
        head = null;
        return whole;
    }

    void clear() {
        if (body != null) {
            body.release();
            body = null;
        }
        head = null;
        received = 0;
    }
}
