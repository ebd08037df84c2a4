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
import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A complete proxy between a client, a cache node and a discovery service on loopback sockets. */
class ProxyTest {
    private static final double LONG = 60;
    private static final int SOCKETS = 100;
    private static final long IDLE_MILLIS = 60_000;

    @TempDir
    Path folder;

    private Server node;
    private Server discovery;
    private final BlockingQueue<String> news = new LinkedBlockingQueue<>();
    private ProxyServer proxy;

    @BeforeEach
    void open() throws IOException {
        node = new Server((request, socket) -> write(socket, answer(200, "X-Lookup: hit\r\n", "value")));
        discovery = new Server((request, socket) -> {
            try {
                write(socket, answer(200, "", request.first().contains("after=") ? news.take() : known()));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    @AfterEach
    void close() throws IOException {
        if (proxy != null) {
            proxy.stop();
        }
        node.close();
        discovery.close();
    }

    private String known() {
        return list(1, true, entry("s-1", node.address(), "Ready", 0));
    }

    private Client start() throws IOException {
        return start(SOCKETS, IDLE_MILLIS, known());
    }

    private Client start(int sockets, long idleMillis, String known) throws IOException {
        proxy = ProxyServer.of(Loopback.environment(folder, discovery.address(), sockets, idleMillis, known))
                .start();
        return client();
    }

    private Client client() throws IOException {
        return new Client(proxy.address().getPort());
    }

    @Test
    void passesRequestAndAnswerUnchanged() throws Exception {
        try (Client client = start()) {
            Message got = client.ask(
                    withId(request("PUT", "/api/card-1?x=a%20b", "keyed", LONG, "amount=5"), "9b1f03aa5c7e2d41"));
            assertEquals(200, got.status());
            assertEquals("value", got.body());
            Message sent = node.next();
            assertEquals("PUT /api/card-1?x=a%20b HTTP/1.1", sent.first());
            assertEquals("9b1f03aa5c7e2d41", sent.header("X-Correlation-Id"));
            assertEquals("key-7", sent.header("Idempotency-Key"));
            assertEquals("amount=5", sent.body());
            double left = Double.parseDouble(sent.header("X-Time-Left"));
            assertTrue(left > 0 && left <= LONG, "X-Time-Left " + left);
        }
    }

    @Test
    void keepsConnectionsOnBothSides() throws Exception {
        try (Client client = start()) {
            for (int i = 0; i < 3; i++) {
                assertEquals(
                        200,
                        client.ask(request("GET", "/api/card-" + i, "read", LONG, null))
                                .status());
            }
            assertEquals(1, node.connections.size());
        }
    }

    @Test
    void answersReadinessProbe() throws Exception {
        try (Client client = start()) {
            assertEquals(
                    200,
                    client.ask("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n").status());
        }
    }

    /** Invalid input must never reach the module: an unknown class or tenant would be a fault there. */
    @ParameterizedTest
    @CsvSource({
        "GET, /api/k, X-Service-Class, odd, 400",
        "GET, /api/k, X-Service-Class, , 400",
        "GET, /api/k, X-Account, odd, 400",
        "GET, /api/k, X-Account, , 400",
        "GET, /api/k, X-Correlation-Id, , 400",
        "GET, /api/k, X-Time-Left, soon, 400",
        "GET, /api/k, X-Time-Left, 0, 400",
        "GET, /api/k, X-Time-Left, -1, 400",
        "GET, /api/k, X-Time-Left, NaN, 400",
        "GET, /api/k, X-Time-Left, , 400",
        "GET, /api/k, X-Time-Left, 1d, 400",
        "GET, /api/k, X-Time-Left, 0x1p3, 400",
        "GET, /api/k, X-Time-Left, 1e3, 400",
        "GET, /api/k, X-Time-Left, .5, 400",
        "GET, /api/k, X-Time-Left, 999999999999, 200",
        "GET, /api/k, X-Account, 'acme\r\nX-Account: acme', 400",
        "POST, /api/k, X-Other, 1, 405",
        "DELETE, /api/k, X-Other, 1, 405",
        "GET, /else, X-Other, 1, 404",
        "GET, /api/k, X-Facts, 'a=1,b=2', 200"
    })
    void checksRequests(String method, String path, String header, String value, int status) throws Exception {
        try (Client client = start()) {
            String text = request(method, path, "read", LONG, null).replaceFirst(header + ": [^\r]*\r\n", "");
            text = text.replaceFirst("\r\n", "\r\n" + (value == null ? "" : header + ": " + value + "\r\n"));
            assertEquals(status, client.ask(text).status());
            assertEquals(status == 200 ? 1 : 0, node.requests.size());
            // The connection stays usable.
            assertEquals(
                    200,
                    client.ask(request("GET", "/api/k", "read", LONG, null)).status());
        }
    }

    @Test
    void endsConnectionWhoseFramingIsInDoubt() throws Exception {
        try (Client client = start()) {
            assertEquals(
                    400,
                    client.ask("GET /api/k HTTP/1.1\r\nContent-Length: many\r\n\r\nGET ")
                            .status());
            assertNull(client.answer());
        }
    }

    @Test
    void refusesLongBodies() throws Exception {
        try (Client client = start()) {
            String text = request("PUT", "/api/k", "keyed", LONG, "x");
            assertEquals(
                    413,
                    client.ask(text.replace("Content-Length: 1\r", "Content-Length: " + ((32 << 20) + 1) + "\r"))
                            .status());
            assertNull(client.answer());
            assertEquals(0, node.requests.size());
        }
    }

    /** An unsafe request that may have run is neither retried nor refused: it fails. */
    @ParameterizedTest
    @CsvSource({"500, ''", "503, ''", "504, ''", "503, 'X-Unprocessed: 0'", "404, ''", "0, ''", "-1, ''"})
    void failsUnsafeRequestThatMayHaveRun(int status, String header) throws Exception {
        node.script = (request, socket) -> {
            if (status == -1) {
                write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"); // cut off by the close
            }
            if (status > 0) {
                write(socket, answer(status, header.isEmpty() ? "" : header + "\r\n", ""));
            } else {
                socket.close();
            }
        };
        try (Client client = start()) {
            assertEquals(
                    502, client.ask(request("PUT", "/api/k", "once", LONG, "5")).status());
            assertEquals(1, node.requests.size());
        }
    }

    @ParameterizedTest
    @CsvSource({"503", "504"})
    void repeatsUnsafeRequestThatWasTurnedAway(int status) throws Exception {
        node.script = (request, socket) -> {
            boolean first = node.requests.size() == 1;
            write(socket, first ? answer(status, "X-Unprocessed: 1\r\n", "") : answer(200, "", "done"));
        };
        try (Client client = start()) {
            assertEquals(
                    "done",
                    client.ask(request("PUT", "/api/k", "once", LONG, "5")).body());
            assertEquals(2, node.requests.size());
        }
    }

    /** A truncated response must not reach the client as a whole one; a read may be retried. */
    @Test
    void repeatsReadWhoseAnswerWasCut() throws Exception {
        node.script = (request, socket) -> {
            if (node.requests.size() == 1) {
                write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
                socket.close();
            } else {
                write(socket, answer(200, "", "whole"));
            }
        };
        try (Client client = start()) {
            assertEquals(
                    "whole",
                    client.ask(request("GET", "/api/k", "read", LONG, null)).body());
        }
    }

    /** A response without a length could be truncated anywhere, so its end does not prove that it is whole. */
    @Test
    void takesAnswerWithoutLengthForCut() throws Exception {
        node.script = (request, socket) -> {
            write(socket, "HTTP/1.1 200 OK\r\n\r\nperhaps");
            socket.close();
        };
        try (Client client = start()) {
            assertEquals(
                    502, client.ask(request("PUT", "/api/k", "once", LONG, "5")).status());
        }
    }

    /** A silent node: the client gets one answer before its deadline, and the attempt is closed with it. */
    @Test
    void failsInTimeWhenNodeIsSilent() throws Exception {
        node.script = (request, socket) -> {};
        try (Client client = start()) {
            assertEquals(
                    502, client.ask(request("PUT", "/api/k", "once", 3, "5")).status());
            assertNotNull(node.ended.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
            assertEquals(1, node.requests.size());
            node.script = (request, socket) -> write(socket, answer(200, "", "again"));
            assertEquals(
                    "again",
                    client.ask(request("GET", "/api/k", "read", LONG, null)).body());
        }
    }

    @Test
    void refusesWhatNeverWentOut() throws Exception {
        String gone = list(1, true);
        discovery.script = (request, socket) -> {
            if (!request.first().contains("after=")) {
                write(socket, answer(200, "", gone));
            }
        };
        try (Client client = start(SOCKETS, IDLE_MILLIS, gone)) {
            assertEquals(
                    503, client.ask(request("PUT", "/api/k", "once", 0.5, "5")).status());
        }
    }

    @Test
    void closesAttemptOfClientThatHasGone() throws Exception {
        node.script = (request, socket) -> {};
        try (Client client = start()) {
            write(client.socket, request("GET", "/api/k", "read", LONG, null));
            assertNotNull(node.next());
        }
        assertNotNull(node.ended.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
    }

    /**
     * A client must wait for its answer before its next request. Of several requests in one read none is forwarded, not
     * even those behind a rejected one; the answer is one error, then the connection is closed.
     */
    @ParameterizedTest
    @ValueSource(strings = {"/api/a", "/none"})
    void turnsFloodAwayUnsent(String path) throws Exception {
        try (Client client = start()) {
            write(
                    client.socket,
                    request("GET", path, "read", LONG, null)
                            + request("GET", "/api/b", "read", LONG, null).repeat(100));
            int status = client.answer().status();
            assertTrue(status >= 400 && status < 500, "status " + status);
            while (client.answer() != null) {
                // at most an error
            }
        }
        assertNull(node.requests.peek());
    }

    /** An accepted request gets its one answer whatever is sent after it, and nothing after it is forwarded. */
    @Test
    void answersTakenRequestOfClientThatSendsAhead() throws Exception {
        BlockingQueue<Socket> held = new LinkedBlockingQueue<>();
        node.script = (request, socket) -> held.add(socket);
        try (Client client = start()) {
            write(client.socket, request("GET", "/api/a", "read", LONG, null));
            Socket waiting = held.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
            write(client.socket, request("GET", "/api/b", "read", LONG, null).repeat(100));
            try (Client other = client()) { // same event loop, so the data sent earlier has been read
                other.ask("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
            }
            write(waiting, answer(200, "", "first"));
            Message got = client.answer();
            assertEquals("first", got.body());
            assertEquals("close", got.header("Connection"));
            assertNull(client.answer());
            assertEquals(1, node.requests.size());
        }
    }

    /** If two requests had the same id, one of them could get the other's answer. */
    @Test
    void refusesIdThatIsOpen() throws Exception {
        BlockingQueue<Socket> held = new LinkedBlockingQueue<>();
        node.script = (request, socket) -> held.add(socket);
        try (Client client = start();
                Client other = client()) {
            write(client.socket, withId(request("GET", "/api/a", "read", LONG, null), "same"));
            Socket waiting = held.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
            assertEquals(
                    409,
                    other.ask(withId(request("GET", "/api/a", "read", LONG, null), "same"))
                            .status());
            write(waiting, answer(200, "", "first"));
            assertEquals("first", client.answer().body());
            node.script = (request, socket) -> write(socket, answer(200, "", "again"));
            assertEquals(
                    "again",
                    client.ask(withId(request("GET", "/api/a", "read", LONG, null), "same"))
                            .body());
            assertEquals(2, node.requests.size());
        }
    }

    private static String withId(String request, String id) {
        return request.replaceFirst("X-Correlation-Id: [^\r]*", "X-Correlation-Id: " + id);
    }

    /** Ambiguous messages allow request smuggling: they get an error, then the connection is closed. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 5\r\nTransfer-Encoding: chunked",
                "Content-Length: 5\r\nContent-Length: 5",
                "Content-Length: 5\r\nContent-Length: 0",
                "Content-Length: +5",
                "Content-Length: -5",
                "Content-Length: 5 5",
                "Content-Length: 0x5",
                "Content-Length: 99999999999999999999",
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: identity",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                "a line with no colon",
                "Content-Length : 5",
                "Content-Length: 62914560"
            })
    void turnsAwayDoubtfulFraming(String header) throws Exception {
        try (Client client = start()) {
            write(
                    client.socket,
                    request("PUT", "/api/k", "keyed", LONG, null).replaceFirst("\r\n\r\n", "\r\n" + header + "\r\n\r\n")
                            + "0\r\n\r\n");
            int status = client.answer().status();
            assertTrue(status == 400 || status == 413, "status " + status);
            assertNull(client.answer());
        }
        assertNull(node.requests.peek());
    }

    /** Half a head, half a body and silence each hold a descriptor, and must not do so forever. */
    @ParameterizedTest
    @CsvSource({
        "'', 0",
        "'GET /api/k HT', 408",
        "'PUT /api/k HTTP/1.1\nX-Correlation-Id: i\nX-Service-Class: keyed\n"
                + "X-Account: acme\nX-Time-Left: 9\nContent-Length: 9\n\nhalf', 408"
    })
    void endsWhatNeverGetsWhole(String text, int status) throws Exception {
        try (Client client = start()) {
            write(client.socket, text.replace("\n", "\r\n"));
            Message got = client.answer();
            assertEquals(status, got == null ? 0 : got.status());
            assertNull(got == null ? null : client.answer());
        }
        assertNull(node.requests.peek());
    }

    /** Hundreds of silent connections give way to a client with a request, even with few descriptors. */
    @Test
    void makesRoomForClientAmongSilentOnes() throws Exception {
        List<Client> silent = new ArrayList<>();
        silent.add(start(20, IDLE_MILLIS, known()));
        for (int i = 0; i < 60; i++) {
            silent.add(client());
        }
        try (Client client = client()) {
            assertEquals(
                    200,
                    client.ask(request("GET", "/api/k", "read", LONG, null)).status());
        }
        for (Client client : silent) {
            client.close();
        }
    }

    /** Nothing may be written to a pooled connection that the node has closed: an unsafe request would be lost. */
    @Test
    void dropsConnectionsThatThePeerClosed() throws Exception {
        node.script = (request, socket) -> {
            write(socket, answer(200, "", "value"));
            socket.close();
        };
        try (Client client = start()) {
            assertEquals(
                    200,
                    client.ask(request("GET", "/api/k", "read", LONG, null)).status());
            assertNotNull(node.ended.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
            // The close was sent before this exchange, which runs on the same event loop.
            client.ask("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
            assertEquals(
                    200, client.ask(request("PUT", "/api/k", "once", LONG, "5")).status());
        }
    }

    @Test
    void closesIdleConnectionsBeforeTheNodeDoes() throws Exception {
        try (Client client = start(SOCKETS, 1000, known())) {
            assertEquals(
                    200,
                    client.ask(request("GET", "/api/k", "read", LONG, null)).status());
            assertNotNull(node.ended.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
        }
    }

    /** Clients that send one request and keep their connection must not block those with new requests. */
    @Test
    void givesIdleConnectionsBackBeforeThePlacesEnd() throws Exception {
        try (Client first = start()) {
            first.ask(request("GET", "/api/card-0", "read", LONG, null));
            List<Client> others = new ArrayList<>();
            for (int i = 1; i < SOCKETS * 4 / 10; i++) {
                Client other = client();
                others.add(other);
                assertEquals(
                        200,
                        other.ask(request("GET", "/api/card-" + i, "read", LONG, null))
                                .status());
            }
            assertNull(first.answer(), "the longest idle one has gone, with places left");
            for (Client other : others) {
                other.close();
            }
        }
    }

    /** At the connection limit the longest idle connection is closed, and nothing fails. */
    @Test
    void makesRoomAtTheBoundOnConnections() throws Exception {
        try (Client first = start(10, IDLE_MILLIS, known())) {
            assertEquals(
                    200, first.ask(request("GET", "/api/k", "read", LONG, null)).status());
            Client[] more = new Client[8];
            for (int i = 0; i < more.length; i++) {
                more[i] = client();
                assertEquals(
                        200,
                        more[i].ask(request("GET", "/api/k", "read", LONG, null))
                                .status());
            }
            assertNull(first.answer());
            for (Client client : more) {
                client.close();
            }
        }
    }

    /** With all clients busy at the limit a further one waits, and is admitted when one has its answer. */
    @Test
    void letsWaitingClientInWhenAnotherFallsIdle() throws Exception {
        BlockingQueue<Socket> held = new LinkedBlockingQueue<>();
        node.script = (request, socket) -> held.add(socket);
        Client[] busy = new Client[4];
        busy[0] = start(10, IDLE_MILLIS, known());
        for (int i = 0; i < busy.length; i++) {
            busy[i] = i == 0 ? busy[0] : client();
            write(busy[i].socket, request("PUT", "/api/k" + i, "once", LONG, "5"));
            assertNotNull(node.next());
        }
        try (Client waiting = client()) {
            write(waiting.socket, request("GET", "/api/k", "read", LONG, null));
            node.script = (request, socket) -> write(socket, answer(200, "", "last"));
            write(held.take(), answer(200, "", "first"));
            assertEquals("first", busy[0].answer().body());
            assertEquals("last", waiting.answer().body());
        }
        for (Client client : busy) {
            client.close();
        }
    }

    /** A watch without a response past its wait has failed, even if its connection is still open. */
    @Test
    void asksAgainWhenTheWatchIsSilent() throws Exception {
        try (Client client = start()) {
            assertEquals(
                    200,
                    client.ask("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n").status());
            for (int calls = 0; calls < 2; ) {
                calls += discovery.next().first().contains("after=1") ? 1 : 0;
            }
        }
        try (Client client = client()) { // the first one has been idle for a long time
            assertEquals(
                    "value",
                    client.ask(request("GET", "/api/k", "read", LONG, null)).body());
        }
    }

    @Test
    void movesAwayFromDrainingNodeAsSoonAsToldAndClosesItsConnections() throws Exception {
        try (Server other = new Server((request, socket) -> write(socket, answer(200, "", "other")));
                Client client = start()) {
            assertEquals(
                    "value",
                    client.ask(request("GET", "/api/k", "read", LONG, null)).body());
            news.add(list(
                    2,
                    false,
                    entry("s-1", node.address(), "Terminating", 0),
                    entry("s-2", other.address(), "Ready", 0)));
            assertNotNull(node.ended.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
            assertEquals(
                    "other",
                    client.ask(request("GET", "/api/k", "read", LONG, null)).body());
            assertEquals(1, node.requests.size());
        }
    }

    /** A restarted node has lost its connections, whether or not it could close them. */
    @Test
    void discardsConnectionsOfNodeThatStartedAnew() throws Exception {
        try (Client client = start()) {
            assertEquals(
                    200,
                    client.ask(request("GET", "/api/k", "read", LONG, null)).status());
            news.add(list(2, false, entry("s-1", node.address(), "Ready", System.currentTimeMillis())));
            assertNotNull(node.ended.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
        }
    }

    /** A truncated list must not be applied: the earlier one stays whole, and the module retries. */
    @Test
    void keepsListWhenDiscoveryIsMalformed() throws Exception {
        try (Client client = start()) {
            news.add("{\"seq\":2,\"whole\":true,\"hosts\":[" + entry("s-9", "nowhere", "Ready", 0) + "]}");
            for (String call = ""; !call.contains("after=1"); ) {
                call = discovery.next().first();
            }
            assertTrue(discovery.next().first().contains("after=1"));
            assertEquals(
                    "value",
                    client.ask(request("GET", "/api/k", "read", LONG, null)).body());
        }
    }

    @Test
    void asksAgainWhenDiscoveryBreaks() throws Exception {
        discovery.script = (request, socket) -> {
            if (discovery.requests.size() == 1) {
                write(socket, answer(503, "", ""));
            } else {
                socket.close();
            }
        };
        try (Client client = start(SOCKETS, IDLE_MILLIS, known())) {
            for (int i = 0; i < 3; i++) {
                assertNotNull(discovery.next());
            }
            assertEquals(
                    "value",
                    client.ask(request("GET", "/api/k", "read", LONG, null)).body());
        }
    }

    /**
     * A new configuration names another discovery service: the proxy requests the whole list there immediately and
     * keeps the nodes until it has answered. An invalid or unchanged file changes nothing.
     */
    @Test
    void turnsToDiscoveryOfNewConfiguration() throws Exception {
        BlockingQueue<Socket> asked = new LinkedBlockingQueue<>();
        try (Server other = new Server((request, socket) -> write(socket, answer(200, "", "other")));
                Server next = new Server((request, socket) -> asked.add(socket));
                Client client = start()) {
            Files.writeString(folder.resolve("config.json"), "{");
            proxy.reload();
            Loopback.environment(folder, next.address(), SOCKETS, IDLE_MILLIS, known());
            proxy.reload();
            proxy.reload();
            Socket call = asked.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
            assertEquals("GET /registry/instances HTTP/1.1", next.next().first());
            assertEquals(
                    "value",
                    client.ask(request("GET", "/api/k", "read", LONG, null)).body());
            write(call, answer(200, "", list(9, true, entry("s-2", other.address(), "Ready", 0))));
            assertTrue(next.next().first().contains("after=9"));
            assertEquals(
                    "other",
                    client.ask(request("GET", "/api/k", "read", LONG, null)).body());
            assertEquals(1, next.connections.size());
        }
    }

    /**
     * Cold code makes the first seconds slow, so the proxy sends itself requests before it is ready. None of them may
     * reach a cache node or discovery, and clients are served normally meanwhile.
     */
    @Test
    void warmsUpByItselfAlone() throws Exception {
        proxy = ProxyServer.of(Loopback.environment(folder, discovery.address(), SOCKETS, IDLE_MILLIS, known()))
                .startWarm();
        try (Client early = client()) {
            assertEquals(
                    "value",
                    early.ask(request("GET", "/api/k", "read", LONG, null)).body());
        }
        int status = 0;
        while (status != 200) {
            try (Client client = client()) {
                status = client.ask("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                        .status();
            }
        }
        assertEquals(1, node.requests.size());
        assertEquals("GET /registry/instances HTTP/1.1", discovery.next().first());
        assertTrue(discovery.next().first().contains("after=1"));
        assertNull(discovery.requests.peek());
    }

    /** Whatever clients and nodes do, no state of a request or connection may leak. */
    @Test
    void leavesNothingBehind() throws Exception {
        node.script = (request, socket) -> {
            switch (node.requests.size() % 4) {
                case 0 -> write(socket, answer(200, "", "value"));
                case 1 -> write(socket, "noise\r\n\r\n");
                case 2 -> socket.close();
                default -> {} // silent
            }
        };
        List<Client> asking = new ArrayList<>();
        asking.add(start());
        for (int i = 0; i < 24; i++) {
            asking.add(client());
            write(
                    asking.get(i).socket,
                    request(
                            i % 2 == 0 ? "GET" : "PUT",
                            "/api/k" + i,
                            i % 2 == 0 ? "read" : "once",
                            2,
                            i % 2 == 0 ? null : "5"));
            if (i % 3 == 0) {
                asking.get(i).close();
            }
        }
        for (Client client : asking) {
            if (!client.socket.isClosed()) {
                client.answer();
                client.close();
            }
        }
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS); !proxy.idle(); ) {
            assertTrue(System.nanoTime() < end, "something is held");
            Thread.sleep(10);
        }
    }

    /** Clients that find no free connection during a drain would leave, so the last ones are kept free. */
    @Test
    void aDrainKeepsTheLastConnectionsFree() throws Exception {
        BlockingQueue<Socket> held = new LinkedBlockingQueue<>();
        node.script = (request, socket) -> {
            if (request.first().contains("/api/held")) {
                held.add(socket);
            } else {
                write(socket, answer(200, "", "x"));
            }
        };
        List<Client> clients = new ArrayList<>();
        try (Client asks = start()) {
            for (int i = 0; i < 15; i++) {
                clients.add(client());
                assertEquals(
                        200,
                        clients.get(i)
                                .ask(request("GET", "/api/k", "read", LONG, null))
                                .status());
            }
            for (int i = 0; i < 9; i++) {
                write(clients.get(i).socket, request("GET", "/api/held-" + i, "read", LONG, null));
                assertNotNull(held.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
            }
            assertEquals(
                    200, asks.ask(request("GET", "/api/k", "read", LONG, null)).status());
            Thread draining = new Thread(proxy::drain);
            draining.start();
            Message got = asks.ask(request("GET", "/api/k", "read", LONG, null));
            while (got.status() == 200) { // until clients that need one more connection have had time to open it
                got = asks.ask(request("GET", "/api/k", "read", LONG, null));
            }
            assertEquals(503, got.status());
            assertNotNull(got.header("Retry-After"));
            assertEquals(
                    200, asks.ask(request("PUT", "/api/k", "once", LONG, "5")).status(), "worth more");
            for (Client client : clients) {
                client.close();
            }
            draining.join();
        }
    }

    /** A draining proxy serves until no more connections arrive, then closes, and finishes its open requests. */
    @Test
    void drains() throws Exception {
        BlockingQueue<Socket> held = new LinkedBlockingQueue<>();
        node.script = (request, socket) -> held.add(socket);
        try (Client client = start();
                Client idle = client();
                Client late = client();
                Client silent = client()) {
            assertEquals(
                    200,
                    idle.ask("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n").status());
            write(client.socket, request("PUT", "/api/k", "once", LONG, "5"));
            Socket waiting = held.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
            Thread draining = new Thread(proxy::drain);
            draining.start();
            while (late.ask("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n").status() == 200) {
                Thread.onSpinWait(); // until the drain has begun
            }
            node.script = (request, socket) -> write(socket, answer(200, "", "late"));
            try (Client next = client()) {
                Message got = next.ask(request("GET", "/api/l", "read", LONG, null));
                assertEquals("late", got.body());
                assertNull(got.header("Connection"), "a client told to close could not come back");
                assertEquals(
                        "late",
                        next.ask(request("GET", "/api/l", "read", LONG, null)).body());
                assertNull(next.answer());
            }
            assertNull(idle.answer());
            assertNull(silent.answer());
            write(waiting, answer(200, "", "held"));
            assertEquals("held", client.answer().body());
            draining.join();
            try (Client refused = client()) {
                assertNull(refused.answer());
            } catch (ConnectException e) {
                assertFalse(draining.isAlive());
            }
        }
    }

    /** With long deadlines no kill comes within 3.7 s, and until shortly before it clients have no other proxy. */
    @Test
    void servesUntilShortlyBeforeTheKill() throws Exception {
        try (Client client = start()) {
            long begun = System.nanoTime();
            Thread draining = new Thread(proxy::drain);
            draining.start();
            boolean served = true;
            while (served) {
                try {
                    served = client.ask(request("GET", "/api/k", "read", LONG, null)) != null;
                } catch (IOException e) {
                    served = false; // the close crossed the request
                }
            }
            long stayed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
            assertTrue(stayed >= 3_200, "clients were sent away after " + stayed + " ms");
            draining.join();
        }
    }

    /** A kill follows a drain in any case: requests still open then fail, and their clients get an answer. */
    @Test
    void failsWhatIsHeldBeforeTheKill() throws Exception {
        node.script = (request, socket) -> {};
        try (Client client = start()) {
            write(client.socket, request("PUT", "/api/k", "once", LONG, "5"));
            assertNotNull(node.next());
            proxy.drain();
            assertEquals(502, client.answer().status());
        }
    }

    /** A node that started during service indicates a restart, for which clients wait. */
    @ParameterizedTest
    @CsvSource({"0,0,true", "0,1700000000000,false"})
    void knowsWhetherTheServiceOnlyBegins(long born, long other, boolean begins) throws Exception {
        assertEquals(
                begins,
                ProxyConfig.load(Loopback.environment(
                                folder,
                                "127.0.0.1:1",
                                100,
                                60_000,
                                list(
                                        1,
                                        true,
                                        entry("s-1", "127.0.0.1:2", "Ready", born),
                                        entry("s-2", "127.0.0.1:3", "Ready", other))))
                        .begins());
    }
}
