package gorsemast.simulation;

/** Defects that can be planted round the decisions, to see that the referee finds each. */
public enum Plant {
    /** None. */
    NONE,
    /** A registry acknowledges drains and purges that only it knows of. */
    ACKS_ALONE,
    /** Half of the news that reaches an edge is lost, and no digest mends that. */
    MENDS_NOTHING,
    /** A store counts a save before it is on disk. */
    SAVED_TOO_EARLY,
    /** A store that is asked to leave ends at once, without a word. */
    LEAVES_AT_ONCE,
    /** An edge goes by the configuration that it is told last. */
    GOES_BACK,
    /** An edge sends to servers that leave. */
    SENDS_TO_LEAVING,
    /** An edge sends again what may have run. */
    REPEATS_ALL,
    /** An edge calls refused what may have run. */
    REFUSES_WHAT_RAN,
    /** An edge takes an answer that names nobody for the one that is due. */
    TAKES_NAMELESS_ANSWERS,
    /** An edge holds that what was reset has not run. */
    RESET_NEVER_RAN,
    /** Edges share no ceiling. */
    NO_CEILING,
    /** A registry tells its own copy of an order as what has the number. */
    PUBLISHES_ITS_OWN,
    /** A number that is taken by another content is acknowledged. */
    CONFLICT_SAYS_DONE,
    /** A registry acknowledges any content of a number that it knows of. */
    ACKS_ANY_CONTENT,
    /** A registry refuses a number that it knows of, also for the same content. */
    REFUSES_AGAIN,
    /** A registry tells edges its own order's content as that of the number, acknowledged or not. */
    TELLS_ITS_OWN,
    /** A registry answers reads by what it knows, however old. */
    READS_ALONE,
    /** A registry gives no answer to orders of some numbers. */
    ANSWERS_NOTHING,
    /** Edges of one zone never call themselves ready again after a start. */
    NEVER_READY,
    /** A store's new version reaches the disk's state and not its version. */
    STATE_WITHOUT_VERSION,
    /** A store leads on, and one stays backup, however long its disk ends nothing. */
    WAITS_FOR_ANY_DISK
}
