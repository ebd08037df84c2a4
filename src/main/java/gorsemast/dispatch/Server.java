package gorsemast.dispatch;

import gorsemast.gossip.ServerNews;
import gorsemast.http.Upstream;
import java.net.InetSocketAddress;

/** One life of a server, as it may be sent to. */
public record Server(String host, InetSocketAddress dial, ServerNews.State state) implements Upstream.Peer {}
