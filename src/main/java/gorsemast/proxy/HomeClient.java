package gorsemast.proxy;

import anisebend.Balancer.CacheStatus;
import anisebend.Balancer.Code;
import gorsemast.cache.CachedResponse;
import gorsemast.cache.HomeRequest;
import gorsemast.cache.HomeResponseListener;
import gorsemast.cache.ObjectRequest;
import gorsemast.dispatch.HopByHopHeaders;
import gorsemast.dispatch.ServerDialect;
import gorsemast.http.ResponseSink;
import gorsemast.http.Upstream;
import gorsemast.observe.EventCounters;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Asks other edges for objects, over HTTP as {@link HomeDialect} has it. So many questions are out at a time as there are
 * connections for them; the others wait their turn. On one event loop; times in microseconds.
 */
final class HomeClient {
    private static final int OK = 200;
    private static final int FAILED = 500;
    private static final int UNAVAILABLE = 503;
    private static final long MICROS_PER_MILLI = 1_000;
    /** What an answer may have beside its body. */
    private static final int HEAD_BYTES = 1 << 16;

    private record Home(String host, InetSocketAddress dial) implements Upstream.Peer {}

    private final LongSupplier clock;
    private final Upstream between;
    private final Function<String, InetSocketAddress> addresses;
    private final boolean keeps;
    private final HomeRequestQueue queue;
    private final EventCounters<SocketEvent> sockets;
    private final SplittableRandom random;

    /**
     * Over these connections.
     *
     * @param addresses where an edge is asked, by its address
     * @param most questions that are out at a time
     * @param keeps whether connections are kept for the next question
     */
    HomeClient(
            EventLoop loop,
            LongSupplier clock,
            Upstream between,
            Function<String, InetSocketAddress> addresses,
            int most,
            boolean keeps,
            EventCounters<SocketEvent> sockets,
            long seed) {
        this.clock = clock;
        this.between = between;
        this.addresses = addresses;
        this.keeps = keeps;
        this.sockets = sockets;
        this.queue = new HomeRequestQueue(loop, most, sockets);
        this.random = new SplittableRandom(seed);
    }

    /** Asks as {@link gorsemast.cache.ObjectSources#requestFromEdge} says. */
    void ask(HomeRequest question, HomeResponseListener<FullHttpResponse> ending) {
        queue.add(
                new HomeRequestQueue.Ask() {
                    @Override
                    public void start() {
                        send(question, ending);
                    }

                    @Override
                    public void expired() {
                        ending.onSilent(true);
                    }
                },
                question.responseTimeout());
    }

    private FullHttpRequest message(HomeRequest question) {
        ObjectRequest what = question.object();
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, what.uri());
        request.headers()
                .set(HttpHeaderNames.HOST, what.host())
                .set(HomeDialect.STEP, Long.toHexString(question.purgeDigest()))
                .set(HomeDialect.LEFT, question.responseTimeout() / MICROS_PER_MILLI)
                .set(HomeDialect.HOP, question.hop())
                .set(HomeDialect.CALL, Long.toHexString(random.nextLong()));
        HttpUtil.setKeepAlive(request, keeps);
        return request;
    }

    private void send(HomeRequest question, HomeResponseListener<FullHttpResponse> ending) {
        Home home = new Home(question.edge(), addresses.apply(question.edge()));
        long sentAt = clock.getAsLong();
        long most = question.deadline() - clock.getAsLong();
        int kept = ObjectService.LARGEST + HEAD_BYTES;
        between.sendWithIdleTimeout(
                home, message(question), question.responseTimeout(), most, kept, new Upstream.AttemptListener() {
                    private void over() {
                        sockets.count(SocketEvent.QUESTION_ENDED, clock.getAsLong() - sentAt);
                        queue.over();
                    }

                    @Override
                    public ResponseSink streaming(
                            CacheStatus note, HttpResponse head, long length, ResponseSink.FlowControl flow) {
                        over();
                        ending.onUnusable(); // no home answers so
                        return null;
                    }

                    @Override
                    public void ended(Code code, CacheStatus note, FullHttpResponse answer) {
                        over();
                        if (answer == null) {
                            ending.onSilent(code.endedLocally);
                        } else {
                            answered(answer, question.fetchStartedAt(), ending);
                        }
                    }
                });
    }

    private static void answered(FullHttpResponse answer, long begun, HomeResponseListener<FullHttpResponse> ending) {
        int status = answer.status().code();
        String later = answer.headers().get(HttpHeaderNames.RETRY_AFTER);
        CachedResponse copy = status == OK ? handed(answer, begun) : null;
        if (copy != null) {
            ending.onResponse(copy);
        } else if (status == UNAVAILABLE && later != null) {
            ending.onRefused(Frontend.micros(later));
        } else if (status == UNAVAILABLE && answer.headers().contains(HomeDialect.IN_HAND)) {
            ending.onStillFetching();
        } else if (status != HomeDialect.OUT_OF_STEP && status < FAILED) {
            answer.headers().remove(HomeDialect.CALL);
            ending.onUncacheable(answer);
        } else {
            ending.onUnusable();
        }
    }

    /** A home's answer as a copy, with the time that it has left here; null where it is none that can be vouched for. */
    private static CachedResponse handed(FullHttpResponse answer, long begun) {
        String age = answer.headers().get(HomeDialect.AGE);
        String life = answer.headers().get(HomeDialect.LIFE);
        if (age == null || life == null || !answer.headers().contains(ServerDialect.EDGE_SEAL)) {
            return null;
        }
        HttpHeaders headers = new DefaultHttpHeaders();
        HopByHopHeaders.copyEndToEnd(answer.headers(), headers);
        headers.remove(HomeDialect.AGE).remove(HomeDialect.LIFE).remove(HomeDialect.CALL);
        try {
            // Its age counts from before it was asked for here: the way there and back is not known apart.
            return ObjectService.copy(OK, headers, answer.content(), begun - Long.parseLong(age), Long.parseLong(life));
        } catch (NumberFormatException e) {
            return null; // whoever it was, it was no home
        }
    }
}
