package gorsemast.processes;

import gorsemast.peer.Ports;
import gorsemast.standin.HttpCall;
import gorsemast.standin.LoopbackNetwork;
import gorsemast.standin.LoopbackNetwork.Answer;
import gorsemast.standin.StandInServer;
import gorsemast.transport.Transport;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Real processes of all three programs on loopback, each machine under an address of its own, with a {@link LinkRelay}
 * between any two machines.
 *
 * <p>The programs have no hook for that. A process listens at its own address and its own settings' {@code internalPorts},
 * and dials the others at their addresses and, again, its own settings' ports, as ports are alike on all machines of the
 * platform. Here each machine is told another range, so that what a machine dials is told by its port and whom it wants
 * by the address: there the relay listens, and passes on to the port at which the wanted one listens. Calls from outside
 * ({@code control}, {@code front}, {@code ready}) and those between two processes of one machine are not relayed.
 *
 * <p>With {@code -Dprocesses.deployed=true} the processes are started by the command lines of {@code deploy/system.toml},
 * from the packaged jar, else from the test's class path. One caller; bounded waits; no sleeps.
 */
final class ProcessNetwork implements AutoCloseable {
    private static final long POLL_MILLIS = 20;
    private static final long CLIENT_MILLIS = 1_500;
    private static final int RANGE = 8;
    private static final int OUTSIDE_PORTS = 4;
    private static final int HIGHEST_PORT = 50_000;
    private static final int TRIES = 20;
    private static final int MANY_DESCRIPTORS = 4_096;
    private static final int FIRST_EDGE = 20;
    private static final AtomicInteger NETWORKS = new AtomicInteger();

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, Transport.handlers()).next();
    private final Path data;
    private final int machines;
    private final List<Integer> numbers = new ArrayList<>();
    private final Map<String, Process> running = new LinkedHashMap<>();
    private final List<StandInServer> servers = new ArrayList<>();
    private String net;
    private int port;
    private LinkRelay relay;
    private int edgeDescriptors = MANY_DESCRIPTORS;

    /**
     * Relays between {@code cores} core machines, numbered from 1, and {@code edges} edges, numbered from 20; no process
     * runs yet.
     */
    ProcessNetwork(Path data, int cores, int edges) throws IOException {
        this.data = data;
        for (int core = 1; core <= cores; core++) {
            numbers.add(core);
        }
        for (int edge = 0; edge < edges; edge++) {
            numbers.add(FIRST_EDGE + edge);
        }
        machines = numbers.size();
        IOException last = null;
        for (int i = 0; i < TRIES && relay == null; i++) {
            try {
                connect();
            } catch (IOException | RuntimeException e) {
                last = new IOException("no free ports", e);
                relay = null;
            }
        }
        if (relay == null) {
            throw last;
        }
    }

    private void connect() throws IOException {
        int own = (int) (ProcessHandle.current().pid() % 25_000) + 25_000 * (NETWORKS.getAndIncrement() % 2);
        net = "127." + (20 + own / 250) + '.' + (1 + own % 250);
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(ip(1)))) {
            port = Math.min(HIGHEST_PORT, free.getLocalPort());
        }
        relay = new LinkRelay();
        try {
            for (int from : numbers) {
                for (int to : numbers) {
                    for (Ports role : from == to ? new Ports[0] : Ports.values()) {
                        relay.open(
                                name(from),
                                name(to),
                                role.name(),
                                new InetSocketAddress(ip(to), internal(from) + role.ordinal()),
                                new InetSocketAddress(ip(to), internal(to) + role.ordinal()));
                    }
                }
            }
        } catch (RuntimeException e) {
            relay.close();
            throw e;
        }
    }

    private String ip(int machine) {
        return net + '.' + machine;
    }

    private static String name(int machine) {
        return machine < FIRST_EDGE ? "core-" + machine : "edge-" + machine;
    }

    private int internal(int machine) {
        return port + OUTSIDE_PORTS + RANGE * numbers.indexOf(machine);
    }

    /** The numbers of the core machines. */
    List<Integer> coreMachines() {
        return numbers.stream().filter(number -> number < FIRST_EDGE).toList();
    }

    // ---- places

    /** Where a store takes links, without a relay. */
    InetSocketAddress storeLink(int core) {
        return new InetSocketAddress(ip(core), internal(core) + Ports.STORE.ordinal());
    }

    /** Where operators and servers call. */
    InetSocketAddress control(int core) {
        return new InetSocketAddress(ip(core), port);
    }

    InetSocketAddress front(int edge) {
        return new InetSocketAddress(ip(edge), port + 1);
    }

    /** Where an edge is asked whether it is ready. */
    InetSocketAddress probe(int edge) {
        return new InetSocketAddress(ip(edge), port + 2);
    }

    LinkRelay relay() {
        return relay;
    }

    /** Whether an edge has a link to the registry of a core machine. */
    boolean isLinked(int edge, int core) {
        return relay.connections(name(edge), name(core), Ports.REGISTRY.name()) > 0;
    }

    /** Cuts, or whatever is asked for, between one machine and each of some others. */
    void between(int one, Collection<Integer> others, Trouble trouble) {
        others.forEach(other -> trouble.strike(name(one), name(other)));
    }

    /** What strikes a pair of machines. */
    interface Trouble {
        void strike(String one, String other);
    }

    // ---- processes

    /** Edges that are started from now on may have so many descriptors open. */
    void edgeDescriptors(int most) {
        edgeDescriptors = most;
    }

    /** Starts store and registry of a core machine; {@code first} where the whole system starts with empty disks. */
    void startCore(int core, boolean first, int... seeds) {
        startStore(core, first, seeds);
        startRegistry(core, first, seeds);
    }

    /** Starts the store of a core machine alone. */
    Process startStore(int core, boolean first, int... seeds) {
        return start(core, "store", first, seeds);
    }

    /** Starts the registry of a core machine alone. */
    Process startRegistry(int core, boolean first, int... seeds) {
        return start(core, "registry", first, seeds);
    }

    /** Starts the proxy of an edge machine, which has no disk. */
    Process startEdge(int edge, boolean first, int... seeds) {
        return start(edge, "proxy", first, seeds);
    }

    private Process start(int machine, String program, boolean first, int... seeds) {
        String name = program + machine;
        try {
            Path disk = null;
            if (machine < FIRST_EDGE) {
                disk = data.resolve(name);
                Files.createDirectories(disk);
            }
            Path file = data.resolve(name + ".yaml");
            Files.writeString(
                    file, settings(machine, program, first, disk, seeds).text());
            ProcessBuilder builder = new ProcessBuilder(Commands.of(program))
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(
                            data.resolve(name + ".log").toFile()));
            builder.environment().put("GORSEMAST_CONFIG", file.toAbsolutePath().toString());
            Process process = builder.start();
            running.put(name, process);
            return process;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Each core machine stands in a zone of its own, edges in the first. */
    private MachineSettings settings(int machine, String program, boolean first, Path disk, int... seeds) {
        boolean core = machine < FIRST_EDGE;
        return new MachineSettings(
                name(machine),
                program,
                core,
                ip(machine),
                port,
                internal(machine),
                RANGE,
                core ? machine : 1,
                machines,
                Arrays.stream(seeds).mapToObj(this::ip).toList(),
                first,
                disk,
                core ? MANY_DESCRIPTORS : edgeDescriptors);
    }

    private List<Process> of(int machine) {
        return Stream.of("store", "registry", "proxy")
                .map(program -> running.get(program + machine))
                .filter(process -> process != null)
                .toList();
    }

    /** SIGKILL to all processes of these machines at once; returns when all have ended. */
    void kill(int... these) {
        List<Process> ended = new ArrayList<>();
        for (int machine : these) {
            ended.addAll(of(machine));
            running.keySet().removeAll(List.of("store" + machine, "registry" + machine, "proxy" + machine));
        }
        ended.forEach(Process::destroyForcibly);
        ended.forEach(process -> process.onExit().join());
    }

    /** SIGTERM to both processes of a core machine, and SIGKILL after {@link MachineSettings#GRACE_SECONDS}. */
    void terminate(int core) {
        List<Process> leaving = of(core);
        leaving.forEach(Process::destroy);
        long last = System.nanoTime() + TimeUnit.SECONDS.toNanos(MachineSettings.GRACE_SECONDS);
        for (Process process : leaving) {
            try {
                process.waitFor(last - System.nanoTime(), TimeUnit.NANOSECONDS);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
        kill(core);
    }

    /** SIGSTOP to all processes of a machine. */
    void pause(int machine) {
        signal(machine, "-STOP");
    }

    /** SIGCONT to them. */
    void resume(int machine) {
        signal(machine, "-CONT");
    }

    /** SIGHUP to them. */
    void hangUp(int machine) {
        signal(machine, "-HUP");
    }

    private void signal(int machine, String signal) {
        List<String> command = new ArrayList<>(List.of("kill", signal));
        of(machine).forEach(process -> command.add(Long.toString(process.pid())));
        try {
            if (new ProcessBuilder(command).start().waitFor() != 0) {
                throw new IllegalStateException(command + " failed");
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Removes the disks of a machine whose processes have ended. */
    void wipe(int core) {
        for (String program : new String[] {"store", "registry"}) {
            try (Stream<Path> files = Files.walk(data.resolve(program + core))) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** What the processes of this name have written. */
    String log(String name) {
        try {
            return Files.readString(data.resolve(name + ".log"));
        } catch (IOException e) {
            return "";
        }
    }

    /** The running process, for a look at what it uses. */
    Process process(String name) {
        return running.get(name);
    }

    /**
     * The core machine whose store has said last that it is the primary, as its log has it, which comes
     * some seconds late; 0 for none.
     */
    int primary() {
        int primary = 0;
        long newest = -1;
        Pattern leads = Pattern.compile("is primary of term (\\d+)");
        for (int core : numbers) {
            Matcher said = leads.matcher(log("store" + core));
            while (said.find()) {
                if (Long.parseLong(said.group(1)) > newest) {
                    newest = Long.parseLong(said.group(1));
                    primary = core;
                }
            }
        }
        return primary;
    }

    // ---- calls

    /** Something that is asked again and again. */
    interface Condition {
        boolean holds();
    }

    /** Asks until it holds; throws, naming it, where that takes longer than {@code millis}. */
    static void until(String what, long millis, Condition condition) {
        long begun = System.nanoTime();
        while (!condition.holds()) {
            if (System.nanoTime() - begun > TimeUnit.MILLISECONDS.toNanos(millis)) {
                throw new AssertionError(what + " did not come about in " + millis + " ms");
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS));
        }
    }

    /** A call from outside; status 0 where no whole answer came within {@code millis}. */
    CompletableFuture<Answer> send(
            InetSocketAddress to, String method, String path, Map<String, String> headers, byte[] body, long millis) {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        HttpCall.send(
                loop, to, method, path, headers, body, (status, bytes) -> answer.complete(new Answer(status, bytes)));
        return answer.completeOnTimeout(new Answer(0, new byte[0]), millis, TimeUnit.MILLISECONDS);
    }

    /** A call of an operator or a server to a core machine. */
    CompletableFuture<Answer> control(int core, String method, String path, byte[] body, long millis) {
        return send(control(core), method, path, Map.of("Content-Type", "application/json"), body, millis);
    }

    /** A client's request. */
    Answer ask(int edge, String path) {
        return send(front(edge), "GET", path, LoopbackNetwork.client("a" + System.nanoTime()), null, CLIENT_MILLIS)
                .join();
    }

    /** Whether an edge says that it is ready. */
    boolean ready(int edge) {
        return send(probe(edge), "GET", "/v1/readiness", Map.of(), null, CLIENT_MILLIS)
                        .join()
                        .status()
                == 200;
    }

    /** A server that beats at these core machines. */
    StandInServer server(String id, String service, int number, int... at) throws IOException {
        List<InetSocketAddress> controls = new ArrayList<>();
        for (int core : at) {
            controls.add(control(core));
        }
        StandInServer server =
                new StandInServer(loop, id, service, "zone-1", ip(number), port, controls, MachineSettings.BEAT_MILLIS);
        servers.add(server);
        return server;
    }

    /** All of them, in the order of their start. */
    List<StandInServer> servers() {
        return List.copyOf(servers);
    }

    @Override
    public void close() throws IOException {
        servers.forEach(StandInServer::close);
        running.values().forEach(Process::destroyForcibly);
        running.values().forEach(process -> process.onExit().join());
        relay.close();
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
