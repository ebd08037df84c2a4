package gorsemast.registry;

import gorsemast.configuration.Configuration;
import gorsemast.gossip.ServerInfo;

/** A call from outside, decoded; it is run elsewhere. Values; any thread. */
public sealed interface Command {
    /** A server tells of itself; in a beat that it is going to leave its state is DRAINING. */
    record Heartbeat(ServerInfo server) implements Command {}

    /** A server has left. */
    record Deregister(String id) implements Command {}

    /** A whole configuration, read and checked. */
    record Replace(Configuration configuration) implements Command {}

    /** The newest configuration is asked for. */
    record Read() implements Command {}

    /** Copies of what is named are not to be served any more; host and path, or a tag. */
    record Purge(String host, String path, String tag) implements Command {}
}
