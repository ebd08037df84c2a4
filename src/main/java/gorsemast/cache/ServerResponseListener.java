package gorsemast.cache;

/**
 * Receives the outcome of a request to servers; exactly one method is called, once.
 *
 * @param <A> an answer that can't be cached
 */
public interface ServerResponseListener<A> {
    /** A complete response of a server. */
    void onResponse(CachedResponse response);

    /** An answer that can't be cached; the receiver does not own it. */
    void onUncacheable(A answer);

    /** A request was sent and was refused. */
    void onRefused(long retryAfterMicros);

    /** The request was refused or failed before anything was sent. */
    void onNotSent(long retryAfterMicros);

    /** A request was sent but brought no usable answer. */
    void onFailed();

    /** The server's response is too long to be cached. */
    void onTooLong();
}
