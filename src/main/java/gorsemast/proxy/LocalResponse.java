package gorsemast.proxy;

/**
 * Why an edge answered a client by itself, without a service's answer; each is counted by {@link gorsemast.observe.EventCounters}, so
 * that the log tells which requests are turned away, and for what.
 */
enum LocalResponse {
    /** 400: what came is no request of HTTP/1.1 with one host and a path. */
    MALFORMED,
    /** 400: a request that may run once only has no id. */
    NO_ATTEMPT_ID,
    /** 400: the time that its client says it has left is no number. */
    UNREADABLE_BUDGET,
    /** 404: the configuration in force has no such route. */
    NO_ROUTE,
    /** 408: its head or body took too long to come. */
    TOO_SLOW,
    /** 413: its body is longer than the configuration in force allows. */
    BODY_TOO_LONG,
    /** 431: its head is. */
    HEAD_TOO_LONG,
    /** 304: its client has the copy already. */
    UNCHANGED,
    /** 416: the range that it asks for begins behind the end of the copy. */
    RANGE_BEYOND_END,
    /** 503: the time that its client says it has left is over. */
    BUDGET_SPENT,
    /** 503: the configuration held may be an older one, and the process has just started or no registry vouches. */
    NOT_CONFIRMED,
    /** 503: no configuration has come yet. */
    NO_CONFIGURATION,
    /** 503: all places for requests that take time are taken. */
    NO_PLACE,
    /** 503: no room for its body. */
    NO_ROOM_FOR_BODY,
    /** 503: its service is unknown here, or the decision module refuses it. */
    SERVICE_REFUSED,
    /** 503: an object that could not be fetched or asked for in time. */
    OBJECT_REFUSED,
    /** 502: its service failed. */
    SERVICE_FAILED,
    /** 504: its time is over. */
    TIME_OVER
}
