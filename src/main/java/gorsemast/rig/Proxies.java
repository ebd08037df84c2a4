package gorsemast.rig;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gorsemast.admin.AdminCall;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Starts, stops, kills and queries the processes of the rig. */
final class Proxies implements AutoCloseable {
    /** Below the ephemeral port range, so that a free port stays free until it is bound. */
    private static final int MIN_PORT = 15_000;

    private static final int PORT_COUNT = 16_000;
    /** Time for which new connections still arrive after SIGTERM, as on the platform. */
    private static final long DRAIN_VISIBLE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private static final int PERIOD_MILLIS = 300;

    /** One process and its simulated machine. */
    final class Proxy {
        final int number;
        final String name;
        final int clientPort = freePort();
        final int adminPort = freePort();
        final int datagramPort = freePort();
        volatile Process process;
        volatile boolean stopped;
        /** The machine has disappeared with the process and refuses nothing. */
        volatile boolean machineGone;
        /** It received SIGTERM long enough ago for a load balancer to have noticed. */
        volatile boolean leaving;
        /** Whether it takes part in the fleet view. */
        volatile boolean peers = true;
        /** The list it starts with, in the format of the discovery service; null for the current one. */
        volatile String startList;

        private int starts;

        Proxy(int number) throws IOException {
            this.number = number;
            this.name = "p" + number;
        }

        /** Whether the process exists, running or suspended. */
        boolean alive() {
            return process != null && process.isAlive();
        }

        boolean running() {
            return alive() && !stopped;
        }

        /** Whether clients are sent to it. */
        boolean acceptsClients() {
            return running() && !leaving;
        }

        void start() throws IOException {
            Path folder = Files.createDirectories(home.resolve(name + "-" + starts++));
            InetSocketAddress front =
                    relay.open(name, new InetSocketAddress(InetAddress.getLoopbackAddress(), datagramPort));
            Files.writeString(folder.resolve("config.json"), config());
            Files.writeString(folder.resolve("gorsemast.json5"), settings(front));
            List<String> command = new ArrayList<>(List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Xshare:auto",
                    "-Xmx80m",
                    "-XX:-UsePerfData",
                    "-cp",
                    System.getProperty("java.class.path"),
                    "gorsemast.command.Gorsemast",
                    "serve",
                    "--settings",
                    folder.resolve("gorsemast.json5").toString()));
            ProcessBuilder builder = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
            builder.environment()
                    .put("PROXY_CONFIG", folder.resolve("config.json").toString());
            builder.environment().put("TMPDIR", folder.toString());
            stopped = false;
            machineGone = false;
            leaving = false;
            process = builder.start();
        }

        Path log() {
            return home.resolve(name + ".log");
        }

        /** Sends SIGKILL and waits for the process to end. */
        void kill(boolean machine) throws IOException, InterruptedException {
            machineGone = machine;
            if (!machine) {
                relay.refuse(name);
            }
            process.destroyForcibly().waitFor();
            stopped = false;
        }

        /** Sends SIGTERM and waits for the process to end. */
        void leave() throws IOException, InterruptedException {
            process.destroy();
            LockSupport.parkNanos(DRAIN_VISIBLE_NANOS);
            leaving = true;
            if (!process.waitFor(20, TimeUnit.SECONDS)) {
                throw new IOException(name + " did not exit within 20 s after SIGTERM");
            }
            relay.refuse(name);
        }

        void signal(String signal) throws IOException, InterruptedException {
            stopped = signal.equals("STOP");
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }

        /** Its fleet view; null if it does not answer. */
        JsonNode view() {
            try {
                String answer =
                        AdminCall.ask(new InetSocketAddress(InetAddress.getLoopbackAddress(), adminPort), "fleet");
                return answer.startsWith("200 ") ? JSON.readTree(answer.substring(4)) : null;
            } catch (IOException e) {
                return null;
            }
        }

        /** Its response to an admin call; empty if it does not answer. */
        String adminCall(String line) {
            try {
                return AdminCall.ask(new InetSocketAddress(InetAddress.getLoopbackAddress(), adminPort), line);
            } catch (IOException e) {
                return "";
            }
        }

        boolean ready() {
            try {
                return AdminCall.ask(new InetSocketAddress(InetAddress.getLoopbackAddress(), adminPort), "health")
                        .startsWith("200");
            } catch (IOException e) {
                return false;
            }
        }

        private String config() {
            return """
                {"name":"%s","listen":"127.0.0.1:%d","admin":"127.0.0.1:%d","discovery":"%s","seed":"%x",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":512},"known":%s,
                 "settings":{"fleet_size":%d,"locality":0,"failure_domains":["a"],"shapes":["m"],"discovery":"ask",
                  "allowed":{"conn_idle_ms":4000,"connect_timeout_ms":1000.0,"may_cancel":true,"retry_after":true,
                   "max_retry_after_ms":500.0,"send_cap":4},
                  "lanes":[
                   {"name":"read","repeat":"read_like","aim_ms":1000.0,"hard_limit_ms":%d.0,"credit":1.0},
                   {"name":"topup","repeat":"non_idempotent","aim_ms":1000.0,"hard_limit_ms":%d.0,"credit":10.0}],
                  "realms":[{"name":"acme","fraction":1.0,"quota_rps":100000.0}],
                  "rules":{"ask_within_ms":5000.0,"cold_from":0.32,"cold_ms":100.0}}}
                """
                    .formatted(
                            name,
                            clientPort,
                            adminPort,
                            standIns.discoveryAddress(),
                            number * 7919L + starts,
                            startList == null ? standIns.listDocument() : startList,
                            all.size(),
                            Clients.DEADLINE_MILLIS,
                            Clients.DEADLINE_MILLIS);
        }

        private String settings(InetSocketAddress front) {
            if (!peers) {
                return "{log: {form: 'json'}}\n";
            }
            StringBuilder seeds = new StringBuilder();
            for (int i = 0; i < Math.min(3, all.size()); i++) {
                InetSocketAddress seed = fronts.get("p" + i);
                if (seed != null) {
                    seeds.append('"')
                            .append("127.0.0.1:")
                            .append(seed.getPort())
                            .append("\", ");
                }
            }
            return """
                // one process of the rig
                {
                  log: {form: 'json'},
                  peers: {
                    listen: '127.0.0.1:%d',
                    advertise: '127.0.0.1:%d',
                    seeds: [%s],
                    cluster: 'rig', secret: 'of this day',
                    period_ms: %d, settle_ms: 1000,
                  },
                }
                """
                    .formatted(datagramPort, front.getPort(), seeds, PERIOD_MILLIS);
        }
    }

    private static final ObjectMapper JSON = new ObjectMapper();
    private final Path home;
    private final Relay relay;
    private final StandIns standIns;
    private final SplittableRandom random = new SplittableRandom(System.nanoTime());
    private final Map<String, InetSocketAddress> fronts = new java.util.concurrent.ConcurrentHashMap<>();
    final List<Proxy> all = new ArrayList<>();

    Proxies(int many, Path home, Relay relay, StandIns stands) throws IOException {
        this.home = home;
        this.relay = relay;
        this.standIns = stands;
        for (int i = 0; i < many; i++) {
            all.add(new Proxy(i));
        }
        for (Proxy proxy : all) { // open all fronts first: each process needs those of the seeds
            fronts.put(
                    proxy.name,
                    relay.open(
                            proxy.name, new InetSocketAddress(InetAddress.getLoopbackAddress(), proxy.datagramPort)));
        }
    }

    private int freePort() throws IOException {
        for (int i = 0; i < 200; i++) {
            int port = MIN_PORT + random.nextInt(PORT_COUNT);
            if (taken.add(port)) {
                try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                    return free.getLocalPort();
                } catch (IOException e) {
                    // the port is in use
                }
            }
        }
        throw new IOException("no free port between " + MIN_PORT + " and " + (MIN_PORT + PORT_COUNT));
    }

    private final java.util.Set<Integer> taken = new java.util.HashSet<>();

    @Override
    public void close() {
        for (Proxy proxy : all) {
            if (proxy.process != null) {
                proxy.process.destroyForcibly();
            }
        }
    }
}
