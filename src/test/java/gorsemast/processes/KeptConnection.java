package gorsemast.processes;

import gorsemast.standin.LoopbackNetwork;
import gorsemast.transport.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
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
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A client that asks one thing after the other on one connection for as long as the other end keeps it open, and opens the next
 * one only then. On an event loop.
 */
final class KeptConnection {
    private static final int MOST = 8 << 20;
    private static final int CONNECT_MILLIS = 1_000;
    private static final long USUAL_BUDGET_MILLIS = 1_500;

    /** What is asked next. */
    record Request(String id, String method, String path) {
        boolean isRepeatable() {
            return method.equals("GET");
        }
    }

    /** What became of a request; status 0 where its connection ended, or its time, without a whole answer. */
    record Ended(Request request, long sentNanos, long endedNanos, int status, String body, boolean connected) {}

    private final EventLoop loop;
    private final InetSocketAddress to;
    private final long patienceMillis;
    private final long budgetMillis;
    private Channel channel;
    private Request current;
    private long sentNanos;
    private Consumer<Ended> told;
    private int turn;

    KeptConnection(EventLoop loop, InetSocketAddress to, long patienceMillis) {
        this(loop, to, patienceMillis, USUAL_BUDGET_MILLIS);
    }

    /** @param budgetMillis how long the requests say that their client waits */
    KeptConnection(EventLoop loop, InetSocketAddress to, long patienceMillis, long budgetMillis) {
        this.loop = loop;
        this.to = to;
        this.patienceMillis = patienceMillis;
        this.budgetMillis = budgetMillis;
    }

    /** Asks; one request at a time. */
    void ask(Request request, Consumer<Ended> ending) {
        current = request;
        told = ending;
        sentNanos = System.nanoTime();
        int mine = ++turn;
        loop.schedule(() -> patienceOver(mine), patienceMillis, TimeUnit.MILLISECONDS);
        if (channel != null && channel.isActive()) {
            send();
            return;
        }
        new Bootstrap()
                .group(loop)
                .channel(Transport.stream(loop))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MOST), new Answers());
                    }
                })
                .connect(to)
                .addListener(connected -> {
                    if (connected.isSuccess()) {
                        channel = ((ChannelFuture) connected).channel();
                        send();
                    } else {
                        end(0, "", false);
                    }
                });
    }

    private void patienceOver(int which) {
        if (which == turn && current != null) {
            close();
            end(0, "", true);
        }
    }

    private void send() {
        if (current == null) {
            return;
        }
        byte[] body = current.isRepeatable() ? new byte[0] : "1 euro".getBytes(StandardCharsets.US_ASCII);
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.valueOf(current.method), current.path, Unpooled.wrappedBuffer(body));
        LoopbackNetwork.client(current.id).forEach(message.headers()::set);
        message.headers().set("Time-Budget", budgetMillis);
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        channel.writeAndFlush(message);
    }

    private void end(int status, String body, boolean connected) {
        if (current != null) {
            Ended ended = new Ended(current, sentNanos, System.nanoTime(), status, body, connected);
            current = null;
            told.accept(ended);
        }
    }

    /** Ends the connection. */
    void close() {
        if (channel != null) {
            channel.close();
            channel = null;
        }
    }

    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (!HttpUtil.isKeepAlive(answer)) {
                ctx.close();
                channel = null;
            }
            int status = answer.decoderResult().isSuccess() ? answer.status().code() : 0;
            end(status, answer.content().toString(StandardCharsets.UTF_8), true);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (channel == ctx.channel()) {
                channel = null;
                end(0, "", true);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
