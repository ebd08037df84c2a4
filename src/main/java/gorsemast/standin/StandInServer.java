package gorsemast.standin;

import gorsemast.http.StrictHttp;
import gorsemast.transport.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
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
 * One server instance: executes requests after a delay, records them, sends heartbeats to the registries, and rejects
 * requests meant for another instance. Tests set its faults. Runs on one event loop; public methods may be called from any
 * thread.
 */
public final class StandInServer implements AutoCloseable {
    /** Allows the longest request head that a test configuration permits. */
    private static final int MAX_HEAD_BYTES = 32 << 10;

    private static final int MAX_BODY_BYTES = 1 << 20;
    /** Bytes appended to objects below a path {@code /long/}. */
    public static final int LONG_OBJECT_BYTES = 3 << 20;

    /** How it handles requests. */
    public enum Behavior {
        SERVES,
        REJECTS,
        FAILS,
        NEVER_RESPONDS,
        TRUNCATES_RESPONSE,
        RESPONDS_TWICE,
        REPEATS_PREVIOUS_RESPONSE,
        RESETS
    }

    /** A request that it executed, with its start by {@link System#nanoTime}. */
    public record Run(String attemptId, String method, String uri, String body, long nanos) {}

    /** Chooses what is sent in place of a response. */
    public interface RawResponses {
        /**
         * All bytes of the response as ISO 8859-1; null to respond as the behavior says.
         *
         * @param body the body of the regular response
         */
        String rawResponse(Run run, String body);
    }

    private final EventLoop loop;
    private final String id;
    private final String service;
    private final String zone;
    private final List<InetSocketAddress> registries;
    private final Map<String, Integer> versions = new ConcurrentHashMap<>();
    private final List<Run> runs = new ArrayList<>();
    private final List<Channel> open = new ArrayList<>();
    private volatile Behavior behavior = Behavior.SERVES;
    private volatile String state = "ready";
    private volatile boolean heartbeatsEnabled = true;
    private volatile RawResponses rawResponses = (run, body) -> null;
    private volatile long workMicros;
    private volatile int failure = HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
    private Channel listener;
    private long callSequence;
    private int registryIndex;

    /** Creates a server that listens on its own address and sends heartbeats at once. */
    public StandInServer(
            EventLoop loop,
            String id,
            String service,
            String zone,
            String ip,
            int port,
            List<InetSocketAddress> registries,
            long heartbeatMillis)
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
                                new StrictHttp.Requests(MAX_HEAD_BYTES),
                                new HttpResponseEncoder(),
                                new HttpObjectAggregator(MAX_BODY_BYTES),
                                new RequestHandler());
            }
        });
        loop.scheduleAtFixedRate(this::sendHeartbeat, 0, heartbeatMillis, TimeUnit.MILLISECONDS);
    }

    /** Its listen address. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Id of this instance. */
    public String id() {
        return id;
    }

    /** Sets how it handles requests from now on. */
    public void setBehavior(Behavior next) {
        behavior = next;
    }

    /** Sets what it sends in place of responses from now on, after executing the requests. */
    public void setRawResponses(RawResponses next) {
        rawResponses = next;
    }

    /** Executes requests and responds with this status, without marking them as not executed. */
    public void failsWith(int status) {
        failure = status;
        behavior = Behavior.FAILS;
    }

    /** Sets the processing time of each request. */
    public void setWorkMicros(long micros) {
        workMicros = micros;
    }

    /** Reports to the registries that it is draining, from its next heartbeat on. */
    public void drain() {
        state = "draining";
        loop.execute(this::sendHeartbeat);
    }

    /** Stops or resumes heartbeats. */
    public void setHeartbeatsEnabled(boolean enabled) {
        heartbeatsEnabled = enabled;
    }

    /** Changes the version of an object. */
    public void change(String uri) {
        versions.merge(uri, 1, Integer::sum);
    }

    /** All executed requests. */
    public List<Run> runs() {
        synchronized (runs) {
            return List.copyOf(runs);
        }
    }

    private void sendHeartbeat() {
        if (!heartbeatsEnabled || registries.isEmpty()) {
            return;
        }
        InetSocketAddress at = address();
        String body = "{\"backend\":\"" + service + "\",\"address\":\""
                + at.getAddress().getHostAddress() + ':' + at.getPort()
                + "\",\"zone\":\"" + zone + "\",\"configVersion\":\"v1\",\"capacity\":8,\"state\":\"" + state
                + "\",\"warmupLeft\":\"0ms\",\"callSeq\":" + ++callSequence + '}';
        HttpCall.post(
                loop,
                registries.get(registryIndex % registries.size()),
                "/v1/nodes/" + id + "/heartbeat",
                body.getBytes(StandardCharsets.UTF_8),
                (status, answer) -> {
                    if (status != 200) {
                        registryIndex++;
                    }
                });
    }

    /** Stops without deregistering. */
    @Override
    public void close() {
        heartbeatsEnabled = false;
        loop.execute(() -> {
            listener.close();
            open.forEach(Channel::close);
        });
    }

    /** Handles one connection, one request at a time. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
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
            Behavior current = behavior;
            if (current == Behavior.REJECTS) {
                write(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, attempt, "", false);
                return;
            }
            String uri = request.uri();
            Run run = new Run(
                    attempt,
                    request.method().name(),
                    uri,
                    request.content().toString(StandardCharsets.UTF_8),
                    System.nanoTime());
            synchronized (runs) {
                runs.add(run);
            }
            String body = "object " + uri + " version " + versions.getOrDefault(uri, 0) + '\n'
                    + (uri.contains("/long/") ? "x".repeat(LONG_OBJECT_BYTES) : "");
            String raw = rawResponses.rawResponse(run, body);
            if (raw != null) {
                loop.schedule(() -> writeRaw(ctx, raw), workMicros, TimeUnit.MICROSECONDS);
                return;
            }
            if (current == Behavior.REPEATS_PREVIOUS_RESPONSE && lastAttempt != null) {
                write(ctx, HttpResponseStatus.OK, lastAttempt, lastBody, true); // instead of the response that is due
            }
            lastAttempt = attempt;
            lastBody = body;
            switch (current) {
                case NEVER_RESPONDS -> {
                    // the caller times out
                }
                case RESETS -> ctx.close();
                case FAILS -> write(ctx, HttpResponseStatus.valueOf(failure), attempt, "failed", true);
                case TRUNCATES_RESPONSE -> {
                    String whole = "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nEdge-Seal: " + id
                            + "\r\nContent-Length: " + (body.length() + 10) + "\r\n\r\n" + body;
                    writeRaw(ctx, whole).addListener(done -> ctx.close());
                }
                default ->
                    loop.schedule(
                            () -> {
                                write(ctx, HttpResponseStatus.OK, attempt, body, true);
                                if (current == Behavior.RESPONDS_TWICE) {
                                    write(ctx, HttpResponseStatus.OK, attempt, "again " + body, true);
                                }
                            },
                            workMicros,
                            TimeUnit.MICROSECONDS);
            }
        }

        /** Bypasses the encoder, which would not write a response that is incomplete or invalid. */
        private ChannelFuture writeRaw(ChannelHandlerContext ctx, String text) {
            return ctx.pipeline()
                    .firstContext()
                    .writeAndFlush(Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.ISO_8859_1)));
        }

        private void write(
                ChannelHandlerContext ctx, HttpResponseStatus status, String attempt, String body, boolean executed) {
            ByteBuf content = ByteBufUtil.writeUtf8(ctx.alloc(), body);
            FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
            answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
            if (attempt != null) {
                answer.headers().set("Attempt-Id", attempt);
            }
            if (executed) {
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
