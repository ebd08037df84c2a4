package anisebend.net;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Blocking sockets on 127.0.0.1 that act as cache nodes, discovery service and clients in the tests. */
final class Loopback {
    /** How long a test waits for an expected event; not a requirement on speed. */
    static final int PATIENCE_SECONDS = 30;

    private static final AtomicInteger REQUESTS = new AtomicInteger();
    static final InetAddress HOST = InetAddress.getLoopbackAddress();

    private Loopback() {}

    /** An HTTP message: its first line, its headers (names in lower case) and its body. */
    record Message(String first, Map<String, String> headers, String body) {
        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** Reads the next message from a stream; null at its end. */
    static Message read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        return new Message(first, headers, new String(body, StandardCharsets.UTF_8));
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    /** Gets the socket's stream only once, as the peer may close the connection at the first byte. */
    static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    static String answer(int status, String headers, String body) {
        return "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Responds to one request on its connection. */
    interface Script {
        void answer(Message request, Socket socket) throws IOException;
    }

    /** A server with scripted responses; it records the requests it received and the connections that ended. */
    static final class Server implements AutoCloseable {
        final BlockingQueue<Message> requests = new LinkedBlockingQueue<>();
        final BlockingQueue<Socket> ended = new LinkedBlockingQueue<>();
        final List<Socket> connections = new CopyOnWriteArrayList<>();
        volatile Script script;
        private final ServerSocket listener = new ServerSocket(0, 50, HOST);
        private final Thread accepting;

        Server(Script script) throws IOException {
            this.script = script;
            accepting = thread(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    connections.add(socket);
                    thread(() -> serve(socket));
                }
            });
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void serve(Socket socket) throws IOException {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (Message request = read(in); request != null; request = read(in)) {
                    requests.add(request);
                    script.answer(request, socket);
                }
            } finally {
                ended.add(socket);
            }
        }

        /** Stops accepting; open connections stay. A thread still blocked in accept would accept one more. */
        void refuse() throws IOException, InterruptedException {
            listener.close();
            accepting.join(TimeUnit.SECONDS.toMillis(PATIENCE_SECONDS));
        }

        Message next() throws InterruptedException {
            return requests.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : connections) {
                socket.close();
            }
        }
    }

    /** Work that may encounter closed sockets when the test ends. */
    interface Work {
        void run() throws IOException;
    }

    private static Thread thread(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                return; // closed by the peer or by the test
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** A client's connection. */
    static final class Client implements AutoCloseable {
        final Socket socket;
        private final InputStream in;

        Client(int port) throws IOException {
            socket = new Socket(HOST, port);
            socket.setSoTimeout(PATIENCE_SECONDS * 1000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        Message ask(String text) throws IOException {
            write(socket, text);
            return answer();
        }

        /** Reads the next response; null if the connection has ended. */
        Message answer() throws IOException {
            return read(in);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static String request(String method, String path, String type, double seconds, String body) {
        return method + " " + path + " HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: id-"
                + REQUESTS.incrementAndGet() + "\r\n"
                + "X-Service-Class: " + type + "\r\nX-Account: acme\r\nX-Time-Left: " + seconds + "\r\n"
                + (body == null ? "" : "Idempotency-Key: key-7\r\nContent-Length: " + body.length() + "\r\n") + "\r\n"
                + (body == null ? "" : body);
    }

    static String entry(String host, String dial, String health, long born) {
        return "{\"host\":\"" + host + "\",\"dial\":\"" + dial + "\",\"site\":\"a\",\"class\":\"m\",\"block\":0,"
                + "\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":" + born + ",\"later\":[{}]}";
    }

    static String list(int seq, boolean whole, String... entries) {
        return "{\"seq\":" + seq + ",\"whole\":" + whole + ",\"hosts\":[" + String.join(",", entries) + "]}";
    }

    /** The same with an admin address, in the form the platform passes it. */
    static Map<String, String> served(Path folder, String discovery, int sockets, long idleMillis, String known)
            throws IOException {
        Map<String, String> env = new HashMap<>(environment(folder, discovery, sockets, idleMillis, known));
        env.put("PROXY_ADMIN", "127.0.0.1:0");
        env.put("TMPDIR", folder.toString());
        return env;
    }

    /** The environment of a proxy whose configuration is a file in {@code folder}. */
    static Map<String, String> environment(Path folder, String discovery, int sockets, long idleMillis, String known)
            throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(
                file,
                """
            {"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964","new":{"x":[1]},
             "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"known":%s,
             "settings":{"fleet_size":1,"locality":0,"failure_domains":["a"],"shapes":["m"],"discovery":"ask",
              "allowed":{"conn_idle_ms":%d,"connect_timeout_ms":2000.0,"may_cancel":true,"retry_after":true,
               "max_retry_after_ms":2000.0,"send_cap":6},
              "lanes":[
               {"name":"read","repeat":"read_like","aim_ms":6000.0,"hard_limit_ms":60000.0,"credit":1.0},
               {"name":"once","repeat":"non_idempotent","aim_ms":6000.0,"hard_limit_ms":60000.0,"credit":10.0},
               {"name":"keyed","repeat":"idempotency_key","group":"all","dedup_window_ms":60000.0,
                "aim_ms":6000.0,"hard_limit_ms":60000.0,"credit":2.0}],
              "realms":[{"name":"acme","fraction":1.0,"quota_rps":1000.0}],
              "rules":{"ask_within_ms":1000.0,"cold_from":0.32,"cold_ms":100.0}}}
            """
                        .formatted(discovery, sockets, known, idleMillis));
        return Map.of("PROXY_CONFIG", file.toString());
    }
}
