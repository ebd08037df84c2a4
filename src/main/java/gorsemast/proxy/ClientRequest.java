package gorsemast.proxy;

import gorsemast.admission.ConcurrencyLimiter;
import gorsemast.http.BodyBuffer;
import gorsemast.http.ResponseSink;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * A request on a client connection, and its response until the responses before it have been sent. Runs on the event
 * loop.
 */
final class ClientRequest implements Exchange, ResponseSink {
    private final ClientConnection connection;
    final HttpRequest head;
    final BodyBuffer body;
    final boolean keepAlive;
    /**
     * By the configuration at the time when the request is started; before that, by the configuration at the last
     * check.
     */
    boolean repeatable;

    long bodyBytes;
    long headReceivedAt;
    long arrivedAt;
    boolean complete;
    boolean started;
    boolean bodyTaken;
    boolean answered;
    boolean streaming;
    boolean streamed;
    boolean aborted;
    HttpResponse responseHead;
    ByteBuf pendingContent = Unpooled.EMPTY_BUFFER;
    FlowControl flowControl;
    Runnable disconnectTask = () -> {};

    ClientRequest(ClientConnection connection, HttpRequest head) {
        this.connection = connection;
        this.head = head;
        this.body = new BodyBuffer(connection.channel.alloc());
        this.keepAlive = HttpUtil.isKeepAlive(head);
        this.repeatable = connection.owner.isRepeatable(head);
        this.headReceivedAt = connection.owner.now();
    }

    @Override
    public HttpMethod method() {
        return head.method();
    }

    @Override
    public String uri() {
        return head.uri();
    }

    @Override
    public HttpHeaders headers() {
        return head.headers();
    }

    @Override
    public ByteBuf takeBody() {
        bodyTaken = true;
        return body.take();
    }

    @Override
    public long arrivedAt() {
        return arrivedAt;
    }

    @Override
    public void onDisconnect(Runnable task) {
        disconnectTask = task;
    }

    @Override
    public void acquire(ConcurrencyLimiter.Kind kind, Runnable admitted, Runnable refused) {
        connection.acquire(kind, admitted, refused);
    }

    @Override
    public void respond(int status, HttpHeaders headers, ByteBuf bytesToSend) {
        if (answered || connection.isBroken()) {
            bytesToSend.release();
            return;
        }
        answered = true;
        releaseBody();
        pendingContent = bytesToSend;
        responseHead = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
        if (status != HttpResponseStatus.NOT_MODIFIED.code()) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, pendingContent.readableBytes());
        }
        connection.flush();
    }

    @Override
    public ResponseSink startStreaming(HttpResponse start, HttpHeaders headers, long length, FlowControl source) {
        if (answered || connection.isBroken()) {
            return null;
        }
        answered = true;
        streaming = true;
        flowControl = source;
        releaseBody();
        responseHead = new DefaultHttpResponse(HttpVersion.HTTP_1_1, start.status(), headers);
        if (length >= 0) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        pendingContent = connection.channel.alloc().heapBuffer();
        connection.flush();
        return this;
    }

    @Override
    public void part(ByteBuf part) {
        if (connection.isFirst(this) && responseHead == null && !pendingContent.isReadable()) {
            connection.writer.writeContent(part);
            connection.writer.flush();
        }
        if (connection.isBroken()) {
            return;
        }
        pendingContent.writeBytes(part);
        flowControl.pause(!connection.channel.isWritable() || pendingContent.readableBytes() > BodyBuffer.BLOCK_BYTES);
    }

    @Override
    public void completed() {
        streamed = true;
        connection.flush();
    }

    @Override
    public void aborted() {
        aborted = true;
        connection.flush();
    }

    /** Releases the body and its memory reservation. */
    void releaseBody() {
        if (!bodyTaken) {
            body.release();
            bodyTaken = true;
        }
        connection.owner.reserveBodyBytes(-bodyBytes);
        bodyBytes = 0;
    }
}
