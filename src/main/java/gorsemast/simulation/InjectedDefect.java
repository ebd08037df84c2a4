package gorsemast.simulation;

/** Defects that can be injected around the decision code to verify that the checkers detect each. */
public enum InjectedDefect {
    /** None. */
    NONE,
    /** A registry acknowledges drains and purges that only it knows of. */
    ACKS_ALONE,
    /** Half of the updates that reach an edge are lost, and no digest repairs that. */
    MENDS_NOTHING,
    /** A store counts a save before it is on disk. */
    SAVED_TOO_EARLY,
    /** A store that is asked to leave ends at once without a handover. */
    LEAVES_AT_ONCE,
    /** An edge sometimes applies the configuration before the newest. */
    GOES_BACK,
    /** An edge sends to servers that leave. */
    SENDS_TO_LEAVING,
    /** An edge retries what may have run. */
    REPEATS_ALL,
    /** An edge reports as refused what may have run. */
    REFUSES_WHAT_RAN,
    /** An edge accepts an answer without an id as the one that is due. */
    TAKES_NAMELESS_ANSWERS,
    /** An edge assumes that a request has not run if its connection was reset. */
    RESET_NEVER_RAN,
    /** Edges do not enforce the shared rate limit. */
    NO_CEILING,
    /** A registry publishes the content it was sent as the one in force under the number. */
    PUBLISHES_ITS_OWN,
    /** An update is acknowledged although another content has its number. */
    CONFLICT_SAYS_DONE,
    /** A registry acknowledges any content of a number that it knows of. */
    ACKS_ANY_CONTENT,
    /** A registry refuses a number that it knows of, also for the same content. */
    REFUSES_AGAIN,
    /** A registry sends edges the content it was sent under a number, acknowledged or not. */
    TELLS_ITS_OWN,
    /** A registry answers reads from its own state, however old. */
    READS_ALONE,
    /** A registry does not answer updates with some numbers. */
    ANSWERS_NOTHING,
    /** Edges of one zone never report ready again after a restart. */
    NEVER_READY,
    /** A store's new version updates the state on disk but not the stored version. */
    STATE_WITHOUT_VERSION,
    /** A store remains primary or backup however long its disk completes no write. */
    WAITS_FOR_ANY_DISK
}
