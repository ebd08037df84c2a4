package rig;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients ask for cacheable objects, several requests on one connection before the first has been answered, and read no
 * faster than their own link lets them. What an edge has written for them is held up meanwhile.
 */
public final class SlowReaders {
    private static final int CORES = 3;
    private static final int EDGES = 2;
    private static final int CLIENTS = 24;
    /** How many requests a client sends on its connection, and how many of them it keeps under way. */
    private static final int REQUESTS = 48;

    private static final int PIPELINED = 12;

    /** Between the starts of two clients. */
    private static final long STAGGER_MILLIS = 250;
    /** The objects' sizes: within the site's resp_bytes, at most 720,000. */
    private static final int[] BODY_BYTES = {150_000, 230_000, 310_000, 390_000, 470_000, 550_000, 630_000, 700_000};
    /** How fast a client reads with the disruption; without it a client reads as fast as it can. */
    private static final int BYTES_PER_SECOND = 4_000_000;
    /** The deadline of the clients and the timeout of the route. */
    private static final int BUDGET_MILLIS = 12_000;

    private static final int BYSTANDER_MILLIS = 100;
    private static final String HOST = "ficu95.example";

    private final Record record;
    private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final AtomicInteger right = new AtomicInteger();
    private final AtomicInteger mixed = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();

    private SlowReaders(Record record) {
        this.record = record;
    }

    public static void main(String[] args) throws Exception {
        Thread watchdog = new Thread(() -> {
            try {
                TimeUnit.SECONDS.sleep(100);
            } catch (InterruptedException e) {
                return;
            }
            System.err.println("takes too long");
            System.exit(2);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        int code = 2;
        try (Record record = new Record(Path.of(args[0], "record.txt"))) {
            try {
                code = new SlowReaders(record).run();
            } catch (IOException | RuntimeException e) {
                record.line("could not run: %s", e);
            }
            record.line("exit code %d", code);
        }
        System.exit(code);
    }

    private static String configuration() {
        return "{\"configVersion\":\"00000007\",\"backendTable\":[{\"name\":\"huvo11a\",\"healthPath\":\"/health\","
                + "\"maxConnections\":120,\"protocol\":\"h1\",\"tls\":false,\"ratePerS\":510.0}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\","
                + "\"idleTimeout\":\"15000ms\"},\"virtualHosts\":[{\"hostname\":\"" + HOST + "\",\"pathRules\":["
                + "{\"name\":\"r-i9n73hh\",\"pathPrefix\":\"/pufi791/\",\"routeType\":\"cacheable\","
                + "\"timeout\":\"12000ms\",\"targetLatency\":\"800ms\",\"priority\":1,\"backend\":\"huvo11a\","
                + "\"maxAttempts\":2,\"cacheTtl\":\"20s\"}]}]}";
    }

    private static String path(int object) {
        return "/pufi791/" + object;
    }

    private static byte[] body(String path) {
        int object = path.charAt(path.length() - 1) - '0';
        byte[] body = new byte[object < BODY_BYTES.length ? BODY_BYTES[object] : 100];
        byte[] pattern = (path + ' ').getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < body.length; i++) {
            body[i] = pattern[i % pattern.length];
        }
        return body;
    }

    private Server.Answer work(Server server, Http.Message request) throws InterruptedException {
        Thread.sleep(180);
        return new Server.Answer(200, List.of("ETag: \"1\"", "Object-Tags: t000000"), body(request.start().split(" ")[1]));
    }

    /** Reads at the client's own pace. */
    private static final class Paced {
        private final InputStream in;
        private final boolean paced;
        private final long begunNanos = System.nanoTime();
        private long bytes;

        Paced(InputStream in, boolean paced) {
            this.in = in;
            this.paced = paced;
        }

        int read(byte[] into, int offset, int length) throws IOException {
            int count = in.read(into, offset, Math.min(length, 16 << 10));
            if (count < 0) {
                throw new EOFException("the connection ended");
            }
            bytes += count;
            long early = begunNanos + bytes * 1_000_000_000L / BYTES_PER_SECOND - System.nanoTime();
            if (paced && early > 1_000_000) {
                java.util.concurrent.locks.LockSupport.parkNanos(early);
            }
            return count;
        }

        String line() throws IOException {
            StringBuilder line = new StringBuilder();
            byte[] one = new byte[1];
            for (read(one, 0, 1); one[0] != '\n'; read(one, 0, 1)) {
                line.append((char) one[0]);
            }
            return line.toString().trim();
        }
    }

    private static String attempt(int client, int position) {
        return String.format("9c41d07be2a3%02x%02x", client, position);
    }

    /** One answer as it came. */
    private record Got(String status, String attempt, byte[] body) {}

    private static Got read(Paced in) throws IOException {
        String status = in.line();
        String attempt = "";
        int length = 0;
        for (String line = in.line(); !line.isEmpty(); line = in.line()) {
            String[] parts = line.split(": ", 2);
            length = parts[0].equalsIgnoreCase("Content-Length") ? Integer.parseInt(parts[1]) : length;
            attempt = parts[0].equalsIgnoreCase("Attempt-Id") ? parts[1] : attempt;
        }
        byte[] body = new byte[length];
        for (int at = 0; at < length; ) {
            at += in.read(body, at, length - at);
        }
        return new Got(status, attempt, body);
    }

    /** Records an answer to the request for a path. */
    private void judge(String who, String path, String attempt, Got got) {
        boolean success = got.status.startsWith("HTTP/1.1 2");
        boolean own = got.attempt.equals(attempt);
        boolean whole = Arrays.equals(got.body, body(path));
        if (!success) {
            refused.incrementAndGet();
            record.line("%s: GET %s %s is answered %s", who, path, attempt, got.status);
        } else if (own && whole) {
            right.incrementAndGet();
        } else {
            mixed.incrementAndGet();
            String text = new String(got.body, StandardCharsets.UTF_8);
            record.line(
                    "%s: GET %s %s is answered %s with Attempt-Id %s, %d bytes that begin with '%s'%s  MIXED",
                    who,
                    path,
                    attempt,
                    got.status,
                    got.attempt,
                    got.body.length,
                    text.substring(0, Math.min(11, text.length())),
                    text.contains("HTTP/1.1 ") ? " and hold another answer's head" : "");
        }
    }

    private void client(int number, InetSocketAddress front) {
        String who = "client " + number;
        int answered = 0;
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(32 << 10);
            socket.connect(front, 1_000);
            socket.setSoTimeout(BUDGET_MILLIS);
            record.line("%s connects to edge 20, keeps %d requests under way, %d in all", who, PIPELINED, REQUESTS);
            Paced in = new Paced(new BufferedInputStream(socket.getInputStream(), 16 << 10), trouble);
            for (int asked = 0; answered < REQUESTS; answered++) {
                StringBuilder requests = new StringBuilder();
                for (; asked < Math.min(REQUESTS, answered + PIPELINED); asked++) {
                    requests.append("GET " + path((number + asked) % BODY_BYTES.length) + " HTTP/1.1\r\nHost: " + HOST
                            + "\r\nAttempt-Id: " + attempt(number, asked) + "\r\nTime-Budget: " + BUDGET_MILLIS
                            + "\r\n\r\n");
                }
                socket.getOutputStream().write(requests.toString().getBytes(StandardCharsets.UTF_8));
                judge(who, path((number + answered) % BODY_BYTES.length), attempt(number, answered), read(in));
            }
            record.line("%s has %d answers", who, answered);
        } catch (IOException | RuntimeException e) {
            unanswered.addAndGet(REQUESTS - answered);
            record.line("%s: %d of %d answers, then %s", who, answered, REQUESTS, e);
        }
    }

    /** A client that asks for a small object again and again, one request at a time, and reads at once. */
    private void bystander(InetSocketAddress front, boolean[] over) {
        String path = path(8);
        for (int i = 0; !over[0]; i++) {
            String attempt = attempt(255, i % 256);
            try (Http http = Http.connect(front, 2_000)) {
                http.request("GET", path, HOST, new byte[0], "Attempt-Id: " + attempt, "Time-Budget: 2000");
                Http.Message answer = http.read();
                if (answer == null) {
                    throw new EOFException("closed");
                }
                String id = answer.header("Attempt-Id");
                judge("bystander", path, attempt, new Got(answer.start(), id == null ? "" : id, answer.body()));
                Thread.sleep(BYSTANDER_MILLIS);
            } catch (IOException e) {
                unanswered.incrementAndGet();
                record.line("bystander: no answer to GET %s, %s", path, e);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private int run() throws IOException, InterruptedException {
        try (Network network = new Network(record, bounds())) {
            network.startAll(CORES, EDGES);
            try (Server server = new Server(record, network, "i-7f3a91c2", "huvo11a", 40, 1, 32, CORES, this::work)) {
                network.order("configuration 7", "/v1/configuration/replace", configuration(), CORES, 20);
                network.awaitReady(EDGES, 20);
                record.line("server %s beats", server.id());
                Thread.sleep(5_000); // contact, and heartbeats
                return play(network);
            }
        }
    }

    /** The bounds of the site reistegoed-net-large. */
    private static Map<String, String> bounds() {
        return Map.of(
                "contact", "\"4000ms\"",
                "syncTime", "\"6s\"",
                "drain", "\"2500ms\"",
                "grace", "\"10s\"",
                "configApply", "\"2500ms\"",
                "stretchMax", "\"6000ms\"",
                "retrySlack", "228");
    }

    private int play(Network network) throws IOException, InterruptedException {
        boolean[] over = new boolean[1];
        Thread bystander = new Thread(() -> bystander(network.front(20), over));
        bystander.start();
        record.line(trouble ? "clients read %d bytes a second" : "clients read as fast as they can", BYTES_PER_SECOND);
        List<Thread> clients = new ArrayList<>();
        for (int client = 0; client < CLIENTS; client++) {
            int number = client;
            Thread thread = new Thread(() -> client(number, network.front(20)));
            thread.start();
            clients.add(thread);
            Thread.sleep(STAGGER_MILLIS);
        }
        for (Thread thread : clients) {
            thread.join(TimeUnit.SECONDS.toMillis(60));
        }
        over[0] = true;
        bystander.join(5_000);
        record.line(
                "%d right, %d MIXED, %d answered with another status, %d without a whole answer",
                right.get(), mixed.get(), refused.get(), unanswered.get());
        return mixed.get() > 0 ? 1 : right.get() > 0 ? 0 : 2;
    }
}
