package gorsemast.proxy;

import anisebend.Balancer.CacheStatus;
import anisebend.Balancer.Code;
import gorsemast.cache.CachedResponse;
import gorsemast.cache.HomeRequest;
import gorsemast.cache.HomeResponseListener;
import gorsemast.cache.ObjectRequest;
import gorsemast.dispatch.HopByHopHeaders;
import gorsemast.dispatch.ServerDialect;
import gorsemast.http.ResponseSink;
import gorsemast.http.Upstream;
import gorsemast.observe.EventCounters;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Requests objects from other edges over HTTP, in the format of {@link HomeDialect}. As many requests are in flight
 * as there are connections for them; the others wait in a queue. Runs on one event loop; times in microseconds.
 */
final class HomeClient {
    private static final int OK = 200;
    private static final int INTERNAL_SERVER_ERROR = 500;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final long MICROS_PER_MILLI = 1_000;
    /** Bytes of a response allowed in addition to the body. */
    private static final int RESPONSE_HEAD_BYTES = 1 << 16;

    private record Home(String host, InetSocketAddress dial) implements Upstream.Peer {}

    private final LongSupplier clock;
    private final Upstream upstream;
    private final Function<String, InetSocketAddress> addresses;
    private final boolean keepAlive;
    private final HomeRequestQueue queue;
    private final EventCounters<SocketEvent> socketEvents;
    private final SplittableRandom random;

    /**
     * Creates a client that sends over the given connections.
     *
     * @param addresses the socket address of an edge's object server, by the edge's address
     * @param maxInFlight requests in flight at a time
     * @param keepAlive whether connections are kept for the next request
     */
    HomeClient(
            EventLoop loop,
            LongSupplier clock,
            Upstream upstream,
            Function<String, InetSocketAddress> addresses,
            int maxInFlight,
            boolean keepAlive,
            EventCounters<SocketEvent> socketEvents,
            long seed) {
        this.clock = clock;
        this.upstream = upstream;
        this.addresses = addresses;
        this.keepAlive = keepAlive;
        this.socketEvents = socketEvents;
        this.queue = new HomeRequestQueue(loop, maxInFlight, socketEvents);
        this.random = new SplittableRandom(seed);
    }

    /** Requests an object; the listener is called exactly once. */
    void request(HomeRequest request, HomeResponseListener<FullHttpResponse> listener) {
        queue.add(
                new HomeRequestQueue.QueuedRequest() {
                    @Override
                    public void start() {
                        send(request, listener);
                    }

                    @Override
                    public void expired() {
                        listener.onSilent(true);
                    }
                },
                request.responseTimeout());
    }

    private FullHttpRequest toHttpRequest(HomeRequest homeRequest) {
        ObjectRequest object = homeRequest.object();
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, object.uri());
        request.headers()
                .set(HttpHeaderNames.HOST, object.host())
                .set(HomeDialect.PURGE_DIGEST_HEADER, Long.toHexString(homeRequest.purgeDigest()))
                .set(HomeDialect.TIME_LEFT_HEADER, homeRequest.responseTimeout() / MICROS_PER_MILLI)
                .set(HomeDialect.HOP_HEADER, homeRequest.hop())
                .set(HomeDialect.REQUEST_ID_HEADER, Long.toHexString(random.nextLong()));
        HttpUtil.setKeepAlive(request, keepAlive);
        return request;
    }

    private void send(HomeRequest homeRequest, HomeResponseListener<FullHttpResponse> listener) {
        Home home = new Home(homeRequest.edge(), addresses.apply(homeRequest.edge()));
        long sentAt = clock.getAsLong();
        long maxMicros = homeRequest.deadline() - clock.getAsLong();
        int bufferLimit = ObjectService.MAX_CACHED_BYTES + RESPONSE_HEAD_BYTES;
        upstream.sendWithIdleTimeout(
                home,
                toHttpRequest(homeRequest),
                homeRequest.responseTimeout(),
                maxMicros,
                bufferLimit,
                new Upstream.AttemptListener() {
                    private void requestEnded() {
                        socketEvents.count(SocketEvent.QUESTION_ENDED, clock.getAsLong() - sentAt);
                        queue.requestEnded();
                    }

                    @Override
                    public ResponseSink streaming(
                            CacheStatus cacheStatus, HttpResponse head, long length, ResponseSink.FlowControl flow) {
                        requestEnded();
                        listener.onUnusable(); // home edges never send responses that are too long to be cached
                        return null;
                    }

                    @Override
                    public void ended(Code code, CacheStatus cacheStatus, FullHttpResponse answer) {
                        requestEnded();
                        if (answer == null) {
                            listener.onSilent(code.endedLocally);
                        } else {
                            answered(answer, homeRequest.fetchStartedAt(), listener);
                        }
                    }
                });
    }

    private static void answered(
            FullHttpResponse answer, long fetchStartedAt, HomeResponseListener<FullHttpResponse> listener) {
        int status = answer.status().code();
        String retryAfter = answer.headers().get(HttpHeaderNames.RETRY_AFTER);
        CachedResponse cachedResponse = status == OK ? toCachedResponse(answer, fetchStartedAt) : null;
        if (cachedResponse != null) {
            listener.onResponse(cachedResponse);
        } else if (status == SERVICE_UNAVAILABLE && retryAfter != null) {
            listener.onRefused(RetryAfter.parse(retryAfter));
        } else if (status == SERVICE_UNAVAILABLE && answer.headers().contains(HomeDialect.STILL_FETCHING_HEADER)) {
            listener.onStillFetching();
        } else if (status != HomeDialect.CONFLICT && status < INTERNAL_SERVER_ERROR) {
            answer.headers().remove(HomeDialect.REQUEST_ID_HEADER);
            listener.onUncacheable(answer);
        } else {
            listener.onUnusable();
        }
    }

    /**
     * Converts a home edge's response to a cached response with its remaining lifetime; null where the headers that
     * confirm it are missing or malformed.
     */
    private static CachedResponse toCachedResponse(FullHttpResponse answer, long fetchStartedAt) {
        String age = answer.headers().get(HomeDialect.AGE_HEADER);
        String ttl = answer.headers().get(HomeDialect.TTL_HEADER);
        if (age == null || ttl == null || !answer.headers().contains(ServerDialect.EDGE_SEAL)) {
            return null;
        }
        HttpHeaders headers = new DefaultHttpHeaders();
        HopByHopHeaders.copyEndToEnd(answer.headers(), headers);
        headers.remove(HomeDialect.AGE_HEADER).remove(HomeDialect.TTL_HEADER).remove(HomeDialect.REQUEST_ID_HEADER);
        try {
            // The age counts from the start of the request: the two directions of the round trip can't be measured
            // separately.
            return ObjectService.toCachedResponse(
                    OK, headers, answer.content(), fetchStartedAt - Long.parseLong(age), Long.parseLong(ttl));
        } catch (NumberFormatException e) {
            return null; // the response is not from a home edge
        }
    }
}
