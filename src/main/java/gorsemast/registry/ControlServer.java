package gorsemast.registry;

import gorsemast.http.StrictHttp;
import gorsemast.logging.Log;
import gorsemast.transport.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
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
 * The HTTP server for servers and operators: reads each request whole, has it decoded and executed, and answers it once.
 * A connection carries one request at a time; an unreadable request is answered with a 4xx and the connection is closed.
 */
final class ControlServer {
    private static final int MAX_BODY_BYTES = 16 << 20;
    private static final int IDLE_TIMEOUT_SECONDS = 30;
    private static final Log LOG = new Log("registry");

    /** Executes a command; the reply may come later, on the event loop. */
    interface CommandRunner {
        void run(Command command, int size, RegistryNode.Reply reply);
    }

    private final EventLoop loop;
    private final CommandRunner runner;

    ControlServer(EventLoop loop, CommandRunner runner) {
        this.loop = loop;
        this.runner = runner;
    }

    void listen(InetSocketAddress address) throws IOException {
        Transport.listen(loop, address, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel ch) {
                ch.pipeline()
                        .addLast(
                                new ReadTimeoutHandler(IDLE_TIMEOUT_SECONDS),
                                new StrictHttp.Requests(),
                                new HttpResponseEncoder(),
                                new HttpObjectAggregator(MAX_BODY_BYTES, true),
                                new ConnectionHandler());
            }
        });
    }

    /** Handles the requests of one connection. */
    private final class ConnectionHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private boolean commandPending;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            boolean keepAlive =
                    HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess();
            if (!request.decoderResult().isSuccess() || commandPending) {
                writeResponse(ctx, 400, "one whole call at a time", null, false);
                return;
            }
            int query = request.uri().indexOf('?');
            String path = query < 0 ? request.uri() : request.uri().substring(0, query);
            int size = request.content().readableBytes();
            try {
                Command command =
                        CommandDecoder.decode(request.method().name(), path, ByteBufUtil.getBytes(request.content()));
                commandPending = true;
                boolean[] replied = new boolean[1];
                runner.run(command, size, (status, text, body) -> {
                    if (!replied[0]) {
                        replied[0] = true;
                        commandPending = false;
                        writeResponse(ctx, status, text, body, keepAlive);
                    }
                });
            } catch (CommandException e) {
                writeResponse(ctx, e.code().status(), e.getMessage(), null, keepAlive);
            } catch (RuntimeException e) {
                LOG.internalError(e);
                writeResponse(ctx, 500, "a fault", null, false);
            }
        }

        private void writeResponse(ChannelHandlerContext ctx, int status, String text, byte[] body, boolean keepAlive) {
            byte[] bytes = body != null
                    ? body
                    : (text == null ? "{}" : "{\"error\":" + quote(text) + "}").getBytes(StandardCharsets.UTF_8);
            ByteBuf content = Unpooled.wrappedBuffer(bytes);
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
                    .set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
            if (!keepAlive) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            ctx.writeAndFlush(response)
                    .addListener(keepAlive ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
        }

        private String quote(String text) {
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
