package gorsemast.dispatch;

import anisebend.Balancer.CacheStatus;
import anisebend.Balancer.Code;
import gorsemast.http.ResponseSink;
import gorsemast.http.Upstream;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Sends attempts over real sockets as the delivery network's edges do, and collects their outcomes. */
final class CallerRig implements AutoCloseable {
    static final long LONG_TIMEOUT_MICROS = 60_000_000;
    private static final int WAIT_SECONDS = 20;

    /** How an attempt ended, and the body that its caller got. */
    record Outcome(String id, Code code, String body) {}

    private record Node(String host, InetSocketAddress dial) implements Upstream.Peer {}

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    private final Upstream upstream;
    private volatile boolean listed = true;

    CallerRig(int connections) {
        upstream = new Upstream(loop, new ServerDialect(), node -> listed, connections, 60_000, 2_000, 1);
    }

    /** Runs a task on the event loop and waits for it. */
    <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Starts an attempt with this id; on the event loop. */
    Upstream.Attempt start(RawServer server, String id, HttpMethod method, String body, long micros) {
        ByteBuf content = Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII);
        FullHttpRequest request = id.startsWith("object")
                ? new ServerDialect.CacheableRequest(method, "/" + id, content)
                : new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/" + id, content);
        request.headers().set("Host", "h").set(ServerDialect.ATTEMPT_ID, id).set("Content-Length", body.length());
        boolean once = method.equals(HttpMethod.POST);
        return upstream.send(new Node("s", server.address()), request, micros, once, new Upstream.AttemptListener() {
            @Override
            public void ended(Code code, CacheStatus note, FullHttpResponse answer) {
                String text = answer == null ? null : answer.content().toString(StandardCharsets.US_ASCII);
                outcomes.add(new Outcome(id, code, text));
            }

            @Override
            public ResponseSink streaming(
                    CacheStatus note, HttpResponse head, long length, ResponseSink.FlowControl flow) {
                outcomes.add(new Outcome(id, Code.OK, "streamed " + head.status()));
                return null;
            }
        });
    }

    Upstream.Attempt send(RawServer server, String id, HttpMethod method, String body, long micros) throws Exception {
        return onLoop(() -> start(server, id, method, body, micros));
    }

    /** Removes the server from the list. */
    void unlist() throws Exception {
        onLoop(() -> {
            listed = false;
            upstream.closeIdle("s");
            return null;
        });
    }

    /** The outcome of the next attempt that ends. */
    Outcome nextOutcome() throws InterruptedException {
        return outcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Whether an attempt has ended whose outcome was not taken yet. */
    boolean hasMoreOutcomes() throws Exception {
        onLoop(() -> null);
        return !outcomes.isEmpty();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /** A server's complete answer to the request with this id, with its seal. */
    static String answer(int status, String id, String headers, String body) {
        return "HTTP/1.1 " + status + " X\r\nAttempt-Id: " + id + "\r\nEdge-Seal: s\r\n" + headers + "Content-Length: "
                + body.length() + "\r\n\r\n" + body;
    }
}
