package gorsemast.fleet;

import java.util.List;

/**
 * A datagram between two proxies, without its encoding.
 *
 * @param from who sent it
 * @param to whom it is meant for, null where only the address is known
 * @param sequence the question's number, repeated in what answers it; 0 where nothing is asked
 * @param address of {@code about}, for {@link Kind#PING_REQUEST}
 * @param about whom the sender of a {@link Kind#PING_REQUEST} has no answer from; whose {@link Kind#ACK} is passed on;
 *     else null
 * @param view a digest of the sender's view, to see from afar that two differ
 * @param buckets for {@link Kind#SYNC} a digest of each bucket; else one number, the buckets meant, as a bit mask
 * @param rumors what goes along
 */
public record Message(
        Kind kind,
        ProcessId from,
        ProcessId to,
        long sequence,
        String address,
        ProcessId about,
        long view,
        List<Long> buckets,
        List<Rumor> rumors) {
    /** What a datagram is for. */
    public enum Kind {
        /** Are you there? */
        PING,
        /** I am. */
        ACK,
        /** Ask another one for me. */
        PING_REQUEST,
        /** I asked, and have no answer yet: so that the asker learns that at least the two of us can talk. */
        NACK,
        /** Nothing but rumors. */
        GOSSIP,
        /** Digests of all that I know: tell me where we differ. */
        SYNC,
        /** What I know in the buckets in which we differ; tell me what you know there. */
        SYNC_REPLY,
        /** What I know there. */
        SYNC_REST
    }

    /**
     * A claim and who found it, which matters for suspicion: the more say so of themselves, the sooner it ends.
     *
     * @param witness the name of the process that has had no answer itself; its own for what it says of itself
     */
    public record Rumor(Claim claim, String witness) {
        int size() {
            return claim.size() + witness.length() + 2;
        }
    }
}
