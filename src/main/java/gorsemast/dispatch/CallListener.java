package gorsemast.dispatch;

import gorsemast.http.ResponseSink;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/** Where a call's single final answer goes: one of these is called, once. On the event loop. */
public interface CallListener {
    /** A server's answer, whatever it says; only lent. */
    void onAnswer(FullHttpResponse answer);

    /** Instead: an answer that is passed on as it comes. */
    ResponseSink onStreamStart(HttpResponse head, long length, ResponseSink.FlowControl flow);

    /** It has not run and will not: come back then; {@code sent} where an attempt has gone out. */
    void onRefused(long retryAfterMicros, boolean sent);

    /** Nothing is promised; {@code timeUp} where its time was over, {@code sent} where an attempt has gone out. */
    void onFailed(boolean timeUp, boolean sent);
}
