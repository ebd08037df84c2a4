package gorsemast.dispatch;

import gorsemast.gossip.ServerInfo;
import gorsemast.http.Upstream;
import java.net.InetSocketAddress;

/** One life of a server, as it may be sent to. */
public record ServerInstance(String host, InetSocketAddress dial, ServerInfo.State state) implements Upstream.Peer {}
