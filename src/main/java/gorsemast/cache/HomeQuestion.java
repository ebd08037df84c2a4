package gorsemast.cache;

/**
 * A question to another edge for an object. Times in microseconds.
 *
 * @param edge who is asked, by its address
 * @param hop whether as the object's home or as the edge that fetches for it: {@link Fetching#ASKED_AS_HOME} or
 *     {@link Fetching#ASKED_AS_FETCHER}
 * @param step the digest of the purges that this edge knows of; only who knows the same may hand a copy over
 * @param begun since when the object is being fetched here: a copy's age counts from then
 * @param patience it is silent when nothing of an answer has come for so long
 * @param giveUp when an answer that is still coming in is of no use any more
 */
public record HomeQuestion(String edge, WantedObject what, int hop, long step, long begun, long patience, long giveUp) {
    /** The same again, of an edge that is still fetching. */
    HomeQuestion again(long currentStep, long nextPatience) {
        return new HomeQuestion(edge, what, hop, currentStep, begun, nextPatience, giveUp);
    }
}
