package gorsemast.proxy;

import gorsemast.admission.ConcurrencyLimiter;
import gorsemast.cache.Copy;
import gorsemast.cache.Fetching;
import gorsemast.cache.HomeAnswer;
import gorsemast.cache.HomeQuestion;
import gorsemast.cache.ObjectSources;
import gorsemast.cache.ObjectWaiter;
import gorsemast.cache.ServerAnswer;
import gorsemast.cache.WantedObject;
import gorsemast.configuration.Configuration;
import gorsemast.configuration.Route;
import gorsemast.dispatch.Call;
import gorsemast.dispatch.Client;
import gorsemast.dispatch.Crowd;
import gorsemast.dispatch.Hops;
import gorsemast.dispatch.Network;
import gorsemast.dispatch.Sender;
import gorsemast.gossip.GossipState;
import gorsemast.http.Passage;
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
 * Serves objects to clients, and carries out over HTTP what {@link Fetching} decides: asks homes and servers, and makes
 * copies of what they answer. All on one event loop.
 */
final class ObjectDesk implements ObjectSources<FullHttpResponse> {
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
    private final HomeAsker asker;
    private final Function<String, Sender> senders;
    private final Supplier<Configuration> configuration;
    private final IntSupplier edges;
    private final EventCounters<OwnAnswer> answers;
    private final SplittableRandom random;
    private Fetching<FullHttpResponse> fetching;

    ObjectDesk(
            EventLoop loop,
            LongSupplier clock,
            HomeAsker asker,
            Function<String, Sender> senders,
            Supplier<Configuration> configuration,
            IntSupplier edges,
            EventCounters<OwnAnswer> answers,
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
    void goBy(Fetching<FullHttpResponse> decisions) {
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
            Turn turn,
            ConcurrencyLimiter.Kind kind,
            Route route,
            String attemptId,
            long giveUp,
            Runnable direct,
            Runnable turnAway) {
        WantedObject what = new WantedObject(route, route.host(), turn.uri());
        Copy copy = fetching.held(what);
        boolean atOnce = copy != null && copy.body().length <= SHORT;
        if (atOnce) {
            turn.takeBody().release();
            answer(turn, copy, attemptId);
        } else {
            turn.acquire(kind, () -> takeTime(turn, what, attemptId, giveUp, direct), turnAway);
        }
    }

    /** A request that has a place for what takes time. */
    private void takeTime(Turn turn, WantedObject what, String attemptId, long giveUp, Runnable direct) {
        Copy copy = fetching.held(what); // one may have come while it waited
        if (copy == null && fetching.isLong(what)) {
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
                    answers.count(OwnAnswer.TIME_OVER);
                    turn.answer(TIME_OUT, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
                },
                Math.max(0, giveUp - clock.getAsLong()),
                TimeUnit.MICROSECONDS);
        turn.onLeave(() -> {
            over[0] = true;
            limit.cancel(false);
        });
        fetching.ask(what, Fetching.ASKED_BY_CLIENT, giveUp, new ObjectWaiter<>() {
            private boolean done() {
                limit.cancel(false);
                boolean was = over[0];
                over[0] = true;
                return was;
            }

            @Override
            public void here(Copy found, boolean once) {
                if (!done()) {
                    answer(turn, found, attemptId);
                }
            }

            @Override
            public void other(FullHttpResponse got) {
                if (!done()) {
                    HttpHeaders headers = new DefaultHttpHeaders();
                    Hops.copy(got.headers(), headers);
                    if (attemptId != null) {
                        headers.set(Network.ATTEMPT, attemptId);
                    }
                    turn.answer(got.status().code(), headers, got.content().retainedDuplicate());
                }
            }

            @Override
            public void refused(long retryAfter) {
                if (!done()) {
                    answers.count(OwnAnswer.OBJECT_REFUSED);
                    Front.refuse(turn, retryAfter);
                }
            }

            @Override
            public void failed() {
                if (!done()) {
                    answers.count(OwnAnswer.TIME_OVER);
                    turn.answer(TIME_OUT, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
                }
            }

            @Override
            public void tooLong() {
                if (!done()) {
                    direct.run();
                }
            }

            @Override
            public void inHand() {
                throw new IllegalStateException("only edges are told so");
            }
        });
    }

    /** Another edge asks for an object whose home this is. */
    void ask(WantedObject what, int hop, long giveUp, ObjectWaiter<FullHttpResponse> waiter) {
        fetching.ask(what, hop, giveUp, waiter);
    }

    // ---- from the home

    @Override
    public void home(HomeQuestion question, HomeAnswer<FullHttpResponse> ending) {
        asker.ask(question, ending);
    }

    // ---- from the servers

    @Override
    public double perSecond(String service) {
        Configuration.Service known = configuration.get() == null
                ? null
                : configuration.get().services().get(service);
        return known == null ? Double.POSITIVE_INFINITY : known.ratePerSecond();
    }

    @Override
    public void later(long micros, Runnable task) {
        loop.schedule(task, micros, TimeUnit.MICROSECONDS);
    }

    @Override
    public int fetchers(String service) {
        Configuration.Service known = configuration.get() == null
                ? null
                : configuration.get().services().get(service);
        return known == null
                ? Integer.MAX_VALUE
                : Crowd.homes(edges.getAsInt(), known.maxConnections(), known.ratePerSecond());
    }

    @Override
    public boolean servers(
            String service, WantedObject what, long asked, long giveUp, ServerAnswer<FullHttpResponse> ending) {
        Sender sender = senders.apply(service);
        if (sender == null) {
            return false;
        }
        String id = HexFormat.of().toHexDigits(random.nextLong()); // as clients' ids are
        sender.take(
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
                new Client() {
                    @Override
                    public void answered(FullHttpResponse answer) {
                        if (answer.status().code() == OK && answer.headers().contains(Network.SEAL)) {
                            HttpHeaders headers = new DefaultHttpHeaders();
                            Hops.copy(answer.headers(), headers);
                            ending.copy(copy(
                                    OK,
                                    headers,
                                    answer.content(),
                                    asked,
                                    what.route().ttlMicros()));
                        } else {
                            ending.other(answer);
                        }
                    }

                    @Override
                    public Passage begins(HttpResponse head, long length, Passage.Flow flow) {
                        loop.execute(ending::tooLong); // once the module has heard of this end
                        return null;
                    }

                    @Override
                    public void refused(long retryAfter, boolean sent) {
                        if (sent) {
                            ending.refused(retryAfter);
                        } else {
                            ending.notSent(retryAfter);
                        }
                    }

                    @Override
                    public void failed(boolean timeUp, boolean sent) {
                        if (sent) {
                            ending.failed();
                        } else {
                            ending.notSent(Fetching.LATER_MICROS);
                        }
                    }
                });
        return true;
    }

    /** An answer as a copy that was asked for then. */
    static Copy copy(int status, HttpHeaders headers, ByteBuf body, long asked, long ttl) {
        Set<String> tags = new HashSet<>();
        for (String line : headers.getAll("Object-Tags")) {
            tags.addAll(Arrays.asList(line.trim().split(" +")));
        }
        headers.remove(Network.ATTEMPT);
        return new Copy(
                status,
                List.copyOf(headers.entries()),
                ByteBufUtil.getBytes(body),
                tags,
                asked,
                Math.min(ttl, GossipState.LONGEST_COPY_MICROS));
    }

    // ---- to clients

    /** Answers from a whole copy: all of it, a range of it, or that it is unchanged. */
    private void answer(Turn turn, Copy copy, String attemptId) {
        HttpHeaders headers = new DefaultHttpHeaders();
        copy.headers().forEach(header -> headers.add(header.getKey(), header.getValue()));
        if (attemptId != null) {
            headers.set(Network.ATTEMPT, attemptId);
        }
        String tag = copy.header("ETag");
        String wanted = turn.headers().get(HttpHeaderNames.IF_NONE_MATCH);
        if (tag != null && tag.equals(wanted)) {
            answers.count(OwnAnswer.UNCHANGED);
            turn.answer(UNCHANGED, headers, Unpooled.EMPTY_BUFFER);
            return;
        }
        int length = copy.body().length;
        long[] range = range(turn.headers(), tag, length);
        if (range == null) {
            turn.answer(OK, headers, Unpooled.wrappedBuffer(copy.body()));
        } else if (range[0] >= length) {
            answers.count(OwnAnswer.RANGE_BEYOND_END);
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
