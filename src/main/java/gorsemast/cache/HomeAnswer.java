package gorsemast.cache;

/**
 * How a question to another edge ended; one of these is called, once.
 *
 * @param <A> an answer that is no copy
 */
public interface HomeAnswer<A> {
    /** A copy that may be held here as well. */
    void copy(Copy copy);

    /** An answer that is no copy; only lent. */
    void other(A answer);

    /** It is not to be had there now: come back then. */
    void refused(long retryAfterMicros);

    /** It answered, with nothing to go by. */
    void useless();

    /** It is still fetching the object. */
    void inHand();

    /** It did not answer in time; {@code ours} where that was this edge's own doing. */
    void silent(boolean ours);
}
