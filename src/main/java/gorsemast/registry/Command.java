package gorsemast.registry;

import gorsemast.configuration.Configuration;
import gorsemast.gossip.ServerInfo;

/** A decoded call of a server or an operator, executed by {@link RegistryNode}. Immutable. */
public sealed interface Command {
    /** A server reports its state; a heartbeat that announces the server's departure has the state DRAINING. */
    record Heartbeat(ServerInfo server) implements Command {}

    /** A server deregisters. */
    record Deregister(String id) implements Command {}

    /** Replaces the configuration by this one, which is parsed and validated. */
    record Replace(Configuration configuration) implements Command {}

    /** Reads the newest configuration. */
    record Read() implements Command {}

    /** Invalidates the cached responses of a host and path, or all that carry a tag. */
    record Purge(String host, String path, String tag) implements Command {}
}
