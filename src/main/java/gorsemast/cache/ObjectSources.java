package gorsemast.cache;

/**
 * What carries the requests of {@link FetchCoordinator} out. One thread; times in microseconds.
 *
 * @param <A> an answer that is no copy
 */
public interface ObjectSources<A> {
    /** Asks another edge. */
    void requestFromEdge(HomeRequest question, HomeResponseListener<A> ending);

    /** Asks a service's servers; false where there is no such service yet. */
    boolean requestFromServers(
            String service, ObjectRequest what, long asked, long giveUp, ServerResponseListener<A> ending);

    /** What a service's servers bear from all edges, a second. */
    double serverRatePerSecond(String service);

    /** Runs a task later, on the same thread. */
    void schedule(long micros, Runnable task);

    /** How many edges fetch its objects; as many as there are, or more, for all. */
    int fetcherCount(String service);
}
