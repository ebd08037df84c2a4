package anisebend.net;

import anisebend.Balancer.ListKind;
import anisebend.Balancer.Server;
import anisebend.Balancer.State;
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
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
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
 * The list of cache nodes as this proxy knows it, and the calls that keep it fresh. When to ask again after
 * a failed call is the module's to say, by {@link #subscribe}; a watch that goes well goes on by itself.
 */
final class Discovery {
    static final String LIST = "/registry/instances";
    private static final int MAX_ANSWER = 4 << 20;

    /** A cache node: where to dial it, and when it last started, in Unix milliseconds, 0 for long ago. */
    record Node(String host, InetSocketAddress dial, double bornMillis, boolean ready) implements Upstream.Peer {
        /** Whether this is the same process at the same address; a record's own equals is slow to be made up. */
        boolean same(Node other) {
            return bornMillis == other.bornMillis && dial.equals(other.dial);
        }
    }

    /** Told of each answer as soon as it is read, and of each call that failed. */
    interface Listener {
        void news(ListKind kind, List<Server> entries);

        /** Connections to this node are of no more use: it drains, has gone or has started anew. */
        void unusable(String host);

        /** The node has left the list; its id never comes back. */
        void forgotten(String host);
    }

    private final EventLoop loop;
    private InetSocketAddress address;
    private final ProxyConfig.Names names;
    private final ListWatch watch;
    private final Listener listener;
    private final Bootstrap bootstrap;
    private final Map<String, Node> nodes = new HashMap<>();
    /** Each entry as it was told, in discovery's form; null where nobody asks for that. */
    private Map<String, Map<String, Object>> told;

    private Channel channel;
    private Call call;

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

    /** Keeps what is told so that others can be told the same; asked for before it begins. */
    void retain() {
        told = new TreeMap<>();
    }

    /** Whether discovery itself has told a whole list. */
    boolean listed() {
        return watch.listed();
    }

    /** How long ago discovery last told or confirmed the list, in microseconds; negative for never. */
    long age() {
        return watch.age(now());
    }

    /** The entries as they were told, by their hosts; empty unless they are retained. */
    Map<String, Map<String, Object>> told() {
        return told == null ? Map.of() : told;
    }

    /**
     * Takes over a list that another proxy has, unless discovery itself has told one. What is known here to drain goes on
     * draining, as long as it is the same start of the same node.
     */
    void learn(Map<String, Object> list) throws IOException {
        if (watch.listed()) {
            return;
        }
        List<Object> hosts = new ArrayList<>();
        for (Object item : ProxyConfig.list(list, "hosts")) {
            Map<String, Object> entry = new HashMap<>(ProxyConfig.asMap(item, "hosts"));
            Node known = nodes.get(ProxyConfig.string(entry, "host"));
            double born = entry.get("born_ms") == null ? 0 : ProxyConfig.number(entry, "born_ms");
            if (known != null && !known.ready() && known.bornMillis() == born && "Ready".equals(entry.get("health"))) {
                entry.put("health", "Terminating");
            }
            hosts.add(entry);
        }
        Map<String, Object> kept = new HashMap<>(list);
        kept.put("hosts", hosts);
        watch.told(apply(kept, ListKind.CACHED));
    }

    /** The version of the list that is known. */
    long version() {
        return watch.version();
    }

    /** How many cache nodes are listed. */
    int size() {
        return nodes.size();
    }

    Node node(String host) {
        return nodes.get(host);
    }

    /** Whether the node, as started when {@code node} was read, may be sent anything new. */
    boolean ready(Node node) {
        Node present = nodes.get(node.host());
        return present != null && present.ready() && present.same(node);
    }

    /** Starts from the list that the configuration brought. */
    void begin(Map<String, Object> known) throws IOException {
        watch.told(apply(known, ListKind.CACHED));
    }

    /** Asks for the list and for what changes from now on; a watch that is out already goes on. */
    void subscribe() {
        ListWatch.Call wanted = watch.subscribe();
        if (wanted != null) {
            start(wanted);
        }
    }

    /**
     * Turns to another discovery at once, whatever call or back-off is pending: the present one is about to end.
     * The nodes stay until it has told the whole list, as nothing is known against them.
     */
    void redirect(InetSocketAddress other) {
        if (other.equals(address)) {
            return;
        }
        address = other;
        hangUp();
        start(watch.redirected());
    }

    /** Ends whatever call is out and tells nobody. */
    void hangUp() {
        if (call != null) {
            call.limit.cancel(false);
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

    private void start(ListWatch.Call wanted) {
        call = new Call(wanted.limitMicros());
        call.start(
                wanted.whole() ? LIST : LIST + "?after=" + wanted.after() + "&wait_ms=" + wanted.waitMicros() / 1000);
    }

    private void answered(FullHttpResponse answer) {
        ListWatch.Call following;
        try {
            if (answer.decoderResult().isFailure() || answer.status().code() != 200) {
                throw new IOException("discovery answers " + answer.status().code());
            }
            Map<String, Object> list = ProxyConfig.parse(ByteBufUtil.getBytes(answer.content()));
            ListKind kind = Boolean.TRUE.equals(list.get("whole")) ? ListKind.FULL : ListKind.CHANGES;
            if (!watch.answers(kind == ListKind.CHANGES)) {
                throw new IOException("discovery answers a call for the whole list with changes");
            }
            following = watch.taken(now(), apply(list, kind));
        } catch (IOException | RuntimeException e) {
            failed(); // whatever is odd about it, the watch must go on
            return;
        }
        start(following);
    }

    private void failed() {
        hangUp();
        watch.failed();
        listener.news(ListKind.FAILED, List.of());
    }

    /**
     * Reads the whole answer before any of it counts, so that a malformed one leaves the list as it was. Returns its
     * version.
     */
    private long apply(Map<String, Object> list, ListKind kind) throws IOException {
        long seq = (long) ProxyConfig.number(list, "seq");
        List<Server> servers = new ArrayList<>();
        List<Node> changed = new ArrayList<>();
        Map<String, Map<String, Object>> entries = told == null ? null : new HashMap<>();
        Set<String> present = new HashSet<>();
        for (Object item : ProxyConfig.list(list, "hosts")) {
            Map<String, Object> entry = ProxyConfig.asMap(item, "hosts");
            String host = ProxyConfig.string(entry, "host");
            State state =
                    switch (ProxyConfig.string(entry, "health")) {
                        case "Ready" -> State.READY;
                        case "Terminating" -> State.DRAINING;
                        case "Gone" -> State.GONE;
                        default -> throw new IOException("unknown health of " + host);
                    };
            double born = entry.get("born_ms") == null ? 0 : ProxyConfig.number(entry, "born_ms");
            double share = entry.get("share") == null ? 1 : ProxyConfig.number(entry, "share");
            int cell = entry.get("block") == null ? 0 : (int) ProxyConfig.number(entry, "block");
            present.add(host);
            if (entries != null) {
                entries.put(host, entry);
            }
            if (state == State.GONE) {
                changed.add(new Node(host, null, born, false));
            } else {
                changed.add(new Node(
                        host, ProxyConfig.address(ProxyConfig.string(entry, "dial")), born, state == State.READY));
            }
            servers.add(new Server(
                    host,
                    index(names.zones(), entry.get("site")),
                    index(names.kinds(), entry.get("class")),
                    cell,
                    state,
                    share,
                    (long) (born * 1000)));
        }
        if (kind != ListKind.CHANGES) {
            List<String> gone = nodes.keySet().stream()
                    .filter(host -> !present.contains(host))
                    .toList();
            gone.forEach(this::forget);
        }
        if (entries != null) {
            told.putAll(entries);
        }
        for (Node node : changed) {
            if (node.dial() == null) {
                forget(node.host());
                continue;
            }
            Node before = nodes.put(node.host(), node);
            if (before != null && (before.ready() != node.ready() || !before.same(node))) {
                listener.unusable(node.host());
            }
        }
        listener.news(kind, servers);
        return seq;
    }

    private void forget(String host) {
        nodes.remove(host);
        if (told != null) {
            told.remove(host);
        }
        listener.unusable(host);
        listener.forgotten(host);
    }

    /** A zone's or kind's number, by its name or, where none are named, as given. */
    private static int index(List<String> names, Object value) throws IOException {
        if (value == null) {
            return 0;
        }
        int at = value instanceof Double number ? number.intValue() : names.indexOf(value);
        if (at < 0) {
            throw new IOException("unknown name " + value);
        }
        return at;
    }

    /** One call; its channel is kept for the next. */
    private final class Call {
        private final ScheduledFuture<?> limit;

        Call(long limitMicros) {
            limit = loop.schedule(this::fail, limitMicros, TimeUnit.MICROSECONDS);
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
                            ch.pipeline()
                                    .addLast(
                                            new HttpClientCodec(), new HttpObjectAggregator(MAX_ANSWER), new Answers());
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
                failed();
            }
        }
    }

    /** What comes back on the present channel. */
    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (ctx.channel() != channel || call == null) {
                ctx.close();
                return;
            }
            call.limit.cancel(false);
            if (!HttpUtil.isKeepAlive(answer)) {
                channel = null;
                ctx.close();
            }
            answered(answer);
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
