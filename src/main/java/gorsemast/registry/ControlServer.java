package gorsemast.registry;

import gorsemast.http.StrictHttp;
import gorsemast.logging.Log;
import gorsemast.transport.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/**
 * Where servers and operators call: reads each call whole, has it decoded and run, and answers once. A connection
 * carries one call at a time; what can't be read is answered with a 4xx and closed.
 */
final class ControlServer {
    private static final int MOST_BODY = 16 << 20;
    private static final int IDLE_SECONDS = 30;
    private static final Log LOG = new Log("registry");

    /** Runs a command; the reply may come later, on the loop. */
    interface Runner {
        void run(Command command, int size, RegistryNode.Reply reply);
    }

    private final EventLoop loop;
    private final Runner runner;

    ControlServer(EventLoop loop, Runner runner) {
        this.loop = loop;
        this.runner = runner;
    }

    void listen(InetSocketAddress at) throws IOException {
        Transport.listen(loop, at, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel ch) {
                ch.pipeline()
                        .addLast(
                                new ReadTimeoutHandler(IDLE_SECONDS),
                                new StrictHttp.Requests(),
                                new HttpResponseEncoder(),
                                new HttpObjectAggregator(MOST_BODY, true),
                                new Caller());
            }
        });
    }

    /** One connection. */
    private final class Caller extends SimpleChannelInboundHandler<FullHttpRequest> {
        private boolean busy;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            boolean keep =
                    HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess();
            if (!request.decoderResult().isSuccess() || busy) {
                write(ctx, 400, "one whole call at a time", null, false);
                return;
            }
            int query = request.uri().indexOf('?');
            String path = query < 0 ? request.uri() : request.uri().substring(0, query);
            int size = request.content().readableBytes();
            try {
                Command command =
                        CommandDecoder.decode(request.method().name(), path, ByteBufUtil.getBytes(request.content()));
                busy = true;
                boolean[] answered = new boolean[1];
                runner.run(command, size, (status, text, body) -> {
                    if (!answered[0]) {
                        answered[0] = true;
                        busy = false;
                        write(ctx, status, text, body, keep);
                    }
                });
            } catch (CommandException e) {
                write(ctx, e.code().status(), e.getMessage(), null, keep);
            } catch (RuntimeException e) {
                LOG.internalError(e);
                write(ctx, 500, "a fault", null, false);
            }
        }

        private void write(ChannelHandlerContext ctx, int status, String text, byte[] body, boolean keep) {
            byte[] bytes = body != null
                    ? body
                    : (text == null ? "{}" : "{\"error\":" + quoted(text) + "}").getBytes(StandardCharsets.UTF_8);
            ByteBuf content = Unpooled.wrappedBuffer(bytes);
            FullHttpResponse answer =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
            answer.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
                    .set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
            if (!keep) {
                answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            ChannelFuture written = ctx.writeAndFlush(answer);
            if (!keep) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        private String quoted(String text) {
            StringBuilder quoted = new StringBuilder("\"");
            for (int i = 0; i < text.length(); i++) {
                char c = text.charAt(i);
                if (c == '"' || c == '\\') {
                    quoted.append('\\');
                }
                quoted.append(c < ' ' ? ' ' : c);
            }
            return quoted.append('"').toString();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
