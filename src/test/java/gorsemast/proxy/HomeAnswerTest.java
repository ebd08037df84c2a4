package gorsemast.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.cache.CachedResponse;
import gorsemast.cache.HomeRequest;
import gorsemast.cache.HomeResponseListener;
import gorsemast.cache.ObjectRequest;
import gorsemast.configuration.Configuration;
import gorsemast.configuration.Route;
import gorsemast.dispatch.RawServer;
import gorsemast.http.Upstream;
import gorsemast.observe.EventCounters;
import gorsemast.standin.LoopbackNetwork;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Whose an answer between edges is, where the home says something else or is no home any more. */
class HomeAnswerTest {
    private static final String COPY = "Edge-Seal: s\r\nHome-Age: 0\r\nHome-Life: 1000000\r\nContent-Length: 3\r\n\r\n";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<String> told = new LinkedBlockingQueue<>();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private void ask(HomeClient asker, String uri) {
        Route route =
                Configuration.parse(LoopbackNetwork.configuration(1, "20s")).route(LoopbackNetwork.HOST, uri);
        ObjectRequest what = new ObjectRequest(route, route.host(), uri);
        HomeRequest question = new HomeRequest("edge", what, 1, 0, 0, 10_000_000, 10_000_000);
        loop.execute(() -> asker.ask(question, new HomeResponseListener<>() {
            @Override
            public void onResponse(CachedResponse copy) {
                told.add("copy " + new String(copy.body(), StandardCharsets.US_ASCII));
            }

            @Override
            public void onUncacheable(FullHttpResponse answer) {
                told.add("other " + answer.status().code());
            }

            @Override
            public void onRefused(long retryAfterMicros) {
                told.add("refused");
            }

            @Override
            public void onUnusable() {
                told.add("useless");
            }

            @Override
            public void onStillFetching() {
                told.add("in hand");
            }

            @Override
            public void onSilent(boolean ours) {
                told.add("silent");
            }
        }));
    }

    private HomeClient asker(RawServer home) {
        Upstream between = new Upstream(loop, new HomeDialect(), peer -> true, 4, 60_000, 2_000, 1);
        return new HomeClient(
                loop, () -> 0L, between, edge -> home.address(), 4, true, new EventCounters<>(SocketEvent.class), 1);
    }

    private static String number(String question) {
        int at = question.indexOf("Home-Call: ");
        return question.substring(at, question.indexOf("\r\n", at) + 2);
    }

    /** Whoever has a former edge's address now: its answer is not the home's, and reaches no client. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 X\r\nEdge-Seal: s\r\nContent-Length: 5\r\n\r\nother",
                "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 421 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            })
    void anAnswerOfSomebodyElseIsNoHomes(String text) throws Exception {
        try (RawServer home = new RawServer(4)) {
            ask(asker(home), "/objects/a");
            RawServer.Connection connection = home.accept();
            connection.request();
            connection.says(text);
            assertThat(told.poll(20, TimeUnit.SECONDS)).isEqualTo("silent");
            assertThat(connection.isClosed()).isTrue();
        }
    }

    @Test
    void aHomeThatIsStillFetchingSaysSo() throws Exception {
        try (RawServer home = new RawServer(4)) {
            ask(asker(home), "/objects/a");
            RawServer.Connection connection = home.accept();
            String first = number(connection.request());
            connection.says("HTTP/1.1 503 X\r\n" + first + "Home-In-Hand: 1\r\nContent-Length: 0\r\n\r\n");
            assertThat(told.poll(20, TimeUnit.SECONDS)).isEqualTo("in hand");
        }
    }

    @Test
    void aSurplusAnswerInThePlaceOfTheNextIsNobodys() throws Exception {
        try (RawServer home = new RawServer(4)) {
            HomeClient asker = asker(home);
            ask(asker, "/objects/a");
            RawServer.Connection connection = home.accept();
            String first = number(connection.request());
            connection.says("HTTP/1.1 200 X\r\n" + first + COPY + "one");
            assertThat(told.poll(20, TimeUnit.SECONDS)).isEqualTo("copy one");
            ask(asker, "/objects/b");
            String second = number(connection.request());
            connection.says("HTTP/1.1 200 X\r\n" + first + COPY + "one" + "HTTP/1.1 200 X\r\n" + second + COPY + "two");
            assertThat(told.poll(20, TimeUnit.SECONDS)).isEqualTo("copy two");
        }
    }
}
