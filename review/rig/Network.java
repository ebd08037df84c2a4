package rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The project's three programs as real processes on loopback, started by the commands of deploy/system.toml. Each machine
 * has an address of its own and the ports are alike on all of them, as on the platform. Core machines are numbered from 1,
 * edges from 20.
 */
public final class Network implements AutoCloseable {
    private static final int FIRST_EDGE = 20;
    private static final int INTERNAL_PORTS = 16;

    private final Record record;
    private final Path folder;
    private final String net;
    private final int port;
    private final Map<String, String> overrides;
    private final Map<String, Process> running = new LinkedHashMap<>();

    /**
     * Chooses addresses and ports; starts nothing yet.
     *
     * @param overrides settings that differ from the small site's, by name
     */
    public Network(Record record, Map<String, String> overrides) throws IOException {
        this.record = record;
        this.overrides = overrides;
        this.folder = Files.createTempDirectory("review");
        long pid = ProcessHandle.current().pid();
        this.net = "127." + (60 + pid / 250 % 100) + '.' + (1 + pid % 250) + '.';
        this.port = freePorts();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private int freePorts() throws IOException {
        for (int first = 21_000; first < 31_000; first += 100) {
            boolean free = true;
            for (int i = 0; i < 4 + INTERNAL_PORTS && free; i++) {
                try (ServerSocket probe = new ServerSocket(first + i, 1, InetAddress.getByName(net + 1))) {
                    free = probe.isBound();
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return first;
            }
        }
        throw new IOException("no free ports");
    }

    /** The address of a machine. */
    public String ip(int machine) {
        return net + machine;
    }

    /** Where servers and operators call a core machine. */
    public InetSocketAddress control(int core) {
        return new InetSocketAddress(ip(core), port);
    }

    /** Where clients call an edge. */
    public InetSocketAddress front(int edge) {
        return new InetSocketAddress(ip(edge), port + 1);
    }

    private InetSocketAddress probe(int edge) {
        return new InetSocketAddress(ip(edge), port + 2);
    }

    /** A port for stand-in servers. */
    public int serverPort() {
        return port + 3;
    }

    private static List<String> command(String program) throws IOException {
        Matcher roles = Pattern.compile("\\[roles\\.(\\w+)]\\s*run = \"([^\"]+)\"")
                .matcher(Files.readString(Path.of("deploy/system.toml")));
        while (roles.find()) {
            if (roles.group(1).equals(program)) {
                return List.of(roles.group(2).split(" "));
            }
        }
        throw new IOException("deploy/system.toml has no role " + program);
    }

    private String settings(int machine, String program, boolean first, int zone, int cores) {
        boolean core = machine < FIRST_EDGE;
        StringBuilder seeds = new StringBuilder();
        for (int seed = 1; seed <= cores; seed++) {
            seeds.append("  - \"" + ip(seed) + ':' + port + "\"\n");
        }
        String text = "nodeName: \"" + (core ? "shield-" : "edge-") + machine + "\"\nrole: \"" + program + "\"\n"
                + "machineClass: \"" + (core ? "shield" : "edge") + "\"\n"
                + (program.equals("store")
                        ? "serves: []\n"
                        : "serves:\n  - \"" + (core ? "control_plane" : "edge") + "\"\n")
                + "ip: \"" + ip(machine) + "\"\nzone: \"zone-" + zone + "\"\nregion: \"loop\"\n"
                + "zones:\n  zone-1: \"loop\"\n  zone-2: \"loop\"\n  zone-3: \"loop\"\n"
                + "listenAddrs:\n"
                + (core
                        ? "  control: \"" + ip(machine) + ':' + port + "\"\n"
                        : "  front: \"" + ip(machine) + ':' + (port + 1) + "\"\n  ready: \"" + ip(machine) + ':'
                                + (port + 2) + "\"\n")
                + "internalPorts:\n  - " + (port + 4) + "\n  - " + (port + 3 + INTERNAL_PORTS) + '\n'
                + "seedNodes:\n" + seeds
                + "initialBoot: " + first + "\nlossCounted: " + core + '\n'
                + "limits:\n  cpuShare: " + (core ? "0.9" : "0.6") + "\n  cpuCores: 1\n  memoryMb: "
                + (core ? 426 : 430) + "\n  fileDescriptors: " + (core ? 4096 : 4100) + "\n  linkMbps: 1000.0\n"
                + "  diskMb: " + (core ? 256 : 0) + '\n'
                + "dataDir: " + (core ? "\"" + folder.resolve(program + machine) + '"' : "null") + '\n'
                + "discoverySource: \"registry\"\nentryType: \"virtual_ip\"\nheartbeat: \"1500ms\"\n"
                + "activeContracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"retry\"\n"
                + "  - \"recover\"\n  - \"cache\"\n"
                + "faultTolerance:\n  machineLosses: 1\n  zones: 0\n  regionLosses: 0\n"
                + "timingBounds:\n  seedLag: \"3s\"\n  addressReuse: \"2s\"\n  contact: \"3000ms\"\n  ack: \"4000ms\"\n"
                + "  syncTime: \"4s\"\n  drain: \"2000ms\"\n  grace: \"6s\"\n  lossSlack: \"200ms\"\n"
                + "  configApply: \"2000ms\"\n  downgradeSlack: \"250ms\"\n  stretchMax: \"5000ms\"\n"
                + "  retryBudgetRatio: 0.2\n  retryWindow: \"10s\"\n  retrySlack: 60\n  purge: \"2000ms\"\n"
                + "  staleSlack: \"2s\"\n  originWindow: \"5s\"\n  originOverrun: 1.1\n  recovery: \"15s\"\n"
                + "configMode: \"highest\"\n";
        for (Map.Entry<String, String> change : overrides.entrySet()) {
            text = text.replaceAll("(?m)^(\\s*" + change.getKey() + ": ).*$", "$1" + change.getValue());
        }
        return text;
    }

    /** Starts one program of a machine; {@code first} where the whole system starts with empty disks. */
    public synchronized void start(int machine, String program, boolean first, int zone, int cores) throws IOException {
        String name = program + machine;
        if (machine < FIRST_EDGE) {
            Files.createDirectories(folder.resolve(name));
        }
        Path file = folder.resolve(name + ".yaml");
        Files.writeString(file, settings(machine, program, first, zone, cores));
        ProcessBuilder builder = new ProcessBuilder(command(program))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log(name).toFile()));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("GORSEMAST_CONFIG", file.toString());
        running.put(name, builder.start());
        record.line("started %s at %s, process %d", name, ip(machine), running.get(name).pid());
    }

    /** Starts a whole system for the first time: this many core machines and edges, one in each of three zones by turns. */
    public void startAll(int cores, int edges) throws IOException {
        for (int core = 1; core <= cores; core++) {
            start(core, "store", true, 1 + (core - 1) % 3, cores);
            start(core, "registry", true, 1 + (core - 1) % 3, cores);
        }
        for (int edge = 0; edge < edges; edge++) {
            start(FIRST_EDGE + edge, "proxy", true, 1 + edge % 3, cores);
        }
    }

    /** The file into which a process writes its output. */
    public Path log(String name) {
        return folder.resolve(name + ".log");
    }

    /** The process of this name. */
    public synchronized Process process(String name) {
        return running.get(name);
    }

    /** Sends a signal to a process. */
    public void signal(String name, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process(name).pid())).start().waitFor();
        record.line("sent %s to %s", signal, name);
    }

    /** Calls a core machine as servers and operators do; status 0 where no whole answer comes within the time. */
    public Http.Message call(int core, String method, String path, String body, int millis) {
        try (Http http = Http.connect(control(core), millis)) {
            http.request(
                    method,
                    path,
                    ip(core),
                    body.getBytes(StandardCharsets.UTF_8),
                    "Content-Type: application/json",
                    "Connection: close");
            Http.Message answer = http.read();
            return answer == null ? new Http.Message("HTTP/1.1 0 none", List.of(), new byte[0]) : answer;
        } catch (IOException e) {
            return new Http.Message("HTTP/1.1 0 none", List.of(), new byte[0]);
        }
    }

    /**
     * Sends an order to one core machine after another until it has a 2xx; returns when that came. Throws where a 4xx
     * refuses it or none comes within the time.
     */
    public double order(String what, String path, String body, int cores, double withinSeconds)
            throws IOException, InterruptedException {
        double begun = record.now();
        for (int turn = 0; record.now() - begun < withinSeconds; turn++) {
            int core = 1 + turn % cores;
            record.line("operator sends %s to core %d", what, core);
            Http.Message answer = call(core, "POST", path, body, path.contains("configuration") ? 2_500 : 1_000);
            double at = record.now();
            record.line(at, "operator has %d for %s %s", answer.status(), what, answer.status() == 200 ? "" : answer.text());
            if (answer.status() / 100 == 2) {
                return at;
            }
            if (answer.status() / 100 == 4 && answer.status() != 408 && answer.status() != 429) {
                throw new IOException(what + " is refused with " + answer.status());
            }
            Thread.sleep(Math.min(1_000, 100 + 100L * turn));
        }
        throw new IOException(what + " is not acknowledged within " + withinSeconds + " s");
    }

    /** Whether an edge says that it is ready. */
    public boolean ready(int edge) {
        try (Http http = Http.connect(probe(edge), 1_000)) {
            http.request("GET", "/v1/readiness", ip(edge), new byte[0]);
            Http.Message answer = http.read();
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits until all these edges are ready. */
    public void awaitReady(int edges, double withinSeconds) throws IOException, InterruptedException {
        double begun = record.now();
        for (int edge = FIRST_EDGE; edge < FIRST_EDGE + edges; edge++) {
            while (!ready(edge)) {
                if (record.now() - begun > withinSeconds) {
                    throw new IOException("edge " + edge + " is not ready");
                }
                Thread.sleep(100);
            }
            record.line("edge %d is ready", edge);
        }
    }

    @Override
    public synchronized void close() {
        for (Process process : running.values()) {
            process.destroyForcibly();
        }
        for (Process process : running.values()) {
            process.onExit().join();
        }
        running.clear();
        if (System.getenv("KEEP") != null) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException | RuntimeException e) {
            // a temporary folder
        }
    }
}
