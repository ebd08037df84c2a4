package anisebend.net;

import anisebend.Balancer.ListKind;
import anisebend.Balancer.Server;
import anisebend.Balancer.State;
import gorsemast.http.StrictHttp;
import gorsemast.http.Upstream;
import gorsemast.register.ListWatch;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Keeps the list of cache nodes up to date with the discovery service. The decision module decides when to retry after
 * a failed request, by {@link #subscribe}; a watch without failures continues by itself.
 */
final class Discovery {
    static final String LIST = "/registry/instances";
    private static final int MAX_RESPONSE_BYTES = 4 << 20;

    /** A cache node: its address, and when it last started, in Unix milliseconds, 0 for long ago. */
    record Node(String host, InetSocketAddress dial, double bornMillis, boolean ready) implements Upstream.Peer {
        /** Whether this is the same process at the same address; the generated equals is slow on its first call. */
        boolean same(Node other) {
            return bornMillis == other.bornMillis && dial.equals(other.dial);
        }
    }

    /** Receives the changes of the list and the failures of requests. */
    interface Listener {
        void updated(ListKind kind, List<Server> entries);

        /** Connections to this node are unusable: it drains, has gone or has restarted. */
        void unusable(String host);

        /** The node has left the list; its id is never reused. */
        void removed(String host);
    }

    private final EventLoop loop;
    private InetSocketAddress address;
    private final ProxyConfig.Names names;
    private final ListWatch watch;
    private final Listener listener;
    private final Bootstrap bootstrap;
    private final Map<String, Node> nodes = new HashMap<>();
    /** Each entry as received, in discovery's format, by host; null unless entries are retained. */
    private Map<String, Map<String, Object>> retainedEntries;

    private Channel channel;
    private PendingCall call;

    Discovery(
            EventLoop loop,
            InetSocketAddress address,
            ProxyConfig.Names names,
            long askWithinMicros,
            long connectMillis,
            Listener listener) {
        this.loop = loop;
        this.address = address;
        this.names = names;
        this.watch = new ListWatch(askWithinMicros);
        this.listener = listener;
        this.bootstrap = Upstream.client(loop, Math.max(connectMillis, ListWatch.GRACE_MICROS / 1000));
    }

    /** Keeps the entries as received so that they can be passed on; to be called before {@link #initialize}. */
    void retainEntries() {
        retainedEntries = new TreeMap<>();
    }

    /** Whether the discovery service itself has sent a whole list. */
    boolean listed() {
        return watch.listed();
    }

    /** Time since discovery last sent or confirmed the list, in microseconds; negative for never. */
    long age() {
        return watch.age(now());
    }

    /** The entries as received, by host; empty unless they are retained. */
    Map<String, Map<String, Object>> entries() {
        return retainedEntries == null ? Map.of() : retainedEntries;
    }

    /**
     * Adopts another proxy's list, unless discovery itself has sent one. A node that is known here to drain stays
     * draining while it is the same incarnation.
     */
    void adopt(Map<String, Object> list) throws IOException {
        if (watch.listed()) {
            return;
        }
        List<Object> hosts = new ArrayList<>();
        for (Object item : ProxyConfig.list(list, "hosts")) {
            Map<String, Object> entry = new HashMap<>(ProxyConfig.asMap(item, "hosts"));
            Node known = nodes.get(ProxyConfig.string(entry, "host"));
            double startedMillis = entry.get("born_ms") == null ? 0 : ProxyConfig.number(entry, "born_ms");
            if (known != null
                    && !known.ready()
                    && known.bornMillis() == startedMillis
                    && "Ready".equals(entry.get("health"))) {
                entry.put("health", "Terminating");
            }
            hosts.add(entry);
        }
        Map<String, Object> adopted = new HashMap<>(list);
        adopted.put("hosts", hosts);
        watch.told(apply(adopted, ListKind.CACHED));
    }

    /** The version of the present list. */
    long version() {
        return watch.version();
    }

    /** The number of listed cache nodes. */
    int size() {
        return nodes.size();
    }

    Node node(String host) {
        return nodes.get(host);
    }

    /** Whether new requests may be sent to this incarnation of the node. */
    boolean ready(Node node) {
        Node present = nodes.get(node.host());
        return present != null && present.ready() && present.same(node);
    }

    /** Sets the initial list from the configuration. */
    void initialize(Map<String, Object> known) throws IOException {
        watch.told(apply(known, ListKind.CACHED));
    }

    /** Requests the list and its changes from now on; a watch in progress continues. */
    void subscribe() {
        ListWatch.Call next = watch.subscribe();
        if (next != null) {
            startCall(next);
        }
    }

    /**
     * Switches to another discovery address immediately, whatever request or backoff is pending: the present service is
     * about to end. The nodes stay until the new one has sent the whole list, as they are presumably still valid.
     */
    void redirect(InetSocketAddress other) {
        if (other.equals(address)) {
            return;
        }
        address = other;
        closeConnection();
        startCall(watch.redirected());
    }

    /** Cancels the request in progress and closes the connection, without notifying the listener. */
    void closeConnection() {
        if (call != null) {
            call.timeout.cancel(false);
            call = null;
        }
        if (channel != null) {
            channel.close();
            channel = null;
        }
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    }

    private void startCall(ListWatch.Call next) {
        call = new PendingCall(next.limitMicros());
        call.start(next.whole() ? LIST : LIST + "?after=" + next.after() + "&wait_ms=" + next.waitMicros() / 1000);
    }

    private void handleResponse(FullHttpResponse response) {
        ListWatch.Call next;
        try {
            if (response.status().code() != 200) {
                throw new IOException("discovery service responded with status "
                        + response.status().code());
            }
            Map<String, Object> list = ProxyConfig.parse(ByteBufUtil.getBytes(response.content()));
            ListKind kind = Boolean.TRUE.equals(list.get("whole")) ? ListKind.FULL : ListKind.CHANGES;
            if (!watch.answers(kind == ListKind.CHANGES)) {
                throw new IOException("discovery service responded with changes to a request for the whole list");
            }
            next = watch.taken(now(), apply(list, kind));
        } catch (IOException | RuntimeException e) {
            handleFailure(); // the watch must go on, whatever is wrong with the response
            return;
        }
        startCall(next);
    }

    private void handleFailure() {
        closeConnection();
        watch.failed();
        listener.updated(ListKind.FAILED, List.of());
    }

    /**
     * Applies a list and returns its version. It is parsed completely first, so that a malformed one changes nothing.
     */
    private long apply(Map<String, Object> list, ListKind kind) throws IOException {
        long version = (long) ProxyConfig.number(list, "seq");
        List<Server> servers = new ArrayList<>();
        List<Node> changedNodes = new ArrayList<>();
        Map<String, Map<String, Object>> entries = retainedEntries == null ? null : new HashMap<>();
        Set<String> present = new HashSet<>();
        for (Object item : ProxyConfig.list(list, "hosts")) {
            Map<String, Object> entry = ProxyConfig.asMap(item, "hosts");
            String host = ProxyConfig.string(entry, "host");
            State state =
                    switch (ProxyConfig.string(entry, "health")) {
                        case "Ready" -> State.READY;
                        case "Terminating" -> State.DRAINING;
                        case "Gone" -> State.GONE;
                        default -> throw new IOException("unknown health value of host " + host);
                    };
            double startedMillis = entry.get("born_ms") == null ? 0 : ProxyConfig.number(entry, "born_ms");
            double share = entry.get("share") == null ? 1 : ProxyConfig.number(entry, "share");
            int cell = entry.get("block") == null ? 0 : (int) ProxyConfig.number(entry, "block");
            present.add(host);
            if (entries != null) {
                entries.put(host, entry);
            }
            if (state == State.GONE) {
                changedNodes.add(new Node(host, null, startedMillis, false));
            } else {
                changedNodes.add(new Node(
                        host,
                        ProxyConfig.address(ProxyConfig.string(entry, "dial")),
                        startedMillis,
                        state == State.READY));
            }
            servers.add(new Server(
                    host,
                    index(names.zones(), entry.get("site")),
                    index(names.kinds(), entry.get("class")),
                    cell,
                    state,
                    share,
                    (long) (startedMillis * 1000)));
        }
        if (kind != ListKind.CHANGES) {
            List<String> delisted = nodes.keySet().stream()
                    .filter(host -> !present.contains(host))
                    .toList();
            delisted.forEach(this::removeNode);
        }
        if (entries != null) {
            retainedEntries.putAll(entries);
        }
        for (Node node : changedNodes) {
            if (node.dial() == null) {
                removeNode(node.host());
                continue;
            }
            Node previous = nodes.put(node.host(), node);
            if (previous != null && (previous.ready() != node.ready() || !previous.same(node))) {
                listener.unusable(node.host());
            }
        }
        listener.updated(kind, servers);
        return version;
    }

    private void removeNode(String host) {
        nodes.remove(host);
        if (retainedEntries != null) {
            retainedEntries.remove(host);
        }
        listener.unusable(host);
        listener.removed(host);
    }

    /** The number of a zone or kind: its index by name or, where no names are configured, the given number. */
    private static int index(List<String> names, Object value) throws IOException {
        if (value == null) {
            return 0;
        }
        int index = value instanceof Double number ? number.intValue() : names.indexOf(value);
        if (index < 0) {
            throw new IOException("unknown zone or class " + value);
        }
        return index;
    }

    /** A request to the discovery service; its channel is reused for the next. */
    private final class PendingCall {
        private final ScheduledFuture<?> timeout;

        PendingCall(long limitMicros) {
            timeout = loop.schedule(this::fail, limitMicros, TimeUnit.MICROSECONDS);
        }

        void start(String uri) {
            FullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri, Unpooled.EMPTY_BUFFER);
            request.headers().set(HttpHeaderNames.HOST, NetUtil.toSocketAddressString(address));
            if (channel != null && channel.isActive()) {
                write(request);
                return;
            }
            ChannelFuture connecting = bootstrap
                    .clone()
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel ch) {
                            StrictHttp.addClientCodecs(ch.pipeline(), HttpMethod.GET, MAX_RESPONSE_BYTES);
                            ch.pipeline().addLast(new ResponseHandler());
                        }
                    })
                    .connect(address);
            channel = connecting.channel();
            connecting.addListener(done -> {
                if (done.isSuccess() && call == this) {
                    write(request);
                } else {
                    fail();
                }
            });
        }

        private void write(FullHttpRequest request) {
            channel.writeAndFlush(request).addListener(done -> {
                if (!done.isSuccess()) {
                    fail();
                }
            });
        }

        void fail() {
            if (call == this) {
                handleFailure();
            }
        }
    }

    /** Handles the responses on the present channel. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (ctx.channel() != channel || call == null) {
                ctx.close();
                return;
            }
            call.timeout.cancel(false);
            if (!HttpUtil.isKeepAlive(response)) {
                channel = null;
                ctx.close();
            }
            handleResponse(response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel && call != null) {
                call.fail();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
