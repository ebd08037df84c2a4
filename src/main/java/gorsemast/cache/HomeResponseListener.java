package gorsemast.cache;

/**
 * Receives the outcome of a request to another edge; exactly one method is called, once.
 *
 * @param <A> an answer that can't be cached
 */
public interface HomeResponseListener<A> {
    /** The response, which may be cached here as well. */
    void onResponse(CachedResponse response);

    /** An answer that can't be cached; the receiver does not own it. */
    void onUncacheable(A answer);

    /** The object is not available there now: retry after this time. */
    void onRefused(long retryAfterMicros);

    /** It answered, but the answer can't be used. */
    void onUnusable();

    /** It is still fetching the object. */
    void onStillFetching();

    /** It did not answer in time; {@code localCause} if this edge itself was the reason. */
    void onSilent(boolean localCause);
}
