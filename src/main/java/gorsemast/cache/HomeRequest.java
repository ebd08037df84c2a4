package gorsemast.cache;

/**
 * A request for an object to another edge. Times are in microseconds.
 *
 * @param edge address of the edge that is asked
 * @param hop whether it is asked as the object's home or as a fetcher: {@link FetchCoordinator#HOP_HOME} or {@link
 *     FetchCoordinator#HOP_FETCHER}
 * @param purgeDigest digest of the purges that this edge knows of; only an edge that knows the same may send a
 *     response
 * @param fetchStartedAt when the fetch started here: the age of a response counts from then
 * @param responseTimeout the edge counts as silent if no part of an answer has arrived for this long
 * @param deadline after which an answer that is still arriving is useless
 */
public record HomeRequest(
        String edge,
        ObjectRequest object,
        int hop,
        long purgeDigest,
        long fetchStartedAt,
        long responseTimeout,
        long deadline) {
    /** The same request again, to an edge that is still fetching. */
    HomeRequest retry(long currentPurgeDigest, long nextTimeout) {
        return new HomeRequest(edge, object, hop, currentPurgeDigest, fetchStartedAt, nextTimeout, deadline);
    }
}
