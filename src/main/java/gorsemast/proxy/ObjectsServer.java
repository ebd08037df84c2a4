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

/**
 * Serves objects to the edges that request them from this edge as their home. One request per connection at a time;
 * runs on one event loop.
 */
final class ObjectsServer {
    private static final int MAX_REQUEST_BODY_BYTES = 4_096;

    private final EventLoop loop;
    private final LongSupplier clock;
    private final Supplier<Configuration> configuration;
    private final ObjectService objects;
    private final GossipState gossipState;
    private final AcceptLimiter acceptLimiter;
    private final EventCounters<SocketEvent> socketEvents;

    ObjectsServer(
            EventLoop loop,
            LongSupplier clock,
            Supplier<Configuration> configuration,
            ObjectService objects,
            GossipState gossipState,
            EventCounters<SocketEvent> socketEvents,
            int maxConnections) {
        this.loop = loop;
        this.clock = clock;
        this.configuration = configuration;
        this.objects = objects;
        this.gossipState = gossipState;
        this.socketEvents = socketEvents;
        this.acceptLimiter = new AcceptLimiter(maxConnections, new EdgeObserver(socketEvents));
    }

    void listen(InetSocketAddress at) throws IOException {
        acceptLimiter.attach(Transport.listen(loop, at, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel ch) {
                acceptLimiter.connectionAccepted(ch);
                ch.pipeline()
                        .addLast(
                                new StrictHttp.Requests(Frontend.MAX_HEAD_BYTES),
                                new HttpResponseEncoder(),
                                new HttpObjectAggregator(MAX_REQUEST_BODY_BYTES, true),
                                new EdgeConnection());
            }
        }));
    }

    /** Counts events on the connections of other edges. */
    private record EdgeObserver(EventCounters<SocketEvent> socketEvents) implements AcceptLimiter.Observer {
        @Override
        public void accepted() {
            socketEvents.count(SocketEvent.EDGE_ACCEPTED);
        }

        @Override
        public void full() {
            socketEvents.count(SocketEvent.EDGES_FULL);
        }

        @Override
        public void noLongerFull(long micros) {
            socketEvents.count(SocketEvent.EDGES_FULL_OVER, micros);
        }

        @Override
        public void closed(long micros) {
            // not counted: EDGE_ANSWER_WRITTEN counts the responses instead
        }
    }

    /** A connection of another edge. */
    private final class EdgeConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private boolean keepAlive = true;
        /** Id of the request in progress; null for none. */
        private String requestId;

        private String purgeDigest() {
            return Long.toHexString(gossipState.purgeDigest());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            String host = request.headers().get(HttpHeaderNames.HOST);
            String purgeDigestSeen = request.headers().get(HomeDialect.PURGE_DIGEST_HEADER);
            String timeLeft = request.headers().get(HomeDialect.TIME_LEFT_HEADER);
            String id = request.headers().get(HomeDialect.REQUEST_ID_HEADER);
            boolean complete = host != null && purgeDigestSeen != null && timeLeft != null && id != null;
            if (!request.decoderResult().isSuccess() || !complete || requestId != null) {
                // Not a valid request of an edge, or a pipelined one, whose response could be sent out of order.
                ctx.close();
                return;
            }
            requestId = id;
            Configuration current = configuration.get();
            String uri = request.uri();
            int query = uri.indexOf('?');
            Route route = current == null
                    ? null
                    : current.route(Configuration.normalizeHost(host), query < 0 ? uri : uri.substring(0, query));
            if (route == null || route.kind() != Route.Kind.CACHEABLE) {
                write(ctx, HomeDialect.CONFLICT, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
                return;
            }
            keepAlive = HttpUtil.isKeepAlive(request);
            long deadline = clock.getAsLong() + Long.parseLong(timeLeft) * 1_000;
            int hop = request.headers().getInt(HomeDialect.HOP_HEADER, FetchCoordinator.HOP_HOME);
            ObjectRequest object = new ObjectRequest(route, route.host(), uri);
            // Started after everything received with the request has been read, so that it isn't processed if the
            // other edge has disconnected.
            loop.execute(() -> {
                if (ctx.channel().isActive()) {
                    objects.serveEdge(object, hop, deadline, responder(ctx, purgeDigestSeen));
                }
            });
        }

        /**
         * Responds to the request in progress.
         *
         * @param purgeDigestSeen digest of the purges known to the requesting edge
         */
        private ObjectWaiter<FullHttpResponse> responder(ChannelHandlerContext ctx, String purgeDigestSeen) {
            return new ObjectWaiter<>() {
                @Override
                public void onResponse(CachedResponse cached, boolean purged) {
                    if (purged || !purgeDigest().equals(purgeDigestSeen)) {
                        write(ctx, HomeDialect.CONFLICT, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
                        return;
                    }
                    HttpHeaders headers = new DefaultHttpHeaders();
                    cached.headers().forEach(header -> headers.add(header.getKey(), header.getValue()));
                    headers.set(HomeDialect.AGE_HEADER, clock.getAsLong() - cached.requestedAt())
                            .set(HomeDialect.TTL_HEADER, cached.ttlMicros());
                    write(ctx, cached.status(), headers, Unpooled.wrappedBuffer(cached.body()));
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
                    headers.set(HttpHeaderNames.RETRY_AFTER, RetryAfter.format(retryAfter));
                    write(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE.code(), headers, Unpooled.EMPTY_BUFFER);
                }

                @Override
                public void onTooLong() {
                    write(ctx, HomeDialect.CONFLICT, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
                }

                @Override
                public void onStillFetching() {
                    HttpHeaders headers = new DefaultHttpHeaders();
                    headers.set(HomeDialect.STILL_FETCHING_HEADER, "1");
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

                @Override
                public boolean isWaiting() {
                    return ctx.channel().isActive();
                }
            };
        }

        private void write(ChannelHandlerContext ctx, int status, HttpHeaders headers, ByteBuf body) {
            FullHttpResponse answer =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body);
            answer.headers()
                    .add(headers)
                    .set(HomeDialect.REQUEST_ID_HEADER, requestId)
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            requestId = null;
            HttpUtil.setKeepAlive(answer, keepAlive);
            long startedAt = clock.getAsLong();
            ChannelFuture written = ctx.writeAndFlush(answer);
            written.addListener(
                    done -> socketEvents.count(SocketEvent.EDGE_ANSWER_WRITTEN, clock.getAsLong() - startedAt));
            // After a failed write the next response would take the place of what is missing of this one.
            written.addListener(keepAlive ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
