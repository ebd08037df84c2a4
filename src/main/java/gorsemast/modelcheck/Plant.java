package gorsemast.modelcheck;

/** Defects that can be planted between the members' decisions and the world, to see that the referee finds each. */
public enum Plant {
    /** None. */
    NONE,
    /** A save counts before it is on disk. */
    SAVED_TOO_EARLY,
    /** A lost disk comes back with the old member's name. */
    WIPED_KEEPS_ITS_NAME,
    /** A voter does not hand over what it holds. */
    VOTE_WITHOUT_KEPT,
    /** A backup is installed without what the term begins with. */
    INSTALL_WITHOUT_KEPT,
    /** The primary acknowledges with no backup. */
    NO_BACKUP,
    /** Every refusal reaches the candidate as a vote. */
    REFUSAL_COUNTS_AS_VOTE,
    /** A backup's word that it holds a version comes although the version was lost on the way. */
    COPIED_WITHOUT_COPY,
    /** A backup's word that the term still stands comes from nobody. */
    CONFIRMED_BY_NOBODY,
    /** Half of the members is enough. */
    VIEW_OF_ONE,
    /** A disk that lost power has what it held one save earlier. */
    DISK_FORGETS_THE_LAST,
    /** A backup answers the primary of a term that it has given up. */
    ANSWERS_ANY_TERM,
    /** What is asked for by term is taken in any term. */
    TERMS_IGNORED,
    /** A number that is taken by another content is acknowledged. */
    CONFLICT_SAYS_DONE,
    /** An order is refused before the backups have said that what has its number holds. */
    CONFLICT_BEFORE_THE_ROUND,
    /** What is handed over at a take-over has no numbers but its own. */
    NUMBERS_FORGOTTEN,
    /** A configuration keeps the term in which it was first taken, whichever term acknowledges it. */
    FIRST_TERM_STAYS,
    /** A store that starts tells what it holds, though a later term may have refused it. */
    TELLS_WHAT_IT_HOLDS,
    /** A new version reaches the disk's state and not its version. */
    STATE_WITHOUT_VERSION,
    /** A version that power has cut while it was written is taken for a whole one. */
    TORN_TAKEN_FOR_WHOLE,
    /** A file's name is not on the disk when power is lost, though the file is. */
    FOLDER_NOT_SYNCED,
    /** A primary that wakes takes the order that it has in hand for done in its old term. */
    WAKES_AND_ACKNOWLEDGES,
    /** A primary leads on, and a backup stays one, however long its disk ends nothing. */
    WAITS_FOR_ANY_DISK,
    /** A member that is asked to leave ends before its successor holds anything. */
    LEAVES_AT_ONCE,
    /** A machine that is taken in counts as a copy, and as a voter, before it holds anything. */
    JOINS_EMPTY,
    /** A change of members is over when backups know of it, while more than half of the members go by the old list. */
    CHANGES_OVERLAP,
    /** Copies and members are placed as though all machines stood in one zone. */
    ZONES_UNKNOWN,
    /** A machine that is no member votes in the name of a member that is down. */
    OUTSIDER_VOTES
}
