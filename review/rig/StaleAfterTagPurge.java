package rig;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Objects that carry a tag change and are purged by that tag while a slow server still works on reads that clients sent
 * before. Clients then ask for them later than {@code purge} after the acknowledgement.
 */
public final class StaleAfterTagPurge {
    private static final int CORES = 3;
    private static final int EDGES = 3;
    private static final int OBJECTS = 36;
    /** One of them turns slow: a share of 0.143, where the site gives 0.16. */
    private static final int SERVERS = 7;

    private static final String SLOW_SERVER = "i-7f3a91c2";
    private static final double PURGE_SECONDS = 2.0;
    /** The work of an ordinary object and of a large one, by the site's work_ms: mean 120, at most 690. */
    private static final long WORK_MILLIS = 120;

    private static final long LARGE_WORK_MILLIS = 690;
    /** srv_slow: this many times the work. */
    private static final double SLOW = 5;

    private static final double SLOW_SECONDS = 6.5;

    private static final String HOST = "ficu95.example";
    private static final String TAG = "t03a9f1";

    private record Served(String object, int edge, double sentAt, double answeredAt, int status, int version) {}

    private final Record record;
    private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Map<String, Integer> versions = new ConcurrentHashMap<>();
    private final List<Served> served = new ArrayList<>();
    private final AtomicInteger attempts = new AtomicInteger();
    private volatile boolean slow;

    private StaleAfterTagPurge(Record record) {
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
                code = new StaleAfterTagPurge(record).run();
            } catch (IOException | RuntimeException e) {
                record.line("could not run: %s", e);
            }
            record.line("exit code %d", code);
        }
        System.exit(code);
    }

    private static String configuration() {
        return "{\"configVersion\":\"00000007\",\"backendTable\":[{\"name\":\"huvo11a\",\"healthPath\":\"/health\","
                + "\"maxConnections\":65,\"protocol\":\"h1\",\"tls\":false,\"ratePerS\":1180.0}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\","
                + "\"idleTimeout\":\"15000ms\"},\"virtualHosts\":[{\"hostname\":\"" + HOST + "\",\"pathRules\":["
                + "{\"name\":\"r-x73d3zj\",\"pathPrefix\":\"/lohu930/\",\"routeType\":\"cacheable\","
                + "\"timeout\":\"6000ms\",\"targetLatency\":\"600ms\",\"priority\":1,\"backend\":\"huvo11a\","
                + "\"maxAttempts\":2,\"cacheTtl\":\"20s\"}]}]}";
    }

    private Server.Answer work(Server server, Http.Message request) throws InterruptedException {
        String path = request.start().split(" ")[1];
        if (path.equals("/health")) {
            return new Server.Answer(200, List.of("Instance-Id: " + server.id()), new byte[0]);
        }
        int version = versions.getOrDefault(path, 1);
        boolean large = path.contains("large");
        double factor = slow && server.id().equals(SLOW_SERVER) ? SLOW : 1;
        long millis = (long) ((large ? LARGE_WORK_MILLIS : WORK_MILLIS) * factor);
        if (large) {
            record.line("server %s begins %s at version %d, %d ms of work", server.id(), path, version, millis);
        }
        Thread.sleep(millis);
        return new Server.Answer(
                200,
                List.of("ETag: \"v" + version + "\"", "Object-Tags: " + (large ? TAG : "t000000")),
                ("version " + version + ' ' + path + '\n').getBytes(StandardCharsets.UTF_8));
    }

    private Served get(Network network, int edge, String path) {
        String attempt = String.format("%016x", 0x9c41d07b00000000L + attempts.incrementAndGet());
        double sentAt = record.now();
        int status = 0;
        int version = 0;
        try (Http http = Http.connect(network.front(edge), 6_500)) {
            sentAt = record.now();
            http.request("GET", path, HOST, new byte[0], "Attempt-Id: " + attempt, "Time-Budget: 6000");
            Http.Message answer = http.read();
            status = answer == null ? 0 : answer.status();
            version = status == 200 ? Integer.parseInt(answer.text().split(" ")[1]) : 0;
        } catch (IOException e) {
            // no answer
        }
        Served one = new Served(path, edge, sentAt, record.now(), status, version);
        synchronized (served) {
            served.add(one);
        }
        return one;
    }

    private void inBackground(Runnable task) {
        Thread thread = new Thread(null, task, "client", 256 << 10);
        thread.setDaemon(true);
        thread.start();
    }

    private int run() throws IOException, InterruptedException {
        try (Network network = new Network(record, Map.of("syncTime", "\"6s\"", "retrySlack", "210"))) {
            network.startAll(CORES, EDGES);
            List<Server> servers = new ArrayList<>();
            for (int number = 0; number < SERVERS; number++) {
                String id = number == 0 ? SLOW_SERVER : "i-b4158f5" + number;
                servers.add(new Server(record, network, id, "huvo11a", 40 + number, 1 + number % 3, 32, CORES, this::work));
            }
            try {
                network.order("configuration 7", "/v1/configuration/replace", configuration(), CORES, 20);
                network.awaitReady(EDGES, 20);
                Thread.sleep(4_000); // contact, and heartbeats of all servers
                return play(network);
            } finally {
                for (Server server : servers) {
                    server.close();
                }
            }
        }
    }

    private int play(Network network) throws IOException, InterruptedException {
        // Ordinary reads of other objects go on all the time.
        boolean[] over = new boolean[1];
        for (int reader = 0; reader < 6; reader++) {
            int number = reader;
            inBackground(() -> {
                for (int i = 0; !over[0]; i++) {
                    get(network, 20 + number % EDGES, "/lohu930/plain-" + number + '-' + i);
                }
            });
        }
        Thread.sleep(3_000);
        slow = trouble;
        record.line(slow ? "server " + SLOW_SERVER + " turns slow, %.0f times the work" : "no server turns slow", SLOW);
        inBackground(() -> {
            try {
                Thread.sleep((long) (1_000 * SLOW_SECONDS));
                slow = false;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        Thread.sleep(500);
        CountDownLatch done = new CountDownLatch(2 * OBJECTS * EDGES);
        for (int object = 0; object < OBJECTS; object++) {
            for (int edge = 20; edge < 20 + EDGES; edge++) {
                String path = "/lohu930/large-" + object;
                int at = edge;
                inBackground(() -> {
                    get(network, at, path);
                    done.countDown();
                });
            }
        }
        Thread.sleep(150);
        for (int object = 0; object < OBJECTS; object++) {
            versions.put("/lohu930/large-" + object, 2);
        }
        double changedAt = record.now();
        record.line("all large objects change to version 2");
        double acknowledgedAt =
                network.order("purge of tag " + TAG, "/v1/purge", "{\"tag\":\"" + TAG + "\"}", CORES, 4);
        Thread.sleep((long) (1_000 * (acknowledgedAt + PURGE_SECONDS + 0.1 - record.now())));
        record.line("clients ask for the large objects again, %.3f s after the acknowledgement", record.now() - acknowledgedAt);
        for (int object = 0; object < OBJECTS; object++) {
            for (int edge = 20; edge < 20 + EDGES; edge++) {
                String path = "/lohu930/large-" + object;
                int at = edge;
                inBackground(() -> {
                    get(network, at, path);
                    done.countDown();
                });
            }
        }
        done.await(14, TimeUnit.SECONDS);
        over[0] = true;
        int stale = 0;
        int answered = 0;
        synchronized (served) {
            for (Served one : served) {
                if (!one.object.contains("large")) {
                    continue;
                }
                boolean late = one.sentAt > acknowledgedAt + PURGE_SECONDS;
                boolean broken = late && one.status == 200 && one.version < 2;
                answered += late && one.status == 200 ? 1 : 0;
                stale += broken ? 1 : 0;
                record.line(
                        one.sentAt,
                        "client sends GET %s to edge %d; answered %d at %.3f with version %d%s",
                        one.object,
                        one.edge,
                        one.status,
                        one.answeredAt,
                        one.version,
                        broken
                                ? String.format(
                                        java.util.Locale.ROOT,
                                        "  STALE: replaced at %.3f, purge acknowledged at %.3f",
                                        changedAt,
                                        acknowledgedAt)
                                : "");
            }
        }
        record.line("%d of %d successes on requests later than purge after the acknowledgement are stale", stale, answered);
        return stale > 0 ? 1 : answered > 0 ? 0 : 2;
    }
}
