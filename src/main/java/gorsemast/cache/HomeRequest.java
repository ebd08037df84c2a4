package gorsemast.cache;

/**
 * A question to another edge for an object. Times in microseconds.
 *
 * @param edge who is asked, by its address
 * @param hop whether as the object's home or as the edge that fetches for it: {@link FetchCoordinator#HOP_HOME} or
 *     {@link FetchCoordinator#HOP_FETCHER}
 * @param purgeDigest the digest of the purges that this edge knows of; only who knows the same may hand a copy over
 * @param fetchStartedAt since when the object is being fetched here: a copy's age counts from then
 * @param responseTimeout it is silent when nothing of an answer has come for so long
 * @param deadline when an answer that is still coming in is of no use any more
 */
public record HomeRequest(
        String edge,
        ObjectRequest object,
        int hop,
        long purgeDigest,
        long fetchStartedAt,
        long responseTimeout,
        long deadline) {
    /** The same again, of an edge that is still fetching. */
    HomeRequest retry(long currentStep, long nextPatience) {
        return new HomeRequest(edge, object, hop, currentStep, fetchStartedAt, nextPatience, deadline);
    }
}
