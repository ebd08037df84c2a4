package gorsemast.http;

import anisebend.Balancer.CacheStatus;
import anisebend.Balancer.Code;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** One attempt: waiting for a connection, on one, or ended. It ends once. On the event loop. */
final class PendingAttempt implements Upstream.Attempt {
    final Upstream.Peer node;
    final FullHttpRequest request;
    /** Whether it may run once at most. */
    final boolean once;
    /** Up to how many bytes its answer is kept whole. */
    final int most;

    private final Upstream upstream;
    private final Upstream.AttemptListener ending;
    private final Traffic passed;
    private final long begunNanos = System.nanoTime();
    ScheduledFuture<?> limit;
    UpstreamConnection connection;
    /** The request's reference has gone to the connection. */
    boolean handedOver;

    private boolean ended;
    /** While its answer comes in, it is given up at this time of {@link Upstream#now}. */
    private long lastAt = Long.MIN_VALUE;

    private long patience;

    PendingAttempt(
            Upstream upstream,
            Upstream.Peer node,
            FullHttpRequest request,
            boolean once,
            int most,
            Upstream.AttemptListener ending) {
        this.upstream = upstream;
        this.node = node;
        this.request = request;
        this.once = once;
        this.most = most;
        this.ending = ending;
        this.passed = upstream.passed(node.host());
    }

    boolean isEnded() {
        return ended;
    }

    private boolean mayHaveRun() {
        return connection != null && connection.mayHaveRun();
    }

    @Override
    public void cancel() {
        end(mayHaveRun() ? Code.CANCELLED : Code.NOT_SENT, CacheStatus.NONE, null);
    }

    /** It has waited long enough for a connection: whoever chose the server may choose another. */
    void tire() {
        if (connection == null && upstream.pools.openCount(node.host()) > 0) {
            end(Code.NOT_SENT, CacheStatus.NONE, null);
        }
    }

    /** From now on its time begins anew with each part of its answer, up to then. */
    void goesOnWhileItComes(long patienceMicros, long lastAtMicros) {
        patience = patienceMicros;
        lastAt = lastAtMicros;
    }

    /** Its time is over, unless its answer is coming in. */
    void limited() {
        long now = Upstream.now();
        long next = connection == null ? now : Math.min(lastAt, connection.lastPartAt() + patience);
        if (next > now) {
            limit = upstream.loop.schedule(this::limited, next - now, TimeUnit.MICROSECONDS);
        } else {
            expire();
        }
    }

    /** Its time is over. Waiting for a place at a node that has let others in says nothing of it. */
    private void expire() {
        boolean waited = connection == null && upstream.pools.openCount(node.host()) > 0;
        end(mayHaveRun() ? Code.TIMEOUT : waited ? Code.NOT_SENT : Code.CONNECT_FAILED, CacheStatus.NONE, null);
    }

    /** Its answer is too long to be kept: ends here, and the connection goes on. */
    ResponseSink begin(CacheStatus note, HttpResponse head, long length, ResponseSink.FlowControl flow) {
        ended = true;
        passed.ended[Code.OK.ordinal()]++;
        passed.okMicros += TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - begunNanos);
        limit.cancel(false);
        return ending.streaming(note, head, length, flow);
    }

    /** Only a whole answer frees the connection; every other ending closes it, before anything follows. */
    void end(Code code, CacheStatus note, FullHttpResponse answer) {
        if (ended) {
            return;
        }
        ended = true;
        passed.ended[code.ordinal()]++;
        if (code == Code.OK) {
            passed.okMicros += TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - begunNanos);
        }
        limit.cancel(false);
        if (connection != null) {
            connection.freed(answer != null, answer != null && HttpUtil.isKeepAlive(answer));
        }
        if (!handedOver) {
            request.release();
        }
        ending.ended(code, note, answer);
    }
}
