package gorsemast.cache;

/**
 * How a request to servers ended; one of these is called, once.
 *
 * @param <A> an answer that is no copy
 */
public interface ServerAnswer<A> {
    /** A server's whole answer. */
    void copy(Copy copy);

    /** An answer that is no copy; only lent. */
    void other(A answer);

    /** Something was sent, and was turned away. */
    void refused(long retryAfterMicros);

    /** Refused or failed before anything was sent. */
    void notSent(long retryAfterMicros);

    /** Something was sent, and nothing came of it. */
    void failed();

    /** A server's answer is too long to be held. */
    void tooLong();
}
