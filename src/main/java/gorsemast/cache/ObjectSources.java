package gorsemast.cache;

/**
 * Carries out the requests of {@link FetchCoordinator}. Not thread-safe; times are in microseconds.
 *
 * @param <A> an answer that can't be cached
 */
public interface ObjectSources<A> {
    /** Sends a request to another edge. */
    void requestFromEdge(HomeRequest request, HomeResponseListener<A> listener);

    /** Sends a request to a service's servers; false if the service is not known yet. */
    boolean requestFromServers(
            String service, ObjectRequest object, long requestedAt, long deadline, ServerResponseListener<A> listener);

    /** How many requests per second a service's servers accept from all edges. */
    double serverRatePerSecond(String service);

    /** Runs a task later on the same thread. */
    void schedule(long micros, Runnable task);

    /** How many edges fetch the service's objects; the number of edges or more if all do. */
    int fetcherCount(String service);
}
