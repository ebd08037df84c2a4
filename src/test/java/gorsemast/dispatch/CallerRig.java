package gorsemast.dispatch;

import anisebend.Balancer.CacheStatus;
import anisebend.Balancer.Code;
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
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Attempts over real sockets as the delivery network's edges make them, and what their callers are told. */
final class CallerRig implements AutoCloseable {
    static final long LONG_MICROS = 60_000_000;
    private static final int PATIENCE_SECONDS = 20;

    /** What a caller was told: how the attempt ended, and the body that it got. */
    record Told(String id, Code code, String body) {}

    private record Node(String host, InetSocketAddress dial) implements Upstream.Peer {}

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<Told> told = new LinkedBlockingQueue<>();
    private final Upstream upstream;
    private volatile boolean listed = true;

    CallerRig(int connections) {
        upstream = new Upstream(loop, new ServerDialect(), node -> listed, connections, 60_000, 2_000, 1);
    }

    /** Runs on the event loop, and waits for it. */
    <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }

    /** On the event loop: an attempt with this id. */
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
                told.add(new Told(id, code, text));
            }
        });
    }

    Upstream.Attempt send(RawServer server, String id, HttpMethod method, String body, long micros) throws Exception {
        return onLoop(() -> start(server, id, method, body, micros));
    }

    /** The server has left the list. */
    void unlist() throws Exception {
        onLoop(() -> {
            listed = false;
            upstream.closeIdle("s");
            return null;
        });
    }

    /** What the next caller whose attempt ends is told. */
    Told told() throws InterruptedException {
        return told.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }

    /** Whether somebody has been told who is not asked for yet. */
    boolean toldMore() throws Exception {
        onLoop(() -> null);
        return !told.isEmpty();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /** A server's whole answer to that id, with its seal. */
    static String answer(int status, String id, String headers, String body) {
        return "HTTP/1.1 " + status + " X\r\nAttempt-Id: " + id + "\r\nEdge-Seal: s\r\n" + headers + "Content-Length: "
                + body.length() + "\r\n\r\n" + body;
    }
}
