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
 * Drives the module: its events come from the sockets, its actions go to them. It keeps the timers and the
 * single final answer and decides nothing. The module is never entered while it is running: what an action
 * brings about waits until the event before it is done. All of it runs on the one event loop.
 */
final class Engine implements Balancer.Actions {
    /**
     * The module's deadline comes this long before the client's, whose clock began before ours: from an
     * answer to its client the bench measured 6 to 10 ms at the 99th percentile.
     */
    private static final long MARGIN_MICROS = 10_000;
    /** What the module has left unanswered fails this long before the client's deadline. */
    private static final long BACKSTOP_MICROS = 5_000;

    /** How often the loop's lateness is looked at. */
    private static final long TICK_MICROS = 40_000;

    /** Where one request's single final answer goes. */
    interface Client {
        /** The answer's content is only lent. */
        void served(FullHttpResponse answer);

        /** Instead: an answer that is passed on as it comes; the caller is told of each part. */
        ResponseSink begins(HttpResponse head, long length, ResponseSink.FlowControl flow);

        void refused(long retryAfterMicros);

        void failed();
    }

    /** A client's request, read and checked; {@code bodyDone} runs once, when its body has been let go. */
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
        /** Nothing of it is needed any more. */
        private void release() {
            body.release();
            bodyDone.run();
        }
    }

    /** A request from its arrival until it is answered and nothing of it is out. */
    static final class Exchange {
        private final String id;
        private final Call call;
        private final Client client;
        private ScheduledFuture<?> backstop;
        private Upstream.Attempt out;
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
    /** How many proxies share what is bounded over all; 0 for as many as the settings say. */
    private int sharedBy;

    private boolean begun;
    private final Consumer<String> operator;
    private final Balancer module = new BalancingPolicy(this);
    private final Upstream upstream;
    private final Discovery discovery;
    private final Map<String, Exchange> open = new HashMap<>();
    /** Ids of the unanswered requests, as their clients know them. */
    private final Set<String> ids = new HashSet<>();

    private final RunToCompletionQueue turns = new RunToCompletionQueue(this::fault);
    /** The module's clock: Unix time in microseconds at the start, and monotonic from there. */
    private final long startMicros = System.currentTimeMillis() * 1000;

    private final long startNanos = System.nanoTime();
    /** Null until it is watched. */
    private Lateness lateness;

    private long sequence;
    /** Requests taken, served, refused, failed and left by their clients, since the start. */
    private final long[] counts = new long[5];

    Engine(EventLoop loop, ProxyConfig config, int maxConnections, Consumer<String> operator) {
        this.loop = loop;
        this.settings = config.settings();
        this.classes = settings.classes();
        this.operator = operator;
        this.discovery = new Discovery(
                loop,
                config.discovery(),
                config.names(),
                config.settings().listAskWithin(),
                config.connectTimeoutMillis(),
                new Discovery.Listener() {
                    @Override
                    public void news(ListKind kind, List<Balancer.Server> entries) {
                        if (kind == ListKind.FAILED) {
                            log("discovery call failed");
                        }
                        turns.event(() -> module.servers(now(), kind, entries));
                    }

                    @Override
                    public void unusable(String host) {
                        upstream.closeIdle(host);
                    }

                    @Override
                    public void forgotten(String host) {
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

    /** Starts the module; a setting or list that can't be worked with is thrown back. */
    void begin(ProxyConfig config) throws IOException {
        attempt(() -> module.start(now(), config.seed(), shared(config.settings())));
        begun = true;
        discovery.begin(config.known());
    }

    private void attempt(Runnable event) {
        AtomicReference<RuntimeException> refused = new AtomicReference<>();
        turns.event(() -> {
            try {
                event.run();
            } catch (IllegalArgumentException e) {
                refused.set(e);
            }
        });
        if (refused.get() != null) {
            throw refused.get();
        }
    }

    /** Changes the bound on connections to cache nodes. */
    void limit(int maxConnections) {
        upstream.setLimit(maxConnections);
    }

    /** Takes over what a new configuration may change in service; throws, and changes nothing, what can't be worked with. */
    void reconfigure(ProxyConfig config) {
        Balancer.Settings next = shared(config.settings());
        attempt(() -> module.reconfigure(now(), next));
        settings = config.settings();
        classes = settings.classes();
        discovery.redirect(config.discovery());
    }

    /** So many proxies share what is bounded over all of them; the settings' number is what holds until this is told. */
    void sharedBy(int proxies) {
        if (proxies != sharedBy) {
            sharedBy = proxies;
            if (begun) {
                Balancer.Settings next = shared(settings);
                attempt(() -> module.reconfigure(now(), next));
            }
        }
    }

    private Balancer.Settings shared(Balancer.Settings s) {
        return sharedBy == 0 || sharedBy == s.balancers()
                ? s
                : new Balancer.Settings(
                        sharedBy,
                        s.zone(),
                        s.originKind(),
                        s.classes(),
                        s.tenants(),
                        s.overShareFactor(),
                        s.maxAttempts(),
                        s.mayCancel(),
                        s.mayProbe(),
                        s.retryAfter(),
                        s.maxRetryAfter(),
                        s.listMustBeAsked(),
                        s.listAskWithin(),
                        s.coldShare(),
                        s.coldTime(),
                        s.freeResends(),
                        s.resendShare(),
                        s.resendSpan());
    }

    /** The list and the calls for it. */
    Discovery discovery() {
        return discovery;
    }

    /** Whether no request is held, nor anything kept for one. */
    boolean idle() {
        return open.isEmpty() && ids.isEmpty() && turns.idle();
    }

    /** Lets go of all connections; nothing may be asked of it any more. */
    void stop() {
        giveUpAll();
        discovery.hangUp();
        upstream.closeAllIdle();
    }

    /** From now on the loop's lateness is known, and {@code each} is told of it at every tick. */
    void watchLateness(LongConsumer each) {
        lateness = new Lateness(now(), TICK_MICROS);
        loop.scheduleWithFixedDelay(
                () -> each.accept(lateness.tick(now())), TICK_MICROS, TICK_MICROS, TimeUnit.MICROSECONDS);
    }

    /** What the module believes. Not to be asked while an event is being worked on. */
    Balancer.View view() {
        return module.view(now());
    }

    /** Appends what it holds and believes, as figures. Not to be asked while an event is being worked on. */
    void figures(StringBuilder to) {
        Counters.counter(to, "attempts", upstream.attemptsWritten());
        Counters.gauge(to, "in_flight", ids.size());
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

    /** What passed on the sockets to a node; null where nothing did. */
    Traffic traffic(String host) {
        return upstream.traffic(host);
    }

    long now() {
        return startMicros + (System.nanoTime() - startNanos) / 1000;
    }

    /** Takes a request, and its body's reference; null where another's request of this id is unanswered. */
    Exchange take(Call call, Client client) {
        if (!ids.add(call.correlationId())) {
            call.release();
            return null;
        }
        Exchange x = new Exchange("r" + sequence++, call, client);
        counts[0]++;
        open.put(x.id, x);
        long deadline = call.arrival() + call.waitMicros();
        x.backstop = loop.schedule(() -> giveUp(x), deadline - BACKSTOP_MICROS - now(), TimeUnit.MICROSECONDS);
        Balancer.Request request = new Balancer.Request(
                x.id,
                call.requestClass(),
                call.tenant(),
                call.key(),
                deadline - MARGIN_MICROS,
                call.method().equals(HttpMethod.PUT));
        turns.event(() -> {
            try {
                module.request(now(), request);
            } catch (RuntimeException e) {
                fault(e);
                fail(x.id);
            }
        });
        return x;
    }

    /** The client has gone: nothing more is owed, and nothing more goes out. */
    void gone(Exchange x) {
        if (!x.answered) {
            counts[4]++;
            settle(x);
            abandon(x);
        }
    }

    /** Fails what the module has left unanswered. */
    private void giveUp(Exchange x) {
        if (!x.answered) {
            settle(x);
            counts[3]++;
            x.client.failed();
            abandon(x);
        }
    }

    /** It stays known until the module has heard, so that what that has sent meanwhile still gets an outcome. */
    private void abandon(Exchange x) {
        turns.event(() -> {
            module.abandoned(now(), x.id);
            turns.action(() -> forget(x));
        });
    }

    /** Fails all that is unanswered, as the process is about to be killed. */
    void giveUpAll() {
        List.copyOf(open.values()).forEach(this::giveUp);
    }

    private void fault(RuntimeException e) {
        StackTraceElement[] at = e.getStackTrace();
        log("fault: " + e + (at.length > 0 ? " at " + at[0] : ""));
    }

    /** Ends a request for the client; what is still out for it is closed. */
    private void settle(Exchange x) {
        ids.remove(x.call.correlationId());
        conclude(x);
    }

    private static void conclude(Exchange x) {
        x.answered = true;
        x.backstop.cancel(false);
        if (x.out != null) {
            x.out.cancel();
        }
    }

    private void forget(Exchange x) {
        if (x.answered && x.out == null && open.remove(x.id) != null) {
            x.call.release();
        }
    }

    // ---- actions of the module, carried out after it has returned

    @Override
    public void send(String request, String server, long until) {
        turns.action(() -> sendNow(request, server, until));
    }

    private void sendNow(String request, String server, long until) {
        Exchange x = open.get(request); // known until the module has heard that it is over
        int attempt = x.attempts++;
        long sentAt = now();
        Discovery.Node node = discovery.node(server);
        long wait = Math.min(until, x.call.arrival() + x.call.waitMicros()) - sentAt;
        if (x.out != null) {
            x.out.cancel(); // never two at once, whatever the module says
        }
        if (x.answered || node == null || wait <= 0) {
            ended(x, attempt, sentAt, Code.NOT_SENT, CacheStatus.NONE, null);
            return;
        }
        Upstream.Attempt[] mine = new Upstream.Attempt[1];
        boolean[] over = new boolean[1];
        mine[0] = upstream.send(node, message(x.call, node, wait), wait, once(x.call), new Upstream.AttemptListener() {
            @Override
            public void ended(Code code, CacheStatus note, FullHttpResponse answer) {
                over[0] = true;
                if (x.out == mine[0]) {
                    x.out = null;
                }
                Engine.this.ended(x, attempt, sentAt, code, note, answer);
            }

            @Override
            public ResponseSink streaming(
                    CacheStatus note, HttpResponse head, long length, ResponseSink.FlowControl flow) {
                over[0] = true;
                x.out = null;
                return Engine.this.begins(x, attempt, sentAt, note, new Passing(x, head, length, flow));
            }
        });
        if (!over[0]) {
            x.out = mine[0];
        }
    }

    private boolean once(Call call) {
        return classes.get(call.requestClass()).effect() == Balancer.Effect.UNSAFE;
    }

    private static FullHttpRequest message(Call call, Discovery.Node node, long wait) {
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                call.method(),
                call.uri(),
                call.body().isReadable() ? call.body().retainedDuplicate() : Unpooled.EMPTY_BUFFER);
        message.headers()
                .set(HttpHeaderNames.HOST, NetUtil.toSocketAddressString(node.dial()))
                .set("X-Correlation-Id", call.correlationId())
                .set("X-Time-Left", Seconds.of(wait));
        if (call.idempotencyKey() != null) {
            message.headers().set("Idempotency-Key", call.idempotencyKey());
        }
        if (call.method().equals(HttpMethod.PUT)) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().readableBytes());
        }
        return message;
    }

    /**
     * An answer that is passed on is the request's single final answer from its first bytes on, and nothing is sent
     * again for it; so the module is told then. Its id stays taken until the last byte.
     */
    private ResponseSink begins(Exchange x, int attempt, long sentAt, CacheStatus note, Passing passing) {
        ResponseSink taker = null;
        if (!x.answered) {
            conclude(x);
            counts[1]++;
            taker = passing.begin();
        }
        told(x, attempt, sentAt, Code.OK, note);
        return taker;
    }

    /** An answer on its way from a node's connection to a client's. */
    private final class Passing implements ResponseSink, ResponseSink.FlowControl {
        private final Exchange x;
        private final HttpResponse head;
        private final long length;
        private final ResponseSink.FlowControl flow;
        private ResponseSink client;

        Passing(Exchange x, HttpResponse head, long length, ResponseSink.FlowControl flow) {
            this.x = x;
            this.head = head;
            this.length = length;
            this.flow = flow;
        }

        ResponseSink begin() {
            client = x.client.begins(head, length, this);
            return this;
        }

        @Override
        public void part(ByteBuf bytes) {
            client.part(bytes);
        }

        @Override
        public void completed() {
            ids.remove(x.call.correlationId());
            client.completed();
        }

        @Override
        public void aborted() {
            ids.remove(x.call.correlationId());
            client.aborted();
        }

        @Override
        public void pause(boolean paused) {
            flow.pause(paused);
        }

        @Override
        public void cancel() {
            ids.remove(x.call.correlationId());
            flow.cancel();
        }
    }

    private void ended(Exchange x, int attempt, long sentAt, Code code, CacheStatus note, FullHttpResponse answer) {
        if (code == Code.OK && !x.answered) {
            settle(x);
            counts[1]++;
            x.client.served(answer);
        }
        told(x, attempt, sentAt, code, note);
    }

    private void told(Exchange x, int attempt, long sentAt, Code code, CacheStatus note) {
        boolean over = x.answered;
        turns.event(() -> {
            long now = now();
            long elapsed = now - sentAt;
            // What this process was late with itself must not be held against the node.
            elapsed -= lateness == null ? 0 : Math.min(elapsed / 2, lateness.estimate(now));
            module.outcome(now, new Balancer.Outcome(x.id, attempt, code, elapsed, over, note, null));
            turns.action(() -> forget(x));
        });
    }

    @Override
    public void refuse(String request, long retryAfter) {
        answer(request, 2, client -> client.refused(retryAfter));
    }

    @Override
    public void fail(String request) {
        answer(request, 3, Client::failed);
    }

    private void answer(String request, int kind, Consumer<Client> how) {
        turns.action(() -> {
            Exchange x = open.get(request);
            if (x != null && !x.answered) {
                settle(x);
                counts[kind]++;
                how.accept(x.client);
                forget(x);
            }
        });
    }

    @Override
    public void cancel(String request, int attempt) {
        turns.action(() -> {
            Exchange x = open.get(request);
            if (x != null && x.out != null && x.attempts - 1 == attempt) {
                x.out.cancel();
            }
        });
    }

    @Override
    public void probe(String server) {
        log("probes are not part of this deployment");
    }

    @Override
    public void closeIdle(String server) {
        turns.action(() -> upstream.closeIdle(server));
    }

    @Override
    public void subscribe() {
        turns.action(discovery::subscribe);
    }

    @Override
    public void timer(long at, long token) {
        turns.action(() -> loop.schedule(
                () -> turns.event(() -> module.timer(now(), token)), Math.max(0, at - now()), TimeUnit.MICROSECONDS));
    }

    @Override
    public void log(String text) {
        operator.accept(text);
    }
}
