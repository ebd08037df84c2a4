package gorsemast.cache;

/**
 * A request that waits for a fetch of its object.
 *
 * @param hop who requests the object, as in {@link FetchCoordinator#request}
 * @param deadline until when the object is of use, in microseconds
 * @param arrivedAt when the request came, in microseconds
 * @param purgeNumber the last purge that this edge had applied when the request came, as numbered by {@link
 *     ResponseCache}
 * @param waiter receives the outcome
 * @param <A> an answer that can't be cached
 */
record PendingRequest<A>(
        ObjectRequest object, int hop, long deadline, long arrivedAt, long purgeNumber, ObjectWaiter<A> waiter) {}
