package gorsemast.cache;

/**
 * What carries the requests of {@link Fetching} out. One thread; times in microseconds.
 *
 * @param <A> an answer that is no copy
 */
public interface ObjectSources<A> {
    /** Asks another edge. */
    void home(HomeQuestion question, HomeAnswer<A> ending);

    /** Asks a service's servers; false where there is no such service yet. */
    boolean servers(String service, WantedObject what, long asked, long giveUp, ServerAnswer<A> ending);

    /** What a service's servers bear from all edges, a second. */
    double perSecond(String service);

    /** Runs a task later, on the same thread. */
    void later(long micros, Runnable task);

    /** How many edges fetch its objects; as many as there are, or more, for all. */
    int fetchers(String service);
}
