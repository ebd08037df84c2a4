package gorsemast.http;

import anisebend.Balancer.CacheStatus;
import anisebend.Balancer.Code;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * An attempt that waits for a connection, is assigned to one, or has ended; it ends exactly once. Runs on the event
 * loop.
 */
final class PendingAttempt implements Upstream.Attempt {
    final Upstream.Peer node;
    final FullHttpRequest request;
    /** Whether the request may run at most once. */
    final boolean atMostOnce;
    /** Longest response body that is buffered, in bytes. */
    final int bufferLimit;

    private final Upstream upstream;
    private final Upstream.AttemptListener listener;
    private final Traffic traffic;
    private final long startedAtNanos = System.nanoTime();
    ScheduledFuture<?> timeout;
    UpstreamConnection connection;
    /** Whether the connection owns the request's reference. */
    boolean handedOver;

    private boolean ended;
    /** Latest end of the attempt while its response arrives, as {@link Upstream#now}. */
    private long deadline = Long.MIN_VALUE;

    private long idleTimeoutMicros;

    PendingAttempt(
            Upstream upstream,
            Upstream.Peer node,
            FullHttpRequest request,
            boolean atMostOnce,
            int bufferLimit,
            Upstream.AttemptListener listener) {
        this.upstream = upstream;
        this.node = node;
        this.request = request;
        this.atMostOnce = atMostOnce;
        this.bufferLimit = bufferLimit;
        this.listener = listener;
        this.traffic = upstream.trafficOf(node.host());
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

    /** The attempt has waited long enough for a connection: the caller may choose another server. */
    void giveUpWaiting() {
        if (connection == null && upstream.pools.openCount(node.host()) > 0) {
            end(Code.NOT_SENT, CacheStatus.NONE, null);
        }
    }

    /** Restarts the timeout with each part of the response, up to a deadline. */
    void extendWhileReceiving(long timeoutMicros, long deadlineMicros) {
        idleTimeoutMicros = timeoutMicros;
        deadline = deadlineMicros;
    }

    /** Ends the attempt, unless its response is still arriving. */
    void timeoutReached() {
        long now = Upstream.now();
        long next = connection == null ? now : Math.min(deadline, connection.lastReceivedAt() + idleTimeoutMicros);
        if (next > now) {
            timeout = upstream.loop.schedule(this::timeoutReached, next - now, TimeUnit.MICROSECONDS);
        } else {
            expire();
        }
    }

    /** Ends the attempt. Waiting for a connection to a node that has accepted others says nothing about the node. */
    private void expire() {
        boolean hasWaited = connection == null && upstream.pools.openCount(node.host()) > 0;
        end(mayHaveRun() ? Code.TIMEOUT : hasWaited ? Code.NOT_SENT : Code.CONNECT_FAILED, CacheStatus.NONE, null);
    }

    /** Ends the attempt with a response that is too long to be buffered; the connection goes on streaming it. */
    ResponseSink startStreaming(CacheStatus note, HttpResponse head, long length, ResponseSink.FlowControl flow) {
        ended = true;
        traffic.ended[Code.OK.ordinal()]++;
        traffic.okMicros += TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startedAtNanos);
        timeout.cancel(false);
        return listener.streaming(note, head, length, flow);
    }

    /**
     * Ends the attempt. Only a complete response frees the connection; every other ending closes it before another
     * attempt uses it.
     */
    void end(Code code, CacheStatus note, FullHttpResponse answer) {
        if (ended) {
            return;
        }
        ended = true;
        traffic.ended[code.ordinal()]++;
        if (code == Code.OK) {
            traffic.okMicros += TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startedAtNanos);
        }
        timeout.cancel(false);
        if (connection != null) {
            connection.attemptEnded(answer != null, answer != null && HttpUtil.isKeepAlive(answer));
        }
        if (!handedOver) {
            request.release();
        }
        listener.ended(code, note, answer);
    }
}
