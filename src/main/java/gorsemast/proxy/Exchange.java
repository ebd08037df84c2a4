package gorsemast.proxy;

import gorsemast.admission.ConcurrencyLimiter;
import gorsemast.http.ResponseSink;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;

/** A complete client request and its single response. Runs on the event loop. */
interface Exchange {
    HttpMethod method();

    /** Path and query as received. */
    String uri();

    HttpHeaders headers();

    /** Transfers the body to the caller, who must release it. */
    ByteBuf takeBody();

    /** When the last byte of the request arrived, in microseconds of the loop's clock. */
    long arrivedAt();

    /** Sets the task to run if the client disconnects before its response. */
    void onDisconnect(Runnable task);

    /**
     * Acquires a concurrency slot, unless the connection already holds one. One of the callbacks is run, now or
     * within {@link ConcurrencyLimiter.Kind#maxWaitMicros}, unless the client disconnects before.
     */
    void acquire(ConcurrencyLimiter.Kind kind, Runnable admitted, Runnable refused);

    /**
     * Sends the response; a second one is ignored.
     *
     * @param headers without lengths, which are set here; owned by the caller
     * @param body one reference, taken over
     */
    void respond(int status, HttpHeaders headers, ByteBuf body);

    /** Starts a response that is streamed as it arrives. Returns null if there is no client to receive it. */
    ResponseSink startStreaming(HttpResponse head, HttpHeaders headers, long length, ResponseSink.FlowControl flow);
}
