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
 * One service: its decision module and the requests that it holds.
 *
 * <p>What the module is told is {@link ModuleConfiguration}'s; what it decides is carried out here, over {@link Upstream}. All on one
 * event loop.
 */
public final class ServiceDispatcher implements Balancer.Actions {
    /** What the module has left unanswered fails this long before the client's time is over. */
    private static final long BACKSTOP_MICROS = CallState.ANSWER_RESERVE_MICROS;

    private static final Log LOG = new Log("dispatch");

    private static final class Exchange {
        private final String id;
        private final Call call;
        private final CallListener client;
        private ScheduledFuture<?> backstop;
        private Upstream.Attempt out;
        private FullHttpResponse last;
        private final CallState state;

        Exchange(String id, Call call, CallListener client) {
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
    private final RunToCompletionQueue turns = new RunToCompletionQueue(LOG::internalError);
    private final ModuleConfiguration briefing;
    private final BooleanSupplier ceiling;
    private final Map<String, Exchange> open = new HashMap<>();
    private long sequence;

    /**
     * Of the service with this name.
     *
     * @param ceiling whether one more attempt may go out now, of what the service bears from all edges; it counts if so
     */
    public ServiceDispatcher(
            String service,
            EventLoop loop,
            LongSupplier clock,
            Upstream upstream,
            ModuleConfiguration briefing,
            BooleanSupplier ceiling,
            long seed) {
        this.service = service;
        this.loop = loop;
        this.clock = clock;
        this.upstream = upstream;
        this.briefing = briefing;
        this.ceiling = ceiling;
        turns.event(() -> module.start(now(), seed, briefing.settings()));
    }

    private long now() {
        return clock.getAsLong();
    }

    /** The routes that lead here, and by how many edges what is bounded over all is divided. */
    public void updateRoutes(List<Route> routes, int sharedBy) {
        if (briefing.updateRoutes(routes, sharedBy)) {
            turns.event(() -> module.reconfigure(now(), briefing.settings()));
        }
    }

    /** How many connections one server takes from all callers, and how many edges are those; told before the servers. */
    public void setConnectionLimit(int connections, int sharedBy) {
        briefing.setConnectionLimit(connections, sharedBy);
    }

    /** Who there is; who leaves is sent nothing new from now on. */
    public void updateServers(Collection<ServerInfo> news, Map<String, Long> coldUntil, ToIntFunction<String> zones) {
        Map<String, ServerInstance> before = briefing.updateServers(now(), news, coldUntil, zones);
        tell();
        news.forEach(one -> {
            if (briefing.isReady(one.id())) {
                upstream.limitPeer(one.id(), briefing.connectionShare());
            }
        });
        before.keySet().forEach(id -> {
            if (!briefing.isReady(id)) {
                upstream.closeIdle(id);
            }
            if (briefing.server(id) == null) {
                upstream.removeNode(id);
            }
        });
    }

    private void tell() {
        turns.event(() -> module.servers(now(), ListKind.FULL, briefing.weightedServers(now())));
    }

    /** What was seen here of this service's servers, added to {@code to}, for other edges. */
    public void collectObservations(Map<String, double[]> to) {
        briefing.collectObservations(to);
    }

    /** What all edges together have seen, of this service's servers among others. */
    public void applyPooledObservations(Map<String, double[]> pooled) {
        if (briefing.applyPooledObservations(now(), pooled)) {
            tell();
        }
    }

    /** Whether a server may be sent anything new. */
    public boolean isReady(Upstream.Peer peer) {
        return briefing.isReady(peer.host());
    }

    /** Takes a call, with its body's reference; returns what ends it when its client leaves. */
    public Runnable dispatch(Call call, CallListener client) {
        Exchange x = new Exchange("r" + sequence++, call, client);
        open.put(x.id, x);
        x.backstop = loop.schedule(
                () -> giveUp(x), Math.max(0, call.deadline() - BACKSTOP_MICROS - now()), TimeUnit.MICROSECONDS);
        int number = briefing.classNumber(call.route());
        if (number < 0) {
            number = briefing.addClass(call.route()); // of a version that has only just been replaced
            turns.event(() -> module.reconfigure(now(), briefing.settings()));
        }
        Balancer.Request request = new Balancer.Request(
                x.id, number, 0, call.key(), call.deadline() - BACKSTOP_MICROS - CallState.MODULE_MARGIN_MICROS, false);
        turns.event(() -> module.request(now(), request));
        return () -> gone(x);
    }

    private void gone(Exchange x) {
        if (!x.state.isAnswered()) {
            conclude(x);
            abandon(x);
        }
    }

    private void giveUp(Exchange x) {
        if (!x.state.isAnswered()) {
            conclude(x);
            finalAnswer(x, () -> x.client.onFailed(true, x.state.hasBeenSent()));
            abandon(x);
        }
    }

    private void abandon(Exchange x) {
        turns.event(() -> {
            module.abandoned(now(), x.id);
            turns.action(() -> forget(x));
        });
    }

    /** Where a server has answered, though with a failure, its answer is what the client gets. */
    private void finalAnswer(Exchange x, Runnable otherwise) {
        if (x.last != null && x.state.mayForward(x.last.status().code())) {
            x.client.onAnswer(x.last);
        } else if (x.last != null) {
            x.client.onFailed(false, x.state.hasBeenSent());
        } else {
            otherwise.run();
        }
    }

    private void conclude(Exchange x) {
        x.state.markAnswered();
        x.backstop.cancel(false);
        if (x.out != null) {
            x.out.cancel();
        }
    }

    private void forget(Exchange x) {
        if (x.state.isAnswered() && x.out == null && open.remove(x.id) != null) {
            x.call.body().release();
            if (x.last != null) {
                x.last.release();
            }
        }
    }

    // ---- actions of the module, carried out after it has returned

    @Override
    public void send(String request, String server, long until) {
        turns.action(() -> sendNow(request, server, until));
    }

    private void sendNow(String request, String id, long until) {
        Exchange x = open.get(request);
        int attempt = x.state.nextAttempt();
        long sentAt = now();
        ServerInstance server = briefing.server(id);
        long wait = Math.min(until, x.call.deadline() - BACKSTOP_MICROS) - sentAt;
        if (x.out != null) {
            x.out.cancel(); // never two at once, whatever the module says
        }
        boolean counted = attempt == 0 && x.call.permitTaken();
        if (!x.state.maySend() || server == null || wait <= 0 || !counted && !ceiling.getAsBoolean()) {
            told(x, attempt, sentAt, Code.NOT_SENT);
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
                        if (x.out == mine[0]) {
                            x.out = null;
                        }
                        if (code == Code.OK && briefing.recordAnswer(now(), id, x.call.route(), now() - sentAt)) {
                            tell();
                        }
                        ServiceDispatcher.this.ended(x, attempt, sentAt, code, answer);
                    }

                    @Override
                    public ResponseSink streaming(
                            CacheStatus note, HttpResponse head, long length, ResponseSink.FlowControl flow) {
                        over[0] = true;
                        x.state.attemptEnded(attempt, Code.OK);
                        x.out = null;
                        ResponseSink taker = null;
                        if (!x.state.isAnswered()) {
                            conclude(x);
                            taker = x.client.onStreamStart(head, length, flow);
                        }
                        told(x, attempt, sentAt, Code.OK);
                        return taker;
                    }
                });
        if (!over[0]) {
            x.out = mine[0];
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

    private void ended(Exchange x, int attempt, long sentAt, Code code, FullHttpResponse answer) {
        if (code == Code.OK && !x.state.isAnswered()) {
            conclude(x);
            x.client.onAnswer(answer);
        } else if (code == Code.ERROR && answer != null && !x.state.isAnswered()) {
            if (x.last != null) {
                x.last.release();
            }
            x.last = answer.retain();
        }
        told(x, attempt, sentAt, code);
    }

    private void told(Exchange x, int attempt, long sentAt, Code code) {
        boolean over = x.state.isAnswered();
        turns.event(() -> {
            long now = now();
            module.outcome(now, new Balancer.Outcome(x.id, attempt, code, now - sentAt, over, CacheStatus.NONE, null));
            turns.action(() -> forget(x));
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

    private void answer(String request, Consumer<Exchange> how) {
        turns.action(() -> {
            Exchange x = open.get(request);
            if (x != null && !x.state.isAnswered()) {
                conclude(x);
                finalAnswer(x, () -> how.accept(x));
                forget(x);
            }
        });
    }

    @Override
    public void cancel(String request, int attempt) {
        turns.action(() -> {
            Exchange x = open.get(request);
            if (x != null && x.out != null && x.state.lastAttempt() == attempt) {
                x.out.cancel();
            }
        });
    }

    @Override
    public void probe(String server) {
        log("probes are not part of this");
    }

    @Override
    public void closeIdle(String server) {
        turns.action(() -> upstream.closeIdle(server));
    }

    @Override
    public void subscribe() {
        log("the list comes by itself");
    }

    @Override
    public void timer(long at, long token) {
        turns.action(() -> loop.schedule(
                () -> turns.event(() -> module.timer(now(), token)), Math.max(0, at - now()), TimeUnit.MICROSECONDS));
    }

    @Override
    public void log(String text) {
        LOG.info(service + ": " + text);
    }
}
