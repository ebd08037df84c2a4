package gorsemast.modelcheck;

/** Defects that can be injected between the registries' decision code and its environment to verify that the check detects each. */
public enum RegistryDefect {
    /** None. */
    NONE,
    /** An isolated registry is answered all the same: its lease never expires. */
    LEASE_NEVER_LAPSES,
    /** A lease starts when the answer arrives, not when the request was sent. */
    LEASE_FROM_ARRIVAL,
    /** A record counts as synced when it is handed to the disk. */
    HELD_BEFORE_SYNC,
    /** Only the currently reachable machines count as members. */
    MEMBERS_BELIEVED_UP,
    /** A disk that comes back empty counts as complete. */
    EMPTY_DISK_COMPLETE,
    /** The journal is emptied before the snapshot that holds its records is synced. */
    JOURNAL_EMPTIED_TOO_EARLY,
    /** The journal is not read after a start. */
    JOURNAL_NOT_READ,
    /** A registry reports no differences, whatever differs. */
    NOTHING_DIFFERS
}
