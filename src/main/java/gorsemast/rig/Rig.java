package gorsemast.rig;

import com.fasterxml.jackson.databind.JsonNode;
import gorsemast.rig.Clients.Asked;
import gorsemast.rig.Day.Event;
import gorsemast.rig.Day.Kind;
import gorsemast.rig.Referee.Blow;
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
 * Plays a day: starts the processes, does to them what the day says, waits after each event until all that can reach each
 * other see the same, watches that nobody live is called dead meanwhile, and has the {@link RequestChecker} judge the rest.
 *
 * <p>Waits on conditions, each within a stated bound; says nothing of speed. Blocks.
 */
public final class Rig implements AutoCloseable {
    /** How long a view may take to settle after a fault, in seconds: some 100 of the rig's periods, for slow machines. */
    public static final int SETTLES_WITHIN_SECONDS = 45;
    /** What the rig itself keeps from settling need not be waited for so long. */
    private static final int PLANTED_WITHIN_SECONDS = 5;
    /** So long a settled view is watched, and so long where links are bad and nobody may be called dead. */
    private static final long WATCH_MILLIS = 600;

    private static final long WATCH_BAD_MILLIS = 4_000;
    private static final long LOOK_NANOS = TimeUnit.MILLISECONDS.toNanos(40);
    private static final int NODES = 4;
    private static final Relay.Link LOSSY = new Relay.Link(false, 0.2, 0.1, 500, 30_000);
    private static final long GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** What a day came to. */
    public record Result(
            int settled,
            int faults,
            long lost,
            long twice,
            long falsely,
            Map<String, Long> counts,
            List<String> findings) {
        /** Whether all held. */
        public boolean holds() {
            return settled == faults && lost == 0 && twice == 0 && falsely == 0;
        }

        /** The rig's last line. */
        public String line() {
            return "settled " + settled + " of " + faults + " lost " + lost + " twice " + twice + " false " + falsely;
        }
    }

    private final Day day;
    private final String plant;
    private final Consumer<String> out;
    private final Relay relay;
    private final StandIns stands = new StandIns(NODES);
    private final Proxies proxies;
    private final Queue<Blow> blows = new ConcurrentLinkedQueue<>();
    private final List<String> findings = new ArrayList<>();
    private int groups = 1;
    private long falsely;

    /**
     * @param plant {@code twice}, {@code lost} or {@code unsettled} has the rig do that wrong itself, once; else empty
     * @param home a folder for the processes' files and logs
     */
    public Rig(Day day, String plant, Path home, Consumer<String> out) throws IOException {
        this.day = day;
        this.plant = plant;
        this.out = out;
        this.relay = new Relay(day.seed());
        this.proxies = new Proxies(day.processes(), home, relay, stands);
    }

    /** Plays it; no event begins when so many seconds are over. */
    public Result play(int seconds) throws IOException, InterruptedException {
        long begun = System.nanoTime();
        for (Proxies.Proxy proxy : proxies.all) {
            proxy.start();
        }
        int settled = settle("all start", begun) ? 1 : 0;
        int faults = 1;
        Referee.Judgement judgement;
        Clients clients = new Clients(proxies, Math.min(16, 2 * day.processes()), day.seed());
        long playing = System.nanoTime();
        try {
            for (Event event : day.events()) {
                if (System.nanoTime() - playing > TimeUnit.SECONDS.toNanos(seconds)) {
                    break;
                }
                faults++;
                settled += settle(event.toString(), act(event)) ? 1 : 0;
            }
            plant(clients);
        } finally {
            clients.end();
        }
        Map<String, Integer> runs = new HashMap<>();
        stands.runs.forEach((id, many) -> runs.put(id, many.get()));
        judgement = Referee.judge(clients.asked, runs, blows, GRACE_NANOS);
        findings.addAll(judgement.findings());
        out.accept("requests " + judgement.asked() + " served " + judgement.served() + " refused " + judgement.refused()
                + " failed " + judgement.failed() + " unreached " + judgement.unreached() + " orphaned "
                + judgement.orphaned());
        return new Result(
                settled,
                faults,
                judgement.lost(),
                judgement.twice(),
                falsely,
                Map.of(
                        "asked",
                        judgement.asked(),
                        "served",
                        judgement.served(),
                        "orphaned",
                        judgement.orphaned(),
                        "unreached",
                        judgement.unreached()),
                findings);
    }

    /** Does what the event says; returns when. */
    private long act(Event event) throws IOException, InterruptedException {
        long at = System.nanoTime();
        switch (event.kind()) {
            case KILL, VANISH -> {
                for (int who : event.who()) {
                    blow(who);
                    proxies.all.get(who).kill(event.kind() == Kind.VANISH);
                    blow(who); // a busy machine ends it later than it was told to
                }
            }
            case RESTART -> start(event.who());
            case RESTART_ALL -> {
                List<Integer> running = proxies.all.stream()
                        .filter(Proxies.Proxy::exists)
                        .map(p -> p.number)
                        .toList();
                for (int who : running) {
                    blow(who);
                    proxies.all.get(who).kill(false);
                    blow(who);
                }
                start(running);
            }
            case STOP, CONTINUE -> {
                for (int who : event.who()) {
                    blow(who);
                    proxies.all.get(who).signal(event.kind() == Kind.STOP ? "STOP" : "CONT");
                    blow(who);
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
                if (plant.equals("unsettled")) {
                    proxies.all.forEach(to -> relay.link("p0", to.name, new Relay.Link(true, 0, 0, 0, 0)));
                    proxies.all.forEach(from -> relay.link(from.name, "p0", new Relay.Link(true, 0, 0, 0, 0)));
                }
            }
        }
        if (event.kind() == Kind.ONE_WAY || event.kind() == Kind.LOSSY) {
            watch(WATCH_BAD_MILLIS);
        }
        return at;
    }

    private void start(Collection<Integer> who) throws IOException {
        for (int one : who) {
            proxies.all.get(one).start();
        }
    }

    private void blow(int who) {
        blows.add(new Blow(who, System.nanoTime()));
    }

    /** Waits until all that can reach each other see exactly each other, and watches that for a while. */
    private boolean settle(String what, long since) throws InterruptedException {
        boolean planted = plant.equals("unsettled") && what.equals("heal");
        long end =
                System.nanoTime() + TimeUnit.SECONDS.toNanos(planted ? PLANTED_WITHIN_SECONDS : SETTLES_WITHIN_SECONDS);
        String why = disagreement();
        while (why != null && System.nanoTime() < end) {
            LockSupport.parkNanos(LOOK_NANOS);
            why = disagreement();
        }
        long took = (System.nanoTime() - since) / 1_000_000;
        if (why != null) {
            findings.add("unsettled after " + what + ": " + why);
            out.accept(what + ": NOT settled after " + took + " ms: " + why);
            return false;
        }
        out.accept(what + ": settled after " + took + " ms");
        watch(WATCH_MILLIS);
        return true;
    }

    /** Null where each that runs sees exactly those that run and that it can reach. */
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

    /** Whoever runs and can be reached must not be called dead now. */
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
                        falsely++;
                        findings.add("false: " + viewer.name + " calls " + other.name + " dead: " + view);
                    }
                }
            }
            LockSupport.parkNanos(LOOK_NANOS);
        }
    }

    /** Does a wrong thing itself, so that anyone can see it found. */
    private void plant(Clients clients) throws IOException, InterruptedException {
        if (plant.equals("twice")) {
            HttpClient client = HttpClient.newHttpClient();
            for (int i = 0; i < 2; i++) {
                client.send(
                        HttpRequest.newBuilder(URI.create("http://" + stands.node()))
                                .header("X-Correlation-Id", "planted")
                                .PUT(HttpRequest.BodyPublishers.ofString("+5"))
                                .build(),
                        HttpResponse.BodyHandlers.discarding());
            }
            clients.asked.add(new Asked("planted", true, 0, System.nanoTime(), System.nanoTime(), Clients.End.SERVED));
        } else if (plant.equals("lost")) {
            try (ServerSocket hole = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                    Socket client = new Socket(hole.getInetAddress(), hole.getLocalPort());
                    Socket taken = hole.accept()) {
                long from = System.nanoTime();
                OutputStream to = client.getOutputStream();
                to.write("GET /api/card HTTP/1.1\r\nX-Correlation-Id: planted\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
                InputStream in = taken.getInputStream();
                in.readNBytes(16);
                taken.shutdownOutput(); // taken, and no answer
                int end = client.getInputStream().read();
                clients.asked.add(new Asked(
                        "planted", false, 0, from, System.nanoTime(), end < 0 ? Clients.End.CUT : Clients.End.SERVED));
            }
        }
    }

    /** Ends the processes at once; for whoever ends before the day does. */
    public void endProcesses() {
        proxies.close();
    }

    @Override
    public void close() throws IOException {
        proxies.close();
        relay.close();
        stands.close();
    }
}
