package gorsemast.cache;

/**
 * How a question to another edge ended; one of these is called, once.
 *
 * @param <A> an answer that is no copy
 */
public interface HomeResponseListener<A> {
    /** A copy that may be held here as well. */
    void copy(CachedResponse copy);

    /** An answer that is no copy; only lent. */
    void onUncacheable(A answer);

    /** It is not to be had there now: come back then. */
    void onRefused(long retryAfterMicros);

    /** It answered, with nothing to go by. */
    void onUnusable();

    /** It is still fetching the object. */
    void onStillFetching();

    /** It did not answer in time; {@code ours} where that was this edge's own doing. */
    void onSilent(boolean ours);
}
