package gorsemast.proxy;

import gorsemast.cache.CachedResponse;
import gorsemast.cache.FetchCoordinator;
import gorsemast.cache.ObjectRequest;
import gorsemast.cache.ObjectWaiter;
import gorsemast.configuration.Configuration;
import gorsemast.configuration.Route;
import gorsemast.dispatch.HopByHopHeaders;
import gorsemast.gossip.GossipState;
import gorsemast.http.StrictHttp;
import gorsemast.observe.EventCounters;
import gorsemast.transport.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Where other edges ask for the objects whose home this edge is. One request a connection at a time; one event loop. */
final class ObjectsServer {
    private static final int MOST = 4_096;

    private final EventLoop loop;
    private final LongSupplier clock;
    private final Supplier<Configuration> configuration;
    private final ObjectService desk;
    private final GossipState board;
    private final AcceptLimiter acceptLimiter;
    private final EventCounters<SocketEvent> sockets;

    ObjectsServer(
            EventLoop loop,
            LongSupplier clock,
            Supplier<Configuration> configuration,
            ObjectService desk,
            GossipState board,
            EventCounters<SocketEvent> sockets,
            int places) {
        this.loop = loop;
        this.clock = clock;
        this.configuration = configuration;
        this.desk = desk;
        this.board = board;
        this.sockets = sockets;
        this.acceptLimiter = new AcceptLimiter(places, new EdgeWatcher(sockets));
    }

    void listen(InetSocketAddress at) throws IOException {
        acceptLimiter.at(Transport.listen(loop, at, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel ch) {
                acceptLimiter.comes(ch);
                ch.pipeline()
                        .addLast(
                                new StrictHttp.Requests(Frontend.MOST_HEAD),
                                new HttpResponseEncoder(),
                                new HttpObjectAggregator(MOST, true),
                                new Asker());
            }
        }));
    }

    /** Counts what happens to the connections of other edges. */
    private record EdgeWatcher(EventCounters<SocketEvent> sockets) implements AcceptLimiter.Watcher {
        @Override
        public void accepted() {
            sockets.count(SocketEvent.EDGE_ACCEPTED);
        }

        @Override
        public void full() {
            sockets.count(SocketEvent.EDGES_FULL);
        }

        @Override
        public void fullOver(long micros) {
            sockets.count(SocketEvent.EDGES_FULL_OVER, micros);
        }

        @Override
        public void closed(long micros) {
            // its answers are counted
        }
    }

    /** One connection of another edge. */
    private final class Asker extends SimpleChannelInboundHandler<FullHttpRequest> {
        private boolean keep = true;
        /** The number of the question that is in hand; null for none. */
        private String call;

        private String inStep() {
            return Long.toHexString(board.purgeDigest());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            String host = request.headers().get(HttpHeaderNames.HOST);
            String step = request.headers().get(HomeDialect.STEP);
            String left = request.headers().get(HomeDialect.LEFT);
            String number = request.headers().get(HomeDialect.CALL);
            boolean whole = host != null && step != null && left != null && number != null;
            if (!request.decoderResult().isSuccess() || !whole || call != null) {
                ctx.close(); // no edge, or one that asks ahead, whose answers could come in another order
                return;
            }
            call = number;
            Configuration now = configuration.get();
            String uri = request.uri();
            int query = uri.indexOf('?');
            Route route = now == null
                    ? null
                    : now.route(Configuration.normalizeHost(host), query < 0 ? uri : uri.substring(0, query));
            if (route == null || route.kind() != Route.Kind.CACHEABLE) {
                write(ctx, HomeDialect.OUT_OF_STEP, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
                return;
            }
            keep = HttpUtil.isKeepAlive(request);
            long giveUp = clock.getAsLong() + Long.parseLong(left) * 1_000;
            int hop = request.headers().getInt(HomeDialect.HOP, FetchCoordinator.HOP_HOME);
            ObjectRequest what = new ObjectRequest(route, route.host(), uri);
            // Once all that came with it is read: who has left meanwhile is not worked for.
            loop.execute(() -> {
                if (ctx.channel().isActive()) {
                    desk.ask(what, hop, giveUp, answering(ctx, step));
                }
            });
        }

        /** Answers the question in hand; {@code step} names the purges that its asker knew of. */
        private ObjectWaiter<FullHttpResponse> answering(ChannelHandlerContext ctx, String step) {
            return new ObjectWaiter<>() {
                @Override
                public void onResponse(CachedResponse copy, boolean once) {
                    if (once || !inStep().equals(step)) {
                        write(ctx, HomeDialect.OUT_OF_STEP, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
                        return;
                    }
                    HttpHeaders headers = new DefaultHttpHeaders();
                    copy.headers().forEach(header -> headers.add(header.getKey(), header.getValue()));
                    headers.set(HomeDialect.AGE, clock.getAsLong() - copy.requestedAt())
                            .set(HomeDialect.LIFE, copy.ttlMicros());
                    write(ctx, copy.status(), headers, Unpooled.wrappedBuffer(copy.body()));
                }

                @Override
                public void onUncacheable(FullHttpResponse answer) {
                    HttpHeaders headers = new DefaultHttpHeaders();
                    HopByHopHeaders.copyEndToEnd(answer.headers(), headers);
                    write(ctx, answer.status().code(), headers, answer.content().retainedDuplicate());
                }

                @Override
                public void onRefused(long retryAfter) {
                    HttpHeaders headers = new DefaultHttpHeaders();
                    headers.set(HttpHeaderNames.RETRY_AFTER, Frontend.seconds(retryAfter));
                    write(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE.code(), headers, Unpooled.EMPTY_BUFFER);
                }

                @Override
                public void onTooLong() {
                    write(ctx, HomeDialect.OUT_OF_STEP, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
                }

                @Override
                public void onStillFetching() {
                    HttpHeaders headers = new DefaultHttpHeaders();
                    headers.set(HomeDialect.IN_HAND, "1");
                    write(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE.code(), headers, Unpooled.EMPTY_BUFFER);
                }

                @Override
                public void onFailed() {
                    write(
                            ctx,
                            HttpResponseStatus.GATEWAY_TIMEOUT.code(),
                            new DefaultHttpHeaders(),
                            Unpooled.EMPTY_BUFFER);
                }
            };
        }

        private void write(ChannelHandlerContext ctx, int status, HttpHeaders headers, ByteBuf body) {
            FullHttpResponse answer =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body);
            answer.headers()
                    .add(headers)
                    .set(HomeDialect.CALL, call)
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            call = null;
            HttpUtil.setKeepAlive(answer, keep);
            long begun = clock.getAsLong();
            ChannelFuture written = ctx.writeAndFlush(answer);
            written.addListener(done -> sockets.count(SocketEvent.EDGE_ANSWER_WRITTEN, clock.getAsLong() - begun));
            if (!keep) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
