package gorsemast.http;

import anisebend.Balancer.CacheStatus;
import anisebend.Balancer.Code;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * One connection to a server with at most one attempt on it. {@link ConnectionState} decides how to treat the input;
 * this class carries it out on a socket. Runs on the event loop.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> implements ResponseSink.FlowControl {
    private final Upstream upstream;
    private final Upstream.Peer node;
    private final Traffic traffic;
    private final ConnectionState state = new ConnectionState();
    private final StrictHttp.Responses decoder = new StrictHttp.Responses();
    private RequestWriter writer;
    private Channel channel;
    private PendingAttempt attempt;
    private ScheduledFuture<?> idleTimeout;
    private long idleMillis;
    /** Whether the connection was kept after a response; its failure then says nothing about the node. */
    private boolean reused;

    private final ResponseBuffer response = new ResponseBuffer();
    /** Receives a response that is streamed; null where none is. */
    private ResponseSink sink;

    private long lastReceivedAt;

    UpstreamConnection(Upstream upstream, Upstream.Peer node) {
        this.upstream = upstream;
        this.node = node;
        this.traffic = upstream.trafficOf(node.host());
        this.idleMillis = upstream.idleMillis;
    }

    /** When data of the current response last arrived; long ago if nothing has. */
    long lastReceivedAt() {
        return response.isStarted() ? lastReceivedAt : Long.MIN_VALUE / 2;
    }

    // ---- connecting

    void open() {
        traffic.connects++;
        traffic.opening++;
        upstream.pools.connectStarted(Upstream.now(), node.host());
        long startedAt = System.nanoTime();
        ChannelFuture connecting = upstream.bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        writer = new RequestWriter(ch);
                        ch.pipeline().addLast(writer, decoder, UpstreamConnection.this);
                    }
                })
                .connect(node.dial());
        channel = connecting.channel();
        connecting.addListener(done -> {
            traffic.opening--;
            if (!done.isSuccess()) {
                // Also if no socket could be created: such a channel never reports that it is closed.
                traffic.connectsFailed++;
                connectFailed();
                return;
            }
            traffic.open++;
            upstream.pools.connected(node.host());
            channel.closeFuture().addListener(closed -> {
                traffic.open--;
                upstream.pools.closed(node.host());
                connectionLost();
                openReplacement();
            });
            long took = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startedAt);
            traffic.connectMicros += took;
            writer.setConnectMicros(took);
            takeWaitingOrIdle(0);
        });
    }

    /**
     * Opens a replacement if one is needed: attempts waiting for this connection would otherwise wait for half of
     * their time.
     */
    private void openReplacement() {
        if (upstream.readiness.ready(node) && upstream.pools.shouldOpenSpare(Upstream.now(), node.host())) {
            new UpstreamConnection(upstream, node).open();
        }
        if (upstream.readiness.ready(node) && upstream.waitingCount(node.host()) > 0) {
            upstream.openForWaiting(node);
        }
    }

    /**
     * Handles a failed connect. If other connections are open, the node has no capacity for more, and waiting
     * attempts go on waiting for one of these. Otherwise the node is unreachable: one attempt ends with the failure,
     * and those without a connect in progress end unsent instead of waiting for the same failure.
     */
    private void connectFailed() {
        if (upstream.pools.connectFailed(Upstream.now(), node.host())) {
            PendingAttempt failedAttempt = upstream.pollWaiting(node.host());
            if (failedAttempt != null) {
                failedAttempt.end(Code.CONNECT_FAILED, CacheStatus.NONE, null);
            }
            while (upstream.waitingCount(node.host()) > upstream.pools.connectingCount(node.host())) {
                upstream.pollWaiting(node.host()).end(Code.NOT_SENT, CacheStatus.NONE, null);
            }
        }
        upstream.openForWaiting(node);
    }

    // ---- attempts

    /** Whether the attempt on this connection may have run. */
    boolean mayHaveRun() {
        return state.mayHaveRun();
    }

    void assign(PendingAttempt next) {
        cancelIdleTimeout();
        String requestId = upstream.dialect.requestId(next.request);
        boolean exclusive = upstream.dialect.needsExclusiveConnection(next.request);
        if (!state.canCarry(requestId, exclusive)) {
            close();
            upstream.requeueFirst(next); // on another connection
            return;
        }
        attempt = next;
        next.connection = this;
        state.assign(requestId, next.atMostOnce, exclusive);
        upstream.pools.acquired(Upstream.now(), node.host());
        // The node may have begun to drain while the connection was established: the drain grace period counts from
        // the first byte sent, and a request that is withheld has never run.
        if (!upstream.readiness.ready(node)) {
            next.end(Code.NOT_SENT, CacheStatus.NONE, null);
            return;
        }
        next.handedOver = true;
        decoder.setHeadResponse(next.request.method().equals(HttpMethod.HEAD));
        boolean body = next.request.content().isReadable();
        boolean holdsLastByte = next.atMostOnce && (body || upstream.dialect.mayDropIdleEarly());
        writer.write(next.request, holdsLastByte, () -> attempt == next, new RequestWriter.SendListener() {
            @Override
            public void lastByteSending() {
                state.lastByteSent();
            }

            @Override
            public void finished(boolean accepted) {
                upstream.attemptsWritten += accepted ? 1 : 0;
                if (attempt != next) {
                    return;
                }
                if (accepted) {
                    state.lastByteSent();
                } else {
                    state.lastByteNotSent(); // the last byte was never sent, so no server can have started it
                    next.end(codeIfUnanswered(), CacheStatus.NONE, null);
                }
            }
        });
    }

    private Code codeIfUnanswered() {
        return state.mayHaveRun() ? Code.RESET : reused ? Code.NOT_SENT : Code.CONNECT_FAILED;
    }

    /**
     * The attempt has ended. Unless it was {@code answered} with a complete response, the connection is closed before
     * another attempt uses it.
     */
    void attemptEnded(boolean answered, boolean keepsAlive) {
        attempt = null;
        upstream.pools.released(node.host());
        if (answered ? state.completed(keepsAlive) : state.abandoned()) {
            returnToPool();
        } else {
            close();
        }
    }

    /**
     * Makes the connection available. A waiting attempt gets it, unless another connection is being established for
     * it: a node that closes after its response is given the time for that.
     */
    private void returnToPool() {
        reused = true;
        takeWaitingOrIdle(upstream.pools.connectingCount(node.host()));
    }

    /** Takes a waiting attempt if more wait than other connections will take; otherwise becomes idle. */
    private void takeWaitingOrIdle(int others) {
        boolean ready = upstream.readiness.ready(node);
        if (!channel.isActive() || !ready) {
            close();
            if (!ready) {
                upstream.closeIdle(node.host()); // and ends the attempts that wait for it
            }
            upstream.openForWaiting(node);
            return;
        }
        if (upstream.waitingCount(node.host()) > others) {
            assign(upstream.pollWaiting(node.host()));
            return;
        }
        reused = true;
        idleTimeout = upstream.loop.schedule(this::close, idleMillis, TimeUnit.MILLISECONDS);
        upstream.addIdle(node.host(), this);
    }

    private void cancelIdleTimeout() {
        if (idleTimeout != null) {
            idleTimeout.cancel(false);
            idleTimeout = null;
        }
    }

    void close() {
        upstream.removeIdle(node.host(), this);
        cancelIdleTimeout();
        state.connectionClosed();
        channel.close();
    }

    /** The connection has failed or its input can't be trusted any more. */
    private void connectionLost() {
        PendingAttempt current = attempt;
        if (state.isComplete()) {
            state.connectionClosed();
            completeResponse();
        }
        close();
        response.clear();
        if (sink != null) {
            endStreaming().aborted();
        }
        if (current != null) {
            current.end(codeIfUnanswered(), CacheStatus.NONE, null);
        }
    }

    // ---- responses

    /**
     * Handles a response, which ends its attempt only when the read is done: a duplicate or garbage may follow
     * immediately, and would be taken for the response to the next request on this connection.
     */
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (message instanceof HttpResponse start) {
            responseStarted(start);
        }
        if (message instanceof HttpContent part) {
            contentReceived(part);
        }
    }

    private void responseStarted(HttpResponse start) {
        lastReceivedAt = Upstream.now();
        // A response that is delimited only by the end of the connection ends after closeFuture, when its attempt has
        // already ended as a reset: it might have been truncated anywhere.
        boolean isBroken = start.decoderResult().cause() instanceof BrokenResponseException;
        boolean notHttp =
                start.decoderResult().isFailure() || start.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
        if (notHttp && !isBroken && !state.isAnswering()) {
            connectionLost();
            return;
        }
        // A broken response belongs to no request, but whoever sent it may have run the one in progress.
        boolean isIdentified = attempt != null && !isBroken;
        Code code = isBroken ? Code.ERROR : upstream.dialect.code(start);
        ConnectionState.Disposition disposition = state.head(
                isIdentified ? upstream.dialect.match(attempt.request, start) : ResponseMatch.UNIDENTIFIED,
                !isBroken && start.status().codeClass() == HttpStatusClass.INFORMATIONAL,
                !code.mayHaveRun,
                code == Code.OK);
        if (disposition == ConnectionState.Disposition.BROKEN) {
            connectionLost();
        } else if (disposition == ConnectionState.Disposition.OWN && !response.start(start)) {
            connectionLost();
        }
    }

    private void contentReceived(HttpContent part) {
        ConnectionState.Disposition disposition = state.part(part instanceof LastHttpContent);
        if (disposition == ConnectionState.Disposition.SURPLUS
                && part.decoderResult().isFailure()
                && !state.isAnswering()) {
            connectionLost();
        }
        if (disposition != ConnectionState.Disposition.OWN) {
            return;
        }
        if (part.decoderResult().isFailure() || !response.count(part.content().readableBytes())) {
            state.unreadable();
            connectionLost();
            return;
        }
        // Streaming starts only with the first body byte: until then another server can be asked if this response
        // breaks off.
        int bufferLimit = attempt == null ? Upstream.MAX_BUFFERED_BYTES : attempt.bufferLimit;
        if (sink == null
                && response.isLongerThan(bufferLimit, part.content().isReadable())
                && !(response.isFramed() && startStreaming())) {
            state.unreadable();
            // No response of ours, or one whose truncation could not be detected, or nobody wants it any more.
            connectionLost();
            return;
        }
        lastReceivedAt = Upstream.now();
        if (sink == null) {
            response.add(channel.alloc(), part.content());
        } else if (part.content().isReadable()) {
            sink.part(part.content());
        }
        if (state.isComplete() && sink != null) { // the sink may have cancelled within this part
            endStreaming().completed();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        ConnectionState.ReadOutcome done = state.readDone(!decoder.isEmpty());
        if (done == ConnectionState.ReadOutcome.WHOLE) {
            completeResponse();
        } else if (done == ConnectionState.ReadOutcome.CLOSE) {
            connectionLost();
        }
    }

    private void completeResponse() {
        FullHttpResponse whole = response.take();
        long keepAliveMillis = upstream.dialect.keepAliveMillis(whole);
        idleMillis = keepAliveMillis < 0
                ? idleMillis
                : Math.min(upstream.idleMillis, keepAliveMillis / Upstream.IDLE_TIMEOUT_DIVISOR);
        try {
            if (attempt != null) {
                attempt.end(upstream.dialect.code(whole), upstream.dialect.cacheStatus(whole), whole);
            } else if (state.completed(HttpUtil.isKeepAlive(whole))) { // the response was streamed
                channel.config().setAutoRead(true);
                returnToPool();
            } else {
                close();
            }
        } finally {
            whole.release();
        }
    }

    // ---- streaming

    /** Starts streaming the response, if it is successful and wanted. */
    private boolean startStreaming() {
        if (upstream.dialect.code(response.head()) != Code.OK || attempt == null) {
            return false;
        }
        PendingAttempt finishedAttempt = attempt;
        attempt = null;
        state.startStreaming();
        sink = finishedAttempt.startStreaming(
                upstream.dialect.cacheStatus(response.head()), response.head(), response.length(), this);
        if (sink == null) {
            upstream.pools.released(node.host());
            return false;
        }
        lastReceivedAt = Upstream.now();
        upstream.streamStarted(node);
        scheduleStallCheck();
        response.drainTo(sink);
        return true;
    }

    /** Returns the sink, to which nothing more is sent. */
    private ResponseSink endStreaming() {
        ResponseSink endedSink = sink;
        sink = null;
        upstream.pools.streamEnded(node.host());
        upstream.pools.released(node.host());
        return endedSink;
    }

    private void scheduleStallCheck() {
        upstream.loop.schedule(
                () -> {
                    boolean isSilent = Upstream.now() - lastReceivedAt > upstream.stallTimeoutMicros;
                    if (sink != null && channel.config().isAutoRead() && isSilent) {
                        connectionLost();
                    } else if (sink != null) {
                        scheduleStallCheck();
                    }
                },
                upstream.stallTimeoutMicros / 2,
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void pause(boolean paused) {
        lastReceivedAt = Upstream.now();
        channel.config().setAutoRead(!paused);
    }

    @Override
    public void cancel() {
        if (sink != null) {
            endStreaming();
            state.abandoned();
            close();
            response.clear();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        connectionLost();
    }
}
