package gorsemast.proxy;

import gorsemast.admission.ConcurrencyLimiter;
import gorsemast.cache.CachedResponse;
import gorsemast.cache.FetchCoordinator;
import gorsemast.cache.HomeRequest;
import gorsemast.cache.HomeResponseListener;
import gorsemast.cache.ObjectRequest;
import gorsemast.cache.ObjectSources;
import gorsemast.cache.ObjectWaiter;
import gorsemast.cache.ServerResponseListener;
import gorsemast.configuration.Configuration;
import gorsemast.configuration.Route;
import gorsemast.dispatch.Call;
import gorsemast.dispatch.CallListener;
import gorsemast.dispatch.EdgeSharing;
import gorsemast.dispatch.HopByHopHeaders;
import gorsemast.dispatch.ServerDialect;
import gorsemast.dispatch.ServiceDispatcher;
import gorsemast.gossip.GossipState;
import gorsemast.http.ResponseSink;
import gorsemast.observe.EventCounters;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Arrays;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Serves cacheable objects to clients and carries out the decisions of the fetch coordinator over HTTP: requests
 * objects from home edges and servers, and converts their responses to cached responses. Runs on one event loop.
 */
final class ObjectService implements ObjectSources<FullHttpResponse> {
    /** Longer objects are streamed to the client and not cached. */
    static final int MAX_CACHED_BYTES = 2 << 20;

    /** A response of this size fits into the socket's send buffer, however slowly the client reads. */
    private static final int MAX_IMMEDIATE_BYTES = 16 << 10;

    private static final int OK = 200;
    private static final int PARTIAL_CONTENT = 206;
    private static final int NOT_MODIFIED = 304;
    private static final int RANGE_NOT_SATISFIABLE = 416;
    private static final int GATEWAY_TIMEOUT = 504;

    private final EventLoop loop;
    private final LongSupplier clock;
    private final HomeClient homeClient;
    private final Function<String, ServiceDispatcher> dispatchers;
    private final Supplier<Configuration> configuration;
    private final IntSupplier edgeCount;
    private final EventCounters<LocalResponse> localResponses;
    private final SplittableRandom random;
    private FetchCoordinator<FullHttpResponse> coordinator;

    ObjectService(
            EventLoop loop,
            LongSupplier clock,
            HomeClient homeClient,
            Function<String, ServiceDispatcher> dispatchers,
            Supplier<Configuration> configuration,
            IntSupplier edgeCount,
            EventCounters<LocalResponse> localResponses,
            long seed) {
        this.loop = loop;
        this.clock = clock;
        this.homeClient = homeClient;
        this.dispatchers = dispatchers;
        this.configuration = configuration;
        this.edgeCount = edgeCount;
        this.localResponses = localResponses;
        this.random = new SplittableRandom(seed);
    }

    /** Sets the coordinator that decides where to fetch objects. Must be called before the first request. */
    void setCoordinator(FetchCoordinator<FullHttpResponse> fetchCoordinator) {
        coordinator = fetchCoordinator;
    }

    /**
     * Serves a client's request for an object.
     *
     * @param kind the kind of request for which it acquires a concurrency slot
     * @param forward forwards the request to a server without caching the response
     * @param reject refuses the request because no slot is available
     */
    void serve(
            Exchange exchange,
            ConcurrencyLimiter.Kind kind,
            Route route,
            String attemptId,
            long deadline,
            Runnable forward,
            Runnable reject) {
        ObjectRequest object = new ObjectRequest(route, route.host(), exchange.uri());
        CachedResponse cached = coordinator.lookUp(object);
        boolean immediate = cached != null && cached.body().length <= MAX_IMMEDIATE_BYTES;
        if (immediate) {
            exchange.takeBody().release();
            respond(exchange, cached, attemptId);
        } else {
            exchange.acquire(kind, () -> serveWithSlot(exchange, object, attemptId, deadline, forward), reject);
        }
    }

    /** Serves a client's request if the object is cached; returns whether it was. */
    boolean serveFromCache(Exchange exchange, Route route, String attemptId) {
        CachedResponse cached = coordinator.lookUp(new ObjectRequest(route, route.host(), exchange.uri()));
        if (cached != null) {
            exchange.takeBody().release();
            respond(exchange, cached, attemptId);
        }
        return cached != null;
    }

    /** Serves a request that holds a concurrency slot. */
    private void serveWithSlot(
            Exchange exchange, ObjectRequest object, String attemptId, long deadline, Runnable forward) {
        CachedResponse cached = coordinator.lookUp(object); // the object may have been cached meanwhile
        if (cached == null && coordinator.isTooLongToCache(object)) {
            forward.run();
            return;
        }
        exchange.takeBody().release();
        if (cached != null) {
            respond(exchange, cached, attemptId);
            return;
        }
        boolean[] finished = new boolean[1];
        ScheduledFuture<?> timeout = loop.schedule(
                () -> {
                    finished[0] = true;
                    localResponses.count(LocalResponse.TIME_OVER);
                    exchange.respond(GATEWAY_TIMEOUT, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
                },
                Math.max(0, deadline - clock.getAsLong()),
                TimeUnit.MICROSECONDS);
        exchange.onDisconnect(() -> {
            finished[0] = true;
            timeout.cancel(false);
        });
        coordinator.request(object, FetchCoordinator.HOP_CLIENT, deadline, new ObjectWaiter<>() {
            private boolean finish() {
                timeout.cancel(false);
                boolean alreadyFinished = finished[0];
                finished[0] = true;
                return alreadyFinished;
            }

            @Override
            public void onResponse(CachedResponse fetched, boolean purged) {
                if (!finish()) {
                    respond(exchange, fetched, attemptId);
                }
            }

            @Override
            public void onUncacheable(FullHttpResponse response) {
                if (!finish()) {
                    HttpHeaders headers = new DefaultHttpHeaders();
                    HopByHopHeaders.copyEndToEnd(response.headers(), headers);
                    if (attemptId != null) {
                        headers.set(ServerDialect.ATTEMPT_ID, attemptId);
                    }
                    exchange.respond(
                            response.status().code(),
                            headers,
                            response.content().retainedDuplicate());
                }
            }

            @Override
            public void onRefused(long retryAfter) {
                if (!finish()) {
                    localResponses.count(LocalResponse.OBJECT_REFUSED);
                    Frontend.refuse(exchange, retryAfter);
                }
            }

            @Override
            public void onFailed() {
                if (!finish()) {
                    localResponses.count(LocalResponse.TIME_OVER);
                    exchange.respond(GATEWAY_TIMEOUT, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
                }
            }

            @Override
            public void onTooLong() {
                if (!finish()) {
                    forward.run();
                }
            }

            @Override
            public void onStillFetching() {
                throw new IllegalStateException("only other edges are told that a fetch is in progress");
            }

            @Override
            public boolean isWaiting() {
                return !finished[0];
            }
        });
    }

    /** Serves another edge's request for an object whose home is this edge. */
    void serveEdge(ObjectRequest object, int hop, long deadline, ObjectWaiter<FullHttpResponse> waiter) {
        coordinator.request(object, hop, deadline, waiter);
    }

    // ---- fetching from home edges

    @Override
    public void requestFromEdge(HomeRequest homeRequest, HomeResponseListener<FullHttpResponse> listener) {
        homeClient.request(homeRequest, listener);
    }

    // ---- fetching from servers

    @Override
    public double serverRatePerSecond(String service) {
        Configuration.Service configured = configuration.get() == null
                ? null
                : configuration.get().services().get(service);
        return configured == null ? Double.POSITIVE_INFINITY : configured.ratePerSecond();
    }

    @Override
    public void schedule(long micros, Runnable task) {
        loop.schedule(task, micros, TimeUnit.MICROSECONDS);
    }

    @Override
    public int fetcherCount(String service) {
        Configuration.Service configured = configuration.get() == null
                ? null
                : configuration.get().services().get(service);
        return configured == null
                ? Integer.MAX_VALUE
                : EdgeSharing.fetcherCount(
                        edgeCount.getAsInt(), configured.maxConnections(), configured.ratePerSecond());
    }

    @Override
    public boolean requestFromServers(
            String service,
            ObjectRequest object,
            long requestedAt,
            long deadline,
            ServerResponseListener<FullHttpResponse> listener) {
        ServiceDispatcher dispatcher = dispatchers.apply(service);
        if (dispatcher == null) {
            return false;
        }
        String id = HexFormat.of().toHexDigits(random.nextLong()); // the format of clients' ids
        dispatcher.dispatch(
                new Call(
                        object.route(),
                        HttpMethod.GET,
                        object.uri(),
                        new DefaultHttpHeaders(),
                        id,
                        Unpooled.EMPTY_BUFFER,
                        object.key(),
                        requestedAt,
                        deadline,
                        MAX_CACHED_BYTES,
                        true),
                new CallListener() {
                    @Override
                    public void onAnswer(FullHttpResponse answer) {
                        if (answer.status().code() == OK && answer.headers().contains(ServerDialect.EDGE_SEAL)) {
                            HttpHeaders headers = new DefaultHttpHeaders();
                            HopByHopHeaders.copyEndToEnd(answer.headers(), headers);
                            listener.onResponse(toCachedResponse(
                                    OK,
                                    headers,
                                    answer.content(),
                                    requestedAt,
                                    object.route().ttlMicros()));
                        } else {
                            listener.onUncacheable(answer);
                        }
                    }

                    @Override
                    public ResponseSink onStreamStart(HttpResponse head, long length, ResponseSink.FlowControl flow) {
                        loop.execute(listener::onTooLong); // after the decision module has been notified of the end
                        return null;
                    }

                    @Override
                    public void onRefused(long retryAfter, boolean sent) {
                        if (sent) {
                            listener.onRefused(retryAfter);
                        } else {
                            listener.onNotSent(retryAfter);
                        }
                    }

                    @Override
                    public void onFailed(boolean timedOut, boolean sent) {
                        if (sent) {
                            listener.onFailed();
                        } else {
                            listener.onNotSent(FetchCoordinator.DEFAULT_RETRY_AFTER_MICROS);
                        }
                    }
                });
        return true;
    }

    /** Converts a response to a cached response that was requested at the given time. */
    static CachedResponse toCachedResponse(int status, HttpHeaders headers, ByteBuf body, long requestedAt, long ttl) {
        Set<String> tags = new HashSet<>();
        for (String line : headers.getAll("Object-Tags")) {
            tags.addAll(Arrays.asList(line.trim().split(" +")));
        }
        headers.remove(ServerDialect.ATTEMPT_ID);
        return new CachedResponse(
                status,
                List.copyOf(headers.entries()),
                ByteBufUtil.getBytes(body),
                tags,
                requestedAt,
                Math.min(ttl, GossipState.MAX_CACHE_AGE_MICROS));
    }

    // ---- responses to clients

    /** Responds from a cached response: with the whole body, a range of it, or 304 Not Modified. */
    private void respond(Exchange exchange, CachedResponse cached, String attemptId) {
        HttpHeaders headers = new DefaultHttpHeaders();
        cached.headers().forEach(header -> headers.add(header.getKey(), header.getValue()));
        if (attemptId != null) {
            headers.set(ServerDialect.ATTEMPT_ID, attemptId);
        }
        String tag = cached.header("ETag");
        String ifNoneMatch = exchange.headers().get(HttpHeaderNames.IF_NONE_MATCH);
        if (tag != null && tag.equals(ifNoneMatch)) {
            localResponses.count(LocalResponse.UNCHANGED);
            exchange.respond(NOT_MODIFIED, headers, Unpooled.EMPTY_BUFFER);
            return;
        }
        int length = cached.body().length;
        long[] range = parseRange(exchange.headers(), tag, length);
        if (range == null) {
            exchange.respond(OK, headers, Unpooled.wrappedBuffer(cached.body()));
        } else if (range[0] >= length) {
            localResponses.count(LocalResponse.RANGE_BEYOND_END);
            headers.set(HttpHeaderNames.CONTENT_RANGE, "bytes */" + length);
            exchange.respond(RANGE_NOT_SATISFIABLE, headers, Unpooled.EMPTY_BUFFER);
        } else {
            headers.set(HttpHeaderNames.CONTENT_RANGE, "bytes " + range[0] + '-' + range[1] + '/' + length);
            exchange.respond(PARTIAL_CONTENT, headers, Unpooled.wrappedBuffer(cached.body(), (int) range[0], (int)
                    (range[1] - range[0] + 1)));
        }
    }

    /** First and last byte of a single range that specifies its first byte; null where the whole body is to be sent. */
    static long[] parseRange(HttpHeaders headers, String tag, int length) {
        String range = headers.get(HttpHeaderNames.RANGE);
        String ifRange = headers.get(HttpHeaderNames.IF_RANGE);
        if (range == null || !range.startsWith("bytes=") || ifRange != null && !ifRange.equals(tag)) {
            return null;
        }
        String spec = range.substring("bytes=".length()).trim();
        int dash = spec.indexOf('-');
        if (dash <= 0 || spec.indexOf(',') >= 0) {
            return null;
        }
        try {
            long first = Long.parseLong(spec.substring(0, dash).trim());
            String end = spec.substring(dash + 1).trim();
            long last = end.isEmpty() ? length - 1 : Math.min(length - 1, Long.parseLong(end));
            return first < 0 || !end.isEmpty() && Long.parseLong(end) < first ? null : new long[] {first, last};
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
