package gorsemast.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/** The answer that is being read on one connection: its head, and what is kept of its body. On the event loop. */
final class ResponseBuffer {
    /** A longer answer breaks the protocol and ends the connection; in bytes. */
    private static final long MAX_ANSWER = 64L << 20;

    private HttpResponse head;
    private ByteBuf body;
    private long length;
    private long received;

    /** Its head has come; false where it announces more than any answer has. */
    boolean begin(HttpResponse start) {
        head = start;
        received = 0;
        length = HttpUtil.getContentLength(start, -1L);
        return length <= MAX_ANSWER;
    }

    /** Whether the head of one has come that has not been taken yet. */
    boolean isBegun() {
        return head != null;
    }

    HttpResponse head() {
        return head;
    }

    /** Its bytes, -1 where they are not known ahead. */
    long length() {
        return length;
    }

    /** So many more have come; false where these are more than any answer has. */
    boolean counts(int bytes) {
        received += bytes;
        return received <= MAX_ANSWER;
    }

    /** Whether it has more than so many bytes, as far as is known once its body has {@code begun}. */
    boolean exceeds(int most, boolean begun) {
        return received > most || length > most && begun;
    }

    /** Whether its end can be told from a cut. */
    boolean isFramed() {
        return length >= 0 || HttpUtil.isTransferEncodingChunked(head);
    }

    void add(ByteBufAllocator allocator, ByteBuf bytes) {
        if (bytes.isReadable()) {
            body = body == null ? allocator.heapBuffer(bytes.readableBytes()) : body;
            body.writeBytes(bytes);
        }
    }

    /** What has been kept so far goes on. */
    void giveTo(ResponseSink passage) {
        if (body != null) {
            passage.part(body);
            body.release();
            body = null;
        }
    }

    /** All of it; the caller's to release, and nothing is left here. */
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
