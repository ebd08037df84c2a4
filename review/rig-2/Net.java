import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the project's programs as separate processes, started by the commands of the
 * deploy file with settings as the platform writes them. Three core machines run a registry and a store each.
 */
final class Net implements AutoCloseable {
    static final int CORES = 3;
    private static final Pattern RUN = Pattern.compile("^run = \"([^\"]*)\"$", Pattern.MULTILINE);

    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    final String prefix;
    final int port;
    /** The relay between machines; null where all reach each other directly. */
    Relay relay;
    int edgeDescriptors = 4_100;
    final Map<String, Process> processes = new java.util.concurrent.ConcurrentHashMap<>();
    private final Map<String, String> settings = new java.util.HashMap<>();

    Net() throws IOException {
        folder = Files.createTempDirectory("review-2-");
        int third = 1 + (int) (ProcessHandle.current().pid() % 250);
        prefix = "127.77." + third + ".";
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(prefix + "1"))) {
            port = Math.min(free.getLocalPort(), 60_000);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    String core(int i) {
        return prefix + (1 + i);
    }

    String edge(int i) {
        return prefix + (20 + i);
    }

    InetSocketAddress control(int i) {
        return new InetSocketAddress(core(i), port);
    }

    InetSocketAddress front(int i) {
        return new InetSocketAddress(edge(i), port + 1);
    }

    InetSocketAddress ready(int i) {
        return new InetSocketAddress(edge(i), port + 2);
    }

    List<InetSocketAddress> controls() {
        List<InetSocketAddress> all = new ArrayList<>();
        for (int i = 0; i < CORES; i++) {
            all.add(control(i));
        }
        return all;
    }

    private String text(String machine, String program, boolean core, String ip, String zone, boolean first) {
        StringBuilder t = new StringBuilder();
        t.append("nodeName: \"" + machine + "\"\nrole: \"" + program + "\"\n");
        t.append("machineClass: \"" + (core ? "shield" : "edge") + "\"\nserves:\n");
        t.append(core ? "  - \"control_plane\"\n" : "  - \"edge\"\n");
        t.append("ip: \"" + ip + "\"\nzone: \"" + zone + "\"\nregion: \"lo\"\nzones:\n  z1: \"lo\"\n  z2: \"lo\"\n  z3: \"lo\"\n");
        t.append("listenAddrs:\n");
        if (core) {
            t.append("  control: \"" + ip + ':' + port + "\"\n");
        } else {
            t.append("  front: \"" + ip + ':' + (port + 1) + "\"\n  ready: \"" + ip + ':' + (port + 2) + "\"\n");
        }
        int internal = internal(core && relay != null ? machine : "edge");
        t.append("internalPorts:\n  - " + internal + "\n  - " + (internal + 15) + "\nseedNodes:\n");
        for (int i = 0; i < CORES; i++) {
            t.append("  - \"" + core(i) + ':' + port + "\"\n");
        }
        t.append("initialBoot: " + first + "\nlossCounted: " + core + "\n");
        t.append("limits:\n  cpuShare: " + (core ? "0.9" : "0.6") + "\n  cpuCores: 1\n  memoryMb: " + (core ? 426 : 430)
                + "\n  fileDescriptors: " + (core ? 4096 : edgeDescriptors) + "\n  linkMbps: 1000.0\n  diskMb: " + (core ? 256 : 0)
                + "\n");
        t.append("dataDir: " + (core ? "\"" + folder.resolve(machine + "-" + program) + "\"" : "null") + "\n");
        t.append("discoverySource: \"registry\"\nentryType: \"virtual_ip\"\nheartbeat: \"1500ms\"\n");
        t.append("activeContracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"retry\"\n");
        t.append("  - \"recover\"\n  - \"cache\"\n");
        t.append("faultTolerance:\n  machineLosses: 1\n  zones: 0\n  regionLosses: 0\n");
        t.append("timingBounds:\n  seedLag: \"3s\"\n  addressReuse: \"2s\"\n  contact: \"3000ms\"\n  ack: \"4000ms\"\n");
        t.append("  syncTime: \"4s\"\n  drain: \"2000ms\"\n  grace: \"6s\"\n  lossSlack: \"200ms\"\n");
        t.append("  configApply: \"2000ms\"\n  downgradeSlack: \"250ms\"\n  stretchMax: \"5000ms\"\n");
        t.append("  retryBudgetRatio: 0.2\n  retryWindow: \"10s\"\n  retrySlack: 60\n  purge: \"2000ms\"\n");
        t.append("  staleSlack: \"2s\"\n  originWindow: \"5s\"\n  originOverrun: 1.1\n  recovery: \"15s\"\n");
        t.append("configMode: \"highest\"\n");
        return t.toString();
    }

    /** Starts a program of the deploy file on a machine; its first start is the first of the whole system. */
    Process run(String machine, String program, boolean core, String ip, String zone) throws IOException {
        String name = machine + "-" + program;
        boolean first = !settings.containsKey(name);
        String text = text(machine, program, core, ip, zone, first);
        settings.put(name, text);
        Path file = folder.resolve(name + ".yaml");
        Files.writeString(file, text);
        if (core) {
            Files.createDirectories(folder.resolve(name));
        }
        Matcher runs = RUN.matcher(Files.readString(root.resolve("deploy/system.toml")));
        List<String> command = null;
        while (runs.find()) {
            command = runs.group(1).endsWith("Main " + program) ? List.of(runs.group(1).split(" ")) : command;
        }
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("GORSEMAST_CONFIG", file.toString());
        File log = folder.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        Process process = builder.start();
        processes.put(name, process);
        return process;
    }

    /** The first of the ports for traffic between machines. Each core machine dials others at ports of its own, so that the
     * relay knows who dials. */
    int internal(String machine) {
        return port + 16 * (machine.startsWith("shield-") ? 2 + Integer.parseInt(machine.substring(7)) : 1);
    }

    /** Puts a relay between the core machines, and between the edges and them; called before the start. */
    void useRelay() throws IOException {
        relay = new Relay();
        for (int to = 0; to < CORES; to++) {
            int leadsTo = internal("shield-" + to);
            relay.route("edges", "shield-" + to, core(to), internal("edge") + 1, leadsTo + 1);
            for (int from = 0; from < CORES; from++) {
                for (int program = 1; program <= 2 && from != to; program++) {
                    relay.route("shield-" + from, "shield-" + to, core(to), internal("shield-" + from) + program,
                            leadsTo + program);
                }
            }
        }
    }

    /** Cuts a core machine off from the other core machines, silently. */
    void cutOff(int i) {
        for (int other = 0; other < CORES; other++) {
            if (other != i) {
                relay.cut("shield-" + i, "shield-" + other);
            }
        }
    }

    void startCore(int i) throws IOException {
        run("shield-" + i, "registry", true, core(i), "z" + (1 + i % 3));
        run("shield-" + i, "store", true, core(i), "z" + (1 + i % 3));
    }

    Process startEdge(int i) throws IOException {
        return run("edge-" + i, "proxy", false, edge(i), "z" + (1 + i % 3));
    }

    /** Sends a signal to a process that this network started. */
    static void signal(Process process, String name) throws IOException, InterruptedException {
        new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
    }

    /** Starts everything, brings the first configuration and waits until all edges are ready. */
    void start(int edges, String configuration) throws Exception {
        for (int i = 0; i < CORES; i++) {
            startCore(i);
        }
        for (int i = 0; i < edges; i++) {
            startEdge(i);
        }
        order("POST", "/v1/configuration/replace", configuration, 20_000);
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        for (int i = 0; i < edges; i++) {
            while (call(ready(i), "GET", "/v1/readiness", "", 1_000).status != 200) {
                if (System.nanoTime() > deadline) {
                    throw new IOException("an edge is not ready");
                }
                Thread.sleep(50);
            }
        }
    }

    /** An answer to a whole call; status 0 stands for none. */
    record Answer(int status, String head, byte[] body) {
        String header(String name) {
            return Net.header(head, name);
        }
    }

    static String header(String head, String name) {
        for (String line : head.split("\r\n")) {
            int colon = line.indexOf(':');
            if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) {
                return line.substring(colon + 1).trim();
            }
        }
        return null;
    }

    /** Sends an order to one control address after another until it is acknowledged; returns when that was. */
    long order(String method, String path, String body, long millis) throws Exception {
        return order(0, method, path, body, millis);
    }

    /** The same, beginning at this core machine. */
    long order(int first, String method, String path, String body, long millis) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        for (int i = 0; System.nanoTime() < deadline; i++) {
            Answer answer = call(control((first + i) % CORES), method, path, body, 1_000);
            if (answer.status / 100 == 2) {
                return System.nanoTime();
            }
            Thread.sleep(100);
        }
        throw new IOException("no acknowledgement of " + path);
    }

    static Answer call(InetSocketAddress to, String method, String path, String body, int millis) {
        try (Socket socket = new Socket()) {
            socket.connect(to, millis);
            socket.setSoTimeout(millis);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            socket.getOutputStream()
                    .write((method + ' ' + path + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
                                    + "Connection: close\r\nContent-Length: " + bytes.length + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.UTF_8));
            return read(socket.getInputStream(), false);
        } catch (IOException e) {
            return new Answer(0, "", new byte[0]);
        }
    }

    static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int end = 0;
        while (end < 4) {
            int b = in.read();
            if (b < 0) {
                throw new IOException(head.size() == 0 ? "closed" : "cut in a head");
            }
            head.write(b);
            end = b == (end % 2 == 0 ? '\r' : '\n') ? end + 1 : b == '\r' ? 1 : 0;
            if (head.size() > 65_536) {
                throw new IOException("no head within 64 KiB");
            }
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("cut after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    /** Reads one answer; throws where it is cut or is none. */
    static Answer read(InputStream in, boolean noBody) throws IOException {
        String head = readHead(in);
        if (!head.matches("(?s)HTTP/1\\.1 [1-5][0-9][0-9] .*")) {
            throw new IOException("NO HTTP: " + head.substring(0, Math.min(60, head.length())).replaceAll("[^ -~]", "?"));
        }
        int status = Integer.parseInt(head.substring(9, 12));
        if (noBody || status == 204 || status == 304 || status / 100 == 1) {
            return new Answer(status, head, new byte[0]);
        }
        String length = header(head, "Content-Length");
        if (length != null) {
            return new Answer(status, head, readExactly(in, Integer.parseInt(length)));
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(header(head, "Transfer-Encoding"))) {
            while (true) {
                int size = Integer.parseInt(line(in).trim(), 16);
                if (size == 0) {
                    line(in);
                    return new Answer(status, head, body.toByteArray());
                }
                body.write(readExactly(in, size));
                line(in);
            }
        }
        return new Answer(status, head, in.readAllBytes());
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new IOException("cut in a line");
            }
            text.append((char) b);
        }
        return text.toString();
    }

    String log(String name) throws IOException {
        return Files.readString(folder.resolve(name + ".log"));
    }

    @Override
    public void close() {
        processes.values().forEach(Process::destroyForcibly);
        processes.values().forEach(process -> {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        try {
            if (relay != null) {
                relay.close();
            }
        } catch (IOException e) {
            // closed already
        }
        try (Stream<Path> all = Files.walk(folder)) {
            all.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            // the folder is gone already
        }
    }
}
