package gorsemast.emulator;

import anisebend.Balancer.CacheStatus;
import anisebend.Balancer.Code;
import anisebend.Balancer.Server;
import gorsemast.emulator.Workload.Ask;

/** One attempt at one node: waits for a connection, is written, ends once. Follows {@code net.Upstream.Attempt}. */
final class Attempt {
    /** Told once how it ended. */
    interface Ending {
        void ended(Code code, CacheStatus note);
    }

    final Server node;
    final Ask ask;
    private final Connections connections;
    private final Ending ending;
    Connections.Connection connection;
    /** Its last byte is on its way: from here on only an answer can say that it has not run. */
    boolean written;

    boolean ended;
    CacheNode.Work work;

    Attempt(Server node, Ask ask, Connections connections, Ending ending) {
        this.node = node;
        this.ask = ask;
        this.connections = connections;
        this.ending = ending;
    }

    void cancel() {
        end(written ? Code.CANCELLED : Code.NOT_SENT, CacheStatus.NONE);
    }

    /** Half of its time is over, and others are let in there. */
    void tire() {
        if (connection == null && connections.open(node.id()) > 0) {
            end(Code.NOT_SENT, CacheStatus.NONE);
        }
    }

    void expire() {
        end(
                written
                        ? Code.TIMEOUT
                        : connection == null && connections.open(node.id()) > 0 ? Code.NOT_SENT : Code.CONNECT_FAILED,
                CacheStatus.NONE);
    }

    void end(Code code, CacheStatus note) {
        if (ended) {
            return;
        }
        ended = true;
        connections.over(this, code);
        ending.ended(code, note);
    }
}
