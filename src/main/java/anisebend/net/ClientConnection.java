package anisebend.net;

import gorsemast.http.BodyBuffer;
import gorsemast.http.ResponseSink;
import gorsemast.http.StrictHttp;
import gorsemast.retention.BodyBudget;
import gorsemast.transport.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;

/**
 * A client connection, which processes one request at a time. A request is dispatched when the read that completes it
 * has ended and no further bytes followed it. Clients must wait for a response before they send the next request:
 * pipelined requests are rejected and never reach the decision module.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements Engine.Client, ResponseSink {
    /** Time limit for receiving a request. A stalled client must get an error or a close within 3 s. */
    private static final long REQUEST_TIMEOUT_MICROS = 2_000_000;
    /** Minimum transfer rate of a body, which extends the time limit in proportion to the bytes received. */
    private static final long MIN_BODY_BYTES_PER_SECOND = 64_000;
    /** Step by which the reservation for a body of unknown length grows. */
    private static final long BODY_GROWTH_BYTES = 1 << 20;
    /** Idle time before a connection is closed. Closing is allowed from 2 s after the last response. */
    private static final long IDLE_TIMEOUT_MICROS = 2_500_000;
    /** A client that reads nothing of a streamed response for this long counts as stalled. */
    private static final long STALL_TIMEOUT_MICROS = 10_000_000;
    /** A connection that is silent for longer may be closed first when no slots are left. */
    private static final long SILENCE_MICROS = 200_000;
    /** Pause in reading from a rejected client, which bounds the rate of its repeated requests. */
    private static final long REJECTION_PAUSE_MILLIS = 250;

    /**
     * Shuts down output before closing. Closing a socket with unread input resets the connection, and the client may
     * lose the response.
     */
    private static final ChannelFutureListener HALF_CLOSE = written -> {
        if (written.isSuccess() && written.channel() instanceof DuplexChannel duplex) {
            duplex.shutdownOutput().addListener(done -> duplex.eventLoop().execute(duplex::close));
        } else {
            written.channel().close();
        }
    };

    /** The services and state that connections share. */
    interface Owner {
        ProxyConfig config();

        Engine engine();

        /** Memory budget of the bodies that are longer than {@link RequestHead#SHORT_BODY}. */
        BodyBudget<Body> bodies();

        /** Releases the reservation of a body. */
        void letGo(Body body);

        /** Readiness as reported to a probe at the clients' address. */
        boolean ready();

        /** Whether connections are to be closed after their responses. */
        boolean closing();

        void opened(ClientConnection connection);

        void closed(ClientConnection connection);

        /** Microseconds after which a request that this process must shed may be retried; 0 accepts it. */
        long turnsAway(RequestHead head);

        /** Called when a whole request has been received. */
        void asks(ClientConnection connection);

        /** Called when a request of a configured class has been answered with this status. */
        default void answered(int requestClass, HttpResponseStatus status) {}

        /** Called when a response has been written and no request is open. */
        void idle(ClientConnection connection, boolean rejected);

        /** Counts an event of a connection under the given name. */
        default void counted(String what) {}
    }

    private enum State {
        NEW,
        READING,
        BUSY,
        IDLE,
        CLOSING
    }

    private final Channel channel;
    private final StrictHttp.Requests decoder;
    private final Owner owner;
    private State state = State.NEW;
    /** When this state began, or a response in it last made progress. */
    private long stateSince;

    /** Whether the last request was rejected. */
    private boolean lastRejected;
    /** Whether a request was rejected within the current read. */
    private boolean rejectedInRead;

    private HttpRequest request;
    private RequestHead head;
    private Body body;
    /** The class of the open request, -1 where it has none. */
    private int requestClass = -1;

    private boolean complete;
    private boolean keepAlive;
    /** The retry delay of the request being read if it is to be refused, else 0. A refused body is not buffered. */
    private long refusalRetryMicros;
    /** Bytes received of its body. */
    private long receivedBytes;
    /** When its head was complete or its memory was granted; starts the time limit of the body. */
    private long bodyStartedAt;

    private Engine.Exchange exchange;
    /** Flow control of the response that is being streamed, else null. */
    private ResponseSink.FlowControl responseFlow;
    /** Bytes of that response still to come; negative where the length is unknown. */
    private long remainingBytes;
    /** Whether the last response was streamed; its client may stall even after the last part was written here. */
    private boolean lastStreamed;
    /** Bytes that the socket had not accepted yet at the last check. */
    private long lastPendingBytes;

    private boolean http10;

    /** A request body being received, with its memory reservation, granted or pending. */
    final class Body {
        private final BodyBuffer buffer = new BodyBuffer(channel.alloc());
        private final boolean expectsContinue;
        private long reservedBytes = RequestHead.SHORT_BODY;
        private boolean awaitsMemory;
        private boolean released;

        Body(boolean expectsContinue) {
            this.expectsContinue = expectsContinue;
        }

        /** Reserves memory for so many bytes, the whole body if {@code known}. Reading stops until it is granted. */
        private void ensureReserved(long bytes, boolean known) {
            if (bytes <= reservedBytes || awaitsMemory) {
                return;
            }
            reservedBytes = known
                    ? bytes
                    : Math.min(Math.min(RequestHead.MAX_BODY, owner.bodies().capacity()), bytes + BODY_GROWTH_BYTES);
            awaitsMemory = known
                    ? !owner.bodies().reserve(this, reservedBytes)
                    : !owner.bodies().growTo(this, reservedBytes);
            if (awaitsMemory) {
                owner.counted("body waits");
                channel.config().setAutoRead(false);
            }
        }

        /** Resumes reading once the memory is granted. The time limit starts anew, as the client could send nothing. */
        void admitted() {
            awaitsMemory = false;
            channel.config().setAutoRead(true);
            if (body == this) {
                bodyStartedAt = owner.engine().now() - receivedAllowanceMicros();
                sendContinue();
            }
        }

        private void sendContinue() {
            if (expectsContinue && receivedBytes == 0) {
                channel.writeAndFlush(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
        }

        /** Releases the reservation, as the body is no longer needed. */
        void done() {
            if (!released) {
                released = true;
                if (awaitsMemory) {
                    channel.config().setAutoRead(true);
                }
                if (awaitsMemory || reservedBytes > RequestHead.SHORT_BODY) {
                    owner.letGo(this);
                }
            }
        }
    }

    ClientConnection(Channel channel, StrictHttp.Requests decoder, Owner owner) {
        this.channel = channel;
        this.decoder = decoder;
        this.owner = owner;
    }

    private void enter(State next) {
        state = next;
        stateSince = owner.engine().now();
    }

    // ---- requests

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        enter(State.NEW);
        owner.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        owner.closed(this);
        owner.counted(state + ">closed");
        discardRequest();
        state = State.CLOSING;
        if (responseFlow != null) {
            ResponseSink.FlowControl abortedFlow = responseFlow;
            responseFlow = null;
            abortedFlow.cancel();
        }
        if (exchange != null) {
            Engine.Exchange abandoned = exchange;
            exchange = null;
            owner.engine().gone(abandoned);
        }
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        owner.closed(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            read(message);
        } catch (RuntimeException e) {
            System.err.println("fault: " + e);
            reject(HttpResponseStatus.BAD_GATEWAY, false);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(Object message) {
        if (state == State.CLOSING) {
            return;
        }
        if (state == State.BUSY) {
            keepAlive = false; // pipelined input: the pending response is the last, and the input is dropped
            return;
        }
        if (message instanceof HttpRequest && (complete || rejectedInRead)) {
            reject(HttpResponseStatus.BAD_REQUEST, false); // more than one request in a read
            return;
        }
        if (message instanceof HttpRequest httpRequest) {
            begin(httpRequest);
        }
        if (message instanceof HttpContent content && state == State.READING) {
            addContent(content);
        }
    }

    private void begin(HttpRequest httpRequest) {
        if (state != State.READING) {
            enter(State.READING);
        }
        request = httpRequest;
        lastStreamed = false;
        receivedBytes = 0;
        head = new RequestHead(httpRequest, owner.config());
        keepAlive = HttpUtil.isKeepAlive(httpRequest);
        http10 = httpRequest.protocolVersion().equals(HttpVersion.HTTP_1_0);
        requestClass = head.problem == null && head.id != null ? head.requestClass : -1;
        refusalRetryMicros = head.problem == null && head.id != null ? owner.turnsAway(head) : 0;
        if (head.problem != null) {
            reject(head.problem, head.framed && keepAlive);
        } else if (refusalRetryMicros > 0 && !head.framed && HttpUtil.is100ContinueExpected(httpRequest)) {
            discardRequest();
            keepAlive = false; // the client decides whether it still sends the body
            refused(refusalRetryMicros);
        } else if (head.id != null && !head.framed) {
            body = new Body(HttpUtil.is100ContinueExpected(httpRequest));
            bodyStartedAt = owner.engine().now();
            if (head.length > Math.max(owner.bodies().capacity(), RequestHead.SHORT_BODY)) {
                reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, false);
                return;
            }
            if (refusalRetryMicros == 0) {
                body.ensureReserved(head.length, true);
            }
            if (!body.awaitsMemory) {
                body.sendContinue();
            }
        } else if (HttpUtil.is100ContinueExpected(httpRequest)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void addContent(HttpContent content) {
        ByteBuf chunk = content.content();
        if (content.decoderResult().isFailure()) {
            reject(HttpResponseStatus.BAD_REQUEST, false);
        } else if ((receivedBytes += chunk.readableBytes()) > maxBodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, false);
        } else {
            complete = content instanceof LastHttpContent;
            if (chunk.isReadable() && refusalRetryMicros == 0 && body != null) {
                body.buffer.add(chunk);
                if (!complete) {
                    body.ensureReserved(receivedBytes, false);
                }
            }
        }
    }

    private long maxBodyBytes() {
        return Math.min(RequestHead.MAX_BODY, Math.max(owner.bodies().capacity(), RequestHead.SHORT_BODY));
    }

    /** The time that the minimum rate grants for the body bytes received so far. */
    private long receivedAllowanceMicros() {
        return receivedBytes * 1_000_000L / MIN_BODY_BYTES_PER_SECOND;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        rejectedInRead = false;
        if (state == State.BUSY && !decoder.isEmpty()) {
            keepAlive = false;
        } else if (complete && !decoder.isEmpty()) {
            reject(HttpResponseStatus.BAD_REQUEST, false);
        } else if (complete) {
            try {
                dispatch();
            } catch (RuntimeException e) {
                System.err.println("fault: " + e);
                respond(HttpResponseStatus.BAD_GATEWAY);
            }
        } else if ((state == State.NEW || state == State.IDLE) && !decoder.isEmpty()) {
            enter(State.READING); // the first bytes of a request head
        }
    }

    private void dispatch() {
        HttpRequest httpRequest = request;
        RequestHead requestHead = head;
        Body receivedBody = body;
        request = null;
        head = null;
        complete = false;
        body = null;
        enter(State.BUSY);
        owner.asks(this);
        if (requestHead.id == null) {
            releaseBody(receivedBody);
            respond(owner.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
            return;
        }
        if (refusalRetryMicros > 0) {
            releaseBody(receivedBody);
            refused(refusalRetryMicros);
            return;
        }
        Engine.Exchange accepted = owner.engine()
                .take(
                        new Engine.Call(
                                httpRequest.method(),
                                httpRequest.uri(),
                                requestHead.id,
                                requestHead.idempotencyKey,
                                receivedBody == null ? Unpooled.EMPTY_BUFFER : receivedBody.buffer.take(),
                                requestHead.requestClass,
                                requestHead.tenant,
                                requestHead.key.isEmpty() ? null : requestHead.key,
                                stateSince,
                                requestHead.waitMicros,
                                receivedBody == null ? () -> {} : receivedBody::done),
                        this);
        if (accepted == null) {
            reject(HttpResponseStatus.CONFLICT, keepAlive); // a request with this id is already open
        } else if (!accepted.answered()) { // the engine may have answered at once
            exchange = accepted;
        }
    }

    private void discardRequest() {
        request = null;
        head = null;
        complete = false;
        Body receivedBody = body;
        body = null;
        releaseBody(receivedBody);
    }

    private static void releaseBody(Body receivedBody) {
        if (receivedBody != null) {
            receivedBody.buffer.release();
            receivedBody.done();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    // ---- responses

    /** Answers with an error. The connection stays open only where the start of the next request is unambiguous. */
    private void reject(HttpResponseStatus status, boolean keepOpen) {
        discardRequest();
        lastRejected = true;
        rejectedInRead = true;
        keepAlive = keepOpen;
        respond(status);
        if (keepOpen && state == State.IDLE) {
            channel.config().setAutoRead(false);
            channel.eventLoop()
                    .schedule(() -> channel.config().setAutoRead(true), REJECTION_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void served(FullHttpResponse upstreamResponse) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.OK,
                upstreamResponse.content().retain());
        copyContentType(upstreamResponse, response);
        lastRejected = false;
        write(response);
    }

    private static void copyContentType(HttpResponse from, HttpResponse to) {
        String type = from.headers().get(HttpHeaderNames.CONTENT_TYPE);
        if (type != null) {
            to.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
        }
    }

    /** Starts streaming a response. In HTTP/1.0 only the connection's close ends a response of unknown length. */
    @Override
    public ResponseSink begins(HttpResponse upstreamResponse, long length, ResponseSink.FlowControl flow) {
        exchange = null;
        responseFlow = flow;
        remainingBytes = length;
        lastStreamed = true;
        lastRejected = false;
        reportStatus(HttpResponseStatus.OK);
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        copyContentType(upstreamResponse, response);
        keepAlive &= !owner.closing() && channel.isWritable() && (length >= 0 || !http10);
        if (length >= 0) {
            HttpUtil.setContentLength(response, length);
        } else if (!http10) {
            HttpUtil.setTransferEncodingChunked(response, true);
        }
        HttpUtil.setKeepAlive(response, keepAlive);
        channel.write(response).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        stateSince = owner.engine().now();
        return this;
    }

    @Override
    public void part(ByteBuf bytes) {
        remainingBytes -= remainingBytes > 0 ? bytes.readableBytes() : 0;
        // The bytes that follow would otherwise take the place of those that could not be written.
        channel.writeAndFlush(new DefaultHttpContent(bytes.retainedDuplicate()))
                .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        if (!channel.isWritable() && responseFlow != null) {
            stateSince = owner.engine().now();
            responseFlow.pause(true);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (responseFlow != null && channel.isWritable()) {
            stateSince = owner.engine().now();
            responseFlow.pause(false);
        }
    }

    @Override
    public void completed() {
        responseFlow = null;
        finishResponse(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    @Override
    public void aborted() {
        responseFlow = null;
        enter(State.CLOSING);
        channel.close(); // the client detects the missing bytes or last chunk
    }

    @Override
    public void refused(long retryAfterMicros) {
        owner.counted("refused");
        FullHttpResponse response = empty(HttpResponseStatus.SERVICE_UNAVAILABLE);
        if (retryAfterMicros > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, Seconds.of(retryAfterMicros));
        }
        write(response);
    }

    @Override
    public void failed() {
        respond(HttpResponseStatus.BAD_GATEWAY);
    }

    private void respond(HttpResponseStatus status) {
        owner.counted(status.codeAsText().toString());
        write(empty(status));
    }

    private static FullHttpResponse empty(HttpResponseStatus status) {
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    }

    private void write(FullHttpResponse response) {
        exchange = null;
        reportStatus(response.status());
        // Responses that the client does not read must not accumulate.
        keepAlive &= !owner.closing() && channel.isWritable();
        HttpUtil.setContentLength(response, response.content().readableBytes());
        HttpUtil.setKeepAlive(response, keepAlive);
        finishResponse(response);
    }

    private void reportStatus(HttpResponseStatus status) {
        if (requestClass >= 0) {
            owner.answered(requestClass, status);
            requestClass = -1;
        }
    }

    private void finishResponse(Object last) {
        enter(keepAlive ? State.IDLE : State.CLOSING);
        channel.writeAndFlush(last)
                .addListener(
                        keepAlive
                                ? ChannelFutureListener.CLOSE_ON_FAILURE
                                : lastRejected ? HALF_CLOSE : ChannelFutureListener.CLOSE);
        owner.idle(this, lastRejected);
    }

    // ---- limits

    /** Enforces the time limits on the connection; the engine enforces that of a dispatched request. */
    void checkTime(long now) {
        long elapsed = now - stateSince;
        switch (state) {
            case BUSY -> {
                if (responseFlow != null && !channel.isWritable() && elapsed > STALL_TIMEOUT_MICROS) {
                    channel.close(); // the client does not read its response
                }
            }
            case READING -> {
                boolean awaitsMemory = body != null && body.awaitsMemory;
                long bodyElapsed = body == null ? elapsed : now - bodyStartedAt - receivedAllowanceMicros();
                if (bodyElapsed > REQUEST_TIMEOUT_MICROS && !awaitsMemory) {
                    reject(HttpResponseStatus.REQUEST_TIMEOUT, false);
                }
            }
            case IDLE -> {
                if (elapsed > IDLE_TIMEOUT_MICROS) {
                    closeIfFree();
                }
            }
            default -> {
                if (elapsed > (lastStreamed && hasPendingWrites(now) ? STALL_TIMEOUT_MICROS : REQUEST_TIMEOUT_MICROS)) {
                    channel.close(); // nothing was ever received, or the client does not read its last response
                }
            }
        }
    }

    /** Whether written bytes are still buffered in this process. Any progress restarts the stall timeout. */
    private boolean hasPendingWrites(long now) {
        ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
        long pending = outbound == null ? 0 : outbound.totalPendingWriteBytes();
        if (pending != lastPendingBytes) {
            lastPendingBytes = pending;
            stateSince = now;
        }
        return pending > 0;
    }

    /** Whether a response too long to be buffered is being streamed to the client. */
    boolean passing() {
        return responseFlow != null;
    }

    /** Bytes of the streamed response still to come from its node; negative where the length is unknown. */
    long rest() {
        return remainingBytes;
    }

    /**
     * Enlarges the socket's send buffer and flushes into it, so that the kernel can deliver what the client has not
     * read yet after this process has ended.
     *
     * @param bytes the size to request; the system caps it at its own limit and doubles it for its bookkeeping
     */
    void sendBuffer(int bytes) {
        channel.config().setOption(ChannelOption.SO_SNDBUF, bytes);
        Transport.flush(channel);
    }

    /** Whether to close it before others: it is silent and has sent no whole request yet, or its last was rejected. */
    boolean dispensable(long now) {
        boolean hasAnswered = state == State.IDLE && !lastRejected;
        return state != State.BUSY && !hasAnswered && now - stateSince > SILENCE_MICROS;
    }

    /** Whether it can be closed without loss: no part of a request has been received on it. */
    boolean vacant(long now) {
        return state == State.IDLE || state == State.NEW && now - stateSince > SILENCE_MICROS;
    }

    /** Closes the connection between requests, after pending responses are written; returns whether it was free. */
    boolean closeIfFree() {
        if (state == State.BUSY) {
            return false;
        }
        owner.counted(state + ">room");
        enter(State.CLOSING);
        discardRequest();
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        return true;
    }

    String state() {
        return state.name();
    }

    /** Whether a request has just started or its body is being received; such a connection must not be evicted. */
    boolean reading(long now) {
        return state == State.READING && (body != null || now - stateSince <= SILENCE_MICROS);
    }

    boolean idle() {
        return state == State.IDLE;
    }
}
