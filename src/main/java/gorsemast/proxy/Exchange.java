package gorsemast.proxy;

import gorsemast.admission.ConcurrencyLimiter;
import gorsemast.http.ResponseSink;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;

/** One request of a client, whole, and its one answer. On the event loop. */
interface Exchange {
    HttpMethod method();

    /** Path and query as they came. */
    String uri();

    HttpHeaders headers();

    /** Takes the body over; the taker owns it. */
    ByteBuf takeBody();

    /** When its last byte came, in the loop's microseconds. */
    long arrival();

    /** What is to be done when the client leaves before it has its answer. */
    void onLeave(Runnable task);

    /**
     * Asks for one of the places for requests that take time, unless its connection has one already. One of the two is run, at once or
     * within {@link ConcurrencyLimiter.Kind#maxWaitMicros}, unless its client leaves before.
     */
    void acquire(ConcurrencyLimiter.Kind kind, Runnable admitted, Runnable refused);

    /**
     * Answers; a second answer is let be.
     *
     * @param headers without lengths, which are set here; owned by the caller
     * @param body one reference, taken over
     */
    void answer(int status, HttpHeaders headers, ByteBuf body);

    /** Answers with an answer that is passed on as it comes. */
    ResponseSink begin(HttpResponse head, HttpHeaders headers, long length, ResponseSink.FlowControl flow);
}
