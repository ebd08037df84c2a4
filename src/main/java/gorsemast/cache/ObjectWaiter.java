package gorsemast.cache;

/**
 * Who waits for an object; one of these is called, once.
 *
 * @param <A> an answer that is no copy
 */
public interface ObjectWaiter<A> {
    /** It is here; {@code once} where it may be told to whoever asked by now but not be held. */
    void onResponse(CachedResponse copy, boolean once);

    /** An answer that is no copy: passed on as it is; only lent. */
    void onUncacheable(A answer);

    /** It can't be had now: come back then. */
    void onRefused(long retryAfterMicros);

    /** It can't be had, and nothing is known of when it can. */
    void onFailed();

    /** It is too long to be held, and has to be asked for without a copy. */
    void onTooLong();

    /** The time of the edge that asks is nearly over, and it is still being fetched: ask again. Clients are never told. */
    void onStillFetching();
}
