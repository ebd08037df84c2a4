package gorsemast.standin;

import gorsemast.http.StrictHttp;
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
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.Map;

/** One HTTP call on its own connection. The response is delivered on the event loop; status 0 means none. */
public final class HttpCall {
    private static final int MAX_BODY_BYTES = 32 << 20;
    private static final int CONNECT_MILLIS = 1_000;

    /** Receives the response once. */
    public interface ResponseHandler {
        /** @param status 0 if no complete response arrived */
        void answered(int status, byte[] body);
    }

    private HttpCall() {}

    /** Sends a POST with a JSON body. */
    public static void post(EventLoop loop, InetSocketAddress to, String path, byte[] body, ResponseHandler handler) {
        send(loop, to, "POST", path, Map.of("Content-Type", "application/json"), body, handler);
    }

    /** Sends a request. */
    public static void send(
            EventLoop loop,
            InetSocketAddress to,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            ResponseHandler done) {
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
                        StrictHttp.addClientCodecs(ch.pipeline(), request.method(), MAX_BODY_BYTES);
                        ch.pipeline().addLast(new ResponseReader(done));
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

    private static final class ResponseReader extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final ResponseHandler handler;
        private boolean finished;

        ResponseReader(ResponseHandler handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (!finished) {
                finished = true;
                handler.answered(answer.status().code(), ByteBufUtil.getBytes(answer.content()));
            }
            ctx.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (!finished) {
                finished = true;
                handler.answered(0, new byte[0]);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
