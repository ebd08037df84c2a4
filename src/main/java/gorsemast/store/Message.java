package gorsemast.store;

/**
 * A message between two replicas of the store; written to a link by {@link MessageCodec}. Values; any thread.
 *
 * <p>Messages of one term of the primary carry that term; a receiver that has promised a later one drops them.
 */
public sealed interface Message {
    /** The member that says it. */
    Member from();

    /**
     * A sign of life.
     *
     * @param promised the highest term that the sender has promised
     * @param viewTerm the term of the sender's view
     * @param primary whether the sender acknowledges orders now
     * @param settledTerm the term of the last view without an old list of members that is on the sender's disk
     * @param leaving whether its process was asked to end and waits for a successor
     * @param location where it stands
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

    /** The sender's process was asked to end: a primary is followed at once, a member replaced by a spare. */
    record Leave(Member from) implements Message {}

    /**
     * A candidate asks for the vote of a term.
     *
     * @param viewTerm the term of the candidate's view; voters with a later view refuse
     * @param stored what the candidate holds, without its body
     */
    record RequestVote(Member from, long term, long viewTerm, StoredVersion stored) implements Message {}

    /**
     * A vote, sent once the promise is on the voter's disk.
     *
     * @param newer what the voter holds where the candidate lacks some of it, without the body where only numbers are
     *              lacking; else null
     */
    record Vote(Member from, long term, StoredVersion newer) implements Message {}

    /**
     * A refused vote.
     *
     * @param promised the highest term that the sender has promised
     * @param view the sender's view, from which a member with an older one learns
     */
    record VoteRefused(Member from, long promised, View view) implements Message {}

    /** The elected primary to a backup: the view of its term and the newest version that any voter held. */
    record Install(Member from, long term, View view, StoredVersion stored) implements Message {}

    /** View and version of an {@link Install} are on the backup's disk. */
    record InstallAck(Member from, long term) implements Message {}

    /** The view of the primary's term, for witnesses and for members that were away. */
    record ViewChange(Member from, View view) implements Message {}

    /** The primary to a backup: a new version, with the numbers taken since the last. {@code round} numbers calls. */
    record Append(Member from, long term, long round, StoredVersion stored) implements Message {}

    /** The version of an {@link Append} is on the backup's disk. */
    record AppendAck(Member from, long term, long round) implements Message {}

    /** The primary to a backup: does the backup know of no later term? */
    record Confirm(Member from, long term, long round) implements Message {}

    /** The backup knows of no term later than that of the {@link Confirm}. */
    record ConfirmAck(Member from, long term, long round) implements Message {}
}
