package gorsemast.modelcheck;

/** Defects that can be injected between the members' decision code and its environment to verify that the checker detects each. */
public enum StoreDefect {
    /** None. */
    NONE,
    /** A save counts before it is on disk. */
    SAVED_TOO_EARLY,
    /** A replaced empty disk keeps the old member's id. */
    WIPED_KEEPS_ITS_NAME,
    /** A voter does not hand over its stored version. */
    VOTE_WITHOUT_KEPT,
    /** A backup is installed without the version that the term begins with. */
    INSTALL_WITHOUT_KEPT,
    /** The primary acknowledges with no backup. */
    NO_BACKUP,
    /** Every refusal reaches the candidate as a vote. */
    REFUSAL_COUNTS_AS_VOTE,
    /** A backup's acknowledgement of a version arrives although the version was lost in transit. */
    COPIED_WITHOUT_COPY,
    /** A confirmation of the term arrives although no backup sent it. */
    CONFIRMED_BY_NOBODY,
    /** Half of the members is enough. */
    VIEW_OF_ONE,
    /** A disk that lost power reverts to the save before the last. */
    DISK_FORGETS_THE_LAST,
    /** A backup answers the primary of a superseded term. */
    ANSWERS_ANY_TERM,
    /** Requests of a term are accepted in any term. */
    TERMS_IGNORED,
    /** An update is acknowledged although another content has its number. */
    CONFLICT_SAYS_DONE,
    /** An update is refused before the backups have confirmed the content that has its number. */
    CONFLICT_BEFORE_THE_ROUND,
    /** The version handed over at a take-over lacks the history of earlier numbers. */
    NUMBERS_FORGOTTEN,
    /** A configuration keeps the term in which it was first taken, whichever term acknowledges it. */
    FIRST_TERM_STAYS,
    /** A starting store advertises its stored version, though a later term may have refused it. */
    TELLS_WHAT_IT_HOLDS,
    /** A new version updates the state on disk but not the stored version. */
    STATE_WITHOUT_VERSION,
    /** A version torn by a power loss is accepted as complete. */
    TORN_TAKEN_FOR_WHOLE,
    /** The directory entry is lost with power though the file was synced. */
    FOLDER_NOT_SYNCED,
    /** A resuming primary treats its pending update as acknowledged in its old term. */
    WAKES_AND_ACKNOWLEDGES,
    /** A member remains primary or backup however long its disk completes no write. */
    WAITS_FOR_ANY_DISK,
    /** A member that is asked to leave ends before its successor holds any data. */
    LEAVES_AT_ONCE,
    /** A joining machine counts as a replica and a voter before it holds any data. */
    JOINS_EMPTY,
    /** A membership change completes when the backups know of it, while a majority still uses the old list. */
    CHANGES_OVERLAP,
    /** Backups and members are placed as if all machines were in one zone. */
    ZONES_UNKNOWN,
    /** A non-member votes in the name of a member that is down. */
    OUTSIDER_VOTES
}
