package gorsemast.rig;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * A herd: seven in ten processes are killed at once under load while half of the cache nodes are replaced, and come back
 * with the list of before to a register that has more callers than it can serve. What it is worth that the others have
 * the list is the difference between two such plays, one with the fleet's view and one without.
 *
 * <p>Waits on conditions, each bounded. Blocks.
 */
public final class Herd {
    /** Of ten processes so many are killed. */
    private static final int KILLED_OF_TEN = 7;

    private static final int NODES = 12;
    private static final int DEAD = 6;
    /** One more than die, so that who knows the new list can be told by its size. */
    private static final int FRESH = 7;

    private static final long LOOK_NANOS = TimeUnit.MILLISECONDS.toNanos(40);
    private static final long GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int PATIENCE_SECONDS = 60;
    /** So many requests a process are served before anything is done to them. */
    private static final int SERVED_BEFORE = 8;

    /**
     * What it came to.
     *
     * @param served share of the requests begun in the window from the kill on that were served
     * @param listedMillis from the kill until each that was killed knew the new list, in order; fewer where some never did
     * @param listCalls calls that the register had in the window
     * @param mostAtFresh the most requests that a fresh node had within a second
     */
    public record Result(
            boolean peers,
            double served,
            long asked,
            long lost,
            long twice,
            List<Long> listedMillis,
            int killed,
            int listCalls,
            long mostAtFresh,
            List<String> findings) {
        /** One line for people. */
        public String line() {
            return String.format(
                    Locale.ROOT,
                    "%s view: served %.3f of %d, lost %d twice %d, new list after %s ms, list calls "
                            + "%d, most at a fresh node in a second %d",
                    peers ? "with" : "without",
                    served,
                    asked,
                    lost,
                    twice,
                    listedMillis.isEmpty()
                            ? "-"
                            : listedMillis.get(listedMillis.size() / 2) + " (median), "
                                    + listedMillis.get(listedMillis.size() - 1) + " (last of " + listedMillis.size()
                                    + " of " + killed + ")",
                    listCalls,
                    mostAtFresh);
        }
    }

    private final int processes;
    private final long seed;
    private final int seconds;
    private final long registerMillis;
    private final Path home;
    private final Consumer<String> out;
    private boolean untilListed;

    /**
     * @param seconds the window from the kill on
     * @param registerMillis what the register takes for a list while the herd is there
     * @param home a folder for the processes' files and logs
     */
    public Herd(int processes, long seed, int seconds, long registerMillis, Path home, Consumer<String> out) {
        this.processes = processes;
        this.seed = seed;
        this.seconds = seconds;
        this.registerMillis = registerMillis;
        this.home = home;
        this.out = out;
    }

    /** Ends the window as soon as all know the new list; for whoever asks whether and not how well. */
    public Herd untilListed() {
        untilListed = true;
        return this;
    }

    /** Plays it once. */
    public Result play(boolean peers) throws IOException, InterruptedException {
        try (Relay relay = new Relay(seed);
                StandIns stands = new StandIns(NODES);
                Proxies proxies = new Proxies(processes, home.resolve(peers ? "with" : "without"), relay, stands)) {
            Thread ended = new Thread(proxies::close);
            Runtime.getRuntime().addShutdownHook(ended);
            try {
                return play(peers, stands, proxies);
            } finally {
                Runtime.getRuntime().removeShutdownHook(ended);
            }
        }
    }

    private Result play(boolean peers, StandIns stands, Proxies proxies) throws IOException, InterruptedException {
        for (Proxies.Proxy proxy : proxies.all) {
            proxy.peers = peers;
            proxy.start();
        }
        await(() -> proxies.all.stream().allMatch(Proxies.Proxy::ready), "not all are ready");
        out.accept("all " + processes + " are ready");
        Clients clients = new Clients(proxies, Math.min(32, 2 * processes), seed);
        await(
                () -> clients.asked.stream()
                                .filter(asked -> asked.end() == Clients.End.SERVED)
                                .count()
                        >= SERVED_BEFORE * (long) processes,
                "not enough is served before the kill");
        String old = stands.list();
        List<Proxies.Proxy> killed = proxies.all.stream()
                .filter(proxy -> proxy.number % 10 < KILLED_OF_TEN)
                .toList();
        Queue<Referee.Blow> blows = new ConcurrentLinkedQueue<>();
        stands.registerMillis = registerMillis;
        int callsBefore = stands.listCalls.get();
        long begun = System.nanoTime();
        for (Proxies.Proxy proxy : killed) {
            blows.add(new Referee.Blow(proxy.number, System.nanoTime()));
            proxy.kill(false);
            proxy.known = old;
        }
        stands.replace(DEAD, FRESH);
        for (Proxies.Proxy proxy : killed) {
            proxy.start();
        }
        Map<Integer, Long> listed = new HashMap<>();
        String wanted = "cache_nodes_known:" + stands.size() + "|";
        long end = begun + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < end && !(untilListed && listed.size() == killed.size())) {
            for (Proxies.Proxy proxy : killed) {
                if (!listed.containsKey(proxy.number) && proxy.call("counters").contains(wanted)) {
                    listed.put(proxy.number, (System.nanoTime() - begun) / 1_000_000);
                }
            }
            LockSupport.parkNanos(LOOK_NANOS);
        }
        int calls = stands.listCalls.get() - callsBefore;
        clients.end();
        List<Clients.Asked> window = clients.asked.stream()
                .filter(asked -> asked.from() >= begun && asked.from() < end)
                .toList();
        long served = window.stream()
                .filter(asked -> asked.end() == Clients.End.SERVED)
                .count();
        Map<String, Integer> runs = new HashMap<>();
        stands.runs.forEach((id, many) -> runs.put(id, many.get()));
        Referee.Judgement judged = Referee.judge(clients.asked, runs, blows, GRACE_NANOS);
        List<Long> times = new ArrayList<>(listed.values());
        times.sort(null);
        return new Result(
                peers,
                window.isEmpty() ? 0 : (double) served / window.size(),
                window.size(),
                judged.lost(),
                judged.twice(),
                times,
                killed.size(),
                calls,
                stands.mostAtFreshInASecond(),
                judged.findings());
    }

    private static void await(java.util.function.BooleanSupplier holds, String wrong) throws IOException {
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS); !holds.getAsBoolean(); ) {
            if (System.nanoTime() > end) {
                throw new IOException(wrong + " after " + PATIENCE_SECONDS + " s");
            }
            LockSupport.parkNanos(LOOK_NANOS);
        }
    }
}
