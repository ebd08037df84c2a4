package anisebend.net;

import static anisebend.net.Loopback.PATIENCE_SECONDS;
import static anisebend.net.Loopback.answer;
import static anisebend.net.Loopback.entry;
import static anisebend.net.Loopback.list;
import static anisebend.net.Loopback.request;
import static anisebend.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import anisebend.net.Loopback.Client;
import anisebend.net.Loopback.Server;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Responses too long to be buffered: streamed as they arrive, with only a small part in memory at any time. */
class LongAnswerTest {
    private static final double LONG_WAIT_SECONDS = 60;
    private static final int MEBIBYTE = 1 << 20;

    @TempDir
    Path folder;

    private Server node;
    private Server discovery;
    private ProxyServer proxy;
    private volatile Loopback.Script script;

    @BeforeEach
    void open() throws IOException {
        node = new Server((request, socket) -> script.answer(request, socket));
        discovery = new Server((request, socket) -> {});
        proxy = ProxyServer.of(Loopback.environment(
                        folder,
                        discovery.address(),
                        100,
                        60_000,
                        list(1, true, entry("s-1", node.address(), "Ready", 0))))
                .start();
    }

    @AfterEach
    void close() throws IOException {
        proxy.stop();
        node.close();
        discovery.close();
    }

    private static byte[] randomBytes(int length) {
        byte[] bytes = new byte[length];
        new Random(7).nextBytes(bytes);
        return bytes;
    }

    private static String get() {
        return request("GET", "/api/k", "read", LONG_WAIT_SECONDS, null);
    }

    private static String head(String framing) {
        return "HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Type: image/x\r\n" + framing + "\r\n\r\n";
    }

    private static void chunked(Socket socket, byte[] body, int size) throws IOException {
        for (int at = 0; at < body.length; at += size) {
            int length = Math.min(size, body.length - at);
            write(socket, Integer.toHexString(length) + "\r\n");
            socket.getOutputStream().write(body, at, length);
            write(socket, "\r\n");
        }
        write(socket, "0\r\n\r\n");
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            assertTrue(c >= 0, "connection ended within a line");
            line.write(c);
        }
        return line.toString(StandardCharsets.US_ASCII).trim();
    }

    /** Reads a response with either framing; the body ends early if the connection does. */
    private static byte[] body(InputStream in) throws IOException {
        assertEquals("HTTP/1.1 200 OK", line(in));
        int length = -1;
        for (String header = line(in); !header.isEmpty(); header = line(in)) {
            if (header.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(header.substring(15).trim());
            }
        }
        if (length >= 0) {
            return in.readNBytes(length);
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (int size = Integer.parseInt(line(in), 16); size > 0; size = Integer.parseInt(line(in), 16)) {
            body.writeBytes(in.readNBytes(size));
            line(in);
        }
        line(in);
        return body.toByteArray();
    }

    @ParameterizedTest
    @CsvSource({"65536,1000", "65537,1", "65537,65537", "300000,7000", "6000000,100000"})
    void streamsAnyFramingUnchangedAndKeepsBothConnections(int length, int chunk) throws Exception {
        byte[] sent = randomBytes(length);
        script = (request, socket) -> {
            if (request.first().contains("chunked")) {
                write(socket, head("Transfer-Encoding: chunked"));
                chunked(socket, sent, chunk);
            } else {
                write(socket, head("Content-Length: " + length));
                socket.getOutputStream().write(sent);
            }
        };
        try (Client client = new Client(proxy.address().getPort())) {
            InputStream in = client.socket.getInputStream();
            for (int i = 0; i < 3; i++) {
                write(client.socket, get());
                assertArrayEquals(sent, body(in));
                write(client.socket, request("GET", "/api/chunked", "read", LONG_WAIT_SECONDS, null));
                assertArrayEquals(sent, body(in));
            }
        }
        assertEquals(1, node.connections.size());
        assertEquals(6, node.requests.size());
    }

    /** Ten unread responses, each far longer than all buffers together: backpressure must stop their nodes. */
    @Test
    void appliesBackpressureToTheNodeWhileTheClientDoesNotRead() throws Exception {
        int length = 24 * MEBIBYTE;
        AtomicLong written = new AtomicLong();
        script = (request, socket) -> {
            write(socket, head("Content-Length: " + length));
            byte[] part = new byte[MEBIBYTE / 16];
            for (int at = 0; at < length; at += part.length) {
                socket.getOutputStream().write(part);
                written.addAndGet(part.length);
            }
        };
        Client[] clients = new Client[10];
        for (int i = 0; i < clients.length; i++) {
            clients[i] = new Client(proxy.address().getPort());
            clients[i].socket.setReceiveBufferSize(64 << 10);
            write(clients[i].socket, get().replace("/api/k", "/api/" + i));
            assertEquals('H', clients[i].socket.getInputStream().read());
        }
        // Complete responses to other clients show that the event loop has run many iterations since.
        for (int i = 0; i < 200; i++) {
            try (Client probe = new Client(proxy.address().getPort())) {
                probe.ask("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
            }
        }
        assertTrue(written.get() < 10L * length * 3 / 4, "the proxy read ahead of its clients: " + written);
        for (Client client : clients) {
            client.socket.getInputStream().skipNBytes(length);
            client.close();
        }
        assertEquals(10L * length, written.get(), "bytes written by the nodes");
    }

    /** The client detects the truncation, and there is no retry, as it already received half of this response. */
    @Test
    void truncatesWithoutRetryAfterPartOfTheBody() throws Exception {
        script = (request, socket) -> {
            write(socket, head("Content-Length: " + MEBIBYTE));
            socket.getOutputStream().write(new byte[MEBIBYTE / 2]);
            socket.close();
        };
        try (Client client = new Client(proxy.address().getPort())) {
            write(client.socket, get());
            byte[] received = body(client.socket.getInputStream());
            assertTrue(received.length < MEBIBYTE, "cut");
        }
        assertEquals(1, node.requests.size());
    }

    /** After the head alone nothing was sent to the client yet, so the request is retried and the response is whole. */
    @Test
    void retriesWhenOnlyTheHeadHasArrived() throws Exception {
        CountDownLatch once = new CountDownLatch(1);
        script = (request, socket) -> {
            write(socket, head("Content-Length: " + MEBIBYTE));
            if (once.getCount() == 1) {
                once.countDown();
                socket.close();
            } else {
                socket.getOutputStream().write(new byte[MEBIBYTE]);
            }
        };
        try (Client client = new Client(proxy.address().getPort())) {
            write(client.socket, get());
            assertEquals(MEBIBYTE, body(client.socket.getInputStream()).length);
        }
        assertEquals(2, node.requests.size());
    }

    /** A truncated response that is short enough to be buffered is retried. */
    @Test
    void retriesATruncatedBufferedResponse() throws Exception {
        CountDownLatch once = new CountDownLatch(1);
        script = (request, socket) -> {
            if (once.getCount() == 1) {
                once.countDown();
                write(socket, head("Transfer-Encoding: chunked") + "10000\r\n" + "x".repeat(60_000));
                socket.close();
            } else {
                write(socket, answer(200, "", "whole"));
            }
        };
        try (Client client = new Client(proxy.address().getPort())) {
            assertEquals("whole", client.ask(get()).body());
        }
    }

    @Test
    void closesTheNodesConnectionWhenTheClientDisconnects() throws Exception {
        script = (request, socket) -> {
            write(socket, head("Content-Length: " + 32 * MEBIBYTE));
            byte[] part = new byte[MEBIBYTE];
            while (true) {
                socket.getOutputStream().write(part); // until the proxy disconnects
            }
        };
        try (Client client = new Client(proxy.address().getPort())) {
            write(client.socket, get());
            assertEquals('H', client.socket.getInputStream().read());
            assertFalse(proxy.idle());
        }
        assertNotNull(node.ended.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
        while (!proxy.idle()) {
            assertTrue(System.nanoTime() < end, "the proxy still holds the request");
        }
    }

    @Test
    void rejectsAResponseAboveTheSizeLimit() throws Exception {
        script = (request, socket) -> write(socket, head("Content-Length: " + 3_000_000_000L) + "x");
        try (Client client = new Client(proxy.address().getPort())) {
            write(client.socket, request("PUT", "/api/k", "once", LONG_WAIT_SECONDS, "x"));
            assertTrue(client.answer().first().contains("502"));
        }
        assertEquals(1, node.requests.size());
    }
}
