package gorsemast.modelcheck;

/** Defects that can be planted between registries' decisions and their world, to see that the check finds each. */
public enum RegistryPlant {
    /** None. */
    NONE,
    /** A registry that reaches nobody is answered all the same: its lease never lapses. */
    LEASE_NEVER_LAPSES,
    /** A lease counts from when the answer came. */
    LEASE_FROM_ARRIVAL,
    /** A record counts as synced when it is handed to the disk. */
    HELD_BEFORE_SYNC,
    /** Who counts are the machines that are reached now. */
    MEMBERS_BELIEVED_UP,
    /** A disk that comes back empty counts as complete. */
    EMPTY_DISK_COMPLETE,
    /** The journal is emptied before the snapshot that holds its records is synced. */
    JOURNAL_EMPTIED_TOO_EARLY,
    /** The journal is not read after a start. */
    JOURNAL_NOT_READ,
    /** A registry says that nothing differs, whatever does. */
    NOTHING_DIFFERS
}
