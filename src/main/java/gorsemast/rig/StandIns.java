package gorsemast.rig;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Cache nodes before one ledger, and the register that lists them: small, on loopback, and they write down each run of
 * each write, which is what the referee judges from.
 */
final class StandIns implements AutoCloseable {
    private static final String LIST = "/registry/instances";

    private final List<HttpServer> nodes = new ArrayList<>();
    private final HttpServer register;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "stand-in");
        thread.setDaemon(true);
        return thread;
    });
    /** How often each write has run at the ledger, by its request's id. */
    final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private volatile boolean closed;
    /** The register turns every call away. */
    volatile boolean registerDown;

    StandIns(int many) throws IOException {
        InetAddress host = InetAddress.getLoopbackAddress();
        for (int i = 0; i < many; i++) {
            HttpServer node = HttpServer.create(new InetSocketAddress(host, 0), 256);
            node.createContext("/", this::node);
            node.setExecutor(threads);
            node.start();
            nodes.add(node);
        }
        register = HttpServer.create(new InetSocketAddress(host, 0), 256);
        register.createContext(LIST, this::list);
        register.setExecutor(threads);
        register.start();
    }

    String register() {
        return "127.0.0.1:" + register.getAddress().getPort();
    }

    /** The address of one cache node. */
    String node() {
        return "127.0.0.1:" + nodes.get(0).getAddress().getPort();
    }

    /** The list as the register tells it. */
    String list() {
        StringBuilder s = new StringBuilder("{\"seq\":1,\"whole\":true,\"hosts\":[");
        for (int i = 0; i < nodes.size(); i++) {
            s.append(i == 0 ? "" : ",").append("{\"host\":\"c").append(i).append("\",\"dial\":\"127.0.0.1:")
                .append(nodes.get(i).getAddress().getPort())
                .append("\",\"site\":\"a\",\"class\":\"m\",\"block\":0,\"health\":\"Ready\",\"share\":1.0,\"born_ms\":0}");
        }
        return s.append("]}").toString();
    }

    private void node(HttpExchange exchange) throws IOException {
        try (exchange) {
            exchange.getRequestBody().readAllBytes();
            String id = exchange.getRequestHeaders().getFirst("X-Correlation-Id");
            if (exchange.getRequestMethod().equals("PUT")) {
                runs.computeIfAbsent(String.valueOf(id), key -> new AtomicInteger()).incrementAndGet();
            }
            exchange.getResponseHeaders().set("X-Lookup", "hit");
            answer(exchange, "of " + id);
        }
    }

    private void list(HttpExchange exchange) throws IOException {
        try (exchange) {
            if (registerDown) {
                exchange.sendResponseHeaders(503, -1);
                return;
            }
            String query = exchange.getRequestURI().getQuery();
            if (query != null && query.contains("after=1")) {
                synchronized (this) {
                    for (long end = System.nanoTime() + 5_000_000_000L; !closed && System.nanoTime() < end;) {
                        wait(1_000); // nothing changes here: a watch stands until its time is up
                    }
                }
                answer(exchange, "{\"seq\":1,\"whole\":false,\"hosts\":[]}");
            } else {
                answer(exchange, list());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void answer(HttpExchange exchange, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    @Override
    public void close() {
        closed = true;
        synchronized (this) {
            notifyAll();
        }
        nodes.forEach(node -> node.stop(0));
        register.stop(0);
        threads.shutdownNow();
    }
}
