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
 * A complete network in one process: three core machines and some edges, each on its own loopback address, with stand-in
 * servers of two services. Used for demonstration, for tests, and for the class archive that halves the start time of the
 * programs.
 */
public final class LoopbackNetwork implements AutoCloseable {
    /** Host whose paths below {@code /objects/} are cacheable and those below {@code /orders/} are not. */
    public static final String HOST = "demo.example";
    /** Cache TTL of the first configuration, longer than any timeout here. */
    public static final String FIRST_TTL = "120s";

    private static final int CORES = 3;
    private static final long HEARTBEAT_MILLIS = 400;
    private static final long TIMEOUT_SECONDS = 20;
    /** Offset of the last port of a machine from the first. */
    private static final int LAST_PORT = 8;
    /** Number of attempts when a port is taken meanwhile. */
    private static final int PORT_ATTEMPTS = 5;

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, Transport.handlers()).next();
    private final String net;
    private final int port;
    private final Path data;
    private final List<InetSocketAddress> controlAddresses = new ArrayList<>();
    private final List<InetSocketAddress> clientAddresses = new ArrayList<>();
    private final List<InetSocketAddress> readinessAddresses = new ArrayList<>();
    private final List<StandInServer> servers = new ArrayList<>();
    private final List<Daemon> programs = new ArrayList<>();

    /**
     * Creates a network that is not started.
     *
     * @param net the first three numbers of its machines' addresses, such as {@code 127.0.7}
     * @param port the first of several free ports
     * @param data data directory of the stores
     */
    public LoopbackNetwork(String net, int port, Path data) {
        this.net = net;
        this.port = port;
        this.data = data;
        for (int i = 1; i <= CORES; i++) {
            controlAddresses.add(new InetSocketAddress(net + '.' + i, port));
        }
    }

    /**
     * Starts a network on free ports as by {@link #start}, retrying on others if one is taken meanwhile.
     *
     * @param net the first three numbers of its machines' addresses
     * @param data data directory of the stores, with a folder for each attempt
     * @throws IOException if it could not be started on any of the ports tried
     */
    public static LoopbackNetwork started(String net, Path data, int edges) throws IOException {
        return started(net, () -> freePort(net), data, edges);
    }

    /** Supplies the first port of a network. */
    interface PortSource {
        /** Returns another port at each call. */
        int next() throws IOException;
    }

    static LoopbackNetwork started(String net, PortSource ports, Path data, int edges) throws IOException {
        IOException lastFailure = null;
        for (int i = 0; i < PORT_ATTEMPTS; i++) {
            LoopbackNetwork network = new LoopbackNetwork(net, ports.next(), data.resolve("ports-" + i));
            try {
                network.start(edges);
                return network;
            } catch (IOException e) {
                lastFailure = e;
            }
        }
        throw new IOException(
                "no free ports in " + PORT_ATTEMPTS + " attempts: " + lastFailure.getMessage(), lastFailure);
    }

    /** Returns a free port on the first machine, low enough for the ports that follow it. */
    public static int freePort(String net) throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(net + ".1"))) {
            return Math.min(free.getLocalPort(), 0xffff - LAST_PORT);
        }
    }

    /** Returns the settings of one machine in the format of the platform. */
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
        controlAddresses.forEach(control -> text.append("  - \"")
                .append(control.getAddress().getHostAddress())
                .append(':')
                .append(control.getPort())
                .append("\"\n"));
        text.append("initialBoot: ")
                .append(first)
                .append("\nlimits:\n  fileDescriptors: 4096\ndataDir: ")
                .append(disk == null ? "null" : "\"" + disk + '"')
                .append("\nheartbeat: \"")
                .append(HEARTBEAT_MILLIS)
                .append(
                        "ms\"\nfaultTolerance:\n  machineLosses: 1\ntimingBounds:\n  drain: \"2000ms\"\n  grace: \"1s\"\n")
                .append("  retryBudgetRatio: 0.2\n  retryWindow: \"10s\"\n  retrySlack: 60\n");
        return text.toString();
    }

    /**
     * Starts everything and returns when all edges are ready with the first configuration. On failure, it stops what it had
     * started before it throws.
     *
     * @throws IOException if an address is taken
     * @throws IllegalStateException if the network does not become ready
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

    /** Stops all programs and servers with their threads and sockets; their disks are no longer written when it returns. */
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
            clientAddresses.add(new InetSocketAddress(ip, port + 1));
            readinessAddresses.add(new InetSocketAddress(ip, port + 2));
        }
        for (int i = 0; i < 4; i++) {
            servers.add(new StandInServer(
                    loop,
                    "i-" + i,
                    i < 2 ? "objects" : "orders",
                    "here",
                    net + '.' + (40 + i),
                    port,
                    controlAddresses,
                    HEARTBEAT_MILLIS));
        }
        until(() -> call(
                                controlAddresses.get(0),
                                "POST",
                                "/v1/configuration/replace",
                                Map.of(),
                                configuration(1, FIRST_TTL))
                        .status
                == 200);
        until(() -> readinessAddresses.stream()
                .allMatch(probe -> call(probe, "GET", "/v1/readiness", Map.of(), null).status == 200));
        until(() -> call(clientAddresses.get(0), "GET", "/objects/first", client("first"), null).status == 200);
        until(() -> call(clientAddresses.get(0), "GET", "/orders/first", client("second"), null).status == 200);
    }

    /** Headers of a client request. */
    public static Map<String, String> client(String id) {
        return Map.of("Host", HOST, "Attempt-Id", id, "Time-Budget", "1500");
    }

    /** Returns a configuration of both services with a version. */
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

    /** A response; status 0 means none. */
    public record Answer(int status, byte[] body) {
        /** Its body as text. */
        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Makes a call and waits for the response; must not run on an event loop of the network. */
    public Answer call(InetSocketAddress to, String method, String path, Map<String, String> headers, byte[] body) {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        HttpCall.send(
                loop, to, method, path, headers, body, (status, bytes) -> answer.complete(new Answer(status, bytes)));
        try {
            return answer.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            return new Answer(0, new byte[0]);
        }
    }

    /** A condition to wait for. */
    public interface Condition {
        /** Whether it holds. */
        boolean holds();
    }

    /** Polls until the condition holds; throws on timeout. */
    public static void until(Condition condition) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!condition.holds()) {
            if (System.nanoTime() > deadline) {
                throw new IllegalStateException("condition did not hold within " + TIMEOUT_SECONDS + " s");
            }
            Thread.onSpinWait();
            java.util.concurrent.locks.LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(20));
        }
    }

    /** Starts another server on an address with the given last number. */
    public StandInServer newServer(String id, String service, int number) throws IOException {
        return new StandInServer(
                loop, id, service, "here", net + '.' + number, port, controlAddresses, HEARTBEAT_MILLIS);
    }

    /** The port of all machines' first service, for a server that takes another one's address. */
    public InetSocketAddress address(int number) {
        return new InetSocketAddress(net + '.' + number, port);
    }

    /** Port on which proxies accept links. */
    public int linkPort() {
        return port + 3;
    }

    /** Port on which edges request objects from each other. */
    public int objectsPort() {
        return port + 6;
    }

    /** Addresses for operators. */
    public List<InetSocketAddress> controls() {
        return controlAddresses;
    }

    /** Addresses for clients. */
    public List<InetSocketAddress> fronts() {
        return clientAddresses;
    }

    /** The stand-in servers: two for objects, two for orders. */
    public List<StandInServer> servers() {
        return servers;
    }
}
