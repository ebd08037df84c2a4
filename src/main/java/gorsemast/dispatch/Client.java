package gorsemast.dispatch;

import gorsemast.http.Passage;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/** Where a call's single final answer goes: one of these is called, once. On the event loop. */
public interface Client {
    /** A server's answer, whatever it says; only lent. */
    void answered(FullHttpResponse answer);

    /** Instead: an answer that is passed on as it comes. */
    Passage begins(HttpResponse head, long length, Passage.Flow flow);

    /** It has not run and will not: come back then; {@code sent} where an attempt has gone out. */
    void refused(long retryAfterMicros, boolean sent);

    /** Nothing is promised; {@code timeUp} where its time was over, {@code sent} where an attempt has gone out. */
    void failed(boolean timeUp, boolean sent);
}
