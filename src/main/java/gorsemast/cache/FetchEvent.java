package gorsemast.cache;

/** Events in the handling of object requests at one edge, each counted by {@link gorsemast.observe.EventCounters}. */
public enum FetchEvent {
    /** A client requested an object; one of the next three events follows. */
    CLIENT_ASKED,
    CLIENT_HAD_COPY,
    /** A fetch of the same object was already running; also counted for requests from other edges. */
    JOINED,
    /** A purge matched a response that had been requested before it; the response was not cached. */
    COPY_PURGED,
    /**
     * A request had joined a fetch after a purge that matched its response; the object is requested again, unless the
     * requester has left.
     */
    JOINED_AFTER_PURGE,
    /** A request had joined a fetch so late that its response had expired; the object is requested again likewise. */
    JOINED_AFTER_EXPIRY,
    /** A cached response close to its expiry was requested again, with nobody waiting. */
    RENEWAL,
    /** Another edge requested an object, from this edge as its home or as a fetcher. */
    EDGE_ASKED,
    EDGE_HAD_COPY,
    /** The requesting edge's time was nearly over while the object was still being fetched. */
    EDGE_TOLD_IN_HAND,
    /** A cached response existed but had expired. */
    COPY_EXPIRED,
    /** The highest-ranked edge for an object was skipped because it had not answered before. */
    PASSED_OVER,
    /** An edge that did not answer this request in time has answered others meanwhile; it is not skipped. */
    SILENT_TO_ONE,
    /** A cached response was evicted for lack of space; it may be requested again. */
    COPY_EVICTED,
    HOME_ASKED,
    HOME_COPY,
    HOME_REFUSED,
    /** The home's answer was unusable: it knows of other purges, or it failed. */
    HOME_USELESS,
    HOME_IN_HAND,
    HOME_SILENT,
    FETCHER_ASKED,
    FETCHER_COPY,
    FETCHER_REFUSED,
    FETCHER_USELESS,
    FETCHER_IN_HAND,
    FETCHER_SILENT,
    /** A permit was taken from the service's rate; one of the last six events follows. */
    RIGHT_TAKEN,
    RIGHT_AWAITED,
    /** The service's rate allows no further request now or in time. */
    RIGHT_REFUSED,
    SERVERS_COPY,
    SERVERS_OTHER,
    SERVERS_REFUSED,
    /** The decision module sent nothing; the permit was released. */
    SERVERS_NOT_SENT,
    SERVERS_FAILED,
    SERVERS_TOO_LONG
}
