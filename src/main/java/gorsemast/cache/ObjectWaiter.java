package gorsemast.cache;

/**
 * Receives the outcome of a request for an object; exactly one method is called, once.
 *
 * @param <A> an answer that can't be cached
 */
public interface ObjectWaiter<A> {
    /**
     * The response is available; {@code purged} if a purge that came after this request has matched it, so that it
     * must not be cached.
     */
    void onResponse(CachedResponse response, boolean purged);

    /** An answer that can't be cached and is passed on unchanged; the receiver does not own it. */
    void onUncacheable(A answer);

    /** The object is not available now: retry after this time. */
    void onRefused(long retryAfterMicros);

    /** The object is not available, and it is unknown when it will be. */
    void onFailed();

    /** The object is too long to be cached and has to be requested directly. */
    void onTooLong();

    /**
     * The requesting edge's time is nearly over and the object is still being fetched: request it again. Never called
     * for clients.
     */
    void onStillFetching();

    /** Whether the outcome is still of use to the requester. */
    default boolean isWaiting() {
        return true;
    }
}
