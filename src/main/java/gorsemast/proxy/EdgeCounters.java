package gorsemast.proxy;

import gorsemast.observe.EventCounters;

/**
 * Counters of one edge, written to its log; single-threaded.
 *
 * @param socketEvents events on sockets
 * @param localResponses responses that the edge generates itself
 */
record EdgeCounters(EventCounters<SocketEvent> socketEvents, EventCounters<LocalResponse> localResponses) {
    /** Creates counters at zero. */
    EdgeCounters() {
        this(new EventCounters<>(SocketEvent.class), new EventCounters<>(LocalResponse.class));
    }
}
