package gorsemast.dispatch;

import gorsemast.http.ResponseSink;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/** Receives a call's single final answer; exactly one method is called, once, on the event loop. */
public interface CallListener {
    /** A server's complete answer with any status; the receiver does not own it. */
    void onAnswer(FullHttpResponse answer);

    /** An answer that is streamed as it arrives. */
    ResponseSink onStreamStart(HttpResponse head, long length, ResponseSink.FlowControl flow);

    /** The call was not executed and will not be: retry after this time; {@code sent} if an attempt was sent. */
    void onRefused(long retryAfterMicros, boolean sent);

    /** No promise is made; {@code timeUp} if the call timed out, {@code sent} if an attempt was sent. */
    void onFailed(boolean timeUp, boolean sent);
}
