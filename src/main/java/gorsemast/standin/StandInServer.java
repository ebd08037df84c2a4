package gorsemast.standin;

import gorsemast.http.StrictHttp;
import gorsemast.transport.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * One life of a server: runs what is asked of it after a time, says what it ran, beats at the registries, and turns away
 * what is meant for another life. What it does wrong is set from outside, for tests. One event loop; what is public may
 * be called from any thread.
 */
public final class StandInServer implements AutoCloseable {
    /** A client may fill a head of the longest that an operator allows in tests. */
    private static final int MOST_HEAD = 32 << 10;

    private static final int MOST = 1 << 20;
    /** What it appends to objects below a path {@code /long/}. */
    public static final int LONG = 3 << 20;

    /** What it does with the next requests. */
    public enum Manner {
        SERVES,
        TURNS_AWAY,
        FAILS,
        SAYS_NOTHING,
        CUTS_SHORT,
        ANSWERS_TWICE,
        ANSWERS_LATE_AGAIN,
        RESETS
    }

    /** A request that it ran, and when it began to, of {@link System#nanoTime}. */
    public record Run(String attemptId, String method, String uri, String body, long nanos) {}

    private final EventLoop loop;
    private final String id;
    private final String service;
    private final String zone;
    private final List<InetSocketAddress> registries;
    private final Map<String, Integer> versions = new ConcurrentHashMap<>();
    private final List<Run> runs = new ArrayList<>();
    private final List<Channel> open = new ArrayList<>();
    private volatile Manner manner = Manner.SERVES;
    private volatile String state = "ready";
    private volatile boolean beating = true;
    private volatile long workMicros;
    private volatile int failure = HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
    private Channel listener;
    private long calls;
    private int turn;

    /** One that listens on an address of its own; begins to beat at once. */
    public StandInServer(
            EventLoop loop,
            String id,
            String service,
            String zone,
            String ip,
            int port,
            List<InetSocketAddress> registries,
            long beatMillis)
            throws IOException {
        this.loop = loop;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.registries = List.copyOf(registries);
        listener = Transport.listen(loop, new InetSocketAddress(ip, port), new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel ch) {
                open.add(ch);
                ch.pipeline()
                        .addLast(
                                new StrictHttp.Requests(MOST_HEAD),
                                new HttpResponseEncoder(),
                                new HttpObjectAggregator(MOST),
                                new Serving());
            }
        });
        loop.scheduleAtFixedRate(this::beat, 0, beatMillis, TimeUnit.MILLISECONDS);
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** This life's id. */
    public String id() {
        return id;
    }

    /** What it does from now on. */
    public void manner(Manner next) {
        manner = next;
    }

    /** Runs what comes and answers it with this status, without a word that it has not run. */
    public void failsWith(int status) {
        failure = status;
        manner = Manner.FAILS;
    }

    /** How long it works on each request. */
    public void work(long micros) {
        workMicros = micros;
    }

    /** Tells the registries that it leaves, from its next beat on. */
    public void drain() {
        state = "draining";
        loop.execute(this::beat);
    }

    /** Beats no more, or again. */
    public void beats(boolean does) {
        beating = does;
    }

    /** An object has another version from now on. */
    public void change(String uri) {
        versions.merge(uri, 1, Integer::sum);
    }

    /** All that it ran. */
    public List<Run> runs() {
        synchronized (runs) {
            return List.copyOf(runs);
        }
    }

    private void beat() {
        if (!beating || registries.isEmpty()) {
            return;
        }
        InetSocketAddress at = address();
        String body = "{\"backend\":\"" + service + "\",\"address\":\""
                + at.getAddress().getHostAddress() + ':' + at.getPort()
                + "\",\"zone\":\"" + zone + "\",\"configVersion\":\"v1\",\"capacity\":8,\"state\":\"" + state
                + "\",\"warmupLeft\":\"0ms\",\"callSeq\":" + ++calls + '}';
        HttpCall.post(
                loop,
                registries.get(turn % registries.size()),
                "/v1/nodes/" + id + "/heartbeat",
                body.getBytes(StandardCharsets.UTF_8),
                (status, answer) -> {
                    if (status != 200) {
                        turn++;
                    }
                });
    }

    /** It is gone, without a word. */
    @Override
    public void close() {
        beating = false;
        loop.execute(() -> {
            listener.close();
            open.forEach(Channel::close);
        });
    }

    /** One connection; one request at a time. */
    private final class Serving extends SimpleChannelInboundHandler<FullHttpRequest> {
        private String lastAttempt;
        private String lastBody;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            String attempt = request.headers().get("Attempt-Id");
            String target = request.headers().get("Target-Instance");
            if (target != null && !target.equals(id)) {
                write(ctx, HttpResponseStatus.MISDIRECTED_REQUEST, attempt, "", false);
                return;
            }
            Manner does = manner;
            if (does == Manner.TURNS_AWAY) {
                write(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, attempt, "", false);
                return;
            }
            String uri = request.uri();
            synchronized (runs) {
                runs.add(new Run(
                        attempt,
                        request.method().name(),
                        uri,
                        request.content().toString(StandardCharsets.UTF_8),
                        System.nanoTime()));
            }
            String body = "object " + uri + " version " + versions.getOrDefault(uri, 0) + '\n'
                    + (uri.contains("/long/") ? "x".repeat(LONG) : "");
            if (does == Manner.ANSWERS_LATE_AGAIN && lastAttempt != null) {
                write(ctx, HttpResponseStatus.OK, lastAttempt, lastBody, true); // in the place of the one that is due
            }
            lastAttempt = attempt;
            lastBody = body;
            switch (does) {
                case SAYS_NOTHING -> {
                    // the caller finds out
                }
                case RESETS -> ctx.close();
                case FAILS -> write(ctx, HttpResponseStatus.valueOf(failure), attempt, "failed", true);
                case CUTS_SHORT -> {
                    byte[] whole = ("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nEdge-Seal: " + id
                                    + "\r\nContent-Length: " + (body.length() + 10) + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.UTF_8);
                    // straight to the socket: the encoder would not write what is no answer
                    ctx.pipeline()
                            .firstContext()
                            .writeAndFlush(Unpooled.wrappedBuffer(whole))
                            .addListener(done -> ctx.close());
                }
                default ->
                    loop.schedule(
                            () -> {
                                write(ctx, HttpResponseStatus.OK, attempt, body, true);
                                if (does == Manner.ANSWERS_TWICE) {
                                    write(ctx, HttpResponseStatus.OK, attempt, "again " + body, true);
                                }
                            },
                            workMicros,
                            TimeUnit.MICROSECONDS);
            }
        }

        private void write(
                ChannelHandlerContext ctx, HttpResponseStatus status, String attempt, String body, boolean ran) {
            ByteBuf content = ByteBufUtil.writeUtf8(ctx.alloc(), body);
            FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
            answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
            if (attempt != null) {
                answer.headers().set("Attempt-Id", attempt);
            }
            if (ran) {
                answer.headers()
                        .set("Edge-Seal", id)
                        .set("Object-Tags", "all")
                        .set(HttpHeaderNames.ETAG, '"' + Integer.toHexString(body.hashCode()) + '"');
            } else {
                answer.headers().set("Not-Executed", "1").set("Instance-Id", id);
            }
            ctx.writeAndFlush(answer);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
