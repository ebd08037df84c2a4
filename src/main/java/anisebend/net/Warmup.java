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
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
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
 * Lets the JVM load and compile what serving needs before the proxy says that it is ready: cold code takes some
 * milliseconds a request, and all requests of the first seconds would wait for it. The proxy asks itself, through
 * its own port, and plays the cache node and discovery too; engine and module are others than those that serve
 * clients, so these learn nothing from it and nothing leaves the process.
 */
final class Warmup implements ClientConnection.Owner {
    /**
     * After so many a request costs a tenth of what the first ones did; that takes some 0.5 s of half a core where the
     * JVM compiles early ({@code CompileThresholdScaling} in deploy/balancer.toml). A restarted proxy's clients wait for
     * this, or crowd at another that may be about to stop too; on a slow day the first 40 to 150 must do for it.
     */
    private static final int REQUESTS = 256;

    private static final long LIMIT_MILLIS = 1_200;
    /** Where nobody waits, as the service begins or a predecessor has the clients: then cold code would cost them. */
    private static final int UNHURRIED_REQUESTS = 640;

    private static final long UNHURRIED_MILLIS = 2_600;
    private static final int CLIENTS = 6;
    private static final int KEYS = 64;
    private static final int BODY_BYTES = 700;
    private static final int WRITES_EVERY = 8;
    private static final String TOKEN = "X-Warm-Up";
    private static final String NODE = "self";

    private final int requests;
    private final long limitMillis;
    private final EventLoop loop;
    private final InetSocketAddress self;
    private final ProxyConfig config;
    private final Engine engine;
    private final Runnable done;
    /** Drawn from the start's own seed and so known to nobody else: no client can be taken for the warm-up. */
    private final String token;

    private final BodyBudget<ClientConnection.Body> bodies = new BodyBudget<>(0);
    private final List<Channel> channels = new ArrayList<>();
    private int sent;
    private int answered;
    private boolean over;

    /** Warms up at {@code self}, in haste where clients wait for that. */
    Warmup(EventLoop loop, ProxyConfig real, InetSocketAddress self, boolean hurried, Runnable done) {
        this.requests = hurried ? REQUESTS : UNHURRIED_REQUESTS;
        this.limitMillis = hurried ? LIMIT_MILLIS : UNHURRIED_MILLIS;
        this.loop = loop;
        this.self = self;
        this.done = done;
        this.token = "warm-" + Long.toHexString(new SplittableRandom(real.seed()).nextLong());
        Map<String, Object> list = Map.of(
                "seq",
                0.0,
                "whole",
                true,
                "hosts",
                List.of(Map.of("host", NODE, "dial", NetUtil.toSocketAddressString(self), "health", "Ready")));
        this.config = new ProxyConfig(
                real.name(),
                real.listen(),
                null,
                self,
                real.seed(),
                real.sockets(),
                list,
                real.settings(),
                real.classes(),
                real.names(),
                real.connIdleMillis(),
                real.connectTimeoutMillis(),
                Map.of());
        this.engine = new Engine(loop, config, CLIENTS, text -> {});
    }

    /** Begins; {@code done} runs when enough has been asked or it has taken too long. */
    void start() {
        loop.schedule(this::finish, limitMillis, TimeUnit.MILLISECONDS);
        try {
            engine.begin(config);
        } catch (IOException | RuntimeException e) {
            finish(); // the proxy is only slower at first
            return;
        }
        for (int i = 0; i < CLIENTS; i++) {
            Upstream.client(loop, limitMillis)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel ch) {
                            channels.add(ch);
                            ch.pipeline()
                                    .addLast(
                                            new HttpRequestEncoder(),
                                            new StrictHttp.Responses(),
                                            new HttpObjectAggregator(Upstream.MAX_BUFFERED_BYTES),
                                            new Asking());
                        }
                    })
                    .connect(self);
        }
    }

    private void finish() {
        if (!over) {
            over = true;
            System.err.println("warm after " + answered + " requests");
            engine.stop();
            channels.forEach(Channel::close);
            done.run();
        }
    }

    private FullHttpRequest next() {
        int number = sent++;
        boolean write = number % WRITES_EVERY == 0;
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                write ? HttpMethod.PUT : HttpMethod.GET,
                "/api/warm-" + number % KEYS,
                write ? Unpooled.wrappedBuffer(new byte[BODY_BYTES]) : Unpooled.EMPTY_BUFFER);
        List<String> classes = List.copyOf(config.classes().names());
        List<String> tenants = config.names().tenants();
        request.headers()
                .set(HttpHeaderNames.HOST, "warm-up")
                .set(TOKEN, token)
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

    /** A client of the warm-up. */
    private final class Asking extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ctx.writeAndFlush(next());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (++answered >= requests) {
                finish();
            } else if (!over) {
                ctx.writeAndFlush(next());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /**
     * Stands before the handler of a connection that comes in during the warm-up, and finds out whose it is: the
     * warm-up's client's, its attempt at the node that it plays, its call for the list, or a real client's. Where no
     * real client is to come, such a one is closed.
     */
    final class Gate extends ChannelInboundHandlerAdapter {
        private final StrictHttp.Requests decoder;
        private final ClientConnection real;
        private FullHttpResponse answer;

        Gate(StrictHttp.Requests decoder, ClientConnection real) {
            this.decoder = decoder;
            this.real = real;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            String id =
                    message instanceof HttpRequest request ? request.headers().get("X-Correlation-Id") : null;
            if (message instanceof HttpRequest request
                    && token.equals(request.headers().get(TOKEN))) {
                ClientConnection own = new ClientConnection(ctx.channel(), decoder, Warmup.this);
                if (real == null) {
                    ctx.pipeline().addLast(own);
                } else {
                    ctx.pipeline().replace(real, null, own);
                }
                ctx.pipeline().remove(this);
                ctx.fireChannelRead(message);
            } else if (id != null && id.startsWith(token)) {
                answer = answer(new byte[BODY_BYTES]);
            } else if (message instanceof HttpRequest request
                    && !over
                    && request.uri().startsWith(Discovery.LIST)) {
                answer = request.uri().contains("?")
                        ? null
                        : answer(("{\"seq\":0,\"whole\":true,\"hosts\":[{\"host\":\"" + NODE + "\",\"dial\":\""
                                        + NetUtil.toSocketAddressString(self) + "\",\"health\":\"Ready\"}]}")
                                .getBytes(StandardCharsets.UTF_8));
            } else if (message instanceof HttpRequest && real == null) {
                ctx.close();
            } else if (message instanceof HttpRequest) {
                ctx.pipeline().remove(this);
                ctx.fireChannelRead(message);
                return;
            } else if (message instanceof LastHttpContent && answer != null) {
                ctx.channel().writeAndFlush(answer);
                answer = null;
            }
            if (ctx.pipeline().context(this) != null) {
                ReferenceCountUtil.release(message);
            }
        }

        private static FullHttpResponse answer(byte[] body) {
            FullHttpResponse answer = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(body));
            answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length).set("X-Lookup", "hit");
            return answer;
        }
    }

    // ---- what the warm-up's own clients have in common

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
    public void idle(ClientConnection connection, boolean turnedAway) {}
}
