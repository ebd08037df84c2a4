package gorsemast.processes;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Prints start and memory of the three programs, of some runs of a small network, as {@code deploy/system.toml} of the
 * current folder starts them: wall and processor time from the start of the process until its listener takes a
 * connection, and the peak of resident memory (VmHWM) after that and after an order and some requests. Not a test.
 *
 * <p>{@code java -Dprocesses.deployed=true -cp TEST-CLASSES:CLASSES:LIBRARIES gorsemast.processes.Measure RUNS}
 */
final class Measure {
    private static final int EDGE = 20;
    private static final int REQUESTS = 400;
    private static final long LIMIT_MILLIS = 20_000;
    private static final long LOOK_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
    private static final long TICK_MILLIS = 10;

    private final Map<String, List<Long>> figures = new TreeMap<>();

    private Measure() {}

    public static void main(String[] args) throws IOException {
        Measure measure = new Measure();
        System.out.println("load before: " + load());
        for (int run = 0; run < Integer.parseInt(args[0]); run++) {
            measure.run();
        }
        System.out.println("load after: " + load());
        measure.figures.forEach((name, values) -> {
            Collections.sort(values);
            System.out.printf(
                    "%-26s median %6d  least %6d  most %6d  of %d%n",
                    name, values.get(values.size() / 2), values.get(0), values.get(values.size() - 1), values.size());
        });
        System.exit(0);
    }

    private static String load() throws IOException {
        return Files.readString(Path.of("/proc/loadavg")).trim();
    }

    private void run() throws IOException {
        Path data = Files.createTempDirectory(Path.of("target"), "measure");
        try (ProcessNetwork network = new ProcessNetwork(data, 3, 1)) {
            Operator operator = new Operator(network);
            for (int core = 1; core <= 3; core++) {
                started("store", network, network.startStore(core, true, 1, 2, 3), network.storeLink(core));
                started("registry", network, network.startRegistry(core, true, 1, 2, 3), network.control(core));
            }
            started("proxy", network, network.startEdge(EDGE, true, 1, 2, 3), network.probe(EDGE));
            network.server("i-0", "objects", 40, 1, 2, 3);
            network.server("i-1", "orders", 41, 1, 2, 3);
            ProcessNetwork.until(
                    "an order",
                    LIMIT_MILLIS,
                    () -> Operator.confirms(operator.replace(1, 1, "first").join()));
            ProcessNetwork.until("the edge", LIMIT_MILLIS, () -> operator.goesBy(EDGE, "first"));
            for (int i = 0; i < REQUESTS; i++) {
                network.ask(EDGE, i % 2 == 0 ? "/orders/" + i : "/objects/" + i);
            }
            for (int core = 1; core <= 3; core++) {
                note("store peak kB", peak(network.process("store" + core)));
                note("registry peak kB", peak(network.process("registry" + core)));
            }
            note("proxy peak kB", peak(network.process("proxy" + EDGE)));
        }
    }

    private void started(String program, ProcessNetwork network, Process process, InetSocketAddress listens)
            throws IOException {
        long begun = System.nanoTime();
        while (!accepts(listens)) {
            if (!process.isAlive() || System.nanoTime() - begun > TimeUnit.MILLISECONDS.toNanos(LIMIT_MILLIS)) {
                throw new IOException(program + " does not listen: " + network.log(program + 1));
            }
            LockSupport.parkNanos(LOOK_NANOS);
        }
        note(program + " listens ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun));
        String[] stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"))
                .replaceAll("^.*\\) ", "")
                .split(" ");
        note(program + " listens cpu ms", TICK_MILLIS * (Long.parseLong(stat[11]) + Long.parseLong(stat[12])));
        note(program + " listening kB", peak(process));
    }

    private static boolean accepts(InetSocketAddress at) {
        try (Socket socket = new Socket()) {
            socket.connect(at);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void note(String name, long value) {
        figures.computeIfAbsent(name, key -> new ArrayList<>()).add(value);
    }

    private static long peak(Process process) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(line -> line.startsWith("VmHWM"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .sum();
    }
}
