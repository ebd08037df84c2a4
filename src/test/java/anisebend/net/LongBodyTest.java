package anisebend.net;

import static anisebend.net.Loopback.PATIENCE_SECONDS;
import static anisebend.net.Loopback.answer;
import static anisebend.net.Loopback.entry;
import static anisebend.net.Loopback.list;
import static anisebend.net.Loopback.request;
import static anisebend.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import anisebend.net.Loopback.Client;
import anisebend.net.Loopback.Message;
import anisebend.net.Loopback.Server;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Request bodies that need a memory reservation, also more of them than the budget can hold at once. */
class LongBodyTest {
    private static final double LONG_WAIT_SECONDS = 60;
    private static final int BUDGET_BYTES = 1 << 20;

    @TempDir
    Path folder;

    private Server node;
    private Server discovery;
    private ProxyServer proxy;
    private volatile Loopback.Script script = (request, socket) -> write(socket, answer(200, "", request.body()));

    @BeforeEach
    void open() throws IOException {
        node = new Server((request, socket) -> script.answer(request, socket));
        discovery = new Server((request, socket) -> {});
        proxy = ProxyServer.of(Loopback.environment(
                        folder,
                        discovery.address(),
                        200,
                        60_000,
                        list(1, true, entry("s-1", node.address(), "Ready", 0))))
                .bodies(BUDGET_BYTES)
                .start();
    }

    @AfterEach
    void close() throws IOException {
        proxy.stop();
        node.close();
        discovery.close();
    }

    private Client client() throws IOException {
        return new Client(proxy.address().getPort());
    }

    private static String text(int length) {
        StringBuilder text = new StringBuilder(length);
        new Random(length).ints(length, 'a', 'z').forEach(c -> text.append((char) c));
        return text.toString();
    }

    private static String chunked(String type, String body, int size) {
        StringBuilder text = new StringBuilder(request("PUT", "/api/k", type, LONG_WAIT_SECONDS, "")
                .replace("Content-Length: 0", "Transfer-Encoding: chunked"));
        for (int at = 0; at < body.length(); at += size) {
            String part = body.substring(at, Math.min(body.length(), at + size));
            text.append(Integer.toHexString(part.length()))
                    .append("\r\n")
                    .append(part)
                    .append("\r\n");
        }
        return text.append("0\r\n\r\n").toString();
    }

    private void awaitIdle() throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
        while (!proxy.idle()) {
            assertTrue(System.nanoTime() < end, "the proxy still holds a request or its body");
        }
    }

    @ParameterizedTest
    @CsvSource({
        "65535, once",
        "65536, keyed",
        "65537, once",
        "65537, keyed",
        "131072, once",
        "700000, once",
        "1048576, keyed"
    })
    void forwardsBodiesUnchangedInAnyFraming(int length, String type) throws Exception {
        String body = text(length);
        script = (request, socket) ->
                write(socket, answer(200, "", request.body().equals(body) ? "same" : "other"));
        try (Client client = client()) {
            assertEquals(
                    "same",
                    client.ask(request("PUT", "/api/k", type, LONG_WAIT_SECONDS, body))
                            .body());
            assertEquals("same", client.ask(chunked(type, body, 50_000)).body());
            assertEquals("same", client.ask(chunked(type, body, 1_000_000)).body());
        }
        awaitIdle();
    }

    /** Twelve bodies of 400 kB, of which the budget holds two: the others are not read until memory is released. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void servesMoreBodiesThanTheBudgetHolds(boolean known) throws Exception {
        String body = text(400_000);
        BlockingQueue<Socket> held = new LinkedBlockingQueue<>();
        script = (request, socket) -> held.add(socket);
        List<Client> clients = new ArrayList<>();
        List<Thread> writers = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            Client client = client();
            clients.add(client);
            String text = known
                    ? request("PUT", "/api/k" + i, "once", LONG_WAIT_SECONDS, body)
                    : chunked("once", body, 30_000);
            Thread writer = new Thread(() -> {
                try {
                    write(client.socket, text);
                } catch (IOException e) {
                    return; // the check of its response detects the failure
                }
            });
            writer.start();
            writers.add(writer);
        }
        int most = 0;
        for (int served = 0; served < clients.size(); served++) {
            Socket first = held.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
            assertNotNull(first, "no further request; served so far: " + served);
            most = Math.max(most, 1 + held.size());
            write(first, answer(200, "", "done"));
        }
        assertTrue(most <= 2, most + " bodies forwarded at once");
        for (Client client : clients) {
            assertEquals("done", client.answer().body());
            client.close();
        }
        for (Thread writer : writers) {
            writer.join();
        }
        awaitIdle();
    }

    @Test
    void releasesTheReservationOfADisconnectedClient() throws Exception {
        String body = text(BUDGET_BYTES);
        Client first = client();
        write(
                first.socket,
                request("PUT", "/api/k", "once", LONG_WAIT_SECONDS, body).substring(0, BUDGET_BYTES / 2));
        try (Client second = client()) {
            Thread writer = new Thread(() -> {
                try {
                    write(second.socket, request("PUT", "/api/j", "once", LONG_WAIT_SECONDS, body));
                } catch (IOException e) {
                    return;
                }
            });
            writer.start();
            first.close();
            assertEquals(body, second.answer().body());
            writer.join();
        }
        assertEquals(1, node.requests.size());
    }

    /**
     * A request whose body was cut short can't have been executed, so even a non-repeatable one is retried; also if the node
     * stood still for a while, in which the system could take all of the body into its send buffer.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 300})
    void retriesWhenTheNodeDisconnectsWithinTheBody(int pauseMillis) throws Exception {
        String body = text(BUDGET_BYTES);
        try (ServerSocket abortingNode = new ServerSocket()) {
            abortingNode.setReceiveBufferSize(8 << 10); // so that the whole body can't be in flight
            abortingNode.bind(new InetSocketAddress(Loopback.HOST, 0));
            Thread nodeThread = new Thread(() -> {
                try {
                    try (Socket socket = abortingNode.accept()) {
                        socket.getInputStream().readNBytes(10_000);
                        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(pauseMillis));
                    }
                    try (Socket socket = abortingNode.accept()) {
                        Message received = Loopback.read(new BufferedInputStream(socket.getInputStream()));
                        write(socket, answer(200, "", "whole " + received.body().length()));
                        socket.getInputStream().read();
                    }
                } catch (IOException e) {
                    return;
                }
            });
            nodeThread.setDaemon(true);
            nodeThread.start();
            proxy.stop();
            proxy = ProxyServer.of(Loopback.environment(
                            folder,
                            discovery.address(),
                            200,
                            60_000,
                            list(1, true, entry("s-0", "127.0.0.1:" + abortingNode.getLocalPort(), "Ready", 0))))
                    .bodies(BUDGET_BYTES)
                    .start();
            try (Client client = client()) {
                Thread writer = new Thread(() -> {
                    try {
                        write(client.socket, request("PUT", "/api/k", "once", LONG_WAIT_SECONDS, body));
                    } catch (IOException e) {
                        return;
                    }
                });
                writer.start();
                assertEquals("whole " + BUDGET_BYTES, client.answer().body());
                writer.join();
            }
            nodeThread.interrupt();
        }
    }

    @Test
    void rejectsABodyLargerThanTheBudget() throws Exception {
        try (Client client = client()) {
            assertEquals(
                    413,
                    client.ask(request("PUT", "/api/k", "once", LONG_WAIT_SECONDS, "x")
                                    .replace("Content-Length: 1\r", "Content-Length: " + (BUDGET_BYTES + 1) + "\r"))
                            .status());
            assertNull(client.answer());
        }
        assertEquals(0, node.requests.size());
    }

    /** A client that expects 100 Continue receives it only once memory is reserved for its body. */
    @Test
    void sendsContinueOnlyOnceMemoryIsReserved() throws Exception {
        String body = text(BUDGET_BYTES);
        try (Client first = client();
                Client second = client()) {
            String one = request("PUT", "/api/k", "once", LONG_WAIT_SECONDS, body)
                    .replace("Host: app.svc", "Host: app.svc\r\nExpect: 100-continue");
            String head = one.substring(0, one.indexOf("\r\n\r\n") + 4);
            write(first.socket, head);
            assertEquals(100, first.answer().status());
            write(second.socket, head.replaceFirst("X-Correlation-Id: \\S+", "X-Correlation-Id: other"));
            write(first.socket, body);
            Message answer = first.answer();
            assertEquals(200, answer.status());
            assertEquals(100, second.answer().status());
            write(second.socket, body);
            assertEquals(body, second.answer().body());
        }
    }
}
