package anisebend.net;

import gorsemast.http.StrictHttp;
import gorsemast.http.Upstream;
import gorsemast.retention.BodyBudget;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.NetUtil;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Makes the JVM load and compile the serving code before the proxy reports readiness: cold code takes some
 * milliseconds per request, which would delay all requests of the first seconds. The proxy sends requests to its own
 * port and also emulates the cache node and the discovery service. The warm-up has its own engine and decision module,
 * so it does not affect those that serve clients, and no traffic leaves the process.
 */
final class Warmup implements ClientConnection.Owner {
    /**
     * Number of requests when clients are waiting. After this many, a request costs a tenth of the first ones. They take
     * about 0.5 s of half a core if the JVM compiles early ({@code CompileThresholdScaling} in deploy/balancer.toml).
     * The clients of a restarted proxy wait for this, or overload another proxy that may be about to stop too. On a slow
     * machine the time limit ends the warm-up after the first 40 to 150.
     */
    private static final int HURRIED_REQUESTS = 256;

    private static final long HURRIED_LIMIT_MILLIS = 1_200;
    /** Number of requests when no clients wait, because the service is starting or a predecessor still serves them. */
    private static final int UNHURRIED_REQUESTS = 640;

    private static final long UNHURRIED_LIMIT_MILLIS = 2_600;
    private static final int CLIENTS = 6;
    private static final int KEYS = 64;
    private static final int BODY_BYTES = 700;
    private static final int WRITE_INTERVAL = 8;
    private static final String TOKEN_HEADER = "X-Warm-Up";
    private static final String NODE_NAME = "self";

    private final int requests;
    private final long limitMillis;
    private final EventLoop loop;
    private final InetSocketAddress self;
    private final ProxyConfig config;
    private final Engine engine;
    private final Runnable onFinished;
    /** Marks the warm-up's requests. It derives from the seed of this start, so no client can know it. */
    private final String token;

    private final BodyBudget<ClientConnection.Body> bodies = new BodyBudget<>(0);
    private final List<Channel> channels = new ArrayList<>();
    private int sentRequests;
    private int responses;
    private boolean finished;

    /** Creates a warm-up against {@code self}, a shorter one if {@code hurried} because clients are waiting. */
    Warmup(EventLoop loop, ProxyConfig realConfig, InetSocketAddress self, boolean hurried, Runnable onFinished) {
        this.requests = hurried ? HURRIED_REQUESTS : UNHURRIED_REQUESTS;
        this.limitMillis = hurried ? HURRIED_LIMIT_MILLIS : UNHURRIED_LIMIT_MILLIS;
        this.loop = loop;
        this.self = self;
        this.onFinished = onFinished;
        this.token = "warm-" + Long.toHexString(new SplittableRandom(realConfig.seed()).nextLong());
        Map<String, Object> nodeList = Map.of(
                "seq",
                0.0,
                "whole",
                true,
                "hosts",
                List.of(Map.of("host", NODE_NAME, "dial", NetUtil.toSocketAddressString(self), "health", "Ready")));
        this.config = new ProxyConfig(
                realConfig.name(),
                realConfig.listen(),
                null,
                self,
                realConfig.seed(),
                realConfig.sockets(),
                nodeList,
                realConfig.settings(),
                realConfig.classes(),
                realConfig.names(),
                realConfig.connIdleMillis(),
                realConfig.connectTimeoutMillis(),
                Map.of());
        this.engine = new Engine(loop, config, CLIENTS, text -> {});
    }

    /** Starts; {@code onFinished} runs after enough responses or at the time limit. */
    void start() {
        loop.schedule(this::finish, limitMillis, TimeUnit.MILLISECONDS);
        try {
            engine.begin(config);
        } catch (IOException | RuntimeException e) {
            finish(); // without a warm-up the proxy is only slower at first
            return;
        }
        for (int i = 0; i < CLIENTS; i++) {
            Upstream.client(loop, limitMillis)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel ch) {
                            channels.add(ch);
                            StrictHttp.addClientCodecs(ch.pipeline(), HttpMethod.GET, Upstream.MAX_BUFFERED_BYTES);
                            ch.pipeline().addLast(new SelfClient());
                        }
                    })
                    .connect(self);
        }
    }

    private void finish() {
        if (!finished) {
            finished = true;
            System.err.println("warm-up finished after " + responses + " requests");
            engine.stop();
            channels.forEach(Channel::close);
            onFinished.run();
        }
    }

    private FullHttpRequest nextRequest() {
        int number = sentRequests++;
        boolean write = number % WRITE_INTERVAL == 0;
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                write ? HttpMethod.PUT : HttpMethod.GET,
                "/api/warm-" + number % KEYS,
                write ? Unpooled.wrappedBuffer(new byte[BODY_BYTES]) : Unpooled.EMPTY_BUFFER);
        List<String> classes = List.copyOf(config.classes().names());
        List<String> tenants = config.names().tenants();
        request.headers()
                .set(HttpHeaderNames.HOST, "warm-up")
                .set(TOKEN_HEADER, token)
                .set("X-Correlation-Id", token + number)
                .set("X-Service-Class", classes.get(number % classes.size()))
                .set("X-Time-Left", "1.000");
        if (!tenants.isEmpty()) {
            request.headers().set("X-Account", tenants.get(number % tenants.size()));
        }
        if (write) {
            request.headers().set("Idempotency-Key", token + number).set(HttpHeaderNames.CONTENT_LENGTH, BODY_BYTES);
        }
        return request;
    }

    /** A warm-up client, which sends the next request after each response. */
    private final class SelfClient extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ctx.writeAndFlush(nextRequest());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (++responses >= requests) {
                finish();
            } else if (!finished) {
                ctx.writeAndFlush(nextRequest());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /**
     * Classifies a connection accepted during the warm-up by its first request: from a warm-up client, the warm-up
     * engine's request to the emulated node or for the discovery list, or from a real client. A real client's connection
     * goes on to its handler; it is closed where none is expected.
     */
    final class Gate extends ChannelInboundHandlerAdapter {
        private final StrictHttp.Requests decoder;
        private final ClientConnection realHandler;
        private FullHttpResponse response;

        Gate(StrictHttp.Requests decoder, ClientConnection realHandler) {
            this.decoder = decoder;
            this.realHandler = realHandler;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            String id =
                    message instanceof HttpRequest request ? request.headers().get("X-Correlation-Id") : null;
            if (message instanceof HttpRequest request
                    && token.equals(request.headers().get(TOKEN_HEADER))) {
                ClientConnection warmupHandler = new ClientConnection(ctx.channel(), decoder, Warmup.this);
                if (realHandler == null) {
                    ctx.pipeline().addLast(warmupHandler);
                } else {
                    ctx.pipeline().replace(realHandler, null, warmupHandler);
                }
                ctx.pipeline().remove(this);
                ctx.fireChannelRead(message);
            } else if (id != null && id.startsWith(token)) {
                response = okResponse(new byte[BODY_BYTES]);
            } else if (message instanceof HttpRequest request
                    && !finished
                    && request.uri().startsWith(Discovery.LIST)) {
                response = request.uri().contains("?")
                        ? null
                        : okResponse(("{\"seq\":0,\"whole\":true,\"hosts\":[{\"host\":\"" + NODE_NAME + "\",\"dial\":\""
                                        + NetUtil.toSocketAddressString(self) + "\",\"health\":\"Ready\"}]}")
                                .getBytes(StandardCharsets.UTF_8));
            } else if (message instanceof HttpRequest && realHandler == null) {
                ctx.close();
            } else if (message instanceof HttpRequest) {
                ctx.pipeline().remove(this);
                ctx.fireChannelRead(message);
                return;
            } else if (message instanceof LastHttpContent && response != null) {
                ctx.channel().writeAndFlush(response);
                response = null;
            }
            if (ctx.pipeline().context(this) != null) {
                ReferenceCountUtil.release(message);
            }
        }

        private static FullHttpResponse okResponse(byte[] body) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(body));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length).set("X-Lookup", "hit");
            return response;
        }
    }

    // ---- shared by the warm-up clients' connections

    @Override
    public ProxyConfig config() {
        return config;
    }

    @Override
    public Engine engine() {
        return engine;
    }

    @Override
    public boolean ready() {
        return false;
    }

    @Override
    public boolean closing() {
        return false;
    }

    @Override
    public BodyBudget<ClientConnection.Body> bodies() {
        return bodies;
    }

    @Override
    public void letGo(ClientConnection.Body body) {
        bodies.release(body);
    }

    @Override
    public void opened(ClientConnection connection) {}

    @Override
    public void closed(ClientConnection connection) {}

    @Override
    public long turnsAway(RequestHead head) {
        return 0;
    }

    @Override
    public void asks(ClientConnection connection) {}

    @Override
    public void idle(ClientConnection connection, boolean rejected) {}
}
