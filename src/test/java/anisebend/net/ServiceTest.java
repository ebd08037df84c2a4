package anisebend.net;

import static anisebend.net.Loopback.PATIENCE_SECONDS;
import static anisebend.net.Loopback.answer;
import static anisebend.net.Loopback.entry;
import static anisebend.net.Loopback.list;
import static anisebend.net.Loopback.request;
import static anisebend.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import anisebend.net.Loopback.Client;
import anisebend.net.Loopback.Message;
import anisebend.net.Loopback.Server;
import gorsemast.lifecycle.Lifecycle.Phase;
import gorsemast.upgrade.Generations;
import gorsemast.upgrade.Succession;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Operation over real sockets: the operators' address, draining, reloading under load, process handover. */
class ServiceTest {
    private static final double LONG_WAIT_SECONDS = 60;

    @TempDir
    Path folder;

    private Server node;
    private Server discovery;
    private Map<String, String> env;
    private final List<ProxyServer> proxies = new ArrayList<>();
    /** Connections whose requests the node leaves open until the test answers them. */
    private final BlockingQueue<Socket> heldSockets = new LinkedBlockingQueue<>();

    @BeforeEach
    void open() throws IOException {
        node = new Server((request, socket) -> {
            if (request.first().contains("/api/hold")) {
                heldSockets.add(socket);
            } else {
                write(socket, answer(200, "X-Lookup: hit\r\n", "value"));
            }
        });
        discovery = new Server((request, socket) -> {});
        env = Loopback.served(
                folder, discovery.address(), 400, 60_000, list(1, true, entry("s-1", node.address(), "Ready", 0)));
    }

    @AfterEach
    void close() throws IOException {
        proxies.forEach(ProxyServer::stop);
        node.close();
        discovery.close();
    }

    private ProxyServer start() throws IOException {
        ProxyServer proxy = ProxyServer.of(env);
        proxies.add(proxy);
        return proxy.start();
    }

    private static String call(ProxyServer proxy, String line) throws IOException {
        InetSocketAddress at = proxy.adminAddress();
        try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
            socket.setSoTimeout(PATIENCE_SECONDS * 1000);
            write(socket, line + "\n");
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    private static long counter(ProxyServer proxy, String name) throws IOException {
        return call(proxy, "counters")
                .lines()
                .filter(line -> line.startsWith("edge_proxy." + name + ":"))
                .map(line -> line.substring(line.indexOf(':') + 1, line.indexOf('|')))
                .mapToLong(Long::parseLong)
                .findFirst()
                .orElseThrow(() -> new AssertionError("no counter " + name));
    }

    /** Polls until the counter has the value, as commands and signals take effect on other threads. */
    private static void await(ProxyServer proxy, String name, long value) throws IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
        while (counter(proxy, name) != value) {
            assertTrue(System.nanoTime() < end, name + " is not " + value + " but " + counter(proxy, name));
        }
    }

    private void replaceInConfig(String from, String to) throws IOException {
        Path file = folder.resolve("config.json");
        String text = Files.readString(file);
        assertTrue(text.contains(from), from);
        Files.writeString(file, text.replace(from, to));
    }

    @Test
    void countsRequestOutcomes() throws Exception {
        ProxyServer proxy = start();
        try (Client client = new Client(proxy.address().getPort());
                Client other = new Client(proxy.address().getPort())) {
            for (int i = 0; i < 3; i++) {
                assertEquals(
                        200,
                        client.ask(request("GET", "/api/k", "read", LONG_WAIT_SECONDS, null))
                                .status());
            }
            assertEquals(
                    404,
                    client.ask(request("GET", "/other", "read", LONG_WAIT_SECONDS, null))
                            .status());
            write(other.socket, request("PUT", "/api/hold", "once", LONG_WAIT_SECONDS, "body"));
            Socket waiting = heldSockets.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
            assertNotNull(waiting);
            assertEquals(1, counter(proxy, "in_flight"));
            write(waiting, answer(500, "", ""));
            assertEquals(502, other.answer().status());
            assertEquals(3, counter(proxy, "requests.read.served"));
            assertEquals(0, counter(proxy, "requests.read.failed"));
            assertEquals(1, counter(proxy, "requests.once.failed"));
            assertEquals(0, counter(proxy, "requests.keyed.refused"));
            assertEquals(4, counter(proxy, "attempts"));
            assertEquals(0, counter(proxy, "in_flight"));
            assertEquals(1, counter(proxy, "cache_nodes_known"));
            assertEquals(0, counter(proxy, "cache_nodes_excluded"));
        }
    }

    /** Draining closes idle and silent connections and lets open requests finish; resuming accepts clients again. */
    @Test
    void drainsAndAcceptsClientsAgain() throws Exception {
        ProxyServer proxy = start();
        int port = proxy.address().getPort();
        try (Client idle = new Client(port);
                Client busy = new Client(port);
                Client silent = new Client(port)) {
            assertEquals(
                    200,
                    idle.ask(request("GET", "/api/k", "read", LONG_WAIT_SECONDS, null))
                            .status());
            write(busy.socket, request("PUT", "/api/hold", "once", LONG_WAIT_SECONDS, "body"));
            Socket waiting = heldSockets.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
            assertTrue(call(proxy, "health").startsWith("200"));
            assertTrue(call(proxy, "quiesce").startsWith("200"));
            assertTrue(call(proxy, "health").startsWith("400"));
            try (Client probe = new Client(port)) {
                assertEquals(
                        503,
                        probe.ask("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                                .status());
            }
            assertNull(idle.answer(), "the idle connection was not closed");
            assertNull(silent.answer(), "the connection without any request was not closed");
            write(waiting, answer(200, "", "late"));
            Message last = busy.answer();
            assertEquals("late", last.body(), "the open request was not completed");
            assertEquals("close", last.header("Connection"));
            assertNull(busy.answer());
            try (Client late = new Client(port)) {
                Message served = late.ask(request("GET", "/api/k", "read", LONG_WAIT_SECONDS, null));
                assertEquals("value", served.body(), "a client that still connects was not served");
                assertEquals("close", served.header("Connection"));
            }
            assertTrue(call(proxy, "resume").startsWith("200"));
            try (Client back = new Client(port)) {
                assertEquals(
                        200,
                        back.ask("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                                .status());
                Message served = back.ask(request("GET", "/api/k", "read", LONG_WAIT_SECONDS, null));
                assertFalse("close".equals(served.header("Connection")));
            }
        }
    }

    /** A class becomes repeatable while a request of it is open: that one is not retried, a new one is. */
    @Test
    void anOpenRequestKeepsTheRulesOfItsArrival() throws Exception {
        ProxyServer proxy = start();
        try (Client before = new Client(proxy.address().getPort());
                Client after = new Client(proxy.address().getPort())) {
            assertEquals(
                    400,
                    after.ask(request("GET", "/api/k", "later", LONG_WAIT_SECONDS, null))
                            .status());
            write(before.socket, request("PUT", "/api/hold", "once", LONG_WAIT_SECONDS, "body"));
            Socket waiting = heldSockets.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
            replaceInConfig(
                    "{\"name\":\"once\",\"repeat\":\"non_idempotent\"", "{\"name\":\"once\",\"repeat\":\"read_like\"");
            replaceInConfig("{\"name\":\"read\",", "{\"name\":\"later\",");
            proxy.reload();
            await(proxy, "reloads_ok", 1);
            write(waiting, answer(500, "", ""));
            assertEquals(502, before.answer().status(), "a request that may have been executed was retried");
            write(after.socket, request("PUT", "/api/hold", "once", LONG_WAIT_SECONDS, "body"));
            write(heldSockets.poll(PATIENCE_SECONDS, TimeUnit.SECONDS), answer(500, "", ""));
            Socket again = heldSockets.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
            assertNotNull(again, "a new request was not retried under the new rules");
            write(again, answer(200, "", "second"));
            assertEquals("second", after.answer().body());
            assertEquals(
                    "value",
                    after.ask(request("GET", "/api/k", "later", LONG_WAIT_SECONDS, null))
                            .body());
            assertEquals(
                    400,
                    before.ask(request("GET", "/api/k", "read", LONG_WAIT_SECONDS, null))
                            .status());
            assertEquals(1, counter(proxy, "requests.later.served"));
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "\"send_cap\":6; \"send_cap\":0",
                "\"send_cap\":6; \"send_cap\":-1",
                "\"send_cap\":6; \"send_cap\":\"6\"",
                "\"send_cap\":6; \"other\":6",
                "\"aim_ms\":6000.0,\"hard_limit_ms\":60000.0; \"aim_ms\":6000.0",
                "\"hard_limit_ms\":60000.0; \"hard_limit_ms\":0",
                "\"hard_limit_ms\":60000.0; \"hard_limit_ms\":-5",
                "\"name\":\"once\"; \"name\":\"read\"",
                "\"repeat\":\"read_like\"; \"repeat\":\"perhaps\"",
                "\"rules\"; \"roles\"",
                "\"name\":\"n0\",; ",
                "\"fraction\":1.0,; ",
                "\"shapes\":[\"m\"]; \"shapes\":[]"
            })
    void ignoresAnInvalidFileEntirely(String from, String to) throws Exception {
        ProxyServer proxy = start();
        replaceInConfig(from, to == null ? "" : to);
        replaceInConfig("{\"name\":\"keyed\",", "{\"name\":\"new\",");
        proxy.reload();
        await(proxy, "reloads_failed", 1);
        assertEquals(0, counter(proxy, "reloads_ok"));
        try (Client client = new Client(proxy.address().getPort())) {
            assertEquals(
                    "value",
                    client.ask(request("PUT", "/api/k", "keyed", LONG_WAIT_SECONDS, "x"))
                            .body());
            assertEquals(
                    400,
                    client.ask(request("PUT", "/api/k", "new", LONG_WAIT_SECONDS, "x"))
                            .status());
        }
    }

    /** Both processes listen at one address; the old one drains, and clients are served without interruption. */
    @Test
    void aNewProcessTakesOverClients() throws Exception {
        ProxyServer old = start();
        int port = old.address().getPort();
        replaceInConfig("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:" + port + "\"");
        try (Client busy = new Client(port);
                Client idle = new Client(port)) {
            write(busy.socket, request("PUT", "/api/hold", "once", LONG_WAIT_SECONDS, "body"));
            Socket waiting = heldSockets.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
            assertEquals(
                    "value",
                    idle.ask(request("GET", "/api/k", "read", LONG_WAIT_SECONDS, null))
                            .body());
            ProxyServer next = ProxyServer.of(env);
            proxies.add(next);
            next.startWarm();
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
            while (!call(next, "health").startsWith("200")) {
                assertTrue(System.nanoTime() < end, "the new process did not become ready");
            }
            Thread drainThread = new Thread(old::drain);
            drainThread.start();
            assertNull(idle.answer());
            write(waiting, answer(200, "", "late"));
            assertEquals("late", busy.answer().body());
            assertNull(busy.answer());
            drainThread.join(TimeUnit.SECONDS.toMillis(PATIENCE_SECONDS));
            for (int i = 0; i < 20; i++) {
                try (Client client = new Client(port)) {
                    Message served = client.ask(request("GET", "/api/k", "read", LONG_WAIT_SECONDS, null));
                    assertEquals("value", served.body());
                }
            }
            assertEquals(20, counter(next, "requests.read.served"), "requests that the new process served");
        }
    }

    /** Repeated drains and resumes, with a change of the classes during one drain. */
    @Test
    void drainsThreeTimesWithAReloadMeanwhile() throws Exception {
        ProxyServer proxy = start();
        int port = proxy.address().getPort();
        for (int i = 0; i < 3; i++) {
            try (Client idle = new Client(port)) {
                assertEquals(
                        200,
                        idle.ask(request("GET", "/api/k", "read", LONG_WAIT_SECONDS, null))
                                .status());
                assertTrue(call(proxy, "quiesce").startsWith("200"));
                assertEquals(Phase.EMPTYING, proxy.phase());
                assertNull(idle.answer());
            }
            if (i == 1) {
                replaceInConfig("{\"name\":\"keyed\",", "{\"name\":\"new\",");
                proxy.reload();
                await(proxy, "reloads_ok", 1);
                assertTrue(call(proxy, "health").startsWith("400"), "the reload ended the drain");
            }
            assertTrue(call(proxy, "resume").startsWith("200"));
        }
        try (Client client = new Client(port)) {
            Message served = client.ask(request("PUT", "/api/k", "new", LONG_WAIT_SECONDS, "x"));
            assertEquals("value", served.body());
            assertFalse("close".equals(served.header("Connection")));
        }
    }

    /** A process that is about to end must not rely on a successor that has just been drained. */
    @Test
    void announcesADrainToOtherProcessesAtOnce() throws Exception {
        try (Succession before = new Succession(folder.resolve("gorsemast-n0"))) {
            ProxyServer later = start();
            assertTrue(call(later, "resume").startsWith("200"));
            before.look();
            assertTrue(before.generations().succeeded());
            assertTrue(call(later, "quiesce").startsWith("200"));
            before.look();
            assertFalse(before.generations().succeeded());
        }
    }

    /** A restart during an upgrade: the old process keeps serving until its successor accepts clients. */
    @Test
    void servesUntilItsSuccessorAcceptsClients() throws Exception {
        ProxyServer old = start();
        int port = old.address().getPort();
        try (Succession warming = new Succession(folder.resolve("gorsemast-n0"));
                Client idle = new Client(port)) {
            assertEquals(
                    "value",
                    idle.ask(request("GET", "/api/k", "read", LONG_WAIT_SECONDS, null))
                            .body());
            Thread drainThread = new Thread(old::drain);
            drainThread.start();
            while (call(old, "health").startsWith("200")) {
                Thread.onSpinWait(); // drain takes effect on another thread
            }
            assertEquals(
                    "value",
                    idle.ask(request("GET", "/api/k", "read", LONG_WAIT_SECONDS, null))
                            .body());
            try (Client late = new Client(port)) {
                assertEquals(
                        "value",
                        late.ask(request("GET", "/api/k", "read", LONG_WAIT_SECONDS, null))
                                .body());
            }
            warming.tell(Generations.Standing.SERVING);
            assertNull(idle.answer(), "the idle connection was not closed after the handover");
            drainThread.join(TimeUnit.SECONDS.toMillis(PATIENCE_SECONDS));
            assertEquals(Phase.HANDING_OVER, old.phase(), "it left because its time limit was reached");
            assertTrue(old.idle());
        }
    }

    /** A restart stops both while the later one warms up: it must not end first, as the earlier may need all its time. */
    @Test
    void endsAfterItsPredecessor() throws Exception {
        Succession before = new Succession(folder.resolve("gorsemast-n0"));
        ProxyServer next = ProxyServer.of(env);
        proxies.add(next);
        next.startWarm();
        Thread drainThread = new Thread(next::drain);
        drainThread.start();
        for (int i = 0; i < 5; i++) {
            call(next, "health"); // without a predecessor it would have ended within the first of these
        }
        assertTrue(drainThread.isAlive(), "it ended before its predecessor");
        before.close();
        drainThread.join(TimeUnit.SECONDS.toMillis(PATIENCE_SECONDS));
        assertFalse(drainThread.isAlive());
    }

    /** The client reads nothing until the process has ended; the send buffer must hold the response. */
    @Test
    void aLongResponseOutlivesItsProcess() throws Exception {
        try (SocketChannel probe = SocketChannel.open()) {
            probe.setOption(StandardSocketOptions.SO_SNDBUF, 4 << 20);
            Assumptions.assumeTrue(
                    probe.getOption(StandardSocketOptions.SO_SNDBUF) >= 4 << 20, "net.core.wmem_max is below 4 MiB");
        }
        ProxyServer old = start();
        int length = 5_500_000;
        node.script = (request, socket) -> {
            write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n");
            socket.getOutputStream().write(new byte[length]);
        };
        try (Succession next = new Succession(folder.resolve("gorsemast-n0"));
                Socket slow = new Socket()) {
            next.tell(Generations.Standing.SERVING);
            slow.setReceiveBufferSize(64 << 10);
            slow.connect(old.address());
            write(slow, request("GET", "/api/long", "read", LONG_WAIT_SECONDS, null));
            assertEquals('H', slow.getInputStream().read());
            old.drain();
            assertTrue(old.idle(), "it still holds a request");
            old.stop();
            assertTrue(slow.getInputStream().readAllBytes().length > length);
        }
    }
}
