package gorsemast.hupsel;

import anisebend.Balancer;
import anisebend.Balancer.Code;
import anisebend.Balancer.ListKind;
import anisebend.Balancer.Note;
import anisebend.Decide;
import gorsemast.exchange.Passage;
import gorsemast.exchange.Turns;
import gorsemast.exchange.Upstream;
import gorsemast.marknesse.Log;
import gorsemast.schiphol.Route;
import gorsemast.terschelling.ServerNews;
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
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * One service: its decision module and the requests that it holds.
 *
 * <p>Routes become the module's classes; a class keeps its number for good, and a route that changes gets another. What
 * may be sent beyond each request's first attempt is this edge's part of the service's budget. All on one event loop.
 */
public final class Sender implements Balancer.Actions {
    /** What the module has left unanswered fails this long before the client's time is over. */
    private static final long BACKSTOP_MICROS = 8_000;
    /** The module's own end comes so much before that. */
    private static final long MARGIN_MICROS = 12_000;
    /** Of the budget that the rules leave to all edges, so much is spent; the rest is for what they count otherwise. */
    private static final double SPENT_OF_BUDGET = 0.75;
    /** How slow a server is that says it is cold, until nothing else is known. */
    private static final double COLD_SHARE = 0.5;
    private static final long COLD_MICROS = 3_000_000;
    private static final long MOST_RETRY_AFTER = 1_000_000;
    private static final long LEAST_DEADLINE = 50_000;
    /** The module is told of changed speeds not more often than this. */
    private static final long SPEED_MICROS = 400_000;
    /** So many times as much goes to servers of the own zone, for objects, whose bytes are dear between zones. */
    private static final double NEAR = 4;
    private static final Log LOG = new Log("hupsel");

    /** What bounds further attempts over all edges. */
    public record Budget(double ratio, double slack, long window) {
    }

    private final class Exchange {
        private final String id;
        private final Call call;
        private final Client client;
        private ScheduledFuture<?> backstop;
        private Upstream.Attempt out;
        private FullHttpResponse last;
        private int attempts;
        private boolean answered;

        Exchange(String id, Call call, Client client) {
            this.id = id;
            this.call = call;
            this.client = client;
        }
    }

    private final String service;
    private final EventLoop loop;
    private final LongSupplier clock;
    private final Upstream upstream;
    private final Budget budget;
    private final int zone;
    private final Balancer module = new Decide(this);
    private final Turns turns = new Turns(LOG::fault);
    private final List<Balancer.RequestClass> classes = new ArrayList<>();
    private final Map<String, Exchange> open = new HashMap<>();
    private final Speeds speeds = new Speeds();
    private final Map<String, Balancer.Server> entries = new LinkedHashMap<>();
    private long speedsAt;
    private Map<String, Server> servers = Map.of();
    private int edges = 1;
    private int attempts = 1;
    private boolean objects;
    private long sequence;

    /** Of the service with this name, for an edge in the zone with this number. */
    public Sender(String service, EventLoop loop, LongSupplier clock, Upstream upstream, Budget budget, int zone,
                  List<Route> routes, int edges, long seed) {
        this.service = service;
        this.loop = loop;
        this.clock = clock;
        this.upstream = upstream;
        this.budget = budget;
        this.zone = zone;
        this.edges = Math.max(1, edges);
        learn(routes);
        turns.event(() -> module.start(now(), seed, settings()));
    }

    private long now() {
        return clock.getAsLong();
    }

    private Balancer.Settings settings() {
        double part = SPENT_OF_BUDGET / edges;
        // No entry of the list is an origin behind the others, so misses are no part of this.
        return new Balancer.Settings(edges, zone, Integer.MAX_VALUE, List.copyOf(classes), List.of(), 1, attempts, true,
            false, true, MOST_RETRY_AFTER, false, 0, COLD_SHARE, COLD_MICROS, budget.slack * part,
            budget.ratio * SPENT_OF_BUDGET, budget.window);
    }

    private static Balancer.RequestClass type(Route route) {
        return new Balancer.RequestClass(route.repeatable() ? Balancer.Effect.SAFE : Balancer.Effect.UNSAFE,
            Balancer.Group.ALL, 0, Math.max(1, route.aimMicros()), Math.max(LEAST_DEADLINE, route.timeoutMicros()),
            1.0 / (1 + Math.max(0, route.priority())));
    }

    private boolean learn(List<Route> routes) {
        int before = classes.size();
        for (Route route : routes) {
            if (!classes.contains(type(route))) {
                classes.add(type(route));
            }
        }
        objects = routes.stream().anyMatch(route -> route.kind() == Route.Kind.CACHEABLE);
        int least = Math.max(1, routes.stream().mapToInt(Route::maxAttempts).min().orElse(1));
        boolean changed = classes.size() != before || least != attempts;
        attempts = least;
        return changed;
    }

    /** The routes that lead here, and by how many edges what is bounded over all is divided. */
    public void retune(List<Route> routes, int sharedBy) {
        boolean changed = learn(routes);
        if (changed || sharedBy != edges) {
            edges = Math.max(1, sharedBy);
            turns.event(() -> module.retune(now(), settings()));
        }
    }

    /** Who there is. What is silent is tried only where nobody else is there. */
    public void servers(Collection<ServerNews> news, Map<String, Long> coldUntil, java.util.function.ToIntFunction<String> zones) {
        boolean someReady = news.stream().anyMatch(one -> one.state() == ServerNews.State.READY);
        Map<String, Server> next = new HashMap<>();
        entries.clear();
        for (ServerNews one : news) {
            boolean usable = one.state() == ServerNews.State.READY || !someReady && one.state() == ServerNews.State.SILENT;
            Balancer.State state = usable ? Balancer.State.READY
                : one.state() == ServerNews.State.GONE ? Balancer.State.GONE : Balancer.State.DRAINING;
            if (state == Balancer.State.GONE || one.dial() == null) {
                continue;
            }
            next.put(one.id(), new Server(one.id(), one.dial(), usable ? ServerNews.State.READY : ServerNews.State.DRAINING));
            Long cold = coldUntil.get(one.id());
            long started = cold == null || cold <= now() ? 0 : cold - COLD_MICROS;
            entries.put(one.id(), new Balancer.Server(one.id(), zones.applyAsInt(one.zone()), 0, 0, state,
                Math.max(1e-3, one.capacity()), Math.max(0, started)));
        }
        Map<String, Server> before = servers;
        servers = next;
        speeds.retain(next.keySet());
        tell();
        before.forEach((id, server) -> {
            Server later = next.get(id);
            if (later == null || later.state() != ServerNews.State.READY) {
                upstream.closeIdle(id);
            }
            if (later == null) {
                upstream.forget(id);
            }
        });
    }

    /** Tells the module who there is, each with a weight by its room and its speed. */
    private void tell() {
        long now = now();
        speedsAt = now;
        List<Balancer.Server> list = new ArrayList<>();
        entries.values().forEach(e -> list.add(new Balancer.Server(e.id(), e.zone(), e.kind(), e.cell(), e.state(),
            e.weight() * speeds.factor(now, e.id()) * (objects && e.zone() == zone ? NEAR : 1), e.startedAt())));
        turns.event(() -> module.servers(now(), ListKind.FULL, list));
    }

    private void tellChanged(String server) {
        if (now() - speedsAt > SPEED_MICROS && speeds.changed(now(), server)) {
            tell();
        }
    }

    /** What was seen here of this service's servers, added to {@code to}, for other edges. */
    public void seen(Map<String, double[]> to) {
        speeds.own().forEach((id, seen) -> to.put(id, new double[] {seen.slowness(), seen.answers()}));
    }

    /** What another edge has seen, of this service's servers among others. */
    public void heard(String edge, Map<String, double[]> servers) {
        Map<String, Speeds.Seen> known = new HashMap<>();
        servers.forEach((id, seen) -> {
            if (entries.containsKey(id)) {
                known.put(id, new Speeds.Seen(seen[0], seen[1]));
            }
        });
        if (!known.isEmpty()) {
            speeds.heard(now(), edge, known);
            known.keySet().stream().filter(id -> speeds.changed(now(), id)).findFirst().ifPresent(this::tellChanged);
        }
    }

    /** Whether a server may be sent anything new. */
    public boolean ready(Upstream.Peer peer) {
        Server server = servers.get(peer.host());
        return server != null && server.state() == ServerNews.State.READY;
    }

    /** Takes a call, with its body's reference; returns what ends it when its client leaves. */
    public Runnable take(Call call, Client client) {
        Exchange x = new Exchange("r" + sequence++, call, client);
        open.put(x.id, x);
        x.backstop = loop.schedule(() -> giveUp(x), Math.max(0, call.giveUp() - BACKSTOP_MICROS - now()),
            TimeUnit.MICROSECONDS);
        int number = classes.indexOf(type(call.route()));
        if (number < 0) {
            classes.add(type(call.route())); // of a version that has only just been replaced
            turns.event(() -> module.retune(now(), settings()));
            number = classes.indexOf(type(call.route()));
        }
        Balancer.Request request = new Balancer.Request(x.id, number, 0, call.key(),
            call.giveUp() - BACKSTOP_MICROS - MARGIN_MICROS, false);
        turns.event(() -> module.request(now(), request));
        return () -> gone(x);
    }

    private void gone(Exchange x) {
        if (!x.answered) {
            conclude(x);
            abandon(x);
        }
    }

    private void giveUp(Exchange x) {
        if (!x.answered) {
            conclude(x);
            finalAnswer(x, () -> x.client.failed(true));
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
        if (x.last != null) {
            x.client.answered(x.last);
        } else {
            otherwise.run();
        }
    }

    private void conclude(Exchange x) {
        x.answered = true;
        x.backstop.cancel(false);
        if (x.out != null) {
            x.out.cancel();
        }
    }

    private void forget(Exchange x) {
        if (x.answered && x.out == null && open.remove(x.id) != null) {
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
        int attempt = x.attempts++;
        long sentAt = now();
        Server server = servers.get(id);
        long wait = Math.min(until, x.call.giveUp() - BACKSTOP_MICROS) - sentAt;
        if (x.out != null) {
            x.out.cancel(); // never two at once, whatever the module says
        }
        if (x.answered || server == null || wait <= 0) {
            told(x, attempt, sentAt, Code.NOT_SENT);
            return;
        }
        Upstream.Attempt[] mine = new Upstream.Attempt[1];
        boolean[] over = new boolean[1];
        mine[0] = upstream.send(server, message(x.call, id, x.call.giveUp() - sentAt), wait, !x.call.route().repeatable(),
            x.call.keep(), new Upstream.Ending() {
                @Override
                public void ended(Code code, Note note, FullHttpResponse answer) {
                    over[0] = true;
                    if (x.out == mine[0]) {
                        x.out = null;
                    }
                    if (code == Code.OK) {
                        speeds.answered(id, classes.indexOf(type(x.call.route())), now() - sentAt);
                        tellChanged(id);
                    }
                    Sender.this.ended(x, attempt, sentAt, code, answer);
                }

                @Override
                public Passage begins(Note note, HttpResponse head, long length, Passage.Flow flow) {
                    over[0] = true;
                    x.out = null;
                    Passage taker = null;
                    if (!x.answered) {
                        conclude(x);
                        taker = x.client.begins(head, length, flow);
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
        FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.uri(), body);
        HttpHeaders headers = message.headers();
        headers.set(HttpHeaderNames.HOST, call.route().host());
        Hops.copy(call.headers(), headers);
        headers.set(Network.ATTEMPT, call.attemptId()).set(Network.TARGET, id)
            .set(Network.BUDGET, Math.max(1, wait / 1_000));
        if (body.isReadable() || call.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
            || call.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        return message;
    }

    private void ended(Exchange x, int attempt, long sentAt, Code code, FullHttpResponse answer) {
        if (code == Code.OK && !x.answered) {
            conclude(x);
            x.client.answered(answer);
        } else if (code == Code.ERROR && answer != null && !x.answered) {
            if (x.last != null) {
                x.last.release();
            }
            x.last = answer.retain();
        }
        told(x, attempt, sentAt, code);
    }

    private void told(Exchange x, int attempt, long sentAt, Code code) {
        boolean over = x.answered;
        turns.event(() -> {
            long now = now();
            module.outcome(now, new Balancer.Outcome(x.id, attempt, code, now - sentAt, over, Note.NONE, null));
            turns.action(() -> forget(x));
        });
    }

    @Override
    public void refuse(String request, long retryAfter) {
        answer(request, client -> client.refused(retryAfter));
    }

    @Override
    public void fail(String request) {
        answer(request, client -> client.failed(false));
    }

    private void answer(String request, java.util.function.Consumer<Client> how) {
        turns.action(() -> {
            Exchange x = open.get(request);
            if (x != null && !x.answered) {
                conclude(x);
                finalAnswer(x, () -> how.accept(x.client));
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
        turns.action(() -> loop.schedule(() -> turns.event(() -> module.timer(now(), token)), Math.max(0, at - now()),
            TimeUnit.MICROSECONDS));
    }

    @Override
    public void log(String text) {
        LOG.info(service + ": " + text);
    }
}
