package gorsemast.proxy;

import gorsemast.observe.EventCounters;

/**
 * What one edge counts of its clients, for its log; one thread.
 *
 * @param sockets what happens to its sockets
 * @param answers which answers it gives by itself
 */
record EdgeCounters(EventCounters<SocketEvent> sockets, EventCounters<LocalResponse> answers) {
    /** With nothing counted. */
    EdgeCounters() {
        this(new EventCounters<>(SocketEvent.class), new EventCounters<>(LocalResponse.class));
    }
}
