package gorsemast.dispatch;

import gorsemast.gossip.ServerInfo;
import gorsemast.http.Upstream;
import java.net.InetSocketAddress;

/** One instance of a server as a destination of requests. */
public record ServerInstance(String host, InetSocketAddress dial, ServerInfo.State state) implements Upstream.Peer {}
