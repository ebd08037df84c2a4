package gorsemast.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.cache.CachedResponse;
import gorsemast.cache.HomeRequest;
import gorsemast.cache.HomeResponseListener;
import gorsemast.cache.ObjectRequest;
import gorsemast.configuration.Configuration;
import gorsemast.configuration.Route;
import gorsemast.dispatch.RawServer;
import gorsemast.http.ResponseForm;
import gorsemast.http.Upstream;
import gorsemast.observe.EventCounters;
import gorsemast.standin.LoopbackNetwork;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Which responses between edges are accepted, where the home misbehaves or the address belongs to another process. */
class HomeAnswerTest {
    private static final String COPY = "Edge-Seal: s\r\nHome-Age: 0\r\nHome-Life: 1000000\r\nContent-Length: 3\r\n\r\n";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private void request(HomeClient homeClient, String uri) {
        Route route =
                Configuration.parse(LoopbackNetwork.configuration(1, "20s")).route(LoopbackNetwork.HOST, uri);
        ObjectRequest object = new ObjectRequest(route, route.host(), uri);
        HomeRequest homeRequest = new HomeRequest("edge", object, 1, 0, 0, 10_000_000, 10_000_000);
        loop.execute(() -> homeClient.request(homeRequest, new HomeResponseListener<>() {
            @Override
            public void onResponse(CachedResponse copy) {
                outcomes.add("copy " + new String(copy.body(), StandardCharsets.US_ASCII));
            }

            @Override
            public void onUncacheable(FullHttpResponse answer) {
                outcomes.add("uncacheable " + answer.status().code());
            }

            @Override
            public void onRefused(long retryAfterMicros) {
                outcomes.add("refused");
            }

            @Override
            public void onUnusable() {
                outcomes.add("unusable");
            }

            @Override
            public void onStillFetching() {
                outcomes.add("still fetching");
            }

            @Override
            public void onSilent(boolean ours) {
                outcomes.add("silent");
            }
        }));
    }

    private HomeClient homeClient(RawServer home) {
        Upstream upstream = new Upstream(loop, new HomeDialect(), peer -> true, 4, 60_000, 2_000, 1);
        return new HomeClient(
                loop, () -> 0L, upstream, edge -> home.address(), 4, true, new EventCounters<>(SocketEvent.class), 1);
    }

    private static String requestId(String request) {
        int at = request.indexOf("Home-Call: ");
        return request.substring(at, request.indexOf("\r\n", at) + 2);
    }

    /** Another process has taken over the address of a former edge: its response must not reach a client. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 X\r\nEdge-Seal: s\r\nContent-Length: 5\r\n\r\nother",
                "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 421 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            })
    void responseOfAnotherProcessIsRejected(String text) throws Exception {
        try (RawServer home = new RawServer(4)) {
            request(homeClient(home), "/objects/a");
            RawServer.Connection connection = home.accept();
            connection.request();
            connection.send(text);
            assertThat(outcomes.poll(20, TimeUnit.SECONDS)).isEqualTo("silent");
            assertThat(connection.isClosed()).isTrue();
        }
    }

    static List<ResponseForm> broken() {
        return ResponseForm.broken();
    }

    /** An object behind a broken response would be cached here and shared with other edges' clients. */
    @ParameterizedTest
    @MethodSource("broken")
    void brokenResponseIsNoCopy(ResponseForm form) throws Exception {
        for (String body : List.of("one", "x".repeat(150_000))) {
            try (RawServer home = new RawServer(4)) {
                request(homeClient(home), "/objects/a");
                RawServer.Connection connection = home.accept();
                String copy = requestId(connection.request()) + "Edge-Seal: s\r\nHome-Age: 0\r\nHome-Life: 1000000\r\n";
                connection.sendUntilClosed(form.text(copy, body));
                assertThat(outcomes.poll(20, TimeUnit.SECONDS)).isEqualTo("silent");
            }
        }
    }

    @Test
    void homeReportsThatItIsStillFetching() throws Exception {
        try (RawServer home = new RawServer(4)) {
            request(homeClient(home), "/objects/a");
            RawServer.Connection connection = home.accept();
            String first = requestId(connection.request());
            connection.send("HTTP/1.1 503 X\r\n" + first + "Home-In-Hand: 1\r\nContent-Length: 0\r\n\r\n");
            assertThat(outcomes.poll(20, TimeUnit.SECONDS)).isEqualTo("still fetching");
        }
    }

    @Test
    void surplusResponseIsNotTakenForTheNextOne() throws Exception {
        try (RawServer home = new RawServer(4)) {
            HomeClient homeClient = homeClient(home);
            request(homeClient, "/objects/a");
            RawServer.Connection connection = home.accept();
            String first = requestId(connection.request());
            connection.send("HTTP/1.1 200 X\r\n" + first + COPY + "one");
            assertThat(outcomes.poll(20, TimeUnit.SECONDS)).isEqualTo("copy one");
            request(homeClient, "/objects/b");
            String second = requestId(connection.request());
            connection.send("HTTP/1.1 200 X\r\n" + first + COPY + "one" + "HTTP/1.1 200 X\r\n" + second + COPY + "two");
            assertThat(outcomes.poll(20, TimeUnit.SECONDS)).isEqualTo("copy two");
        }
    }
}
