package gorsemast.standin;

import gorsemast.transport.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
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
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.Map;

/** One call of a stand-in on a connection of its own; its answer comes on the loop, status 0 for none. */
public final class HttpCall {
    private static final int MOST = 32 << 20;
    private static final int CONNECT_MILLIS = 1_000;

    /** Told once. */
    public interface Done {
        /** @param status 0 where no whole answer came */
        void answered(int status, byte[] body);
    }

    private HttpCall() {}

    /** A POST with a JSON body. */
    public static void post(EventLoop loop, InetSocketAddress to, String path, byte[] body, Done done) {
        send(loop, to, "POST", path, Map.of("Content-Type", "application/json"), body, done);
    }

    /** Any call. */
    public static void send(
            EventLoop loop,
            InetSocketAddress to,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            Done done) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(method),
                path,
                body == null ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body));
        request.headers()
                .set(HttpHeaderNames.HOST, to.getAddress().getHostAddress())
                .set(HttpHeaderNames.CONNECTION, "close");
        headers.forEach(request.headers()::set);
        if (body != null) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        new Bootstrap()
                .group(loop)
                .channel(Transport.stream(loop))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MOST), new Waiting(done));
                    }
                })
                .connect(to)
                .addListener(connected -> {
                    if (connected.isSuccess()) {
                        ((io.netty.channel.ChannelFuture) connected).channel().writeAndFlush(request);
                    } else {
                        request.release();
                        done.answered(0, new byte[0]);
                    }
                });
    }

    private static final class Waiting extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Done done;
        private boolean over;

        Waiting(Done done) {
            this.done = done;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (!over) {
                over = true;
                done.answered(answer.status().code(), ByteBufUtil.getBytes(answer.content()));
            }
            ctx.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (!over) {
                over = true;
                done.answered(0, new byte[0]);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
