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
 * One connection to a server; at most one attempt is on it. What comes is judged by {@link ConnectionState}; here that is
 * carried out over a socket. On the event loop.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> implements ResponseSink.FlowControl {
    private final Upstream upstream;
    private final Upstream.Peer node;
    private final Traffic passed;
    private final ConnectionState state = new ConnectionState();
    private final StrictHttp.Responses decoder = new StrictHttp.Responses();
    private RequestWriter writer;
    private Channel channel;
    private PendingAttempt attempt;
    private ScheduledFuture<?> idleLimit;
    private long idleMillis;
    /** Whether it was kept after an answer: that it is dead then says nothing of the node. */
    private boolean kept;

    private final ResponseBuffer answer = new ResponseBuffer();
    /** Who takes an answer that is too long to be kept. */
    private ResponseSink passage;

    private long lastPart;

    UpstreamConnection(Upstream upstream, Upstream.Peer node) {
        this.upstream = upstream;
        this.node = node;
        this.passed = upstream.passed(node.host());
        this.idleMillis = upstream.idleMillis;
    }

    /** When something of its attempt's answer came last; long ago where nothing has. */
    long lastPartAt() {
        return answer.isBegun() ? lastPart : Long.MIN_VALUE / 2;
    }

    // ---- coming up

    void open() {
        passed.connects++;
        passed.opening++;
        upstream.pools.connectStarted(Upstream.now(), node.host());
        long begun = System.nanoTime();
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
            passed.opening--;
            if (!done.isSuccess()) {
                // Also where no socket could be made: such a channel never reports that it is closed.
                passed.connectsFailed++;
                failed();
                return;
            }
            passed.open++;
            upstream.pools.connected(node.host());
            channel.closeFuture().addListener(closed -> {
                passed.open--;
                upstream.pools.closed(node.host());
                lost();
                replace();
            });
            long took = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - begun);
            passed.connectMicros += took;
            writer.tookMicros(took);
            offer(0);
        });
    }

    /** Opens another where one is wanted; who waits for this one would else wait for half of its time. */
    private void replace() {
        if (upstream.readiness.ready(node) && upstream.pools.shouldOpenSpare(Upstream.now(), node.host())) {
            new UpstreamConnection(upstream, node).open();
        }
        if (upstream.readiness.ready(node) && upstream.waits(node.host()) > 0) {
            upstream.grow(node);
        }
    }

    /**
     * A connect that fails while others are open says that the node has no room for more: whoever waits goes on waiting
     * for one of these. Else one of them has met a node that is not there, and those for whom nothing is coming up need
     * not wait to meet it too.
     */
    private void failed() {
        if (upstream.pools.connectFailed(Upstream.now(), node.host())) {
            PendingAttempt met = upstream.next(node.host());
            if (met != null) {
                met.end(Code.CONNECT_FAILED, CacheStatus.NONE, null);
            }
            while (upstream.waits(node.host()) > upstream.pools.connectingCount(node.host())) {
                upstream.next(node.host()).end(Code.NOT_SENT, CacheStatus.NONE, null);
            }
        }
        upstream.grow(node);
    }

    // ---- an attempt

    /** Whether the attempt on it may have run, as far as is known now. */
    boolean mayHaveRun() {
        return state.mayHaveRun();
    }

    void carry(PendingAttempt next) {
        stopIdling();
        String name = upstream.dialect.requestId(next.request);
        boolean alone = upstream.dialect.needsExclusiveConnection(next.request);
        if (!state.canCarry(name, alone)) {
            close();
            upstream.waitsFirst(next); // on another one
            return;
        }
        attempt = next;
        next.connection = this;
        state.carry(name, next.once, alone);
        upstream.pools.acquired(Upstream.now(), node.host());
        // The node may have begun to drain while the connection came up: the drain grace counts from the first byte
        // sent, and what is withheld has never run.
        if (!upstream.readiness.ready(node)) {
            next.end(Code.NOT_SENT, CacheStatus.NONE, null);
            return;
        }
        next.handedOver = true;
        decoder.answersHead(next.request.method().equals(HttpMethod.HEAD));
        boolean body = next.request.content().isReadable();
        boolean holds = next.once && (body || upstream.dialect.mayDropIdleEarly());
        writer.write(next.request, holds, () -> attempt == next, new RequestWriter.Sending() {
            @Override
            public void leaves() {
                state.lastByteSent();
            }

            @Override
            public void over(boolean left) {
                upstream.attemptsWritten += left ? 1 : 0;
                if (attempt != next) {
                    return;
                }
                if (left) {
                    state.lastByteSent();
                } else {
                    state.lastByteNotSent(); // the last byte never left, so a server can't have begun it
                    next.end(unsent(), CacheStatus.NONE, null);
                }
            }
        });
    }

    private Code unsent() {
        return state.mayHaveRun() ? Code.RESET : kept ? Code.NOT_SENT : Code.CONNECT_FAILED;
    }

    /** Its attempt has ended; {@code answered} with a whole answer, or else it is closed before anything follows. */
    void freed(boolean answered, boolean keepsAlive) {
        attempt = null;
        upstream.pools.released(node.host());
        if (answered ? state.completed(keepsAlive) : state.abandoned()) {
            keep();
        } else {
            close();
        }
    }

    /**
     * Free for the next attempt. One that waits has it, unless another connection is coming up for it: a node that closes
     * behind its answer is given the time to show it.
     */
    private void keep() {
        kept = true;
        offer(upstream.pools.connectingCount(node.host()));
    }

    /** Takes on who waits, if it is more than so many others will. */
    private void offer(int others) {
        boolean ready = upstream.readiness.ready(node);
        if (!channel.isActive() || !ready) {
            close();
            if (!ready) {
                upstream.closeIdle(node.host()); // and ends those that wait for it
            }
            upstream.grow(node);
            return;
        }
        if (upstream.waits(node.host()) > others) {
            carry(upstream.next(node.host()));
            return;
        }
        kept = true;
        upstream.idles(node.host(), this);
        idleLimit = upstream.loop.schedule(this::close, idleMillis, TimeUnit.MILLISECONDS);
    }

    private void stopIdling() {
        if (idleLimit != null) {
            idleLimit.cancel(false);
            idleLimit = null;
        }
    }

    void close() {
        upstream.idlesNoMore(node.host(), this);
        stopIdling();
        state.connectionClosed();
        channel.close();
    }

    /** Nothing more comes that could be trusted. */
    private void lost() {
        PendingAttempt out = attempt;
        if (state.isWhole()) {
            state.connectionClosed();
            conclude();
        }
        close();
        answer.clear();
        if (passage != null) {
            ResponseSink cut = passage;
            passage = null;
            upstream.pools.released(node.host());
            cut.aborted();
        }
        if (out != null) {
            out.end(unsent(), CacheStatus.NONE, null);
        }
    }

    // ---- an answer

    /**
     * Takes an answer, which ends its attempt only when the read is done: a second copy or noise may follow at once, and
     * would answer whatever is sent on this connection next.
     */
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (message instanceof HttpResponse start) {
            begin(start);
        }
        if (message instanceof HttpContent part) {
            add(part);
        }
    }

    private void begin(HttpResponse start) {
        lastPart = Upstream.now();
        // One that only the connection's end would mark as whole comes to its end after closeFuture, when its attempt
        // has
        // ended as a reset: it might have been cut anywhere.
        boolean noHttp =
                start.decoderResult().isFailure() || start.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
        if (noHttp && !state.isAnswering()) {
            lost();
            return;
        }
        Code code = upstream.dialect.code(start);
        ConnectionState.Disposition take = state.head(
                attempt == null ? ResponseMatch.UNIDENTIFIED : upstream.dialect.match(attempt.request, start),
                start.status().codeClass() == HttpStatusClass.INFORMATIONAL,
                !code.mayHaveRun,
                code == Code.OK);
        if (take == ConnectionState.Disposition.BROKEN) {
            lost();
        } else if (take == ConnectionState.Disposition.OWN && !answer.begin(start)) {
            lost();
        }
    }

    private void add(HttpContent part) {
        ConnectionState.Disposition take = state.part(part instanceof LastHttpContent);
        if (take == ConnectionState.Disposition.SURPLUS && part.decoderResult().isFailure() && !state.isAnswering()) {
            lost();
        }
        if (take != ConnectionState.Disposition.OWN) {
            return;
        }
        if (part.decoderResult().isFailure() || !answer.counts(part.content().readableBytes())) {
            state.unreadable();
            lost();
            return;
        }
        // Not before its first byte: until then the whole of it can be had elsewhere if this one breaks.
        int most = attempt == null ? Upstream.MAX_BUFFERED_BYTES : attempt.most;
        if (passage == null && answer.exceeds(most, part.content().isReadable()) && !(answer.isFramed() && pass())) {
            state.unreadable();
            lost(); // no answer of ours, or one whose end could not be told from a cut, or nobody wants it any more
            return;
        }
        lastPart = Upstream.now();
        if (passage == null) {
            answer.add(channel.alloc(), part.content());
        } else if (part.content().isReadable()) {
            passage.part(part.content());
        }
        if (state.isWhole() && passage != null) { // its taker may have left within this part
            ResponseSink over = passage;
            passage = null;
            upstream.pools.released(node.host());
            over.completed();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        ConnectionState.ReadOutcome done = state.readDone(!decoder.empty());
        if (done == ConnectionState.ReadOutcome.WHOLE) {
            conclude();
        } else if (done == ConnectionState.ReadOutcome.CLOSE) {
            lost();
        }
    }

    private void conclude() {
        FullHttpResponse whole = answer.take();
        long said = upstream.dialect.keepAliveMillis(whole);
        idleMillis = said < 0 ? idleMillis : Math.min(upstream.idleMillis, said / Upstream.IDLE_PART);
        try {
            if (attempt != null) {
                attempt.end(upstream.dialect.code(whole), upstream.dialect.note(whole), whole);
            } else if (state.completed(HttpUtil.isKeepAlive(whole))) { // it was passed on
                channel.config().setAutoRead(true);
                keep();
            } else {
                close();
            }
        } finally {
            whole.release();
        }
    }

    // ---- an answer that is passed on

    /** Passes the answer on from here, where it is one and somebody wants it. */
    private boolean pass() {
        if (upstream.dialect.code(answer.head()) != Code.OK || attempt == null) {
            return false;
        }
        PendingAttempt over = attempt;
        attempt = null;
        state.startStreaming();
        passage = over.begin(upstream.dialect.note(answer.head()), answer.head(), answer.length(), this);
        if (passage == null) {
            upstream.pools.released(node.host());
            return false;
        }
        lastPart = Upstream.now();
        watch();
        answer.giveTo(passage);
        return true;
    }

    private void watch() {
        upstream.loop.schedule(
                () -> {
                    boolean silent = Upstream.now() - lastPart > upstream.stalledMicros;
                    if (passage != null && channel.config().isAutoRead() && silent) {
                        lost();
                    } else if (passage != null) {
                        watch();
                    }
                },
                upstream.stalledMicros / 2,
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void pause(boolean paused) {
        lastPart = Upstream.now();
        channel.config().setAutoRead(!paused);
    }

    @Override
    public void cancel() {
        if (passage != null) {
            passage = null;
            upstream.pools.released(node.host());
            state.abandoned();
            close();
            answer.clear();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        lost();
    }
}
