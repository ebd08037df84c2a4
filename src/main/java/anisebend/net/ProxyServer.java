package anisebend.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * The clients' side of the proxy: it listens, checks requests, hands them to the {@link Engine} and writes
 * each one's answer; and it ends in good order. One thread does all the work of the process.
 */
public final class ProxyServer {
    private static final int MAX_BODY = 64 << 10;
    private static final int BACKLOG = 1024;
    /** Parts of the descriptors for either side; the rest is for the JVM, discovery and sockets on their way out. */
    private static final double CLIENT_PART = 0.4;
    private static final double UPSTREAM_PART = 0.4;
    /** A client that sends ahead further than this is cut off: what waits here is held in memory. */
    private static final int MAX_AHEAD = 4;
    /** After SIGTERM connections go on coming for 0.4 s. */
    private static final long ACCEPT_MILLIS = 600;
    /** SIGKILL comes 0.7 s after the longest deadline, of which at most 3 s count; all must be over before it. */
    private static final long LONGEST_MILLIS = 3_000;
    private static final long BEFORE_KILL_MILLIS = 450;
    private static final double MICROS = 1e6;
    private static final String API = "/api/";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ProxyConfig config;
    private final Engine engine;
    private final Map<String, String> env;
    private int maxClients;
    private final Set<Connection> clients = new LinkedHashSet<>();
    private final CountDownLatch drained = new CountDownLatch(1);
    private final long drainMillis;
    private Channel listener;
    private boolean draining;

    private ProxyServer(ProxyConfig config, Map<String, String> env) {
        this.config = config;
        this.env = env;
        this.maxClients = part(config, CLIENT_PART);
        this.engine = new Engine(loop, config, part(config, UPSTREAM_PART));
        long longest = config.settings().classes().stream().mapToLong(c -> c.deadline() / 1000).max().orElse(0);
        this.drainMillis = Math.min(LONGEST_MILLIS, longest) + BEFORE_KILL_MILLIS;
    }

    private static int part(ProxyConfig config, double part) {
        return Math.max(1, (int) (config.sockets() * part));
    }

    /** A proxy as the platform's variables say; throws what is wrong with them as one plain line. */
    public static ProxyServer of(Map<String, String> env) throws IOException {
        return new ProxyServer(ProxyConfig.load(env), env);
    }

    /** Begins to serve. */
    public ProxyServer start() throws IOException {
        try {
            loop.submit(() -> {
                engine.begin(config);
                return listen();
            }).get().get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (ExecutionException e) {
            stop();
            throw new IOException(e.getCause().getMessage(), e.getCause());
        }
        return this;
    }

    private ChannelFuture listen() {
        ChannelFuture bound = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false))
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel ch) {
                    ch.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY),
                        new Connection(ch));
                }
            }).bind(config.listen());
        listener = bound.channel();
        return bound;
    }

    /** Where it listens, once it does. */
    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /**
     * Lets SIGTERM drain the proxy: it goes on accepting for a while, finishes what it holds and exits with 0.
     * A shutdown hook is the library's way to hear of the signal; it must halt for the exit code to be 0.
     */
    public void drainOnTermination() {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            drain();
            Runtime.getRuntime().halt(0);
        }, "drain"));
    }

    /** Lets SIGHUP take over a configuration that has been replaced. */
    public void reloadOnHangup() {
        Signals.onHangup(this::reload);
    }

    /**
     * Reads the configuration anew and takes over what may change in service; a broken file changes nothing.
     * Signals that come close together are heard on threads of their own: one after another, the last read wins.
     */
    synchronized void reload() {
        try {
            ProxyConfig changed = ProxyConfig.reload(env);
            loop.execute(() -> {
                maxClients = part(changed, CLIENT_PART);
                engine.reconfigure(changed, part(changed, UPSTREAM_PART));
            });
        } catch (IOException | RuntimeException e) {
            System.err.println("configuration kept as it was: " + e.getMessage());
        }
    }

    /** Drains and returns when nothing is held, or just before a SIGKILL may come. */
    void drain() {
        loop.execute(this::beginDrain);
        try {
            drained.await(drainMillis + BEFORE_KILL_MILLIS / 3, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Stops at once. */
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private void beginDrain() {
        draining = true;
        loop.schedule(() -> {
            listener.close();
            for (Connection client : Set.copyOf(clients)) {
                client.closeIfIdle();
            }
            checkDrained();
        }, ACCEPT_MILLIS, TimeUnit.MILLISECONDS);
        loop.schedule(engine::giveUpAll, drainMillis, TimeUnit.MILLISECONDS);
    }

    private void checkDrained() {
        if (draining && !listener.isOpen() && clients.isEmpty()) {
            drained.countDown();
        }
    }

    /** At the bound the longest idle connection makes room; where none is idle, no more are accepted for now. */
    private void makeRoom(Connection newcomer) {
        boolean full = clients.size() >= maxClients;
        if (!full && listener.config().isAutoRead() || !listener.isOpen()) {
            return;
        }
        if (full) {
            for (Connection client : clients) {
                if (client != newcomer && client.closeIfIdle()) {
                    break;
                }
            }
        }
        listener.config().setAutoRead(clients.size() < maxClients);
    }

    /** One client's connection, with the one request in hand and those that were sent ahead. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> implements Engine.Client {
        private record Ahead(FullHttpRequest request, long arrival) {
        }

        private final Channel channel;
        private final Queue<Ahead> ahead = new ArrayDeque<>();
        private Engine.Exchange exchange;
        /** A request is in hand, or its answer is being written. */
        private boolean occupied;
        private boolean keepAlive;

        Connection(Channel channel) {
            super(false);
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            clients.add(this);
            makeRoom(this); // it has not asked yet, but is not the idle one
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            clients.remove(this);
            ahead.forEach(next -> next.request.release());
            ahead.clear();
            if (exchange != null) {
                Engine.Exchange left = exchange;
                exchange = null;
                engine.gone(left);
            }
            makeRoom(null);
            checkDrained();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (ahead.size() >= MAX_AHEAD) {
                request.release();
                ctx.close();
                return;
            }
            ahead.add(new Ahead(request, engine.now()));
            advance();
        }

        /** Requests that were sent ahead are served one after another, as their answers must come in order. */
        private void advance() {
            while (!occupied && !ahead.isEmpty()) {
                occupied = true;
                clients.remove(this); // to the end of the order of last use
                clients.add(this);
                Ahead next = ahead.poll();
                FullHttpRequest request = next.request;
                keepAlive = HttpUtil.isKeepAlive(request);
                try {
                    handle(request, next.arrival);
                } catch (RuntimeException e) {
                    System.err.println("fault: " + e);
                    answer(HttpResponseStatus.BAD_GATEWAY);
                } finally {
                    request.release();
                }
            }
        }

        private void handle(FullHttpRequest request, long arrival) {
            if (request.decoderResult().isFailure()) {
                keepAlive = false; // where this message ends is anyone's guess
                answer(HttpResponseStatus.BAD_REQUEST);
                return;
            }
            String uri = request.uri();
            int query = uri.indexOf('?');
            String path = query < 0 ? uri : uri.substring(0, query);
            HttpMethod method = request.method();
            if (path.equals("/health/ready")) {
                answer(!method.equals(HttpMethod.GET) ? HttpResponseStatus.METHOD_NOT_ALLOWED
                    : draining ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK);
                return;
            }
            if (!path.startsWith(API)) {
                answer(HttpResponseStatus.NOT_FOUND);
                return;
            }
            if (!method.equals(HttpMethod.GET) && !method.equals(HttpMethod.PUT)) {
                answer(HttpResponseStatus.METHOD_NOT_ALLOWED);
                return;
            }
            HttpHeaders headers = request.headers();
            String id = headers.get("X-Correlation-Id");
            int requestClass = index(config.names().classes(), headers.get("X-Service-Class"));
            int tenant = config.names().tenants().isEmpty() ? 0
                : index(config.names().tenants(), headers.get("X-Account"));
            long wait = micros(headers.get("X-Time-Left"));
            if (id == null || id.isEmpty() || requestClass < 0 || tenant < 0 || wait <= 0) {
                answer(HttpResponseStatus.BAD_REQUEST);
                return;
            }
            String key = path.substring(path.lastIndexOf('/') + 1);
            Engine.Exchange taken = engine.take(new Engine.Call(method, uri, id, headers.get("Idempotency-Key"),
                request.content().retain(), requestClass, tenant, key.isEmpty() ? null : key, arrival, wait), this);
            if (!taken.answered()) { // it may have been, at once
                exchange = taken;
            }
        }

        /** Where a word stands, -1 also for none: immutable lists throw when asked for null. */
        private static int index(List<String> names, String word) {
            return word == null ? -1 : names.indexOf(word);
        }

        /** Seconds with decimals as microseconds; 0 for what is no such number. */
        private static long micros(String seconds) {
            try {
                double value = seconds == null ? 0 : Double.parseDouble(seconds);
                return value > 0 && value < 1e6 ? Math.round(value * MICROS) : 0;
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        @Override
        public void served(FullHttpResponse answer) {
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
                answer.content().retain());
            String type = answer.headers().get(HttpHeaderNames.CONTENT_TYPE);
            if (type != null) {
                response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
            }
            write(response);
        }

        @Override
        public void refused(long retryAfterMicros) {
            FullHttpResponse response = empty(HttpResponseStatus.SERVICE_UNAVAILABLE);
            if (retryAfterMicros > 0) {
                response.headers().set(HttpHeaderNames.RETRY_AFTER,
                    String.format(Locale.ROOT, "%.3f", retryAfterMicros / MICROS));
            }
            write(response);
        }

        @Override
        public void failed() {
            answer(HttpResponseStatus.BAD_GATEWAY);
        }

        private void answer(HttpResponseStatus status) {
            write(empty(status));
        }

        private FullHttpResponse empty(HttpResponseStatus status) {
            return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        }

        private void write(FullHttpResponse response) {
            if (draining) {
                keepAlive = false;
            }
            HttpUtil.setContentLength(response, response.content().readableBytes());
            HttpUtil.setKeepAlive(response, keepAlive);
            exchange = null;
            occupied = false;
            boolean last = !keepAlive;
            if (last) {
                ahead.forEach(next -> next.request.release());
                ahead.clear();
            }
            channel.writeAndFlush(response).addListener(last ? ChannelFutureListener.CLOSE
                : ChannelFutureListener.CLOSE_ON_FAILURE);
            if (!last) {
                advance();
                makeRoom(null); // for those who wait until somebody is idle
            }
        }

        /** Closes between requests, when what was answered before is written out. */
        boolean closeIfIdle() {
            if (!occupied) {
                channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            }
            return !occupied;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
