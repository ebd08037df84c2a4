package anisebend.net;

import anisebend.Balancer;
import anisebend.Balancer.CacheStatus;
import anisebend.Balancer.Code;
import anisebend.Balancer.ListKind;
import anisebend.BalancingPolicy;
import gorsemast.admission.Lateness;
import gorsemast.http.ResponseSink;
import gorsemast.http.RunToCompletionQueue;
import gorsemast.http.Traffic;
import gorsemast.http.Upstream;
import gorsemast.observe.Counters;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * Connects the decision module to the network: turns socket events into module events and carries out the module's
 * actions. It keeps the timers and ensures a single final answer per request, and takes no decisions. The module is
 * never re-entered: events that an action causes are queued until the present event is done. Everything runs on one
 * event loop.
 */
final class Engine implements Balancer.Actions {
    /**
     * How long the module's deadline lies before the client's, whose clock started before ours. It takes 6 to 10 ms at
     * the 99th percentile until a response reaches its client.
     */
    private static final long DEADLINE_MARGIN_MICROS = 10_000;
    /** How long before the client's deadline a request fails that the module has left unanswered. */
    private static final long BACKSTOP_MICROS = 5_000;

    /** How often the event loop's lateness is measured. */
    private static final long LATENESS_TICK_MICROS = 40_000;

    /** Receives a request's single final answer. */
    interface Client {
        /** A complete response; its content is valid only during the call. */
        void served(FullHttpResponse answer);

        /** A streamed response instead of a complete one; the returned sink receives its parts. */
        ResponseSink begins(HttpResponse head, long length, ResponseSink.FlowControl flowControl);

        void refused(long retryAfterMicros);

        void failed();
    }

    /** A client's validated request; {@code bodyDone} runs once, when its body has been released. */
    record Call(
            HttpMethod method,
            String uri,
            String correlationId,
            String idempotencyKey,
            ByteBuf body,
            int requestClass,
            int tenant,
            String key,
            long arrival,
            long waitMicros,
            Runnable bodyDone) {
        /** Releases the body, which is no longer needed. */
        private void release() {
            body.release();
            bodyDone.run();
        }
    }

    /** The state of a request from its arrival until it is answered and has no attempt in progress. */
    static final class Exchange {
        private final String id;
        private final Call call;
        private final Client client;
        private ScheduledFuture<?> backstop;
        private Upstream.Attempt currentAttempt;
        private int attempts;
        private boolean answered;

        Exchange(String id, Call call, Client client) {
            this.id = id;
            this.call = call;
            this.client = client;
        }

        boolean answered() {
            return answered;
        }
    }

    private final EventLoop loop;
    private List<Balancer.RequestClass> classes;
    private Balancer.Settings settings;
    /** Number of proxies that share the overall limits; 0 to use the number in the settings. */
    private int sharedBy;

    private boolean started;
    private final Consumer<String> operatorLog;
    private final Balancer module = new BalancingPolicy(this);
    private final Upstream upstream;
    private final Discovery discovery;
    private final Map<String, Exchange> exchanges = new HashMap<>();
    /** Correlation ids of the unanswered requests. */
    private final Set<String> correlationIds = new HashSet<>();

    private final RunToCompletionQueue eventQueue = new RunToCompletionQueue(this::logFault);
    /** Start of the module's clock: Unix time in microseconds at the start, monotonic from there on. */
    private final long startMicros = System.currentTimeMillis() * 1000;

    private final long startNanos = System.nanoTime();
    /** Null until {@link #watchLateness} is called. */
    private Lateness lateness;

    private long sequence;
    /** Requests taken, served, refused, failed and abandoned by their clients, since the start. */
    private final long[] counts = new long[5];

    Engine(EventLoop loop, ProxyConfig config, int maxConnections, Consumer<String> operator) {
        this.loop = loop;
        this.settings = config.settings();
        this.classes = settings.classes();
        this.operatorLog = operator;
        this.discovery = new Discovery(
                loop,
                config.discovery(),
                config.names(),
                config.settings().listAskWithin(),
                config.connectTimeoutMillis(),
                new Discovery.Listener() {
                    @Override
                    public void updated(ListKind kind, List<Balancer.Server> entries) {
                        if (kind == ListKind.FAILED) {
                            log("request to the discovery service failed");
                        }
                        eventQueue.event(() -> module.servers(now(), kind, entries));
                    }

                    @Override
                    public void unusable(String host) {
                        upstream.closeIdle(host);
                    }

                    @Override
                    public void removed(String host) {
                        upstream.removeNode(host);
                    }
                });
        this.upstream = new Upstream(
                loop,
                Upstream.CACHE_NODE_DIALECT,
                node -> discovery.ready((Discovery.Node) node),
                maxConnections,
                config.connIdleMillis(),
                config.connectTimeoutMillis(),
                config.seed());
    }

    /** Starts the module; throws on an unusable setting or list. */
    void begin(ProxyConfig config) throws IOException {
        runOrThrow(() -> module.start(now(), config.seed(), withProxyCount(config.settings())));
        started = true;
        discovery.initialize(config.known());
    }

    private void runOrThrow(Runnable event) {
        AtomicReference<RuntimeException> rejection = new AtomicReference<>();
        eventQueue.event(() -> {
            try {
                event.run();
            } catch (IllegalArgumentException e) {
                rejection.set(e);
            }
        });
        if (rejection.get() != null) {
            throw rejection.get();
        }
    }

    /** Changes the maximum number of connections to cache nodes. */
    void setConnectionLimit(int maxConnections) {
        upstream.setLimit(maxConnections);
    }

    /** Applies what may change at runtime; throws and changes nothing if the configuration is unusable. */
    void reconfigure(ProxyConfig config) {
        Balancer.Settings next = withProxyCount(config.settings());
        runOrThrow(() -> module.reconfigure(now(), next));
        settings = config.settings();
        classes = settings.classes();
        discovery.redirect(config.discovery());
    }

    /** Sets the number of proxies that share the overall limits; until the first call that of the settings holds. */
    void sharedBy(int proxies) {
        if (proxies != sharedBy) {
            sharedBy = proxies;
            if (started) {
                Balancer.Settings next = withProxyCount(settings);
                runOrThrow(() -> module.reconfigure(now(), next));
            }
        }
    }

    private Balancer.Settings withProxyCount(Balancer.Settings base) {
        return sharedBy == 0 || sharedBy == base.balancers()
                ? base
                : new Balancer.Settings(
                        sharedBy,
                        base.zone(),
                        base.originKind(),
                        base.classes(),
                        base.tenants(),
                        base.overShareFactor(),
                        base.maxAttempts(),
                        base.mayCancel(),
                        base.mayProbe(),
                        base.retryAfter(),
                        base.maxRetryAfter(),
                        base.listMustBeAsked(),
                        base.listAskWithin(),
                        base.coldShare(),
                        base.coldTime(),
                        base.freeResends(),
                        base.resendShare(),
                        base.resendSpan());
    }

    /** The list of cache nodes and its updates. */
    Discovery discovery() {
        return discovery;
    }

    /** Whether no request is open and no state of one is kept. */
    boolean idle() {
        return exchanges.isEmpty() && correlationIds.isEmpty() && eventQueue.idle();
    }

    /** Closes all connections; the engine must not be used afterwards. */
    void stop() {
        failAllUnanswered();
        discovery.closeConnection();
        upstream.closeAllIdle();
    }

    /** Starts measuring the event loop's lateness, and passes it to {@code each} at every tick. */
    void watchLateness(LongConsumer each) {
        lateness = new Lateness(now(), LATENESS_TICK_MICROS);
        loop.scheduleWithFixedDelay(
                () -> each.accept(lateness.tick(now())),
                LATENESS_TICK_MICROS,
                LATENESS_TICK_MICROS,
                TimeUnit.MICROSECONDS);
    }

    /** The module's present state. Must not be called while an event is processed. */
    Balancer.View view() {
        return module.view(now());
    }

    /** Appends the metrics. Must not be called while an event is processed. */
    void writeMetrics(StringBuilder to) {
        Counters.counter(to, "attempts", upstream.attemptsWritten());
        Counters.gauge(to, "in_flight", correlationIds.size());
        Counters.gauge(to, "cache_nodes_known", discovery.size());
        Counters.gauge(
                to,
                "cache_nodes_excluded",
                view().servers().stream()
                        .filter(server -> discovery.node(server.id()) != null)
                        .filter(server -> server.suspect() || server.state() != Balancer.State.READY)
                        .count());
    }

    long[] counts() {
        return counts.clone();
    }

    /** Traffic on the connections to a node; null where there was none. */
    Traffic traffic(String host) {
        return upstream.traffic(host);
    }

    long now() {
        return startMicros + (System.nanoTime() - startNanos) / 1000;
    }

    /** Takes a request and its body's reference; null if another request with this correlation id is unanswered. */
    Exchange take(Call call, Client client) {
        if (!correlationIds.add(call.correlationId())) {
            call.release();
            return null;
        }
        Exchange exchange = new Exchange("r" + sequence++, call, client);
        counts[0]++;
        exchanges.put(exchange.id, exchange);
        long deadline = call.arrival() + call.waitMicros();
        exchange.backstop = loop.schedule(
                () -> failUnanswered(exchange), deadline - BACKSTOP_MICROS - now(), TimeUnit.MICROSECONDS);
        Balancer.Request request = new Balancer.Request(
                exchange.id,
                call.requestClass(),
                call.tenant(),
                call.key(),
                deadline - DEADLINE_MARGIN_MICROS,
                call.method().equals(HttpMethod.PUT));
        eventQueue.event(() -> {
            try {
                module.request(now(), request);
            } catch (RuntimeException e) {
                logFault(e);
                fail(exchange.id);
            }
        });
        return exchange;
    }

    /** The client has disconnected: the request needs no answer and no further attempts. */
    void gone(Exchange exchange) {
        if (!exchange.answered) {
            counts[4]++;
            finishForClient(exchange);
            reportAbandoned(exchange);
        }
    }

    /** Fails a request that the module has left unanswered. */
    private void failUnanswered(Exchange exchange) {
        if (!exchange.answered) {
            finishForClient(exchange);
            counts[3]++;
            exchange.client.failed();
            reportAbandoned(exchange);
        }
    }

    /** Keeps the exchange until the module is informed, so that attempts it sent meanwhile still get an outcome. */
    private void reportAbandoned(Exchange exchange) {
        eventQueue.event(() -> {
            module.abandoned(now(), exchange.id);
            eventQueue.action(() -> releaseIfDone(exchange));
        });
    }

    /** Fails all unanswered requests, as the process is about to be killed. */
    void failAllUnanswered() {
        List.copyOf(exchanges.values()).forEach(this::failUnanswered);
    }

    private void logFault(RuntimeException e) {
        StackTraceElement[] frames = e.getStackTrace();
        log("fault: " + e + (frames.length > 0 ? " at " + frames[0] : ""));
    }

    /** Ends a request for its client and cancels the attempt in progress. */
    private void finishForClient(Exchange exchange) {
        correlationIds.remove(exchange.call.correlationId());
        markAnswered(exchange);
    }

    private static void markAnswered(Exchange exchange) {
        exchange.answered = true;
        exchange.backstop.cancel(false);
        if (exchange.currentAttempt != null) {
            exchange.currentAttempt.cancel();
        }
    }

    private void releaseIfDone(Exchange exchange) {
        if (exchange.answered && exchange.currentAttempt == null && exchanges.remove(exchange.id) != null) {
            exchange.call.release();
        }
    }

    // ---- the module's actions, carried out after it has returned

    @Override
    public void send(String request, String server, long until) {
        eventQueue.action(() -> startAttempt(request, server, until));
    }

    private void startAttempt(String request, String server, long until) {
        Exchange exchange = exchanges.get(request); // present until the module is informed that it has ended
        int attempt = exchange.attempts++;
        long sentAt = now();
        Discovery.Node node = discovery.node(server);
        long timeLeftMicros = Math.min(until, exchange.call.arrival() + exchange.call.waitMicros()) - sentAt;
        if (exchange.currentAttempt != null) {
            exchange.currentAttempt.cancel(); // never two attempts at once, whatever the module decides
        }
        if (exchange.answered || node == null || timeLeftMicros <= 0) {
            completeAttempt(exchange, attempt, sentAt, Code.NOT_SENT, CacheStatus.NONE, null);
            return;
        }
        Upstream.Attempt[] ownAttempt = new Upstream.Attempt[1];
        boolean[] finished = new boolean[1];
        ownAttempt[0] = upstream.send(
                node,
                upstreamRequest(exchange.call, node, timeLeftMicros),
                timeLeftMicros,
                mustSendOnce(exchange.call),
                new Upstream.AttemptListener() {
                    @Override
                    public void ended(Code code, CacheStatus cacheStatus, FullHttpResponse answer) {
                        finished[0] = true;
                        if (exchange.currentAttempt == ownAttempt[0]) {
                            exchange.currentAttempt = null;
                        }
                        Engine.this.completeAttempt(exchange, attempt, sentAt, code, cacheStatus, answer);
                    }

                    @Override
                    public ResponseSink streaming(
                            CacheStatus cacheStatus,
                            HttpResponse head,
                            long length,
                            ResponseSink.FlowControl flowControl) {
                        finished[0] = true;
                        exchange.currentAttempt = null;
                        return Engine.this.beginStreaming(
                                exchange,
                                attempt,
                                sentAt,
                                cacheStatus,
                                new StreamedResponse(exchange, head, length, flowControl));
                    }
                });
        if (!finished[0]) {
            exchange.currentAttempt = ownAttempt[0];
        }
    }

    private boolean mustSendOnce(Call call) {
        return classes.get(call.requestClass()).effect() == Balancer.Effect.UNSAFE;
    }

    private static FullHttpRequest upstreamRequest(Call call, Discovery.Node node, long timeLeftMicros) {
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                call.method(),
                call.uri(),
                call.body().isReadable() ? call.body().retainedDuplicate() : Unpooled.EMPTY_BUFFER);
        message.headers()
                .set(HttpHeaderNames.HOST, NetUtil.toSocketAddressString(node.dial()))
                .set("X-Correlation-Id", call.correlationId())
                .set("X-Time-Left", Seconds.of(timeLeftMicros));
        if (call.idempotencyKey() != null) {
            message.headers().set("Idempotency-Key", call.idempotencyKey());
        }
        if (call.method().equals(HttpMethod.PUT)) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().readableBytes());
        }
        return message;
    }

    /**
     * Starts a streamed response. It is the request's single final answer from its first bytes on, with no further
     * attempts, so the outcome is reported to the module now. The correlation id stays in use until the last byte.
     */
    private ResponseSink beginStreaming(
            Exchange exchange, int attempt, long sentAt, CacheStatus cacheStatus, StreamedResponse response) {
        ResponseSink sink = null;
        if (!exchange.answered) {
            markAnswered(exchange);
            counts[1]++;
            sink = response.begin();
        }
        reportOutcome(exchange, attempt, sentAt, Code.OK, cacheStatus);
        return sink;
    }

    /** A response that is streamed from a node's connection to a client's. */
    private final class StreamedResponse implements ResponseSink, ResponseSink.FlowControl {
        private final Exchange exchange;
        private final HttpResponse head;
        private final long length;
        private final ResponseSink.FlowControl flowControl;
        private ResponseSink client;

        StreamedResponse(Exchange exchange, HttpResponse head, long length, ResponseSink.FlowControl flowControl) {
            this.exchange = exchange;
            this.head = head;
            this.length = length;
            this.flowControl = flowControl;
        }

        ResponseSink begin() {
            client = exchange.client.begins(head, length, this);
            return this;
        }

        @Override
        public void part(ByteBuf bytes) {
            client.part(bytes);
        }

        @Override
        public void completed() {
            correlationIds.remove(exchange.call.correlationId());
            client.completed();
        }

        @Override
        public void aborted() {
            correlationIds.remove(exchange.call.correlationId());
            client.aborted();
        }

        @Override
        public void pause(boolean paused) {
            flowControl.pause(paused);
        }

        @Override
        public void cancel() {
            correlationIds.remove(exchange.call.correlationId());
            flowControl.cancel();
        }
    }

    private void completeAttempt(
            Exchange exchange, int attempt, long sentAt, Code code, CacheStatus cacheStatus, FullHttpResponse answer) {
        if (code == Code.OK && !exchange.answered) {
            finishForClient(exchange);
            counts[1]++;
            exchange.client.served(answer);
        }
        reportOutcome(exchange, attempt, sentAt, code, cacheStatus);
    }

    private void reportOutcome(Exchange exchange, int attempt, long sentAt, Code code, CacheStatus cacheStatus) {
        boolean alreadyAnswered = exchange.answered;
        eventQueue.event(() -> {
            long now = now();
            long elapsed = now - sentAt;
            // This process's own lateness must not count as the node's latency.
            elapsed -= lateness == null ? 0 : Math.min(elapsed / 2, lateness.estimate(now));
            module.outcome(
                    now, new Balancer.Outcome(exchange.id, attempt, code, elapsed, alreadyAnswered, cacheStatus, null));
            eventQueue.action(() -> releaseIfDone(exchange));
        });
    }

    @Override
    public void refuse(String request, long retryAfter) {
        answerOnce(request, 2, client -> client.refused(retryAfter));
    }

    @Override
    public void fail(String request) {
        answerOnce(request, 3, Client::failed);
    }

    private void answerOnce(String request, int countIndex, Consumer<Client> reply) {
        eventQueue.action(() -> {
            Exchange exchange = exchanges.get(request);
            if (exchange != null && !exchange.answered) {
                finishForClient(exchange);
                counts[countIndex]++;
                reply.accept(exchange.client);
                releaseIfDone(exchange);
            }
        });
    }

    @Override
    public void cancel(String request, int attempt) {
        eventQueue.action(() -> {
            Exchange exchange = exchanges.get(request);
            if (exchange != null && exchange.currentAttempt != null && exchange.attempts - 1 == attempt) {
                exchange.currentAttempt.cancel();
            }
        });
    }

    @Override
    public void probe(String server) {
        log("probes are not supported in this deployment");
    }

    @Override
    public void closeIdle(String server) {
        eventQueue.action(() -> upstream.closeIdle(server));
    }

    @Override
    public void subscribe() {
        eventQueue.action(discovery::subscribe);
    }

    @Override
    public void timer(long at, long token) {
        eventQueue.action(() -> loop.schedule(
                () -> eventQueue.event(() -> module.timer(now(), token)),
                Math.max(0, at - now()),
                TimeUnit.MICROSECONDS));
    }

    @Override
    public void log(String text) {
        operatorLog.accept(text);
    }
}
