package gorsemast.emulator;

import anisebend.Balancer.CacheStatus;
import anisebend.Balancer.Code;
import anisebend.Balancer.Server;
import gorsemast.emulator.Workload.ClientRequest;

/** One attempt at one node: waits for a connection, is written, and completes once. Mirrors {@code net.Upstream.Attempt}. */
final class Attempt {
    /** Receives the outcome once. */
    interface OutcomeListener {
        void completed(Code code, CacheStatus cacheStatus);
    }

    final Server node;
    final ClientRequest request;
    private final Connections connections;
    private final OutcomeListener listener;
    Connections.Connection connection;
    /** Set once the last byte has been sent: from then on only a response can show that the request was not executed. */
    boolean written;

    boolean ended;
    CacheNode.PendingRequest work;

    Attempt(Server node, ClientRequest request, Connections connections, OutcomeListener listener) {
        this.node = node;
        this.request = request;
        this.connections = connections;
        this.listener = listener;
    }

    void cancel() {
        end(written ? Code.CANCELLED : Code.NOT_SENT, CacheStatus.NONE);
    }

    /** Called after half of the wait: gives up if the node has other open connections. */
    void giveUpWaiting() {
        if (connection == null && connections.openCount(node.id()) > 0) {
            end(Code.NOT_SENT, CacheStatus.NONE);
        }
    }

    void expire() {
        end(
                written
                        ? Code.TIMEOUT
                        : connection == null && connections.openCount(node.id()) > 0
                                ? Code.NOT_SENT
                                : Code.CONNECT_FAILED,
                CacheStatus.NONE);
    }

    void end(Code code, CacheStatus cacheStatus) {
        if (ended) {
            return;
        }
        ended = true;
        connections.attemptEnded(this, code);
        listener.completed(code, cacheStatus);
    }
}
