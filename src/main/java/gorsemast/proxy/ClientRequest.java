package gorsemast.proxy;

import gorsemast.admission.ConcurrencyLimiter;
import gorsemast.http.BodyBuffer;
import gorsemast.http.ResponseSink;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
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
 * One request on a client's connection, and its answer until the ones before it have left. On the event loop.
 */
final class ClientRequest implements Exchange, ResponseSink {
    private final ClientConnection connection;
    final HttpRequest head;
    final BodyBuffer body;
    final boolean keepAlive;
    /** As the configuration has it when it is begun; until then as it had it last. */
    boolean repeatable;

    long bytes;
    long headAt;
    long arrival;
    boolean whole;
    boolean started;
    boolean taken;
    boolean answered;
    boolean streaming;
    boolean streamed;
    boolean cut;
    HttpResponse ready;
    ByteBuf content = Unpooled.EMPTY_BUFFER;
    FlowControl flow;
    Runnable leave = () -> {};

    ClientRequest(ClientConnection connection, HttpRequest head) {
        this.connection = connection;
        this.head = head;
        this.body = new BodyBuffer(connection.channel.alloc());
        this.keepAlive = HttpUtil.isKeepAlive(head);
        this.repeatable = connection.owner.repeatable(head);
        this.headAt = connection.owner.now();
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
        taken = true;
        return body.take();
    }

    @Override
    public long arrival() {
        return arrival;
    }

    @Override
    public void onLeave(Runnable task) {
        leave = task;
    }

    @Override
    public void acquire(ConcurrencyLimiter.Kind kind, Runnable admitted, Runnable refused) {
        connection.acquire(kind, admitted, refused);
    }

    @Override
    public void answer(int status, HttpHeaders headers, ByteBuf bytesToSend) {
        if (answered || connection.isBroken()) {
            bytesToSend.release();
            return;
        }
        answered = true;
        drop();
        content = bytesToSend;
        ready = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
        if (status != HttpResponseStatus.NOT_MODIFIED.code()) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        }
        connection.flush();
    }

    @Override
    public ResponseSink begin(HttpResponse start, HttpHeaders headers, long length, FlowControl source) {
        if (answered || connection.isBroken()) {
            return null;
        }
        answered = true;
        streaming = true;
        flow = source;
        drop();
        ready = new DefaultHttpResponse(HttpVersion.HTTP_1_1, start.status(), headers);
        if (length >= 0) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        content = connection.channel.alloc().heapBuffer();
        connection.flush();
        return this;
    }

    @Override
    public void part(ByteBuf part) {
        if (connection.isFirst(this) && ready == null) {
            connection.channel.writeAndFlush(new DefaultHttpContent(part.retainedDuplicate()));
        } else {
            content.writeBytes(part);
        }
        flow.pause(!connection.channel.isWritable() || content.readableBytes() > BodyBuffer.BLOCK_BYTES);
    }

    @Override
    public void completed() {
        streamed = true;
        connection.flush();
    }

    @Override
    public void aborted() {
        cut = true;
        connection.flush();
    }

    /** Of its body nothing is kept any more. */
    void drop() {
        if (!taken) {
            body.release();
            taken = true;
        }
        connection.owner.room(-bytes);
        bytes = 0;
    }
}
