package gorsemast.standin;

import gorsemast.node.Daemon;
import gorsemast.node.Settings;
import gorsemast.proxy.ProxyProgram;
import gorsemast.registry.RegistryProgram;
import gorsemast.store.StoreProgram;
import gorsemast.transport.Transport;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * A whole network in one process: three core machines and some edges, each under a loopback address of its own, with
 * stand-in servers of an object service and of another one. For a first look, for tests, and for the archive of classes
 * that halves the programs' start.
 */
public final class LoopbackNetwork implements AutoCloseable {
    /** A host whose paths below {@code /objects/} are held, and below {@code /orders/} are not. */
    public static final String HOST = "demo.example";
    /** How long objects are held by the first configuration: longer than anybody waits for anything here. */
    public static final String FIRST_TTL = "120s";

    private static final int CORES = 3;
    private static final long BEAT_MILLIS = 400;
    private static final long PATIENCE_SECONDS = 20;
    /** From the first to the last port of a machine. */
    private static final int LAST_PORT = 8;
    /** Starts on other ports after one that was taken meanwhile. */
    private static final int TRIES = 5;

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, Transport.handlers()).next();
    private final String net;
    private final int port;
    private final Path data;
    private final List<InetSocketAddress> controls = new ArrayList<>();
    private final List<InetSocketAddress> fronts = new ArrayList<>();
    private final List<InetSocketAddress> probes = new ArrayList<>();
    private final List<StandInServer> servers = new ArrayList<>();
    private final List<Daemon> programs = new ArrayList<>();

    /**
     * One that is not started.
     *
     * @param net the first three numbers of its machines' addresses, such as {@code 127.0.7}
     * @param port the first of some ports that are free there
     * @param data where the stores' disks are
     */
    public LoopbackNetwork(String net, int port, Path data) {
        this.net = net;
        this.port = port;
        this.data = data;
        for (int i = 1; i <= CORES; i++) {
            controls.add(new InetSocketAddress(net + '.' + i, port));
        }
    }

    /**
     * One that runs on ports that the system gives, as by {@link #start}; on others where one of them is taken meanwhile.
     *
     * @param net the first three numbers of its machines' addresses
     * @param data where the stores' disks are, in a folder for each try
     * @throws IOException where it can't be started on any ports that were tried
     */
    public static LoopbackNetwork started(String net, Path data, int edges) throws IOException {
        return started(net, () -> freePort(net), data, edges);
    }

    /** Names the first port of a network. */
    interface PortSource {
        /** Another one at each call. */
        int next() throws IOException;
    }

    static LoopbackNetwork started(String net, PortSource ports, Path data, int edges) throws IOException {
        IOException taken = null;
        for (int i = 0; i < TRIES; i++) {
            LoopbackNetwork network = new LoopbackNetwork(net, ports.next(), data.resolve("ports-" + i));
            try {
                network.start(edges);
                return network;
            } catch (IOException e) {
                taken = e;
            }
        }
        throw new IOException("no free ports in " + TRIES + " tries: " + taken.getMessage(), taken);
    }

    /** A port that is free on the first machine, with room for those that follow it. */
    public static int freePort(String net) throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(net + ".1"))) {
            return Math.min(free.getLocalPort(), 0xffff - LAST_PORT);
        }
    }

    /** The settings of one machine, as the platform writes them. */
    public String settings(String ip, String name, boolean core, boolean first, Path disk) {
        StringBuilder text = new StringBuilder();
        text.append("nodeName: \"")
                .append(name)
                .append("\"\nip: \"")
                .append(ip)
                .append("\"\nzone: \"here\"\nregion: \"lo\"\n")
                .append("zones:\n  here: \"lo\"\nlistenAddrs:\n");
        if (core) {
            text.append("  control: \"").append(ip).append(':').append(port).append("\"\n");
        } else {
            text.append("  front: \"")
                    .append(ip)
                    .append(':')
                    .append(port + 1)
                    .append("\"\n  ready: \"")
                    .append(ip)
                    .append(':')
                    .append(port + 2)
                    .append("\"\n");
        }
        text.append("internalPorts:\n  - ")
                .append(port + 3)
                .append("\n  - ")
                .append(port + LAST_PORT)
                .append("\nseedNodes:\n");
        controls.forEach(control -> text.append("  - \"")
                .append(control.getAddress().getHostAddress())
                .append(':')
                .append(control.getPort())
                .append("\"\n"));
        text.append("initialBoot: ")
                .append(first)
                .append("\nlimits:\n  fileDescriptors: 4096\ndataDir: ")
                .append(disk == null ? "null" : "\"" + disk + '"')
                .append("\nheartbeat: \"")
                .append(BEAT_MILLIS)
                .append(
                        "ms\"\nfaultTolerance:\n  machineLosses: 1\ntimingBounds:\n  drain: \"2000ms\"\n  grace: \"1s\"\n")
                .append("  retryBudgetRatio: 0.2\n  retryWindow: \"10s\"\n  retrySlack: 60\n");
        return text.toString();
    }

    /**
     * Starts it all, and returns when all edges are ready with the first configuration. Where that fails, what had been started
     * is ended before it throws.
     *
     * @throws IOException where an address is taken
     * @throws IllegalStateException where it does not become ready
     */
    public void start(int edges) throws IOException {
        try {
            startAll(edges);
        } catch (IOException | RuntimeException e) {
            close();
            throw e;
        }
    }

    private void run(Daemon program) throws IOException {
        programs.add(program);
        program.start();
    }

    /** Ends all programs and servers with their threads and sockets; their disks are written no more when it returns. */
    @Override
    public void close() {
        servers.forEach(StandInServer::close);
        programs.forEach(Daemon::close);
        programs.clear();
        Daemon.shutDown(loop);
    }

    private void startAll(int edges) throws IOException {
        for (int i = 1; i <= CORES; i++) {
            Path disk = data.resolve("core-" + i);
            Files.createDirectories(disk);
            Settings settings = Settings.parse(settings(net + '.' + i, "core-" + i, true, true, disk));
            run(new StoreProgram(settings));
            run(new RegistryProgram(settings));
        }
        for (int i = 0; i < edges; i++) {
            String ip = net + '.' + (20 + i);
            run(new ProxyProgram(Settings.parse(settings(ip, "edge-" + i, false, true, null))));
            fronts.add(new InetSocketAddress(ip, port + 1));
            probes.add(new InetSocketAddress(ip, port + 2));
        }
        for (int i = 0; i < 4; i++) {
            servers.add(new StandInServer(
                    loop,
                    "i-" + i,
                    i < 2 ? "objects" : "orders",
                    "here",
                    net + '.' + (40 + i),
                    port,
                    controls,
                    BEAT_MILLIS));
        }
        until(() ->
                call(controls.get(0), "POST", "/v1/configuration/replace", Map.of(), configuration(1, FIRST_TTL)).status
                        == 200);
        until(() ->
                probes.stream().allMatch(probe -> call(probe, "GET", "/v1/readiness", Map.of(), null).status == 200));
        until(() -> call(fronts.get(0), "GET", "/objects/first", client("first"), null).status == 200);
        until(() -> call(fronts.get(0), "GET", "/orders/first", client("second"), null).status == 200);
    }

    /** What a client says beside its request. */
    public static Map<String, String> client(String id) {
        return Map.of("Host", HOST, "Attempt-Id", id, "Time-Budget", "1500");
    }

    /** A configuration of both services under a version. */
    public static byte[] configuration(int version, String ttl) {
        return ("{\"configVersion\":\"" + String.format("%08x", version) + "\",\"backendTable\":["
                        + "{\"name\":\"objects\",\"healthPath\":\"/health\",\"maxConnections\":130,\"protocol\":\"h1\",\"tls\":false,"
                        + "\"ratePerS\":880.0},{\"name\":\"orders\",\"healthPath\":\"/health\",\"maxConnections\":130}],"
                        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\","
                        + "\"idleTimeout\":\"15000ms\"},\"virtualHosts\":[{\"hostname\":\"" + HOST
                        + "\",\"pathRules\":["
                        + "{\"name\":\"objects\",\"pathPrefix\":\"/objects/\",\"routeType\":\"cacheable\",\"timeout\":\"1500ms\","
                        + "\"targetLatency\":\"100ms\",\"priority\":1,\"weightedBackends\":[{\"backend\":\"objects\",\"weight\":1}],"
                        + "\"maxAttempts\":2,\"cacheTtl\":\"" + ttl + "\"},"
                        + "{\"name\":\"orders\",\"pathPrefix\":\"/orders/\",\"routeType\":\"idempotent\",\"timeout\":\"1500ms\","
                        + "\"targetLatency\":\"200ms\",\"priority\":2,\"backend\":\"orders\",\"maxAttempts\":2},"
                        + "{\"name\":\"pay\",\"pathPrefix\":\"/orders/pay/\",\"routeType\":\"non_idempotent\",\"timeout\":\"1500ms\","
                        + "\"targetLatency\":\"200ms\",\"priority\":1,\"backend\":\"orders\",\"maxAttempts\":2}]}]}")
                .getBytes(StandardCharsets.UTF_8);
    }

    /** An answer; status 0 for none. */
    public record Answer(int status, byte[] body) {
        /** Its body as text. */
        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** A call that is waited for; not on a loop of the network. */
    public Answer call(InetSocketAddress to, String method, String path, Map<String, String> headers, byte[] body) {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        HttpCall.send(
                loop, to, method, path, headers, body, (status, bytes) -> answer.complete(new Answer(status, bytes)));
        try {
            return answer.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            return new Answer(0, new byte[0]);
        }
    }

    /** Something that becomes true. */
    public interface Condition {
        /** Whether it is. */
        boolean holds();
    }

    /** Asks until it holds; throws where that takes too long. */
    public static void until(Condition condition) {
        long last = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
        while (!condition.holds()) {
            if (System.nanoTime() > last) {
                throw new IllegalStateException("did not come about in " + PATIENCE_SECONDS + " s");
            }
            Thread.onSpinWait();
            java.util.concurrent.locks.LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(20));
        }
    }

    /** One more server, at an address of its own, whose last number is given. */
    public StandInServer newServer(String id, String service, int number) throws IOException {
        return new StandInServer(loop, id, service, "here", net + '.' + number, port, controls, BEAT_MILLIS);
    }

    /** The port of all machines' first service, for a server that takes another one's address. */
    public InetSocketAddress address(int number) {
        return new InetSocketAddress(net + '.' + number, port);
    }

    /** Where proxies take links. */
    public int linkPort() {
        return port + 3;
    }

    /** Where edges ask each other for objects. */
    public int objectsPort() {
        return port + 6;
    }

    /** Where operators call. */
    public List<InetSocketAddress> controls() {
        return controls;
    }

    /** Where clients call. */
    public List<InetSocketAddress> fronts() {
        return fronts;
    }

    /** The stand-in servers: two of objects, two of orders. */
    public List<StandInServer> servers() {
        return servers;
    }
}
