package gorsemast.cabauw;

import anisebend.Balancer.Code;
import anisebend.Balancer.Note;
import gorsemast.eelde.Ceiling;
import gorsemast.eelde.Copy;
import gorsemast.eelde.Demand;
import gorsemast.eelde.Homes;
import gorsemast.eelde.Patience;
import gorsemast.eelde.Shelf;
import gorsemast.exchange.Passage;
import gorsemast.exchange.Upstream;
import gorsemast.hupsel.Call;
import gorsemast.hupsel.Client;
import gorsemast.hupsel.Hops;
import gorsemast.hupsel.Network;
import gorsemast.hupsel.Sender;
import gorsemast.schiphol.Configuration;
import gorsemast.schiphol.Route;
import gorsemast.terschelling.Board;
import gorsemast.terschelling.Item;
import gorsemast.terschelling.PurgeNews;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Serves objects: from a copy where one may be served, else by one fetch for all who ask meanwhile, from the object's
 * home or, there, from its servers.
 *
 * <p>A copy that another edge hands over is taken only where that edge knew of the same purges when it handed it over,
 * as when it was asked for; so a purge that has come here first can't be undone by an edge that has not heard of it.
 * All on one event loop.
 */
final class ObjectDesk {
    /** An object of more bytes is passed on and not held. */
    static final int LARGEST = 2 << 20;
    /** What a home adds to its answers: how old the copy is, for how long it may be held, and whether it may be at all. */
    static final String AGE = "Home-Age";
    static final String LIFE = "Home-Life";
    static final String STEP = "Home-Step";
    static final String LEFT = "Home-Budget";
    static final int OUT_OF_STEP = 409;
    private static final long LEAST_LEFT = 60_000;
    /** Renewed ahead, by one for all, in this last part of its time, where it is asked for often. */
    private static final double RENEW_FROM = 0.8;
    /** So many objects that are too long to be held are remembered. */
    private static final int MOST_LONG = 1_024;
    private static final int OK = 200;
    private static final int PARTIAL = 206;
    private static final int UNCHANGED = 304;
    private static final int RANGE = 416;
    private static final int UNAVAILABLE = 503;
    private static final int TIME_OUT = 504;

    /** Who waits for an object. */
    interface Waiter {
        /** It is here; {@code once} where it may be told to whoever asked by now but not be held. */
        void here(Copy copy, boolean once);

        /** An answer that is no copy: passed on as it is. */
        void other(FullHttpResponse answer);

        void refused(long retryAfterMicros);

        void failed();

        /** It is too long to be held, and has to be asked for without a copy. */
        void tooLong();
    }

    private record Home(String host, InetSocketAddress dial) implements Upstream.Peer {
    }

    /** One fetch for all who ask meanwhile. */
    private final class Fetch {
        private final String key;
        private final Route route;
        private final String host;
        private final String uri;
        private final long purges = shelf.number();
        private final long begun = clock.getAsLong();
        private final List<Waiter> waiters = new ArrayList<>();

        Fetch(String key, Route route, String host, String uri) {
            this.key = key;
            this.route = route;
            this.host = host;
            this.uri = uri;
        }

        private void over() {
            fetches.remove(key, this);
        }

        void here(Copy copy) {
            over();
            boolean once = shelf.purgedSince(purges, key, copy);
            if (!once && route.ttlMicros() > 0) {
                shelf.put(key, copy);
            }
            waiters.forEach(waiter -> waiter.here(copy, once));
        }

        void other(FullHttpResponse answer) {
            over();
            waiters.forEach(waiter -> waiter.other(answer));
        }

        void refused(long retryAfter) {
            over();
            waiters.forEach(waiter -> waiter.refused(retryAfter));
        }

        void failed() {
            over();
            waiters.forEach(Waiter::failed);
        }

        void tooLong() {
            over();
            longs.put(key, Boolean.TRUE);
            waiters.forEach(Waiter::tooLong);
        }
    }

    private final EventLoop loop;
    private final LongSupplier clock;
    private final Shelf shelf;
    private final Homes homes;
    private final Board board;
    private final Upstream between;
    private final Function<String, Sender> senders;
    private final Function<String, InetSocketAddress> objects;
    private final String self;
    private final Supplier<Configuration> configuration;
    private final long window;
    private final SplittableRandom random;
    private final Map<String, Ceiling> ceilings = new HashMap<>();
    private final Map<String, Demand> demands = new HashMap<>();
    private final Patience patience = new Patience();
    private final Map<String, Fetch> fetches = new HashMap<>();
    /** Keys of objects that are too long to be held, those asked for last. */
    private final Map<String, Boolean> longs = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MOST_LONG;
        }
    };
    private long fromCopies;
    private long fromHomes;
    private long fromServers;

    ObjectDesk(EventLoop loop, LongSupplier clock, Shelf shelf, Homes homes, Board board, Upstream between,
               Function<String, Sender> senders, Function<String, InetSocketAddress> objects, String self, Supplier<Configuration> configuration, long window, long seed) {
        this.loop = loop;
        this.clock = clock;
        this.shelf = shelf;
        this.homes = homes;
        this.board = board;
        this.between = between;
        this.senders = senders;
        this.objects = objects;
        this.self = self;
        this.configuration = configuration;
        this.window = window;
        this.random = new SplittableRandom(seed);
    }

    /** Where objects came from since the start, as words for the log. */
    String tally() {
        return fromCopies + " from copies, " + fromHomes + " from homes, " + fromServers + " from servers";
    }

    /** A purge has become known. */
    void purged(Item item) {
        PurgeNews purge = PurgeNews.of(item);
        if (purge != null) {
            shelf.purge(purge);
            if (purge.tag().isEmpty()) {
                fetches.keySet().removeIf(key -> Shelf.path(purge, key)); // whoever asks from now on gets another
            }
        }
    }

    /** A client's request for an object; {@code direct} sends it on without a copy. */
    void serve(Turn turn, Route route, String host, String attemptId, long giveUp, Runnable direct) {
        long now = clock.getAsLong();
        String key = Shelf.key(host, turn.uri());
        Copy copy = shelf.get(now, key, route.ttlMicros());
        demands.computeIfAbsent(route.services().get(0).service(), name -> new Demand()).asked(now);
        if (longs.get(key) != null) {
            direct.run();
            return;
        }
        turn.takeBody().release();
        if (copy != null) {
            fromCopies++;
            answer(turn, copy, attemptId);
            renew(now, key, copy, route, host, turn.uri());
            return;
        }
        boolean[] over = new boolean[1];
        ScheduledFuture<?> limit = loop.schedule(() -> {
            over[0] = true;
            turn.answer(TIME_OUT, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
        }, Math.max(0, giveUp - now), TimeUnit.MICROSECONDS);
        turn.onLeave(() -> {
            over[0] = true;
            limit.cancel(false);
        });
        ask(key, route, host, turn.uri(), true, giveUp, new Waiter() {
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
                    headers.set(Network.ATTEMPT, attemptId);
                    turn.answer(got.status().code(), headers, got.content().retainedDuplicate());
                }
            }

            @Override
            public void refused(long retryAfter) {
                if (!done()) {
                    Front.refuse(turn, retryAfter);
                }
            }

            @Override
            public void failed() {
                if (!done()) {
                    turn.answer(TIME_OUT, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
                }
            }

            @Override
            public void tooLong() {
                if (!done()) {
                    direct.run();
                }
            }
        });
    }

    /** Another edge asks for an object whose home this is. */
    void ask(String key, Route route, String host, String uri, boolean homeToo, long giveUp, Waiter waiter) {
        long now = clock.getAsLong();
        Copy copy = shelf.get(now, key, route.ttlMicros());
        if (copy != null) {
            waiter.here(copy, false);
            return;
        }
        Fetch fetch = fetches.get(key);
        if (fetch != null) {
            fetch.waiters.add(waiter);
            return;
        }
        fetch = new Fetch(key, route, host, uri);
        fetch.waiters.add(waiter);
        fetches.put(key, fetch);
        begin(fetch, homeToo, giveUp);
    }

    private void begin(Fetch fetch, boolean homeToo, long giveUp) {
        long now = clock.getAsLong();
        String home = homeToo ? homes.of(now, fetch.key, zoned(fetch.route.services().get(0).service())) : self;
        InetSocketAddress at = home.equals(self) ? null : objects.apply(home);
        if (at == null || giveUp - now < LEAST_LEFT) {
            origin(fetch, now + fetch.route.timeoutMicros(), fetch.waiters.isEmpty());
        } else {
            home(fetch, home, at, giveUp);
        }
    }

    /** A copy that is asked for near its end is fetched anew before it has ended; nobody waits for that. */
    private void renew(long now, String key, Copy copy, Route route, String host, String uri) {
        long life = Math.min(copy.ttl(), route.ttlMicros());
        if (now - copy.asked() > RENEW_FROM * life && !fetches.containsKey(key)) {
            Fetch fetch = new Fetch(key, route, host, uri);
            fetches.put(key, fetch);
            begin(fetch, true, now + route.timeoutMicros());
        }
    }

    // ---- from the home

    private void home(Fetch fetch, String home, InetSocketAddress at, long giveUp) {
        long now = clock.getAsLong();
        long wait = Math.min(patience.micros(), (giveUp - now) * 2 / 3);
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, fetch.uri);
        String step = Long.toHexString(board.purgeDigest());
        request.headers().set(HttpHeaderNames.HOST, fetch.host).set(STEP, step).set(LEFT, wait / 1_000);
        Upstream.Ending ending = new Upstream.Ending() {
            @Override
            public Passage begins(Note note, HttpResponse head, long length, Passage.Flow flow) {
                origin(fetch, clock.getAsLong() + fetch.route.timeoutMicros(), false); // no home answers so
                return null;
            }

            @Override
            public void ended(Code code, Note note, FullHttpResponse answer) {
                boolean inStep = answer != null && answer.status().code() != OUT_OF_STEP;
                if (answer != null) {
                    patience.answered(clock.getAsLong() - now);
                    homes.answered(home);
                } else if (!code.calledOff) {
                    homes.failed(clock.getAsLong(), home);
                }
                Copy copy = inStep && answer.status().code() == OK ? handed(answer, fetch.begun) : null;
                if (copy != null) {
                    fromHomes++;
                    fetch.here(copy);
                } else if (inStep && answer.status().code() == UNAVAILABLE && answer.headers().contains(HttpHeaderNames.RETRY_AFTER)) {
                    fetch.refused(Front.micros(answer.headers().get(HttpHeaderNames.RETRY_AFTER)));
                } else if (inStep && answer.status().code() < 500) {
                    fetch.other(answer);
                } else {
                    origin(fetch, clock.getAsLong() + fetch.route.timeoutMicros(), false);
                }
            }
        };
        between.send(new Home(home, at), request, wait, false, LARGEST + (1 << 16), ending);
    }

    /** A home's answer as a copy, with the time that it has left here; null where it is none that can be vouched for. */
    private Copy handed(FullHttpResponse answer, long begun) {
        String age = answer.headers().get(AGE);
        String life = answer.headers().get(LIFE);
        if (age == null || life == null || !answer.headers().contains(Network.SEAL)) {
            return null;
        }
        HttpHeaders headers = new DefaultHttpHeaders();
        Hops.copy(answer.headers(), headers);
        headers.remove(AGE).remove(LIFE);
        try {
            // Its age counts from before it was asked for here: the way there and back is not known apart.
            return copy(OK, headers, answer.content(), begun - Long.parseLong(age), Long.parseLong(life));
        } catch (NumberFormatException e) {
            return null; // whoever it was, it was no home
        }
    }

    // ---- from the servers

    private double perSecond(String service) {
        Configuration.Service known = configuration.get() == null ? null : configuration.get().services().get(service);
        return known == null ? Double.POSITIVE_INFINITY : known.ratePerSecond();
    }

    /**
     * Whether each zone has a home for itself: while all that is asked for is well below what the servers bear, so that
     * they would bear it even if nothing were held.
     */
    private boolean zoned(String service) {
        return demands.computeIfAbsent(service, name -> new Demand()).zoned(clock.getAsLong(), perSecond(service),
            homes.count());
    }

    private void origin(Fetch fetch, long giveUp, boolean ahead) {
        long asked = clock.getAsLong();
        String service = fetch.route.service(random.nextDouble());
        Sender sender = senders.apply(service);
        if (sender == null) {
            fetch.refused(Front.LATER_MICROS);
            return;
        }
        Ceiling ceiling = ceilings.computeIfAbsent(service, name -> new Ceiling(window));
        if (!ceiling.take(asked, perSecond(service), homes.count(), ahead)) {
            fetch.refused(ceiling.roomIn(asked));
            return;
        }
        fromServers++;
        String id = "o" + Long.toHexString(random.nextLong());
        sender.take(new Call(fetch.route, HttpMethod.GET, fetch.uri, new DefaultHttpHeaders(), id, Unpooled.EMPTY_BUFFER,
            fetch.key, asked, giveUp, LARGEST), new Client() {
                @Override
                public void answered(FullHttpResponse answer) {
                    if (answer.status().code() == OK && answer.headers().contains(Network.SEAL)) {
                        HttpHeaders headers = new DefaultHttpHeaders();
                        Hops.copy(answer.headers(), headers);
                        fetch.here(copy(OK, headers, answer.content(), asked, fetch.route.ttlMicros()));
                    } else {
                        fetch.other(answer);
                    }
                }

                @Override
                public Passage begins(HttpResponse head, long length, Passage.Flow flow) {
                    loop.execute(fetch::tooLong); // once the module has heard of this end
                    return null;
                }

                @Override
                public void refused(long retryAfter) {
                    fetch.refused(retryAfter);
                }

                @Override
                public void failed(boolean timeUp) {
                    fetch.failed();
                }
            });
    }

    private static Copy copy(int status, HttpHeaders headers, ByteBuf body, long asked, long ttl) {
        Set<String> tags = new HashSet<>();
        for (String line : headers.getAll("Object-Tags")) {
            tags.addAll(Arrays.asList(line.trim().split(" +")));
        }
        headers.remove(Network.ATTEMPT);
        return new Copy(status, List.copyOf(headers.entries()), ByteBufUtil.getBytes(body), tags, asked,
            Math.min(ttl, Board.LONGEST_COPY_MICROS));
    }

    // ---- to clients

    /** Answers from a whole copy: all of it, a range of it, or that it is unchanged. */
    private static void answer(Turn turn, Copy copy, String attemptId) {
        HttpHeaders headers = new DefaultHttpHeaders();
        copy.headers().forEach(header -> headers.add(header.getKey(), header.getValue()));
        if (attemptId != null) {
            headers.set(Network.ATTEMPT, attemptId);
        }
        String tag = copy.header("ETag");
        String wanted = turn.headers().get(HttpHeaderNames.IF_NONE_MATCH);
        if (tag != null && tag.equals(wanted)) {
            turn.answer(UNCHANGED, headers, Unpooled.EMPTY_BUFFER);
            return;
        }
        int length = copy.body().length;
        long[] range = range(turn.headers(), tag, length);
        if (range == null) {
            turn.answer(OK, headers, Unpooled.wrappedBuffer(copy.body()));
        } else if (range[0] >= length) {
            headers.set(HttpHeaderNames.CONTENT_RANGE, "bytes */" + length);
            turn.answer(RANGE, headers, Unpooled.EMPTY_BUFFER);
        } else {
            headers.set(HttpHeaderNames.CONTENT_RANGE, "bytes " + range[0] + '-' + range[1] + '/' + length);
            turn.answer(PARTIAL, headers, Unpooled.wrappedBuffer(copy.body(), (int) range[0],
                (int) (range[1] - range[0] + 1)));
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
