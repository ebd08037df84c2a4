package gorsemast.dispatch;

import anisebend.Balancer;
import anisebend.Balancer.CacheStatus;
import anisebend.Balancer.Code;
import anisebend.Balancer.ListKind;
import anisebend.BalancingPolicy;
import gorsemast.configuration.Route;
import gorsemast.gossip.ServerInfo;
import gorsemast.http.ResponseSink;
import gorsemast.http.RunToCompletionQueue;
import gorsemast.http.Upstream;
import gorsemast.logging.Log;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.ToIntFunction;

/**
 * Sends the requests of one service as its decision module decides, and keeps those that are pending.
 *
 * <p>{@link ModuleConfiguration} supplies the module's input; its decisions are carried out here over {@link
 * Upstream}. Runs on one event loop.
 */
public final class ServiceDispatcher implements Balancer.Actions {
    /** A call that the module has left unanswered fails this long before its client's deadline. */
    private static final long ANSWER_RESERVE_MICROS = CallState.ANSWER_RESERVE_MICROS;

    private static final Log LOG = new Log("dispatch");

    private static final class PendingCall {
        private final String id;
        private final Call call;
        private final CallListener client;
        private ScheduledFuture<?> timeout;
        private Upstream.Attempt inFlight;
        private FullHttpResponse lastFailure;
        private final CallState state;

        PendingCall(String id, Call call, CallListener client) {
            this.state = new CallState(call.route().isRepeatable());
            this.id = id;
            this.call = call;
            this.client = client;
        }
    }

    private final String service;
    private final EventLoop loop;
    private final LongSupplier clock;
    private final Upstream upstream;
    private final Balancer module = new BalancingPolicy(this);
    private final RunToCompletionQueue moduleQueue = new RunToCompletionQueue(LOG::internalError);
    private final ModuleConfiguration moduleConfiguration;
    private final BooleanSupplier permits;
    private final Map<String, PendingCall> openExchanges = new HashMap<>();
    private long sequence;

    /**
     * Creates the dispatcher of a service.
     *
     * @param permits takes a permit for one more attempt from the service's rate over all edges; false if none is
     *     available
     */
    public ServiceDispatcher(
            String service,
            EventLoop loop,
            LongSupplier clock,
            Upstream upstream,
            ModuleConfiguration moduleConfiguration,
            BooleanSupplier permits,
            long seed) {
        this.service = service;
        this.loop = loop;
        this.clock = clock;
        this.upstream = upstream;
        this.moduleConfiguration = moduleConfiguration;
        this.permits = permits;
        moduleQueue.event(() -> module.start(now(), seed, moduleConfiguration.settings()));
    }

    private long now() {
        return clock.getAsLong();
    }

    /** Sets the routes to this service and the number of edges that share its limits. */
    public void updateRoutes(List<Route> routes, int edgeCount) {
        if (moduleConfiguration.updateRoutes(routes, edgeCount)) {
            moduleQueue.event(() -> module.reconfigure(now(), moduleConfiguration.settings()));
        }
    }

    /**
     * Sets how many connections one server accepts from all callers, and how many edges share them; called before
     * {@link #updateServers}.
     */
    public void setConnectionLimit(int connectionsPerServer, int sharedBy) {
        moduleConfiguration.setConnectionLimit(connectionsPerServer, sharedBy);
    }

    /** Sets the known servers; those that leave get no new requests. */
    public void updateServers(Collection<ServerInfo> news, Map<String, Long> coldUntil, ToIntFunction<String> zones) {
        Map<String, ServerInstance> before = moduleConfiguration.updateServers(now(), news, coldUntil, zones);
        sendServerList();
        news.forEach(one -> {
            if (moduleConfiguration.isReady(one.id())) {
                upstream.limitPeer(one.id(), moduleConfiguration.connectionShare());
            }
        });
        before.keySet().forEach(id -> {
            if (!moduleConfiguration.isReady(id)) {
                upstream.closeIdle(id);
            }
            if (moduleConfiguration.server(id) == null) {
                upstream.removeNode(id);
            }
        });
    }

    private void sendServerList() {
        moduleQueue.event(() -> module.servers(now(), ListKind.FULL, moduleConfiguration.weightedServers(now())));
    }

    /** Adds this edge's observations of the service's servers to {@code target}, for other edges. */
    public void collectObservations(Map<String, double[]> target) {
        moduleConfiguration.collectObservations(target);
    }

    /** Applies what all edges together have observed, of this service's servers among others. */
    public void applyPooledObservations(Map<String, double[]> pooled) {
        if (moduleConfiguration.applyPooledObservations(now(), pooled)) {
            sendServerList();
        }
    }

    /** Whether new requests may be sent to a server. */
    public boolean isReady(Upstream.Peer peer) {
        return moduleConfiguration.isReady(peer.host());
    }

    /** Takes a call and the reference to its body; returns what aborts it when its client leaves. */
    public Runnable dispatch(Call call, CallListener client) {
        PendingCall pending = new PendingCall("r" + sequence++, call, client);
        openExchanges.put(pending.id, pending);
        pending.timeout = loop.schedule(
                () -> timeOut(pending),
                Math.max(0, call.deadline() - ANSWER_RESERVE_MICROS - now()),
                TimeUnit.MICROSECONDS);
        int number = moduleConfiguration.classNumber(call.route());
        if (number < 0) {
            number = moduleConfiguration.addClass(
                    call.route()); // a route of a configuration that has just been replaced
            moduleQueue.event(() -> module.reconfigure(now(), moduleConfiguration.settings()));
        }
        Balancer.Request request = new Balancer.Request(
                pending.id,
                number,
                0,
                call.key(),
                call.deadline() - ANSWER_RESERVE_MICROS - CallState.MODULE_MARGIN_MICROS,
                false);
        moduleQueue.event(() -> module.request(now(), request));
        return () -> clientLeft(pending);
    }

    private void clientLeft(PendingCall x) {
        if (!x.state.isAnswered()) {
            conclude(x);
            abandon(x);
        }
    }

    private void timeOut(PendingCall x) {
        if (!x.state.isAnswered()) {
            conclude(x);
            deliverLastFailureOr(x, () -> x.client.onFailed(true, x.state.hasBeenSent()));
            abandon(x);
        }
    }

    private void abandon(PendingCall x) {
        moduleQueue.event(() -> {
            module.abandoned(now(), x.id);
            moduleQueue.action(() -> forget(x));
        });
    }

    /** Forwards the last failed answer of a server if there is one and it may be forwarded. */
    private void deliverLastFailureOr(PendingCall x, Runnable otherwise) {
        if (x.lastFailure != null && x.state.mayForward(x.lastFailure.status().code())) {
            x.client.onAnswer(x.lastFailure);
        } else if (x.lastFailure != null) {
            x.client.onFailed(false, x.state.hasBeenSent());
        } else {
            otherwise.run();
        }
    }

    private void conclude(PendingCall x) {
        x.state.markAnswered();
        x.timeout.cancel(false);
        if (x.inFlight != null) {
            x.inFlight.cancel();
        }
    }

    private void forget(PendingCall x) {
        if (x.state.isAnswered() && x.inFlight == null && openExchanges.remove(x.id) != null) {
            x.call.body().release();
            if (x.lastFailure != null) {
                x.lastFailure.release();
            }
        }
    }

    // ---- actions of the module, executed after it has returned

    @Override
    public void send(String request, String server, long until) {
        moduleQueue.action(() -> sendNow(request, server, until));
    }

    private void sendNow(String request, String id, long until) {
        PendingCall x = openExchanges.get(request);
        int attempt = x.state.nextAttempt();
        long sentAt = now();
        ServerInstance server = moduleConfiguration.server(id);
        long wait = Math.min(until, x.call.deadline() - ANSWER_RESERVE_MICROS) - sentAt;
        if (x.inFlight != null) {
            x.inFlight.cancel(); // never two attempts at once, whatever the module decides
        }
        boolean counted = attempt == 0 && x.call.permitTaken();
        if (!x.state.maySend() || server == null || wait <= 0 || !counted && !permits.getAsBoolean()) {
            reportOutcome(x, attempt, sentAt, Code.NOT_SENT);
            return;
        }
        x.state.attemptSent(attempt);
        Upstream.Attempt[] mine = new Upstream.Attempt[1];
        boolean[] over = new boolean[1];
        mine[0] = upstream.send(
                server,
                message(x.call, id, x.call.deadline() - sentAt),
                wait,
                !x.call.route().isRepeatable(),
                x.call.bufferLimit(),
                new Upstream.AttemptListener() {
                    @Override
                    public void ended(Code code, CacheStatus note, FullHttpResponse answer) {
                        over[0] = true;
                        x.state.attemptEnded(attempt, code);
                        if (x.inFlight == mine[0]) {
                            x.inFlight = null;
                        }
                        if (code == Code.OK
                                && moduleConfiguration.recordAnswer(now(), id, x.call.route(), now() - sentAt)) {
                            sendServerList();
                        }
                        ServiceDispatcher.this.ended(x, attempt, sentAt, code, answer);
                    }

                    @Override
                    public ResponseSink streaming(
                            CacheStatus note, HttpResponse head, long length, ResponseSink.FlowControl flow) {
                        over[0] = true;
                        x.state.attemptEnded(attempt, Code.OK);
                        x.inFlight = null;
                        ResponseSink taker = null;
                        if (!x.state.isAnswered()) {
                            conclude(x);
                            taker = x.client.onStreamStart(head, length, flow);
                        }
                        reportOutcome(x, attempt, sentAt, Code.OK);
                        return taker;
                    }
                });
        if (!over[0]) {
            x.inFlight = mine[0];
        }
    }

    private static FullHttpRequest message(Call call, String id, long wait) {
        ByteBuf body = call.body().isReadable() ? call.body().retainedDuplicate() : Unpooled.EMPTY_BUFFER;
        FullHttpRequest message = call.route().kind() == Route.Kind.CACHEABLE
                ? new ServerDialect.CacheableRequest(call.method(), call.uri(), body)
                : new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.uri(), body);
        HttpHeaders headers = message.headers();
        headers.set(HttpHeaderNames.HOST, call.route().host());
        HopByHopHeaders.copyEndToEnd(call.headers(), headers);
        headers.set(ServerDialect.ATTEMPT_ID, call.attemptId())
                .set(ServerDialect.TARGET_INSTANCE, id)
                .set(ServerDialect.TIME_BUDGET, Math.max(1, wait / 1_000));
        if (body.isReadable()
                || call.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || call.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        return message;
    }

    private void ended(PendingCall x, int attempt, long sentAt, Code code, FullHttpResponse answer) {
        if (code == Code.OK && !x.state.isAnswered()) {
            conclude(x);
            x.client.onAnswer(answer);
        } else if (code == Code.ERROR && answer != null && !x.state.isAnswered()) {
            if (x.lastFailure != null) {
                x.lastFailure.release();
            }
            x.lastFailure = answer.retain();
        }
        reportOutcome(x, attempt, sentAt, code);
    }

    private void reportOutcome(PendingCall x, int attempt, long sentAt, Code code) {
        boolean over = x.state.isAnswered();
        moduleQueue.event(() -> {
            long now = now();
            module.outcome(now, new Balancer.Outcome(x.id, attempt, code, now - sentAt, over, CacheStatus.NONE, null));
            moduleQueue.action(() -> forget(x));
        });
    }

    @Override
    public void refuse(String request, long retryAfter) {
        answer(request, x -> {
            if (x.state.mayRefuse()) {
                x.client.onRefused(retryAfter, x.state.hasBeenSent());
            } else {
                x.client.onFailed(false, x.state.hasBeenSent());
            }
        });
    }

    @Override
    public void fail(String request) {
        answer(request, x -> x.client.onFailed(false, x.state.hasBeenSent()));
    }

    private void answer(String request, Consumer<PendingCall> how) {
        moduleQueue.action(() -> {
            PendingCall x = openExchanges.get(request);
            if (x != null && !x.state.isAnswered()) {
                conclude(x);
                deliverLastFailureOr(x, () -> how.accept(x));
                forget(x);
            }
        });
    }

    @Override
    public void cancel(String request, int attempt) {
        moduleQueue.action(() -> {
            PendingCall x = openExchanges.get(request);
            if (x != null && x.inFlight != null && x.state.lastAttempt() == attempt) {
                x.inFlight.cancel();
            }
        });
    }

    @Override
    public void probe(String server) {
        log("ignored the decision module's probe: probes are not supported");
    }

    @Override
    public void closeIdle(String server) {
        moduleQueue.action(() -> upstream.closeIdle(server));
    }

    @Override
    public void subscribe() {
        log("ignored the decision module's subscription: server lists are pushed");
    }

    @Override
    public void timer(long at, long token) {
        moduleQueue.action(() -> loop.schedule(
                () -> moduleQueue.event(() -> module.timer(now(), token)),
                Math.max(0, at - now()),
                TimeUnit.MICROSECONDS));
    }

    @Override
    public void log(String text) {
        LOG.info(service + ": " + text);
    }
}
