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
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Where clients come in: finds each request's route in the newest configuration and hands it to whoever serves it. All
 * on one event loop.
 */
final class Frontend implements ClientConnection.Owner {
    /** When to come back where nothing better is known. */
    static final long LATER_MICROS = 300_000;
    /** When to come back while it is being found out which configuration is the newest. */
    private static final long SOON_MICROS = 100_000;
    /** Before the client's own time is over, by as much as an answer takes to it. */
    private static final long WAY_MICROS = 8_000;
    /** A head is kept whole, so the operator's limit has one itself. */
    static final int MOST_HEAD = 256 << 10;

    private static final long MOST_BODIES = 24L << 20;
    private static final long MICROS = 1_000_000L;
    private static final long MICROS_PER_MILLI = 1_000;
    /** What is said of a client's time is no number. */
    private static final long UNREADABLE = -1;

    private static final int KEPT = 64 << 10;
    private static final int NOT_FOUND = 404;
    private static final int BAD = 400;
    private static final int FAILED = 502;
    private static final int TIME_OUT = 504;
    private static final int UNAVAILABLE = 503;

    private final EventLoop loop;
    private final LongSupplier clock;
    private final Supplier<Configuration> configuration;
    private final Supplier<ConfigurationStatus> status;
    private final Function<String, ServiceDispatcher> senders;
    private final ObjectService desk;
    private final AcceptLimiter acceptLimiter;
    private final EventCounters<SocketEvent> sockets;
    private final EventCounters<LocalResponse> answers;
    /** Whether connections end with their answers, as there are too few for those who keep theirs. */
    private final boolean closes;

    private final SocketBudget places;
    private final ConcurrencyLimiter limiter;
    private final RetryDelay comeBack = new RetryDelay();
    private final SplittableRandom random;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private Channel listener;
    private boolean closing;
    private long bodies;
    private int open;
    private long taken;

    Frontend(
            EventLoop loop,
            LongSupplier clock,
            Supplier<Configuration> configuration,
            Supplier<ConfigurationStatus> status,
            Function<String, ServiceDispatcher> senders,
            ObjectService desk,
            EdgeCounters counters,
            SocketBudget places,
            long seed) {
        this.loop = loop;
        this.clock = clock;
        this.configuration = configuration;
        this.status = status;
        this.senders = senders;
        this.desk = desk;
        this.places = places;
        this.closes = !places.keeps();
        this.sockets = counters.sockets();
        this.answers = counters.answers();
        this.acceptLimiter = new AcceptLimiter(places.clients(), new ClientWatcher());
        this.limiter = new ConcurrencyLimiter(places.inHand(), places.waiting());
        this.random = new SplittableRandom(seed);
    }

    Channel listen(InetSocketAddress at, int headBytes) throws IOException {
        loop.scheduleWithFixedDelay(
                () -> List.copyOf(connections).forEach(connection -> connection.sweep(now())),
                ClientConnection.SWEEP_MICROS,
                ClientConnection.SWEEP_MICROS,
                TimeUnit.MICROSECONDS);
        listener = Transport.listen(loop, at, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel ch) {
                acceptLimiter.comes(ch);
                Configuration now = configuration.get();
                int head = now == null
                        ? headBytes
                        : Math.max(headBytes, Math.min(MOST_HEAD, now.limits().headerBytes()));
                ch.pipeline()
                        .addLast(
                                new StrictHttp.Requests(head),
                                new HttpResponseEncoder(),
                                new ClientConnection(ch, Frontend.this));
            }
        });
        acceptLimiter.at(listener);
        return listener;
    }

    /** From now on connections end with their answers. */
    void closing() {
        closing = true;
    }

    /** Nobody is accepted any more, so that nothing is begun that the end of the process would cut off. */
    void stopListening() {
        listener.close();
    }

    /** Ends what nobody asks anything on. Returns how many connections are left. */
    int closeIdle() {
        for (ClientConnection connection : List.copyOf(connections)) {
            if (connection.idle()) {
                connection.close();
            }
        }
        return connections.size();
    }

    /** Counts what happens to clients' connections, and has an idle one make room. */
    private final class ClientWatcher implements AcceptLimiter.Watcher {
        @Override
        public void accepted() {
            sockets.count(SocketEvent.CLIENT_ACCEPTED);
        }

        @Override
        public void full() {
            sockets.count(SocketEvent.CLIENTS_FULL);
            makeRoom();
        }

        @Override
        public void fullOver(long micros) {
            sockets.count(SocketEvent.CLIENTS_FULL_OVER, micros);
        }

        @Override
        public void closed(long micros) {
            sockets.count(SocketEvent.CLIENT_CLOSED, micros);
        }
    }

    /** The longest idle one makes room for who waits. */
    private void makeRoom() {
        for (ClientConnection connection : connections) {
            if (connection.forgotten(now())) {
                connection.close();
                return;
            }
        }
    }

    /** Requests since the start. */
    long taken() {
        return taken;
    }

    /** Requests that are held. */
    int held() {
        return open;
    }

    // ---- what the connections want

    @Override
    public void happened(SocketEvent event, long micros) {
        sockets.count(event, micros);
    }

    @Override
    public void answeredItself(LocalResponse why) {
        answers.count(why);
    }

    @Override
    public long now() {
        return clock.getAsLong();
    }

    @Override
    public long bodyBytes() {
        Configuration now = configuration.get();
        return now == null ? MOST_BODIES : Math.min(MOST_BODIES, now.limits().bodyBytes());
    }

    @Override
    public long headMicros() {
        Configuration now = configuration.get();
        return now == null ? 3 * MICROS : now.limits().headerMicros();
    }

    @Override
    public long idleMicros() {
        Configuration now = configuration.get();
        return now == null ? 15 * MICROS : now.limits().idleMicros();
    }

    @Override
    public boolean isClosing() {
        return closing || closes || acceptLimiter.tight();
    }

    @Override
    public boolean isShort() {
        return closes;
    }

    @Override
    public ConcurrencyLimiter limiter() {
        return limiter;
    }

    @Override
    public void released() {
        comeBack.recordServed();
    }

    @Override
    public boolean repeatable(HttpRequest head) {
        Route route = route(head.headers(), head.uri());
        return route == null || route.isRepeatable();
    }

    @Override
    public boolean room(long bytes) {
        if (bytes > 0 && bodies + bytes > MOST_BODIES) {
            return false;
        }
        bodies += bytes;
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
        Configuration now = configuration.get();
        String host = headers.get(HttpHeaderNames.HOST);
        if (now == null || host == null) {
            return null;
        }
        int query = uri.indexOf('?');
        return now.route(Configuration.normalizeHost(host), query < 0 ? uri : uri.substring(0, query));
    }

    @Override
    public void take(Exchange turn) {
        taken++;
        ConfigurationStatus known = status.get();
        Route route = route(turn.headers(), turn.uri());
        if (known == ConfigurationStatus.CHECKING) {
            answers.count(LocalResponse.NOT_CONFIRMED);
            turn.takeBody().release();
            refuse(turn, SOON_MICROS);
            return;
        }
        if (route == null) {
            turn.takeBody().release();
            notFound(turn, known);
            return;
        }
        String id = turn.headers().get(ServerDialect.ATTEMPT_ID);
        long budget = budget(turn.headers().get(ServerDialect.TIME_BUDGET));
        boolean unreadable = budget == UNREADABLE;
        if (unreadable || id == null && !route.isRepeatable()) {
            answers.count(unreadable ? LocalResponse.UNREADABLE_BUDGET : LocalResponse.NO_ATTEMPT_ID);
            turn.takeBody().release();
            turn.answer(BAD, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
            return;
        }
        if (budget == 0) {
            // A client that is late is no wrong one: its request hasn't run, and it may still come back.
            answers.count(LocalResponse.BUDGET_SPENT);
            turn.takeBody().release();
            refuse(turn, LATER_MICROS);
            return;
        }
        long wait = Math.min(route.timeoutMicros(), Math.max(1_000, budget - WAY_MICROS));
        long giveUp = turn.arrival() + wait;
        if (route.kind() == Route.Kind.CACHEABLE && turn.method().equals(HttpMethod.GET)) {
            ConcurrencyLimiter.Kind kind = kind(route, places.inHand() - 1);
            desk.serve(turn, kind, route, id, giveUp, () -> forward(turn, route, id, giveUp), () -> turnAway(turn));
        } else {
            ConcurrencyLimiter.Kind kind = kind(route, places.servers() - 1);
            turn.acquire(kind, () -> forward(turn, route, id, giveUp), () -> turnAway(turn));
        }
    }

    /** Only who knows the newest configuration can say that there is no such route; a 404 ends its client's tries. */
    private void notFound(Exchange turn, ConfigurationStatus known) {
        if (known == ConfigurationStatus.CONFIRMED) {
            answers.count(LocalResponse.NO_ROUTE);
            turn.answer(NOT_FOUND, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
        } else {
            boolean none = known == ConfigurationStatus.ABSENT;
            answers.count(none ? LocalResponse.NO_CONFIGURATION : LocalResponse.NOT_CONFIRMED);
            refuse(turn, LATER_MICROS);
        }
    }

    private static ConcurrencyLimiter.Kind kind(Route route, int mostIfLong) {
        return new ConcurrencyLimiter.Kind(route.name(), route.targetLatencyMicros(), mostIfLong);
    }

    /** All places for what takes time are taken: it is told so at once, and when to come back. */
    private void turnAway(Exchange turn) {
        turn.takeBody().release();
        sockets.count(SocketEvent.CLIENT_TURNED_AWAY);
        answers.count(LocalResponse.NO_PLACE);
        refuse(turn, comeBack.recordRefused(0, random.nextDouble()));
    }

    /** To a server of the route's service, and its answer back, without a copy. */
    private void forward(Exchange turn, Route route, String id, long giveUp) {
        ServiceDispatcher sender = senders.apply(route.selectService(random.nextDouble()));
        if (sender == null) {
            answers.count(LocalResponse.SERVICE_REFUSED);
            turn.takeBody().release();
            refuse(turn, LATER_MICROS);
            return;
        }
        open++;
        Runnable leave = sender.dispatch(
                new Call(
                        route,
                        turn.method(),
                        turn.uri(),
                        turn.headers(),
                        id == null ? "n" + Long.toHexString(random.nextLong()) : id,
                        turn.takeBody(),
                        null,
                        turn.arrival(),
                        giveUp,
                        KEPT,
                        false),
                new Answering(turn));
        turn.onLeave(() -> {
            open--;
            leave.run();
        });
    }

    /** In microseconds, 0 where nothing is left, {@link #UNREADABLE} for what is no number; without bound where nothing is said. */
    private static long budget(String told) {
        if (told == null) {
            return Long.MAX_VALUE;
        }
        try {
            double millis = Double.parseDouble(told);
            return Double.isNaN(millis) ? UNREADABLE : (long) Math.max(0, millis * MICROS_PER_MILLI);
        } catch (NumberFormatException e) {
            return UNREADABLE;
        }
    }

    /** Passes a service's answer on to its client. */
    private final class Answering implements CallListener {
        private final Exchange turn;

        Answering(Exchange turn) {
            this.turn = turn;
        }

        private void ended(SocketEvent how) {
            open--;
            sockets.count(how, now() - turn.arrival());
        }

        private HttpHeaders headers(HttpResponse answer) {
            HttpHeaders headers = new DefaultHttpHeaders();
            HopByHopHeaders.copyEndToEnd(answer.headers(), headers);
            return headers;
        }

        @Override
        public void onAnswer(FullHttpResponse answer) {
            ended(SocketEvent.CALL_ANSWERED);
            turn.answer(
                    answer.status().code(), headers(answer), answer.content().retainedDuplicate());
        }

        @Override
        public ResponseSink onStreamStart(HttpResponse head, long length, ResponseSink.FlowControl flow) {
            ended(SocketEvent.CALL_ANSWERED);
            return turn.begin(head, headers(head), length, flow);
        }

        @Override
        public void onRefused(long retryAfter, boolean sent) {
            ended(SocketEvent.CALL_REFUSED);
            answers.count(LocalResponse.SERVICE_REFUSED);
            refuse(turn, retryAfter);
        }

        @Override
        public void onFailed(boolean timeUp, boolean sent) {
            ended(SocketEvent.CALL_FAILED);
            answers.count(timeUp ? LocalResponse.TIME_OVER : LocalResponse.SERVICE_FAILED);
            turn.answer(timeUp ? TIME_OUT : FAILED, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
        }
    }

    /** A promise that it has not run, with when to come back. */
    static void refuse(Exchange turn, long retryAfterMicros) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.RETRY_AFTER, seconds(retryAfterMicros));
        turn.answer(UNAVAILABLE, headers, Unpooled.EMPTY_BUFFER);
    }

    /** Microseconds as seconds with three digits behind the point, one thousandth at least. */
    static String seconds(long micros) {
        long millis = Math.max(1, micros / 1_000);
        return millis / 1_000 + "." + millis % 1_000 / 100 + millis % 100 / 10 + millis % 10;
    }

    /** Seconds with fractions as microseconds. */
    static long micros(String seconds) {
        try {
            return (long) (Double.parseDouble(seconds) * MICROS);
        } catch (NumberFormatException e) {
            return LATER_MICROS;
        }
    }
}
