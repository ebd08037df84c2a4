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
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Clients send two idempotent requests on one connection before the first has been answered; the first answer is long, and
 * the client reads at the pace of its own link, which holds the edge up. The edge gets SIGTERM meanwhile.
 */
public final class PipelinedLongAnswers {
    private static final int CORES = 3;
    private static final int EDGES = 2;
    private static final int CLIENTS = 8;
    /** Answers in the order of the requests on a connection: bytes and milliseconds of work. */
    private static final int[] BODY_BYTES = {5_000_000, 300_000};

    private static final long[] WORK_MILLIS = {60, 360};
    /** How fast a client reads with the disruption; without it a client reads as fast as it can. */
    private static final int CLIENT_BYTES_PER_SECOND = 4_000_000;
    /** The route's timeout and the clients' deadline. */
    private static final int BUDGET_MILLIS = 12_000;

    private static final double GRACE_SECONDS = 10;
    private static final String HOST = "ficu95.example";

    private final Record record;
    private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Map<String, Double> runEndedAt = new ConcurrentHashMap<>();

    /** What a client saw of one request. */
    private static final class Seen {
        private final String name;
        private double sentAt;
        private double endedAt;
        private long received;
        private boolean complete;
        private String end = "";

        Seen(String name) {
            this.name = name;
        }
    }

    private PipelinedLongAnswers(Record record) {
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
                code = new PipelinedLongAnswers(record).run();
            } catch (IOException | RuntimeException e) {
                record.line("could not run: %s", e);
            }
            record.line("exit code %d", code);
        }
        System.exit(code);
    }

    private static String configuration() {
        return "{\"configVersion\":\"00000007\",\"backendTable\":[{\"name\":\"wuno96b\",\"healthPath\":\"/health\","
                + "\"maxConnections\":120,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\","
                + "\"idleTimeout\":\"15000ms\"},\"virtualHosts\":[{\"hostname\":\"" + HOST + "\",\"pathRules\":["
                + "{\"name\":\"r-i9n73hh\",\"pathPrefix\":\"/pufi791/\",\"routeType\":\"idempotent\","
                + "\"timeout\":\"12000ms\",\"targetLatency\":\"1000ms\",\"priority\":1,\"backend\":\"wuno96b\","
                + "\"maxAttempts\":2}]}]}";
    }

    private Server.Answer work(Server server, Http.Message request) throws InterruptedException {
        String path = request.start().split(" ")[1];
        int position = path.charAt(path.length() - 1) - '0';
        Thread.sleep(WORK_MILLIS[position]);
        byte[] body = new byte[BODY_BYTES[position]];
        Arrays.fill(body, (byte) 'x');
        String attempt = request.header("Attempt-Id");
        runEndedAt.put(attempt, record.now());
        record.line("server %s has run %s", server.id(), attempt);
        return new Server.Answer(200, List.of(), body);
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

        int read(byte[] into, int length) throws IOException {
            int count = in.read(into, 0, Math.min(length, 16 << 10));
            if (count < 0) {
                throw new EOFException("the connection ended");
            }
            bytes += count;
            long due = begunNanos + bytes * 1_000_000_000L / CLIENT_BYTES_PER_SECOND;
            long early = due - System.nanoTime();
            if (paced && early > 1_000_000) {
                java.util.concurrent.locks.LockSupport.parkNanos(early);
            }
            return count;
        }

        String line() throws IOException {
            StringBuilder line = new StringBuilder();
            byte[] one = new byte[1];
            for (read(one, 1); one[0] != '\n'; read(one, 1)) {
                line.append((char) one[0]);
            }
            return line.toString().trim();
        }
    }

    private void client(int number, InetSocketAddress front, List<Seen> seen, CountDownLatch sent) {
        int answered = 0;
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(32 << 10);
            socket.connect(front, 1_000);
            socket.setSoTimeout(BUDGET_MILLIS);
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < BODY_BYTES.length; i++) {
                requests.append("GET /pufi791/" + number + '-' + i + " HTTP/1.1\r\nHost: " + HOST + "\r\nAttempt-Id: "
                        + seen.get(i).name + "\r\nTime-Budget: " + BUDGET_MILLIS + "\r\n\r\n");
            }
            for (Seen one : seen) {
                one.sentAt = record.now();
            }
            socket.getOutputStream().write(requests.toString().getBytes(StandardCharsets.UTF_8));
            sent.countDown();
            Paced in = new Paced(new BufferedInputStream(socket.getInputStream(), 16 << 10), trouble);
            for (; answered < BODY_BYTES.length; answered++) {
                Seen one = seen.get(answered);
                String status = in.line();
                long length = -1;
                for (String line = in.line(); !line.isEmpty(); line = in.line()) {
                    String[] parts = line.split(": ", 2);
                    length = parts[0].toLowerCase(Locale.ROOT).equals("content-length") ? Long.parseLong(parts[1]) : length;
                }
                byte[] buffer = new byte[16 << 10];
                while (one.received < length) {
                    one.received += in.read(buffer, (int) Math.min(buffer.length, length - one.received));
                }
                one.complete = true;
                one.endedAt = record.now();
                one.end = status;
            }
        } catch (IOException e) {
            for (Seen one : seen.subList(answered, BODY_BYTES.length)) {
                one.endedAt = record.now();
                one.end = e.toString();
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

    private int run() throws IOException, InterruptedException {
        try (Network network = new Network(record, bounds())) {
            network.startAll(CORES, EDGES);
            try (Server server = new Server(record, network, "i-7f3a91c2", "wuno96b", 40, 1, 64, CORES, this::work)) {
                network.order("configuration 7", "/v1/configuration/replace", configuration(), CORES, 20);
                network.awaitReady(EDGES, 20);
                record.line("server %s beats", server.id());
                Thread.sleep(5_000); // contact, and heartbeats
                return play(network);
            }
        }
    }

    private int play(Network network) throws IOException, InterruptedException {
        record.line(trouble ? "clients read %d bytes a second" : "clients read as fast as they can", CLIENT_BYTES_PER_SECOND);
        List<List<Seen>> all = new ArrayList<>();
        CountDownLatch sent = new CountDownLatch(CLIENTS);
        List<Thread> clients = new ArrayList<>();
        for (int client = 0; client < CLIENTS; client++) {
            List<Seen> seen = new ArrayList<>();
            for (int i = 0; i < BODY_BYTES.length; i++) {
                seen.add(new Seen(String.format("9c41d07be2a3%02x%02x", client, i)));
            }
            all.add(seen);
            int number = client;
            Thread thread = new Thread(() -> client(number, network.front(20), seen, sent));
            thread.start();
            clients.add(thread);
        }
        sent.await(5, TimeUnit.SECONDS);
        Thread.sleep(200);
        double signalAt = record.now();
        network.signal("proxy20", "TERM");
        Process edge = network.process("proxy20");
        edge.onExit().thenRun(() -> record.line("edge 20 has ended, %.3f s after SIGTERM", record.now() - signalAt));
        for (Thread thread : clients) {
            thread.join(BUDGET_MILLIS + 3_000);
        }
        int unanswered = 0;
        int lost = 0;
        for (List<Seen> seen : all) {
            for (Seen one : seen) {
                boolean isLost = !one.complete && isLost(one, signalAt);
                unanswered += one.complete ? 0 : 1;
                lost += isLost ? 1 : 0;
                record.line(
                        one.sentAt,
                        "client sends GET %s to edge 20; %s: %d bytes, %s at %.3f%s",
                        one.name,
                        one.complete ? "answered" : "no complete answer",
                        one.received,
                        one.end,
                        one.endedAt,
                        isLost ? "  LOST" : "");
            }
        }
        record.line("%d of %d requests have no complete answer", unanswered, CLIENTS * BODY_BYTES.length);
        record.line("%d of them are lost around the SIGTERM", lost);
        return lost > 0 ? 1 : 0;
    }

    /**
     * The rule: the request was passed on to a server, and its connection ends from SIGTERM until 1 s after grace without a
     * complete answer. Excused are the deadline and the timeout, and a server at work in the second half of grace.
     */
    private boolean isLost(Seen one, double signalAt) {
        Double runEnd = runEndedAt.get(one.name);
        return runEnd != null
                && one.endedAt >= signalAt
                && one.endedAt <= signalAt + GRACE_SECONDS + 1
                && one.endedAt < one.sentAt + BUDGET_MILLIS / 1_000.0
                && runEnd < signalAt + GRACE_SECONDS / 2;
    }
}
