package gorsemast.store;

/**
 * A message between two replicas of the store, encoded by {@link MessageCodec}.
 *
 * <p>Messages within one term carry that term; a receiver that has promised a later one drops them.
 */
public sealed interface Message {
    /** Returns the sender. */
    Member from();

    /**
     * A periodic sign of life.
     *
     * @param promised the highest term that the sender has promised
     * @param viewTerm the term of the sender's view
     * @param settledTerm the term of the last view on the sender's disk that is not joint
     * @param primary whether the sender acknowledges updates now
     * @param leaving whether its process was asked to end and waits for a successor
     * @param location where its machine is
     */
    record Heartbeat(
            Member from,
            long promised,
            long viewTerm,
            long settledTerm,
            boolean primary,
            boolean leaving,
            Location location)
            implements Message {}

    /** The sender's process was asked to end: a primary is succeeded at once, a member replaced by a spare. */
    record Leave(Member from) implements Message {}

    /**
     * A candidate's request for votes.
     *
     * @param viewTerm the term of the candidate's view; voters with a later view refuse
     * @param stored what the candidate stores, without the body
     */
    record RequestVote(Member from, long term, long viewTerm, StoredVersion stored) implements Message {}

    /**
     * A vote, sent once the promise is on the voter's disk.
     *
     * @param newer what the voter stores where the candidate lacks part of it, without the body where only history
     *     entries are missing; else null
     */
    record Vote(Member from, long term, StoredVersion newer) implements Message {}

    /**
     * A refused vote.
     *
     * @param promised the highest term that the sender has promised
     * @param view the sender's view, which a member with an older one adopts
     */
    record VoteRefused(Member from, long promised, View view) implements Message {}

    /** Sent by the elected primary to a backup: the view of its term and the newest version that any voter stored. */
    record Install(Member from, long term, View view, StoredVersion stored) implements Message {}

    /** The view and version of an {@link Install} are on the backup's disk. */
    record InstallAck(Member from, long term) implements Message {}

    /** The view of the primary's term, for witnesses and for members that were away. */
    record ViewChange(Member from, View view) implements Message {}

    /**
     * Sent by the primary to a backup: a new version, with the history entries since the last; {@code round} numbers
     * the calls.
     */
    record Append(Member from, long term, long round, StoredVersion stored) implements Message {}

    /** The version of an {@link Append} is on the backup's disk. */
    record AppendAck(Member from, long term, long round) implements Message {}

    /** Sent by the primary to a backup to ask whether that knows of no later term. */
    record Confirm(Member from, long term, long round) implements Message {}

    /** Confirms that the backup knows of no term later than that of the {@link Confirm}. */
    record ConfirmAck(Member from, long term, long round) implements Message {}
}
