package gorsemast.proxy;

/**
 * Events on the sockets of one edge, each counted by {@link gorsemast.observe.EventCounters}; durations in
 * microseconds.
 */
enum SocketEvent {
    /** A client connection was accepted; {@link #CLIENT_CLOSED} follows. */
    CLIENT_ACCEPTED,
    /**
     * The limit of client connections was reached: further ones wait unaccepted. Ends with {@link
     * #CLIENTS_FULL_OVER}.
     */
    CLIENTS_FULL,
    /** Client connections fell below the limit; with the time at the limit. */
    CLIENTS_FULL_OVER,
    /** A client connection was closed; with the time it was open. */
    CLIENT_CLOSED,
    /** A client connection was closed before any request. */
    CLIENT_LEFT_UNASKED,
    /** A client disconnected before its response; with the time since its request was read. */
    CLIENT_LEFT_UNANSWERED,
    /** A request was refused because no concurrency slot was free. */
    CLIENT_TURNED_AWAY,
    /** A response was ready; with the time since the request was read. */
    CLIENT_ANSWERED,
    /** The system accepted the last byte of a response; with the time that took. */
    ANSWER_WRITTEN,
    /** A request to another edge waited for a connection; with the waiting time. */
    QUESTION_WAITED,
    /** A request to another edge found no connection in time. */
    QUESTION_EXPIRED,
    /** A connection to another edge was returned; with the duration of the request. */
    QUESTION_ENDED,
    /** A connection of another edge was accepted. */
    EDGE_ACCEPTED,
    /** The limit of connections from other edges was reached. */
    EDGES_FULL,
    /** Connections from other edges fell below the limit; with the time at the limit. */
    EDGES_FULL_OVER,
    /** The system accepted the last byte of a response to another edge; with the time that took. */
    EDGE_ANSWER_WRITTEN,
    /** A service responded to a client's request for no cached object; with the duration. */
    CALL_ANSWERED,
    /** A client's request for no cached object was refused; with the duration. */
    CALL_REFUSED,
    /** A client's request for no cached object failed or timed out; with the duration. */
    CALL_FAILED
}
