package gorsemast.proxy;

/**
 * Why an edge generated a response itself instead of forwarding one of a service. Each reason is counted by {@link
 * gorsemast.observe.EventCounters}, so that the log shows which requests are refused and why.
 */
enum LocalResponse {
    /** 400: not a request of HTTP/1.1 with one host and a path. */
    MALFORMED,
    /** 400: a request that may run only once has no id. */
    NO_ATTEMPT_ID,
    /** 400: the client's time budget is not a number. */
    UNREADABLE_BUDGET,
    /** 404: the active configuration has no such route. */
    NO_ROUTE,
    /** 408: the head or body arrived too slowly. */
    TOO_SLOW,
    /** 413: the body is longer than the active configuration allows. */
    BODY_TOO_LONG,
    /** 431: the head is longer than the active configuration allows. */
    HEAD_TOO_LONG,
    /** 304: the client already has the cached response. */
    UNCHANGED,
    /** 416: the requested range begins after the end of the cached body. */
    RANGE_BEYOND_END,
    /** 503: the client's time budget is spent. */
    BUDGET_SPENT,
    /** 503: the configuration may be outdated, as the process has just started or no registry confirms it. */
    NOT_CONFIRMED,
    /** 503: no configuration has been received yet. */
    NO_CONFIGURATION,
    /** 503: no concurrency slot is free. */
    NO_PLACE,
    /** 503: no memory for the body. */
    NO_ROOM_FOR_BODY,
    /** 503: the service is unknown, or the decision module refused the request. */
    SERVICE_REFUSED,
    /** 503: the object could not be fetched in time, or no edge could be asked for it. */
    OBJECT_REFUSED,
    /** 503: the process ends before a response could be complete. */
    SHUTTING_DOWN,
    /** 502: the service failed. */
    SERVICE_FAILED,
    /** 504: the time limit has passed. */
    TIME_OVER
}
