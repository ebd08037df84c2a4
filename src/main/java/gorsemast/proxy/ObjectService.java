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
 * Serves objects to clients, and carries out over HTTP what {@link FetchCoordinator} decides: asks homes and servers, and makes
 * copies of what they answer. All on one event loop.
 */
final class ObjectService implements ObjectSources<FullHttpResponse> {
    /** An object of more bytes is passed on and not held. */
    static final int LARGEST = 2 << 20;

    /** A socket takes an answer of so many bytes at once, however slowly its client reads. */
    private static final int SHORT = 16 << 10;

    private static final int OK = 200;
    private static final int PARTIAL = 206;
    private static final int UNCHANGED = 304;
    private static final int RANGE = 416;
    private static final int TIME_OUT = 504;

    private final EventLoop loop;
    private final LongSupplier clock;
    private final HomeClient asker;
    private final Function<String, ServiceDispatcher> senders;
    private final Supplier<Configuration> configuration;
    private final IntSupplier edges;
    private final EventCounters<LocalResponse> answers;
    private final SplittableRandom random;
    private FetchCoordinator<FullHttpResponse> fetching;

    ObjectService(
            EventLoop loop,
            LongSupplier clock,
            HomeClient asker,
            Function<String, ServiceDispatcher> senders,
            Supplier<Configuration> configuration,
            IntSupplier edges,
            EventCounters<LocalResponse> answers,
            long seed) {
        this.loop = loop;
        this.clock = clock;
        this.asker = asker;
        this.senders = senders;
        this.configuration = configuration;
        this.edges = edges;
        this.answers = answers;
        this.random = new SplittableRandom(seed);
    }

    /** Who decides; before the first request. */
    void goBy(FetchCoordinator<FullHttpResponse> decisions) {
        fetching = decisions;
    }

    /**
     * A client's request for an object.
     *
     * @param kind as which it takes a place
     * @param direct sends it on without a copy
     * @param turnAway refuses it, as there is no place for what takes time
     */
    void serve(
            Exchange turn,
            ConcurrencyLimiter.Kind kind,
            Route route,
            String attemptId,
            long giveUp,
            Runnable direct,
            Runnable turnAway) {
        ObjectRequest what = new ObjectRequest(route, route.host(), turn.uri());
        CachedResponse copy = fetching.lookUp(what);
        boolean atOnce = copy != null && copy.body().length <= SHORT;
        if (atOnce) {
            turn.takeBody().release();
            answer(turn, copy, attemptId);
        } else {
            turn.acquire(kind, () -> takeTime(turn, what, attemptId, giveUp, direct), turnAway);
        }
    }

    /** A request that has a place for what takes time. */
    private void takeTime(Exchange turn, ObjectRequest what, String attemptId, long giveUp, Runnable direct) {
        CachedResponse copy = fetching.lookUp(what); // one may have come while it waited
        if (copy == null && fetching.isTooLongToCache(what)) {
            direct.run();
            return;
        }
        turn.takeBody().release();
        if (copy != null) {
            answer(turn, copy, attemptId);
            return;
        }
        boolean[] over = new boolean[1];
        ScheduledFuture<?> limit = loop.schedule(
                () -> {
                    over[0] = true;
                    answers.count(LocalResponse.TIME_OVER);
                    turn.answer(TIME_OUT, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
                },
                Math.max(0, giveUp - clock.getAsLong()),
                TimeUnit.MICROSECONDS);
        turn.onLeave(() -> {
            over[0] = true;
            limit.cancel(false);
        });
        fetching.request(what, FetchCoordinator.HOP_CLIENT, giveUp, new ObjectWaiter<>() {
            private boolean done() {
                limit.cancel(false);
                boolean was = over[0];
                over[0] = true;
                return was;
            }

            @Override
            public void onResponse(CachedResponse found, boolean once) {
                if (!done()) {
                    answer(turn, found, attemptId);
                }
            }

            @Override
            public void onUncacheable(FullHttpResponse got) {
                if (!done()) {
                    HttpHeaders headers = new DefaultHttpHeaders();
                    HopByHopHeaders.copyEndToEnd(got.headers(), headers);
                    if (attemptId != null) {
                        headers.set(ServerDialect.ATTEMPT_ID, attemptId);
                    }
                    turn.answer(got.status().code(), headers, got.content().retainedDuplicate());
                }
            }

            @Override
            public void onRefused(long retryAfter) {
                if (!done()) {
                    answers.count(LocalResponse.OBJECT_REFUSED);
                    Frontend.refuse(turn, retryAfter);
                }
            }

            @Override
            public void onFailed() {
                if (!done()) {
                    answers.count(LocalResponse.TIME_OVER);
                    turn.answer(TIME_OUT, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
                }
            }

            @Override
            public void onTooLong() {
                if (!done()) {
                    direct.run();
                }
            }

            @Override
            public void onStillFetching() {
                throw new IllegalStateException("only edges are told so");
            }
        });
    }

    /** Another edge asks for an object whose home this is. */
    void ask(ObjectRequest what, int hop, long giveUp, ObjectWaiter<FullHttpResponse> waiter) {
        fetching.request(what, hop, giveUp, waiter);
    }

    // ---- from the home

    @Override
    public void requestFromEdge(HomeRequest question, HomeResponseListener<FullHttpResponse> ending) {
        asker.ask(question, ending);
    }

    // ---- from the servers

    @Override
    public double serverRatePerSecond(String service) {
        Configuration.Service known = configuration.get() == null
                ? null
                : configuration.get().services().get(service);
        return known == null ? Double.POSITIVE_INFINITY : known.ratePerSecond();
    }

    @Override
    public void schedule(long micros, Runnable task) {
        loop.schedule(task, micros, TimeUnit.MICROSECONDS);
    }

    @Override
    public int fetcherCount(String service) {
        Configuration.Service known = configuration.get() == null
                ? null
                : configuration.get().services().get(service);
        return known == null
                ? Integer.MAX_VALUE
                : EdgeSharing.fetcherCount(edges.getAsInt(), known.maxConnections(), known.ratePerSecond());
    }

    @Override
    public boolean requestFromServers(
            String service,
            ObjectRequest what,
            long asked,
            long giveUp,
            ServerResponseListener<FullHttpResponse> ending) {
        ServiceDispatcher sender = senders.apply(service);
        if (sender == null) {
            return false;
        }
        String id = HexFormat.of().toHexDigits(random.nextLong()); // as clients' ids are
        sender.dispatch(
                new Call(
                        what.route(),
                        HttpMethod.GET,
                        what.uri(),
                        new DefaultHttpHeaders(),
                        id,
                        Unpooled.EMPTY_BUFFER,
                        what.key(),
                        asked,
                        giveUp,
                        LARGEST,
                        true),
                new CallListener() {
                    @Override
                    public void onAnswer(FullHttpResponse answer) {
                        if (answer.status().code() == OK && answer.headers().contains(ServerDialect.EDGE_SEAL)) {
                            HttpHeaders headers = new DefaultHttpHeaders();
                            HopByHopHeaders.copyEndToEnd(answer.headers(), headers);
                            ending.onResponse(copy(
                                    OK,
                                    headers,
                                    answer.content(),
                                    asked,
                                    what.route().ttlMicros()));
                        } else {
                            ending.onUncacheable(answer);
                        }
                    }

                    @Override
                    public ResponseSink onStreamStart(HttpResponse head, long length, ResponseSink.FlowControl flow) {
                        loop.execute(ending::onTooLong); // once the module has heard of this end
                        return null;
                    }

                    @Override
                    public void onRefused(long retryAfter, boolean sent) {
                        if (sent) {
                            ending.onRefused(retryAfter);
                        } else {
                            ending.onNotSent(retryAfter);
                        }
                    }

                    @Override
                    public void onFailed(boolean timeUp, boolean sent) {
                        if (sent) {
                            ending.onFailed();
                        } else {
                            ending.onNotSent(FetchCoordinator.DEFAULT_RETRY_AFTER_MICROS);
                        }
                    }
                });
        return true;
    }

    /** An answer as a copy that was asked for then. */
    static CachedResponse copy(int status, HttpHeaders headers, ByteBuf body, long asked, long ttl) {
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
                asked,
                Math.min(ttl, GossipState.MAX_CACHE_AGE_MICROS));
    }

    // ---- to clients

    /** Answers from a whole copy: all of it, a range of it, or that it is unchanged. */
    private void answer(Exchange turn, CachedResponse copy, String attemptId) {
        HttpHeaders headers = new DefaultHttpHeaders();
        copy.headers().forEach(header -> headers.add(header.getKey(), header.getValue()));
        if (attemptId != null) {
            headers.set(ServerDialect.ATTEMPT_ID, attemptId);
        }
        String tag = copy.header("ETag");
        String wanted = turn.headers().get(HttpHeaderNames.IF_NONE_MATCH);
        if (tag != null && tag.equals(wanted)) {
            answers.count(LocalResponse.UNCHANGED);
            turn.answer(UNCHANGED, headers, Unpooled.EMPTY_BUFFER);
            return;
        }
        int length = copy.body().length;
        long[] range = range(turn.headers(), tag, length);
        if (range == null) {
            turn.answer(OK, headers, Unpooled.wrappedBuffer(copy.body()));
        } else if (range[0] >= length) {
            answers.count(LocalResponse.RANGE_BEYOND_END);
            headers.set(HttpHeaderNames.CONTENT_RANGE, "bytes */" + length);
            turn.answer(RANGE, headers, Unpooled.EMPTY_BUFFER);
        } else {
            headers.set(HttpHeaderNames.CONTENT_RANGE, "bytes " + range[0] + '-' + range[1] + '/' + length);
            turn.answer(PARTIAL, headers, Unpooled.wrappedBuffer(copy.body(), (int) range[0], (int)
                    (range[1] - range[0] + 1)));
        }
    }

    /** First and last byte of a single range that names its first; null where the whole is to be sent. */
    static long[] range(HttpHeaders headers, String tag, int length) {
        String told = headers.get(HttpHeaderNames.RANGE);
        String only = headers.get(HttpHeaderNames.IF_RANGE);
        if (told == null || !told.startsWith("bytes=") || only != null && !only.equals(tag)) {
            return null;
        }
        String spec = told.substring("bytes=".length()).trim();
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
