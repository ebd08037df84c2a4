package gorsemast.proxy;

import gorsemast.admission.ConcurrencyLimiter;
import gorsemast.admission.RetryDelay;
import gorsemast.configuration.Configuration;
import gorsemast.configuration.Route;
import gorsemast.dispatch.Call;
import gorsemast.dispatch.CallListener;
import gorsemast.dispatch.HopByHopHeaders;
import gorsemast.dispatch.ServerDialect;
import gorsemast.dispatch.ServiceDispatcher;
import gorsemast.http.ResponseSink;
import gorsemast.http.StrictHttp;
import gorsemast.logging.Log;
import gorsemast.observe.EventCounters;
import gorsemast.transport.Transport;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Accepts client connections, finds the route of each request in the newest configuration and passes the request to
 * the object cache or to a service. Runs on one event loop.
 */
final class Frontend implements ClientConnection.Owner {
    /** Subtracted from the client's time budget so that the response reaches the client in time. */
    private static final long RESPONSE_TRANSIT_MICROS = 8_000;
    /** Heads are held in memory, so the configured limit has an upper bound. */
    static final int MAX_HEAD_BYTES = 256 << 10;
    /** Also while there is no configuration. */
    private static final int MIN_HEAD_BYTES = 16 << 10;

    private static final long MAX_BUFFERED_BODY_BYTES = 24L << 20;
    private static final long MICROS_PER_SECOND = 1_000_000L;
    private static final int MAX_BUFFERED_RESPONSE_BYTES = 64 << 10;
    /** The log says at most this often why a route was not found. */
    private static final long NO_ROUTE_LOG_INTERVAL_MICROS = 1_000_000;

    private static final int NOT_FOUND = 404;
    private static final int BAD_REQUEST = 400;
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final int SERVICE_UNAVAILABLE = 503;

    private static final Log LOG = new Log("proxy");

    private final EventLoop loop;
    private final LongSupplier clock;
    private final Supplier<Configuration> configuration;
    private final Supplier<ConfigurationStatus> status;
    private final Supplier<String> configurationDescription;
    private final Function<String, ServiceDispatcher> dispatchers;
    private final ObjectService objects;
    private final AcceptLimiter acceptLimiter;
    private final EventCounters<SocketEvent> socketEvents;
    private final EventCounters<LocalResponse> localResponses;
    /** Whether connections are closed after each response because sockets are too scarce for idle ones. */
    private final boolean closesAfterResponse;

    private final SocketBudget socketBudget;
    private final ConcurrencyLimiter limiter;
    private final RetryDelay retryDelay = new RetryDelay();
    private final SplittableRandom random;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private Channel listener;
    /** Null until the process has been told to end. */
    private ShutdownSchedule shutdown;

    private long bufferedBodyBytes;
    private int forwarded;
    private long requestCount;
    private long nextNoRouteLogAt;

    Frontend(
            EventLoop loop,
            LongSupplier clock,
            Supplier<Configuration> configuration,
            Supplier<ConfigurationStatus> status,
            Supplier<String> configurationDescription,
            Function<String, ServiceDispatcher> dispatchers,
            ObjectService objects,
            EdgeCounters counters,
            SocketBudget socketBudget,
            long seed) {
        this.loop = loop;
        this.clock = clock;
        this.configuration = configuration;
        this.status = status;
        this.configurationDescription = configurationDescription;
        this.dispatchers = dispatchers;
        this.objects = objects;
        this.socketBudget = socketBudget;
        this.closesAfterResponse = !socketBudget.keepsConnections();
        this.socketEvents = counters.socketEvents();
        this.localResponses = counters.localResponses();
        this.acceptLimiter = new AcceptLimiter(socketBudget.clients(), new ClientObserver());
        this.limiter = new ConcurrencyLimiter(socketBudget.maxConcurrentRequests(), socketBudget.maxQueuedRequests());
        this.random = new SplittableRandom(seed);
    }

    Channel listen(InetSocketAddress at) throws IOException {
        loop.scheduleWithFixedDelay(
                () -> List.copyOf(connections).forEach(connection -> connection.checkLimits(now())),
                ClientConnection.SWEEP_MICROS,
                ClientConnection.SWEEP_MICROS,
                TimeUnit.MICROSECONDS);
        listener = Transport.listen(loop, at, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel ch) {
                acceptLimiter.connectionAccepted(ch);
                ch.pipeline()
                        .addLast(
                                new StrictHttp.Requests(maxHeadBytes()),
                                new HttpResponseEncoder(),
                                new ClientConnection(ch, Frontend.this));
            }
        });
        acceptLimiter.attach(listener);
        return listener;
    }

    /** Begins the shutdown: from now on requests are started only as the schedule allows. */
    void beginShutdown(ShutdownSchedule schedule) {
        shutdown = schedule;
    }

    /** Ends all requests in progress with a response of the edge's own, and starts none of those that wait. */
    void abandonRequests() {
        connections.forEach(ClientConnection::withdrawFromQueue);
        List.copyOf(connections).forEach(ClientConnection::abandonRequests);
    }

    /** Stops accepting connections, so that no request starts that the end of the process would cut off. */
    void stopListening() {
        listener.close();
    }

    /** Closes idle connections. Returns the number of connections left. */
    int closeIdle() {
        for (ClientConnection connection : List.copyOf(connections)) {
            if (connection.isIdle()) {
                connection.close();
            }
        }
        return connections.size();
    }

    /** Counts events on client connections and closes an idle connection at the limit. */
    private final class ClientObserver implements AcceptLimiter.Observer {
        @Override
        public void accepted() {
            socketEvents.count(SocketEvent.CLIENT_ACCEPTED);
        }

        @Override
        public void full() {
            socketEvents.count(SocketEvent.CLIENTS_FULL);
            closeLongestIdle();
        }

        @Override
        public void noLongerFull(long micros) {
            socketEvents.count(SocketEvent.CLIENTS_FULL_OVER, micros);
        }

        @Override
        public void closed(long micros) {
            socketEvents.count(SocketEvent.CLIENT_CLOSED, micros);
        }
    }

    /** Closes the longest idle connection so that a waiting one can be accepted. */
    private void closeLongestIdle() {
        for (ClientConnection connection : connections) {
            if (connection.isQuiet(now())) {
                connection.close();
                return;
            }
        }
    }

    /** Number of requests that have been read and whose response is not complete. */
    int unansweredRequests() {
        return connections.stream()
                .mapToInt(ClientConnection::unansweredRequests)
                .sum();
    }

    /** Number of open client connections. */
    int connectionCount() {
        return connections.size();
    }

    /** Number of requests since the start. */
    long requestCount() {
        return requestCount;
    }

    /** Number of requests forwarded to services whose responses have not begun. */
    int forwardedRequests() {
        return forwarded;
    }

    // ---- services for the connections

    @Override
    public void countEvent(SocketEvent event, long micros) {
        socketEvents.count(event, micros);
    }

    @Override
    public void countLocalResponse(LocalResponse why) {
        localResponses.count(why);
    }

    @Override
    public long now() {
        return clock.getAsLong();
    }

    @Override
    public int maxHeadBytes() {
        Configuration current = configuration.get();
        int configured = current == null ? 0 : current.limits().headerBytes();
        return Math.max(MIN_HEAD_BYTES, Math.min(MAX_HEAD_BYTES, configured));
    }

    @Override
    public long maxBodyBytes() {
        Configuration current = configuration.get();
        return current == null
                ? MAX_BUFFERED_BODY_BYTES
                : Math.min(MAX_BUFFERED_BODY_BYTES, current.limits().bodyBytes());
    }

    @Override
    public long headTimeoutMicros() {
        Configuration current = configuration.get();
        return current == null ? 3 * MICROS_PER_SECOND : current.limits().headerMicros();
    }

    @Override
    public long idleTimeoutMicros() {
        Configuration current = configuration.get();
        return current == null ? 15 * MICROS_PER_SECOND : current.limits().idleMicros();
    }

    @Override
    public boolean isClosing() {
        return shutdown != null && now() >= shutdown.closesAfterResponsesAt()
                || closesAfterResponse
                || acceptLimiter.isMostlyFull();
    }

    @Override
    public boolean hasFewSockets() {
        return closesAfterResponse;
    }

    @Override
    public ConcurrencyLimiter limiter() {
        return limiter;
    }

    @Override
    public void slotReleased() {
        retryDelay.recordServed();
    }

    @Override
    public boolean isRepeatable(HttpRequest head) {
        Route route = route(head.headers(), head.uri());
        return route == null || route.isRepeatable();
    }

    @Override
    public boolean reserveBodyBytes(long bytes) {
        if (bytes > 0 && bufferedBodyBytes + bytes > MAX_BUFFERED_BODY_BYTES) {
            return false;
        }
        bufferedBodyBytes += bytes;
        return true;
    }

    @Override
    public void opened(ClientConnection connection) {
        connections.add(connection);
    }

    @Override
    public void closed(ClientConnection connection) {
        connections.remove(connection);
    }

    private Route route(HttpHeaders headers, String uri) {
        Configuration current = configuration.get();
        String host = headers.get(HttpHeaderNames.HOST);
        if (current == null || host == null) {
            return null;
        }
        int query = uri.indexOf('?');
        return current.route(Configuration.normalizeHost(host), query < 0 ? uri : uri.substring(0, query));
    }

    @Override
    public void handle(Exchange exchange) {
        requestCount++;
        ConfigurationStatus configurationStatus = status.get();
        Route route = route(exchange.headers(), exchange.uri());
        if (configurationStatus == ConfigurationStatus.CHECKING) {
            localResponses.count(LocalResponse.NOT_CONFIRMED);
            exchange.takeBody().release();
            refuse(exchange, RetryAfter.CHECKING_MICROS);
            return;
        }
        if (route == null) {
            exchange.takeBody().release();
            notFound(exchange, configurationStatus);
            return;
        }
        String attemptId = exchange.headers().get(ServerDialect.ATTEMPT_ID);
        OptionalLong readBudget = TimeBudget.parse(exchange.headers().get(ServerDialect.TIME_BUDGET));
        boolean isUnreadable = readBudget.isEmpty();
        if (isUnreadable || attemptId == null && !route.isRepeatable()) {
            localResponses.count(isUnreadable ? LocalResponse.UNREADABLE_BUDGET : LocalResponse.NO_ATTEMPT_ID);
            exchange.takeBody().release();
            exchange.respond(BAD_REQUEST, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
            return;
        }
        long budget = readBudget.getAsLong();
        if (budget == 0) {
            // 503 rather than 400: the request is valid and has not run, so the client may retry it.
            localResponses.count(LocalResponse.BUDGET_SPENT);
            exchange.takeBody().release();
            refuse(exchange, RetryAfter.DEFAULT_MICROS);
            return;
        }
        long waitMicros = Math.min(route.timeoutMicros(), Math.max(1_000, budget - RESPONSE_TRANSIT_MICROS));
        long deadline = exchange.arrivedAt() + waitMicros;
        boolean isObjectRequest =
                route.kind() == Route.Kind.CACHEABLE && exchange.method().equals(HttpMethod.GET);
        if (shutdown != null && !shutdown.mayStart(now(), deadline)) {
            if (!isObjectRequest || !objects.serveFromCache(exchange, route, attemptId)) {
                localResponses.count(LocalResponse.SHUTTING_DOWN);
                exchange.takeBody().release();
                refuse(exchange, RetryAfter.SHUTDOWN_MICROS);
            }
        } else if (isObjectRequest) {
            ConcurrencyLimiter.Kind kind = kind(route, socketBudget.maxConcurrentRequests() - 1);
            objects.serve(
                    exchange,
                    kind,
                    route,
                    attemptId,
                    deadline,
                    () -> forward(exchange, route, attemptId, deadline),
                    () -> rejectForCapacity(exchange));
        } else {
            ConcurrencyLimiter.Kind kind = kind(route, socketBudget.servers() - 1);
            exchange.acquire(
                    kind, () -> forward(exchange, route, attemptId, deadline), () -> rejectForCapacity(exchange));
        }
    }

    /**
     * Responds to a request without a route. A 404 ends the client's retries, so it is sent only if the configuration
     * is confirmed.
     */
    private void notFound(Exchange exchange, ConfigurationStatus configurationStatus) {
        if (configurationStatus == ConfigurationStatus.CONFIRMED) {
            localResponses.count(LocalResponse.NO_ROUTE);
            logNoRoute(exchange);
            exchange.respond(NOT_FOUND, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
        } else {
            boolean hasNoConfiguration = configurationStatus == ConfigurationStatus.ABSENT;
            localResponses.count(hasNoConfiguration ? LocalResponse.NO_CONFIGURATION : LocalResponse.NOT_CONFIRMED);
            refuse(exchange, RetryAfter.DEFAULT_MICROS);
        }
    }

    private void logNoRoute(Exchange exchange) {
        if (now() >= nextNoRouteLogAt) {
            nextNoRouteLogAt = now() + NO_ROUTE_LOG_INTERVAL_MICROS;
            LOG.info("no route for " + exchange.uri() + " in " + configurationDescription.get());
        }
    }

    private static ConcurrencyLimiter.Kind kind(Route route, int maxSlotsIfSlow) {
        return new ConcurrencyLimiter.Kind(route.name(), route.targetLatencyMicros(), maxSlotsIfSlow);
    }

    /** Refuses a request at once because all slots are in use, with a delay for its retry. */
    private void rejectForCapacity(Exchange exchange) {
        exchange.takeBody().release();
        socketEvents.count(SocketEvent.CLIENT_TURNED_AWAY);
        localResponses.count(LocalResponse.NO_PLACE);
        refuse(exchange, retryDelay.recordRefused(0, random.nextDouble()));
    }

    /** Forwards a request to a server of the route's service and streams the response back without caching it. */
    private void forward(Exchange exchange, Route route, String attemptId, long deadline) {
        ServiceDispatcher dispatcher = dispatchers.apply(route.selectService(random.nextDouble()));
        if (dispatcher == null) {
            localResponses.count(LocalResponse.SERVICE_REFUSED);
            exchange.takeBody().release();
            refuse(exchange, RetryAfter.DEFAULT_MICROS);
            return;
        }
        forwarded++;
        Runnable cancel = dispatcher.dispatch(
                new Call(
                        route,
                        exchange.method(),
                        exchange.uri(),
                        exchange.headers(),
                        attemptId == null ? "n" + Long.toHexString(random.nextLong()) : attemptId,
                        exchange.takeBody(),
                        null,
                        exchange.arrivedAt(),
                        deadline,
                        MAX_BUFFERED_RESPONSE_BYTES,
                        false),
                new ResponseForwarder(exchange));
        exchange.onDisconnect(() -> {
            forwarded--;
            cancel.run();
        });
    }

    /** Forwards a service's response to the client. */
    private final class ResponseForwarder implements CallListener {
        private final Exchange exchange;

        ResponseForwarder(Exchange exchange) {
            this.exchange = exchange;
        }

        private void callEnded(SocketEvent event) {
            forwarded--;
            socketEvents.count(event, now() - exchange.arrivedAt());
        }

        private HttpHeaders headers(HttpResponse answer) {
            HttpHeaders headers = new DefaultHttpHeaders();
            HopByHopHeaders.copyEndToEnd(answer.headers(), headers);
            return headers;
        }

        @Override
        public void onAnswer(FullHttpResponse answer) {
            callEnded(SocketEvent.CALL_ANSWERED);
            exchange.respond(
                    answer.status().code(), headers(answer), answer.content().retainedDuplicate());
        }

        @Override
        public ResponseSink onStreamStart(HttpResponse head, long length, ResponseSink.FlowControl flow) {
            callEnded(SocketEvent.CALL_ANSWERED);
            return exchange.startStreaming(head, headers(head), length, flow);
        }

        @Override
        public void onRefused(long retryAfter, boolean sent) {
            callEnded(SocketEvent.CALL_REFUSED);
            localResponses.count(LocalResponse.SERVICE_REFUSED);
            refuse(exchange, retryAfter);
        }

        @Override
        public void onFailed(boolean timedOut, boolean sent) {
            callEnded(SocketEvent.CALL_FAILED);
            localResponses.count(timedOut ? LocalResponse.TIME_OVER : LocalResponse.SERVICE_FAILED);
            exchange.respond(timedOut ? GATEWAY_TIMEOUT : BAD_GATEWAY, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
        }
    }

    /** Responds with 503 and Retry-After, which promises that the request has not run. */
    static void refuse(Exchange exchange, long retryAfterMicros) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.RETRY_AFTER, RetryAfter.format(retryAfterMicros));
        exchange.respond(SERVICE_UNAVAILABLE, headers, Unpooled.EMPTY_BUFFER);
    }
}
