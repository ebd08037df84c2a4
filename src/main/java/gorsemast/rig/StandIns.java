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
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Cache nodes before one ledger, and the register that lists them: small, on loopback, and they write down each run of
 * each write, which is what the referee judges from.
 */
final class StandIns implements AutoCloseable {
    private static final String LIST = "/registry/instances";

    /** One cache node: its name, and when each request came to it. */
    private static final class Node {
        final String name;
        final HttpServer server;
        final long bornMillis;
        final Queue<Long> requests = new ConcurrentLinkedQueue<>();

        Node(String name, HttpServer server, long bornMillis) {
            this.name = name;
            this.server = server;
            this.bornMillis = bornMillis;
        }
    }

    /** The nodes in service; changed under this object's monitor together with {@link #version}. */
    private final List<Node> nodes = new CopyOnWriteArrayList<>();

    private int named;
    private long version = 1;
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
    /** The register takes so long for each list, one call after another. */
    volatile long registerMillis;

    private final Object desk = new Object();
    /** How many calls the register has had. */
    final AtomicInteger listCalls = new AtomicInteger();

    StandIns(int many) throws IOException {
        InetAddress host = InetAddress.getLoopbackAddress();
        for (int i = 0; i < many; i++) {
            add(0);
        }
        register = HttpServer.create(new InetSocketAddress(host, 0), 256);
        register.createContext(LIST, this::list);
        register.setExecutor(threads);
        register.start();
    }

    String register() {
        return "127.0.0.1:" + register.getAddress().getPort();
    }

    private void add(long bornMillis) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
        Node node = new Node("c" + named++, server, bornMillis);
        server.createContext("/", exchange -> node(node, exchange));
        server.setExecutor(threads);
        server.start();
        nodes.add(node);
    }

    /** So many nodes die at once and so many new ones come; the register knows it at once. */
    synchronized void replace(int dead, int fresh) throws IOException {
        for (int i = 0; i < dead; i++) {
            Node node = nodes.remove(0);
            node.server.stop(0);
        }
        for (int i = 0; i < fresh; i++) {
            add(System.currentTimeMillis());
        }
        version++;
        notifyAll();
    }

    /** The most requests that a node which has started since then had within a second, of all such nodes. */
    long mostAtFreshInASecond() {
        long most = 0;
        for (Node node : nodes) {
            List<Long> at = node.bornMillis == 0 ? List.of() : new ArrayList<>(node.requests);
            for (int from = 0, to = 0; to < at.size(); to++) {
                while (at.get(to) - at.get(from) > 1_000_000_000L) {
                    from++;
                }
                most = Math.max(most, to - from + 1);
            }
        }
        return most;
    }

    /** How many nodes are in service. */
    int size() {
        return nodes.size();
    }

    /** The address of one cache node. */
    String node() {
        return "127.0.0.1:" + nodes.get(0).server.getAddress().getPort();
    }

    /** The list as the register tells it. */
    synchronized String list() {
        return list(true, nodes);
    }

    private String list(boolean whole, List<Node> told) {
        StringBuilder s = new StringBuilder("{\"seq\":")
                .append(version)
                .append(",\"whole\":")
                .append(whole)
                .append(",\"hosts\":[");
        String comma = "";
        for (Node node : told) {
            s.append(comma)
                    .append("{\"host\":\"")
                    .append(node.name)
                    .append("\",\"dial\":\"127.0.0.1:")
                    .append(node.server.getAddress().getPort())
                    .append("\",\"site\":\"a\",\"class\":\"m\",\"block\":0,\"health\":\"Ready\"")
                    .append(",\"share\":1.0,\"born_ms\":")
                    .append(node.bornMillis)
                    .append('}');
            comma = ",";
        }
        return s.append("]}").toString();
    }

    private void node(Node node, HttpExchange exchange) throws IOException {
        try (exchange) {
            node.requests.add(System.nanoTime());
            exchange.getRequestBody().readAllBytes();
            String id = exchange.getRequestHeaders().getFirst("X-Correlation-Id");
            if (exchange.getRequestMethod().equals("PUT")) {
                runs.computeIfAbsent(String.valueOf(id), key -> new AtomicInteger())
                        .incrementAndGet();
            }
            exchange.getResponseHeaders().set("X-Lookup", "hit");
            answer(exchange, "of " + id);
        }
    }

    private void list(HttpExchange exchange) throws IOException {
        try (exchange) {
            listCalls.incrementAndGet();
            if (registerDown) {
                exchange.sendResponseHeaders(503, -1);
                return;
            }
            String query = exchange.getRequestURI().getQuery();
            int after = query == null ? -1 : query.indexOf("after=");
            if (after >= 0) {
                long known = Long.parseLong(query.substring(after + 6).split("&")[0]);
                synchronized (this) {
                    for (long end = System.nanoTime() + 5_000_000_000L;
                            !closed && version <= known && System.nanoTime() < end; ) {
                        wait(1_000);
                    }
                }
                String unchanged;
                synchronized (this) {
                    unchanged = version <= known ? list(false, List.of()) : null;
                }
                if (unchanged != null) {
                    answer(exchange, unchanged);
                    return;
                }
            }
            synchronized (desk) {
                Thread.sleep(registerMillis); // its work: one call after another
            }
            answer(exchange, list());
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
        nodes.forEach(node -> node.server.stop(0));
        register.stop(0);
        threads.shutdownNow();
    }
}
