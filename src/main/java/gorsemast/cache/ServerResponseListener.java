package gorsemast.cache;

/**
 * How a request to servers ended; one of these is called, once.
 *
 * @param <A> an answer that is no copy
 */
public interface ServerResponseListener<A> {
    /** A server's whole answer. */
    void copy(CachedResponse copy);

    /** An answer that is no copy; only lent. */
    void onUncacheable(A answer);

    /** Something was sent, and was turned away. */
    void onRefused(long retryAfterMicros);

    /** Refused or failed before anything was sent. */
    void onNotSent(long retryAfterMicros);

    /** Something was sent, and nothing came of it. */
    void onFailed();

    /** A server's answer is too long to be held. */
    void onTooLong();
}
