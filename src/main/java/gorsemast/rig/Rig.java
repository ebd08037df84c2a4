package gorsemast.rig;

import com.fasterxml.jackson.databind.JsonNode;
import gorsemast.rig.Clients.RequestRecord;
import gorsemast.rig.RunChecker.ProcessFault;
import gorsemast.rig.Scenario.Event;
import gorsemast.rig.Scenario.Kind;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * Runs a scenario: starts the processes, applies each event, waits until all processes that can reach each other have the
 * same view, checks meanwhile that no live process is reported dead, and has the {@link RunChecker} check the requests.
 *
 * <p>Blocks; every wait for a condition is bounded. Measures no performance.
 */
public final class Rig implements AutoCloseable {
    /** Time limit for a view to settle after a fault: about 100 protocol periods of the rig, to allow for slow machines. */
    public static final int SETTLE_TIMEOUT_SECONDS = 45;
    /** Shorter limit for a view that an injected defect keeps from settling. */
    private static final int INJECTED_SETTLE_TIMEOUT_SECONDS = 5;
    /** How long a settled view is watched; the longer one applies while links are degraded and no process may be reported dead. */
    private static final long WATCH_MILLIS = 600;

    private static final long WATCH_DEGRADED_MILLIS = 4_000;
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(40);
    private static final int NODES = 4;
    private static final Relay.Link LOSSY = new Relay.Link(false, 0.2, 0.1, 500, 30_000);
    private static final long GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Result of a run. */
    public record Result(
            int settled,
            int faults,
            long lost,
            long twice,
            long falseDeaths,
            Map<String, Long> counts,
            List<String> findings) {
        /** Whether every check passed. */
        public boolean holds() {
            return settled == faults && lost == 0 && twice == 0 && falseDeaths == 0;
        }

        /** Returns the last output line of a run. */
        public String line() {
            return "settled " + settled + " of " + faults + " lost " + lost + " twice " + twice + " false "
                    + falseDeaths;
        }
    }

    private final Scenario scenario;
    private final String injectedDefect;
    private final Consumer<String> out;
    private final Relay relay;
    private final StandIns standIns = new StandIns(NODES);
    private final Proxies proxies;
    private final Queue<ProcessFault> processFaults = new ConcurrentLinkedQueue<>();
    private final List<String> findings = new ArrayList<>();
    private int groups = 1;
    private long falseDeaths;

    /**
     * @param injectedDefect {@code twice}, {@code lost} or {@code unsettled} makes the rig cause that violation itself, once; else empty
     * @param home folder for the files and logs of the processes
     */
    public Rig(Scenario scenario, String injectedDefect, Path home, Consumer<String> out) throws IOException {
        this.scenario = scenario;
        this.injectedDefect = injectedDefect;
        this.out = out;
        this.relay = new Relay(scenario.seed());
        this.proxies = new Proxies(scenario.processes(), home, relay, standIns);
    }

    /** Runs the scenario; no event begins after {@code seconds}. */
    public Result run(int seconds) throws IOException, InterruptedException {
        long startedAt = System.nanoTime();
        for (Proxies.Proxy proxy : proxies.all) {
            proxy.start();
        }
        int settled = settle("all start", startedAt) ? 1 : 0;
        int faults = 1;
        RunChecker.Verdict verdict;
        Clients clients = new Clients(proxies, Math.min(16, 2 * scenario.processes()), scenario.seed());
        long playing = System.nanoTime();
        try {
            for (Event event : scenario.events()) {
                if (System.nanoTime() - playing > TimeUnit.SECONDS.toNanos(seconds)) {
                    break;
                }
                faults++;
                settled += settle(event.toString(), apply(event)) ? 1 : 0;
            }
            injectDefect(clients);
        } finally {
            clients.stop();
        }
        Map<String, Integer> runs = new HashMap<>();
        standIns.runs.forEach((id, many) -> runs.put(id, many.get()));
        verdict = RunChecker.check(clients.records, runs, processFaults, GRACE_NANOS);
        findings.addAll(verdict.findings());
        out.accept("requests " + verdict.asked() + " served " + verdict.served() + " refused " + verdict.refused()
                + " failed " + verdict.failed() + " unreached " + verdict.unreached() + " orphaned "
                + verdict.orphaned());
        return new Result(
                settled,
                faults,
                verdict.lost(),
                verdict.twice(),
                falseDeaths,
                Map.of(
                        "asked",
                        verdict.asked(),
                        "served",
                        verdict.served(),
                        "orphaned",
                        verdict.orphaned(),
                        "unreached",
                        verdict.unreached()),
                findings);
    }

    /** Applies an event and returns when it began. */
    private long apply(Event event) throws IOException, InterruptedException {
        long at = System.nanoTime();
        switch (event.kind()) {
            case KILL, VANISH -> {
                for (int who : event.who()) {
                    recordFault(who);
                    proxies.all.get(who).kill(event.kind() == Kind.VANISH);
                    recordFault(who); // on a busy machine the process ends later than the signal
                }
            }
            case RESTART -> start(event.who());
            case RESTART_ALL -> {
                List<Integer> running = proxies.all.stream()
                        .filter(Proxies.Proxy::alive)
                        .map(p -> p.number)
                        .toList();
                for (int who : running) {
                    recordFault(who);
                    proxies.all.get(who).kill(false);
                    recordFault(who);
                }
                start(running);
            }
            case STOP, CONTINUE -> {
                for (int who : event.who()) {
                    recordFault(who);
                    proxies.all.get(who).signal(event.kind() == Kind.STOP ? "STOP" : "CONT");
                    recordFault(who);
                }
            }
            case LEAVE -> {
                for (int who : event.who()) {
                    proxies.all.get(who).leave();
                }
            }
            case SWAP -> {
                String one = proxies.all.get(event.who().get(0)).name;
                relay.swap(one, proxies.all.get(event.who().get(1)).name);
                start(event.who());
            }
            case CUT -> {
                groups = event.groups();
                for (Proxies.Proxy from : proxies.all) {
                    for (Proxies.Proxy to : proxies.all) {
                        if (from.number % groups != to.number % groups) {
                            relay.link(from.name, to.name, new Relay.Link(true, 0, 0, 0, 0));
                        }
                    }
                }
            }
            case ONE_WAY ->
                relay.link(
                        proxies.all.get(event.who().get(0)).name,
                        proxies.all.get(event.who().get(1)).name,
                        new Relay.Link(true, 0, 0, 0, 0));
            case LOSSY -> proxies.all.forEach(from -> proxies.all.forEach(to -> relay.link(from.name, to.name, LOSSY)));
            default -> {
                groups = 1;
                relay.heal();
                if (injectedDefect.equals("unsettled")) {
                    proxies.all.forEach(to -> relay.link("p0", to.name, new Relay.Link(true, 0, 0, 0, 0)));
                    proxies.all.forEach(from -> relay.link(from.name, "p0", new Relay.Link(true, 0, 0, 0, 0)));
                }
            }
        }
        if (event.kind() == Kind.ONE_WAY || event.kind() == Kind.LOSSY) {
            watch(WATCH_DEGRADED_MILLIS);
        }
        return at;
    }

    private void start(Collection<Integer> who) throws IOException {
        for (int one : who) {
            proxies.all.get(one).start();
        }
    }

    private void recordFault(int who) {
        processFaults.add(new ProcessFault(who, System.nanoTime()));
    }

    /** Waits until each process sees exactly those it can reach, then watches the view for a while. */
    private boolean settle(String event, long since) throws InterruptedException {
        boolean keptUnsettled = injectedDefect.equals("unsettled") && event.equals("heal");
        long end = System.nanoTime()
                + TimeUnit.SECONDS.toNanos(keptUnsettled ? INJECTED_SETTLE_TIMEOUT_SECONDS : SETTLE_TIMEOUT_SECONDS);
        String reason = disagreement();
        while (reason != null && System.nanoTime() < end) {
            LockSupport.parkNanos(POLL_NANOS);
            reason = disagreement();
        }
        long took = (System.nanoTime() - since) / 1_000_000;
        if (reason != null) {
            findings.add("unsettled after " + event + ": " + reason);
            out.accept(event + ": NOT settled after " + took + " ms: " + reason);
            return false;
        }
        out.accept(event + ": settled after " + took + " ms");
        watch(WATCH_MILLIS);
        return true;
    }

    /** Returns null if each running process sees exactly the running processes it can reach, else a reason. */
    private String disagreement() {
        Map<Integer, String> digests = new HashMap<>();
        for (Proxies.Proxy viewer : proxies.all) {
            if (!viewer.running()) {
                continue;
            }
            JsonNode view = viewer.view();
            if (view == null || !viewer.ready()) {
                return viewer.name + " does not answer";
            }
            TreeSet<String> expected = new TreeSet<>();
            TreeSet<String> live = new TreeSet<>();
            for (Proxies.Proxy other : proxies.all) {
                if (other.running() && reaches(viewer, other)) {
                    expected.add(other.name);
                }
            }
            int members = 0;
            for (JsonNode member : view.get("members")) {
                if (live(member)) {
                    live.add(member.get("name").asText());
                    members++;
                }
            }
            String digest = digests.putIfAbsent(
                    viewer.number % groups, view.get("digest").asText());
            if (!live.equals(expected) || members != expected.size()) {
                return viewer.name + " sees " + live + " where " + expected + " are";
            }
            if (digest != null && !digest.equals(view.get("digest").asText())) {
                return viewer.name + " has another digest";
            }
        }
        return null;
    }

    private static boolean live(JsonNode member) {
        String state = member.get("state").asText();
        return state.equals("alive") || state.equals("suspect");
    }

    private boolean reaches(Proxies.Proxy one, Proxies.Proxy other) {
        return one.number % groups == other.number % groups;
    }

    /** Checks for a while that no running, reachable process is reported dead. */
    private void watch(long millis) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        TreeSet<String> seen = new TreeSet<>();
        while (System.nanoTime() < end) {
            for (Proxies.Proxy viewer : proxies.all) {
                JsonNode view = viewer.running() ? viewer.view() : null;
                if (view == null) {
                    continue;
                }
                TreeSet<String> live = new TreeSet<>();
                view.get("members").forEach(member -> {
                    if (live(member)) {
                        live.add(member.get("name").asText());
                    }
                });
                for (Proxies.Proxy other : proxies.all) {
                    if (other.running()
                            && reaches(viewer, other)
                            && !live.contains(other.name)
                            && seen.add(viewer.name + " calls " + other.name + " dead")) {
                        falseDeaths++;
                        findings.add("false: " + viewer.name + " calls " + other.name + " dead: " + view);
                    }
                }
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    /** Causes a violation itself, to show that it is detected. */
    private void injectDefect(Clients clients) throws IOException, InterruptedException {
        if (injectedDefect.equals("twice")) {
            HttpClient client = HttpClient.newHttpClient();
            for (int i = 0; i < 2; i++) {
                client.send(
                        HttpRequest.newBuilder(URI.create("http://" + standIns.nodeAddress()))
                                .header("X-Correlation-Id", "planted")
                                .PUT(HttpRequest.BodyPublishers.ofString("+5"))
                                .build(),
                        HttpResponse.BodyHandlers.discarding());
            }
            clients.records.add(new RequestRecord(
                    "planted", true, 0, System.nanoTime(), System.nanoTime(), Clients.Outcome.SERVED));
        } else if (injectedDefect.equals("lost")) {
            try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                    Socket client = new Socket(listener.getInetAddress(), listener.getLocalPort());
                    Socket accepted = listener.accept()) {
                long from = System.nanoTime();
                OutputStream to = client.getOutputStream();
                to.write("GET /api/card HTTP/1.1\r\nX-Correlation-Id: planted\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
                InputStream in = accepted.getInputStream();
                in.readNBytes(16);
                accepted.shutdownOutput(); // accepted, but no response
                int end = client.getInputStream().read();
                clients.records.add(new RequestRecord(
                        "planted",
                        false,
                        0,
                        from,
                        System.nanoTime(),
                        end < 0 ? Clients.Outcome.CUT : Clients.Outcome.SERVED));
            }
        }
    }

    /** Kills the processes at once; for an exit before the run has ended. */
    public void endProcesses() {
        proxies.close();
    }

    @Override
    public void close() throws IOException {
        proxies.close();
        relay.close();
        standIns.close();
    }
}
