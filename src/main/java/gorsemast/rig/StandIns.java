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
 * Stand-in cache nodes with one origin, and the discovery service that lists them, on loopback. They record each
 * execution of each write for the {@link RunChecker}.
 */
final class StandIns implements AutoCloseable {
    private static final String LIST = "/registry/instances";

    /** One cache node, with the arrival times of its requests. */
    private static final class Node {
        final String name;
        final HttpServer server;
        final long startedMillis;
        final Queue<Long> requests = new ConcurrentLinkedQueue<>();

        Node(String name, HttpServer server, long bornMillis) {
            this.name = name;
            this.server = server;
            this.startedMillis = bornMillis;
        }
    }

    /** Nodes in service; changed under this object's monitor together with {@link #version}. */
    private final List<Node> nodes = new CopyOnWriteArrayList<>();

    private int nodesCreated;
    private long version = 1;
    private final HttpServer discovery;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "stand-in");
        thread.setDaemon(true);
        return thread;
    });
    /** Number of executions of each write at the origin, by request id. */
    final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    private volatile boolean closed;
    /** Whether the discovery service rejects every call. */
    volatile boolean discoveryDown;
    /** Time that the discovery service needs for each list; calls are served one after another. */
    volatile long discoveryMillis;

    private final Object discoveryLock = new Object();
    /** Number of calls to the discovery service. */
    final AtomicInteger listCalls = new AtomicInteger();

    StandIns(int nodeCount) throws IOException {
        InetAddress host = InetAddress.getLoopbackAddress();
        for (int i = 0; i < nodeCount; i++) {
            startNode(0);
        }
        discovery = HttpServer.create(new InetSocketAddress(host, 0), 256);
        discovery.createContext(LIST, this::serveList);
        discovery.setExecutor(threads);
        discovery.start();
    }

    String discoveryAddress() {
        return "127.0.0.1:" + discovery.getAddress().getPort();
    }

    private void startNode(long bornMillis) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
        Node node = new Node("c" + nodesCreated++, server, bornMillis);
        server.createContext("/", exchange -> node(node, exchange));
        server.setExecutor(threads);
        server.start();
        nodes.add(node);
    }

    /** Stops some nodes and starts new ones; the discovery service lists the change at once. */
    synchronized void replace(int removed, int added) throws IOException {
        for (int i = 0; i < removed; i++) {
            Node node = nodes.remove(0);
            node.server.stop(0);
        }
        for (int i = 0; i < added; i++) {
            startNode(System.currentTimeMillis());
        }
        version++;
        notifyAll();
    }

    /** Largest number of requests within a second at any node started by {@link #replace}. */
    long maxRequestsPerSecondAtNewNode() {
        long most = 0;
        for (Node node : nodes) {
            List<Long> at = node.startedMillis == 0 ? List.of() : new ArrayList<>(node.requests);
            for (int from = 0, to = 0; to < at.size(); to++) {
                while (at.get(to) - at.get(from) > 1_000_000_000L) {
                    from++;
                }
                most = Math.max(most, to - from + 1);
            }
        }
        return most;
    }

    /** Number of nodes in service. */
    int size() {
        return nodes.size();
    }

    /** Address of one cache node. */
    String nodeAddress() {
        return "127.0.0.1:" + nodes.get(0).server.getAddress().getPort();
    }

    /** The list in the format of the discovery service. */
    synchronized String listDocument() {
        return list(true, nodes);
    }

    private String list(boolean whole, List<Node> reported) {
        StringBuilder s = new StringBuilder("{\"seq\":")
                .append(version)
                .append(",\"whole\":")
                .append(whole)
                .append(",\"hosts\":[");
        String comma = "";
        for (Node node : reported) {
            s.append(comma)
                    .append("{\"host\":\"")
                    .append(node.name)
                    .append("\",\"dial\":\"127.0.0.1:")
                    .append(node.server.getAddress().getPort())
                    .append("\",\"site\":\"a\",\"class\":\"m\",\"block\":0,\"health\":\"Ready\"")
                    .append(",\"share\":1.0,\"born_ms\":")
                    .append(node.startedMillis)
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

    private void serveList(HttpExchange exchange) throws IOException {
        try (exchange) {
            listCalls.incrementAndGet();
            if (discoveryDown) {
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
            synchronized (discoveryLock) {
                Thread.sleep(discoveryMillis); // simulated service time: one call after another
            }
            answer(exchange, listDocument());
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
        discovery.stop(0);
        threads.shutdownNow();
    }
}
