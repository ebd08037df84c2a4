package gorsemast.proxy;

import gorsemast.admission.ConcurrencyLimiter;
import gorsemast.http.StrictHttp;
import gorsemast.logging.Log;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Handles one client connection, on which requests may be pipelined; responses are sent in the order of the requests.
 *
 * <p>Requests that may be repeated are started as they arrive, up to {@link #MAX_PIPELINED} at a time. A request that
 * may not be repeated is started only when it is the first one, because a client sends requests again that follow a
 * response with {@code Connection: close}. Runs on the event loop.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** Pipelined requests held at a time for one connection; reading pauses at this number. */
    private static final int MAX_PIPELINED = 16;
    /** Bodies may arrive no slower than this, in addition to the time allowed for the head. */
    private static final long MIN_BODY_BYTES_PER_SECOND = 64_000;

    static final long SWEEP_MICROS = 250_000;
    private static final long STALL_TIMEOUT_MICROS = 10_000_000;
    private static final long QUIET_MICROS = 1_000_000;
    private static final Log LOG = new Log("proxy");

    /** Services that the listener provides to its connections. */
    interface Owner {
        long now();

        /** Longest head of a request that is accepted, in bytes. */
        int maxHeadBytes();

        /** Longest request body that is accepted, in bytes. */
        long maxBodyBytes();

        /** Longest time from the first byte of a request to the end of its head, in microseconds. */
        long headTimeoutMicros();

        long idleTimeoutMicros();

        /** Whether connections are to be closed after their responses. */
        boolean isClosing();

        /** Whether sockets are too scarce to be kept open without need. */
        boolean hasFewSockets();

        /** Whether the request may be started while others of its connection are in progress. */
        boolean isRepeatable(HttpRequest head);

        /**
         * Reserves memory for request bodies; a negative number releases it. Returns whether the bytes are available.
         */
        boolean reserveBodyBytes(long bytes);

        void handle(Exchange exchange);

        /** Limits the concurrent requests that take time. */
        ConcurrencyLimiter limiter();

        /** A slot of the limiter was released. */
        void slotReleased();

        /** Counts an event on a connection together with its duration. */
        void countEvent(SocketEvent event, long micros);

        /** Counts a response that the edge generated itself. */
        void countLocalResponse(LocalResponse reason);

        void opened(ClientConnection connection);

        void closed(ClientConnection connection);
    }

    final Channel channel;
    final Owner owner;
    private final Deque<ClientRequest> requests = new ArrayDeque<>();
    private ClientRequest receiving;
    /** When the first byte of an incomplete head arrived; 0 where there is none. */
    private long messageStartedAt;

    private long lastActivityAt;
    /** Requests of which at least the head has arrived on this connection. */
    private long requestCount;

    private final ConnectionSlot slot;
    final ResponseWriter writer;
    private boolean isFlushing;
    /** Whether something has changed since the responses were last written. */
    private boolean flushAgain;

    private boolean closing;
    private boolean broken;

    ClientConnection(Channel channel, Owner owner) {
        this.channel = channel;
        this.owner = owner;
        this.writer = new ResponseWriter(channel);
        this.slot = new ConnectionSlot(channel.eventLoop(), owner::now, owner.limiter(), owner::slotReleased);
    }

    // ---- requests

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        lastActivityAt = owner.now();
        owner.opened(this);
    }

    /** Applies changed limits, also those on time. Called for all connections every {@link #SWEEP_MICROS}. */
    void checkLimits(long now) {
        updateHeadLimit();
        checkTimeouts(now);
    }

    /** Replaces the decoder between two requests if the limit for heads has changed, as its own can't change. */
    private void updateHeadLimit() {
        StrictHttp.Requests decoder = decoder();
        if (receiving == null
                && !closing
                && channel.isActive()
                && decoder.isEmpty()
                && decoder.maxHeadBytes() != owner.maxHeadBytes()) {
            channel.pipeline().replace(decoder, null, new StrictHttp.Requests(owner.maxHeadBytes()));
        }
    }

    private StrictHttp.Requests decoder() {
        return channel.pipeline().get(StrictHttp.Requests.class);
    }

    private void checkTimeouts(long now) {
        ClientRequest overdue = receiving;
        if (overdue != null
                && now - overdue.headReceivedAt
                        > owner.headTimeoutMicros() + overdue.bodyBytes * 1_000_000L / MIN_BODY_BYTES_PER_SECOND) {
            rejectAndClose(overdue, LocalResponse.TOO_SLOW);
        } else if (requests.isEmpty() && messageStartedAt != 0 && now - messageStartedAt > owner.headTimeoutMicros()) {
            close();
        } else if (requests.isEmpty() && messageStartedAt == 0 && now - lastActivityAt > owner.idleTimeoutMicros()) {
            close();
        } else if (!requests.isEmpty()
                && requests.peek().answered
                && !channel.isWritable()
                && now - lastActivityAt > stallTimeoutMicros(requests.peek())) {
            close();
        }
    }

    /** A stream that stands still holds its server's connection too; a whole response holds only this one. */
    private long stallTimeoutMicros(ClientRequest first) {
        return first.streaming ? STALL_TIMEOUT_MICROS : Math.max(STALL_TIMEOUT_MICROS, owner.idleTimeoutMicros());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (!closing && !broken) {
                read(message);
            }
        } catch (RuntimeException e) {
            LOG.internalError(e);
            close();
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(Object message) {
        lastActivityAt = owner.now();
        if (message instanceof HttpRequest head) {
            messageStartedAt = 0;
            requestCount++;
            receiving = new ClientRequest(this, head);
            requests.add(receiving);
            LocalResponse rejection = findProblem(head);
            if (rejection != null) {
                rejectAndClose(receiving, rejection);
                return;
            }
            if (HttpUtil.is100ContinueExpected(head) && requests.size() == 1) {
                channel.writeAndFlush(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
        }
        if (message instanceof HttpContent part && receiving != null) {
            ClientRequest request = receiving;
            if (part.decoderResult().isFailure()) {
                rejectAndClose(request, LocalResponse.MALFORMED);
                return;
            }
            int added = part.content().readableBytes();
            if (request.bodyBytes + added > owner.maxBodyBytes()) {
                rejectAndClose(request, LocalResponse.BODY_TOO_LONG);
                return;
            }
            if (added > 0) {
                if (!owner.reserveBodyBytes(added)) {
                    rejectAndClose(request, LocalResponse.NO_ROOM_FOR_BODY);
                    return;
                }
                request.bodyBytes += added;
                request.body.add(part.content());
            }
            if (part instanceof LastHttpContent) {
                request.complete = true;
                request.arrivedAt = owner.now();
                receiving = null;
                startRequests();
            }
        }
    }

    private static LocalResponse findProblem(HttpRequest head) {
        if (head.decoderResult().isFailure()) {
            return head.decoderResult().cause() instanceof io.netty.handler.codec.http.TooLongHttpHeaderException
                            || head.decoderResult().cause()
                                    instanceof io.netty.handler.codec.http.TooLongHttpLineException
                    ? LocalResponse.HEAD_TOO_LONG
                    : LocalResponse.MALFORMED;
        }
        boolean oneHost = head.headers().getAll(HttpHeaderNames.HOST).size() == 1;
        boolean path = head.uri().startsWith("/");
        return oneHost && path && head.protocolVersion().majorVersion() == 1 ? null : LocalResponse.MALFORMED;
    }

    /** Responds with an error to a request that can't be read further, and closes the connection after it. */
    private void rejectAndClose(ClientRequest request, LocalResponse reason) {
        HttpResponseStatus status = status(reason);
        owner.countLocalResponse(reason);
        closing = true;
        receiving = null;
        request.complete = true;
        request.started = true;
        HttpHeaders headers = new DefaultHttpHeaders();
        if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            headers.set(HttpHeaderNames.RETRY_AFTER, "0.5");
        }
        request.respond(status.code(), headers, Unpooled.EMPTY_BUFFER);
    }

    private static HttpResponseStatus status(LocalResponse reason) {
        return switch (reason) {
            case TOO_SLOW -> HttpResponseStatus.REQUEST_TIMEOUT;
            case BODY_TOO_LONG -> HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
            case HEAD_TOO_LONG -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
            case NO_ROOM_FOR_BODY -> HttpResponseStatus.SERVICE_UNAVAILABLE;
            default -> HttpResponseStatus.BAD_REQUEST;
        };
    }

    private void startRequests() {
        boolean isFirst = true;
        boolean mayStartAhead = true;
        for (ClientRequest request : requests.toArray(new ClientRequest[0])) {
            if (!request.complete || broken) {
                break;
            }
            if (!request.started) {
                // The configuration may have changed since the head arrived.
                request.repeatable = owner.isRepeatable(request.head);
            }
            if (!request.started && (isFirst || request.repeatable && mayStartAhead)) {
                request.started = true;
                handOver(request);
            }
            // No request is started behind one that may close the connection, or that must be the only one in
            // progress.
            mayStartAhead &= request.repeatable && request.keepAlive;
            isFirst = false;
        }
        channel.config().setAutoRead(requests.size() < MAX_PIPELINED);
    }

    /**
     * Hands a request over after everything received with it has been read. If the client disconnected while its
     * connection waited to be accepted, the end of the connection has been read by then too, and the request is not
     * processed.
     */
    private void handOver(ClientRequest request) {
        channel.eventLoop().execute(() -> {
            if (!broken && !request.answered && channel.isActive()) {
                owner.handle(request);
            }
        });
    }

    /** Withdraws a queued request for a concurrency slot. */
    void withdrawFromQueue() {
        slot.withdraw();
    }

    /**
     * Responds to the requests that have been read and not answered, as the process ends: with 503 where a request may be
     * sent again, else with 504, which promises nothing.
     */
    void abandonRequests() {
        for (ClientRequest request : List.copyOf(requests)) {
            if (request.complete && !request.answered) {
                owner.countLocalResponse(LocalResponse.SHUTTING_DOWN);
                request.disconnectTask.run();
                boolean mayBeSentAgain = request.repeatable || !request.started;
                HttpHeaders headers = new DefaultHttpHeaders();
                if (mayBeSentAgain) {
                    headers.set(HttpHeaderNames.RETRY_AFTER, RetryAfter.format(RetryAfter.SHUTDOWN_MICROS));
                }
                HttpResponseStatus status =
                        mayBeSentAgain ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.GATEWAY_TIMEOUT;
                request.respond(status.code(), headers, Unpooled.EMPTY_BUFFER);
            }
        }
    }

    /** Requests a concurrency slot as described at {@link Exchange#acquire}. */
    void acquire(ConcurrencyLimiter.Kind kind, Runnable admitted, Runnable refused) {
        slot.acquire(kind, admitted, refused);
    }

    // ---- responses

    boolean isBroken() {
        return broken;
    }

    /** Whether the response to this request is the one being written. */
    boolean isFirst(ClientRequest request) {
        return requests.peek() == request;
    }

    /** Writes what can be written of the responses, in the order of their requests. */
    void flush() {
        flushAgain = true;
        if (isFlushing) {
            return; // called from within, as writing changes the writability
        }
        isFlushing = true;
        try {
            while (flushAgain) {
                flushAgain = false;
                writeResponses();
            }
        } finally {
            isFlushing = false;
        }
        if (!closing && !broken) {
            startRequests();
        }
    }

    private void writeResponses() {
        while (writeFirstResponse()) {
            finishResponse(requests.poll());
        }
        writer.flush();
    }

    /** Writes as much as possible of the first response and returns whether nothing of it is left. */
    private boolean writeFirstResponse() {
        ClientRequest request = requests.peek();
        if (request == null || !request.answered || broken || !writer.hasRoom()) {
            return false;
        }
        if (request.responseHead != null) {
            writeHead(request);
        }
        boolean wroteAll = writer.writeContent(request.pendingContent);
        if (request.streaming && request.aborted) {
            writer.flush();
            channel.close(); // an aborted response must not look complete
            return false;
        }
        if (!wroteAll || broken) {
            return false;
        }
        boolean isComplete = !request.streaming || request.streamed;
        request.pendingContent.release();
        request.pendingContent =
                isComplete ? Unpooled.EMPTY_BUFFER : channel.alloc().heapBuffer();
        if (!isComplete) {
            writer.flush();
            resume(request);
        }
        return isComplete;
    }

    private void writeHead(ClientRequest request) {
        boolean isLast = (closing || !request.keepAlive || owner.isClosing()) && noneStartedBehind();
        if (isLast) {
            request.responseHead.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            closing = true;
        } else {
            request.responseHead.headers().remove(HttpHeaderNames.CONNECTION);
        }
        writer.write(request.responseHead);
        request.responseHead = null;
    }

    /** Ends the response that has just been removed, and the connection with it if it was the last one. */
    private void finishResponse(ClientRequest request) {
        lastActivityAt = owner.now();
        long readyAt = lastActivityAt;
        owner.countEvent(SocketEvent.CLIENT_ANSWERED, readyAt - request.arrivedAt);
        ChannelFuture written = writer.write(LastHttpContent.EMPTY_LAST_CONTENT);
        writer.flush();
        written.addListener(done -> {
            owner.countEvent(SocketEvent.ANSWER_WRITTEN, owner.now() - readyAt);
            if (requests.isEmpty()) {
                slot.release();
            }
        });
        if (closing && requests.stream().noneMatch(pending -> pending.started)) {
            written.addListener((ChannelFutureListener) done -> closeAfterLastResponse());
        }
    }

    private boolean noneStartedBehind() {
        boolean first = true;
        for (ClientRequest request : requests) {
            if (!first && request.started) {
                return false;
            }
            first = false;
        }
        return true;
    }

    /**
     * Closes the connection after its last response. If the client may have sent more, as one that pipelines does,
     * the output is shut down first: closing with unread input would reset the connection and lose the response.
     * Where sockets are scarce and nothing else can be in transit, the connection is closed at once: the system still
     * sends what it has accepted, and the socket is free meanwhile.
     */
    private void closeAfterLastResponse() {
        boolean nothingInTransit = requestCount == 1 && decoder().isEmpty();
        if (nothingInTransit && owner.hasFewSockets()) {
            channel.close();
        } else if (channel instanceof DuplexChannel duplex && channel.isActive()) {
            duplex.shutdownOutput().addListener(done -> channel.eventLoop()
                    .schedule(
                            () -> {
                                channel.close();
                            },
                            SWEEP_MICROS,
                            TimeUnit.MICROSECONDS));
        } else {
            channel.close();
        }
    }

    /** Whether no request is in progress or partly received, and the last response has been sent. */
    boolean isIdle() {
        ChannelOutboundBuffer waiting = channel.unsafe().outboundBuffer();
        return requests.isEmpty()
                && messageStartedAt == 0
                && (waiting == null || waiting.totalPendingWriteBytes() == 0);
    }

    /** Number of requests that have been read whole and whose response is not complete. */
    int unansweredRequests() {
        return (int) requests.stream()
                .filter(request -> request.complete && !(request.answered && (!request.streaming || request.streamed)))
                .count();
    }

    /** Whether the connection has been idle for so long that no request is likely to be in transit. */
    boolean isQuiet(long now) {
        return isIdle() && now - lastActivityAt > QUIET_MICROS;
    }

    /** Closes the connection. */
    void close() {
        channel.close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (channel.isWritable()) {
            lastActivityAt = owner.now();
            flush();
        }
    }

    /** Lets the first response's source go on, which may have been paused while another response was the first. */
    private void resume(ClientRequest first) {
        if (channel.isWritable()) {
            lastActivityAt = owner.now();
            first.flowControl.pause(false);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (receiving == null && requests.isEmpty() && messageStartedAt == 0 && !closing) {
            messageStartedAt = decoder().isEmpty() ? 0 : owner.now();
        }
        updateHeadLimit();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        broken = true;
        owner.closed(this);
        slot.release();
        if (requestCount == 0) {
            owner.countEvent(SocketEvent.CLIENT_LEFT_UNASKED, 0);
        }
        for (ClientRequest request : requests) {
            if (!request.answered) {
                request.answered = true;
                owner.countEvent(
                        SocketEvent.CLIENT_LEFT_UNANSWERED, request.complete ? owner.now() - request.arrivedAt : 0);
                if (request.started) {
                    request.disconnectTask.run();
                }
                request.releaseBody();
            } else if (request.streaming && !request.streamed && !request.aborted) {
                request.flowControl.cancel();
            }
            if (request.pendingContent.refCnt() > 0) {
                request.pendingContent.release();
            }
        }
        requests.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
