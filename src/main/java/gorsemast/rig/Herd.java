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
 * Thundering-herd experiment: seven of ten processes are killed at once under load while half of the cache nodes are
 * replaced. They restart with the old list and call a discovery service that is overloaded. The difference between a run
 * with the fleet view and one without shows the benefit of obtaining the list from other processes.
 *
 * <p>Blocks; every wait for a condition is bounded.
 */
public final class Herd {
    /** Processes killed out of every ten. */
    private static final int KILLED_PER_TEN = 7;

    private static final int NODES = 12;
    private static final int NODES_KILLED = 6;
    /** One more than are killed, so that the size of the list shows which list a process has. */
    private static final int NODES_ADDED = 7;

    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(40);
    private static final long GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int PATIENCE_SECONDS = 60;
    /** Requests served per process before the kill. */
    private static final int SERVED_PER_PROCESS_BEFORE = 8;

    /**
     * Result of a run.
     *
     * @param served served share of the requests that began in the window after the kill
     * @param listedMillis time from the kill until each killed process knew the new list, sorted; shorter if some never did
     * @param listCalls calls to the discovery service in the window
     * @param mostAtFresh largest number of requests to a new node within a second
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
        /** Returns a one-line summary. */
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
    private final long discoveryMillis;
    private final Path home;
    private final Consumer<String> out;
    private boolean untilListed;

    /**
     * @param seconds length of the window after the kill
     * @param discoveryMillis time that the discovery service needs for a list after the kill
     * @param home folder for the files and logs of the processes
     */
    public Herd(int processes, long seed, int seconds, long discoveryMillis, Path home, Consumer<String> out) {
        this.processes = processes;
        this.seed = seed;
        this.seconds = seconds;
        this.discoveryMillis = discoveryMillis;
        this.home = home;
        this.out = out;
    }

    /** Ends the window as soon as all killed processes know the new list; for tests that need no measurement. */
    public Herd untilListed() {
        untilListed = true;
        return this;
    }

    /** Runs the experiment once, with or without the fleet view. */
    public Result run(boolean peers) throws IOException, InterruptedException {
        try (Relay relay = new Relay(seed);
                StandIns stands = new StandIns(NODES);
                Proxies proxies = new Proxies(processes, home.resolve(peers ? "with" : "without"), relay, stands)) {
            Thread ended = new Thread(proxies::close);
            Runtime.getRuntime().addShutdownHook(ended);
            try {
                return runProcesses(peers, stands, proxies);
            } finally {
                Runtime.getRuntime().removeShutdownHook(ended);
            }
        }
    }

    private Result runProcesses(boolean peers, StandIns standIns, Proxies proxies)
            throws IOException, InterruptedException {
        for (Proxies.Proxy proxy : proxies.all) {
            proxy.peers = peers;
            proxy.start();
        }
        await(() -> proxies.all.stream().allMatch(Proxies.Proxy::ready), "not all processes are ready");
        out.accept("all " + processes + " are ready");
        Clients clients = new Clients(proxies, Math.min(32, 2 * processes), seed);
        await(
                () -> clients.records.stream()
                                .filter(asked -> asked.outcome() == Clients.Outcome.SERVED)
                                .count()
                        >= SERVED_PER_PROCESS_BEFORE * (long) processes,
                "too few requests served before the kill");
        String old = standIns.listDocument();
        List<Proxies.Proxy> killed = proxies.all.stream()
                .filter(proxy -> proxy.number % 10 < KILLED_PER_TEN)
                .toList();
        Queue<RunChecker.ProcessFault> faults = new ConcurrentLinkedQueue<>();
        standIns.discoveryMillis = discoveryMillis;
        int callsBefore = standIns.listCalls.get();
        long killedAt = System.nanoTime();
        for (Proxies.Proxy proxy : killed) {
            faults.add(new RunChecker.ProcessFault(proxy.number, System.nanoTime()));
            proxy.kill(false);
            faults.add(new RunChecker.ProcessFault(proxy.number, System.nanoTime())); // ends later than ordered
            proxy.startList = old;
        }
        standIns.replace(NODES_KILLED, NODES_ADDED);
        for (Proxies.Proxy proxy : killed) {
            proxy.start();
        }
        Map<Integer, Long> listed = new HashMap<>();
        String expectedCounter = "cache_nodes_known:" + standIns.size() + "|";
        long end = killedAt + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < end && !(untilListed && listed.size() == killed.size())) {
            for (Proxies.Proxy proxy : killed) {
                if (!listed.containsKey(proxy.number)
                        && proxy.adminCall("counters").contains(expectedCounter)) {
                    listed.put(proxy.number, (System.nanoTime() - killedAt) / 1_000_000);
                }
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
        int calls = standIns.listCalls.get() - callsBefore;
        clients.stop();
        List<Clients.RequestRecord> window = clients.records.stream()
                .filter(asked -> asked.from() >= killedAt && asked.from() < end)
                .toList();
        long served = window.stream()
                .filter(asked -> asked.outcome() == Clients.Outcome.SERVED)
                .count();
        Map<String, Integer> runs = new HashMap<>();
        standIns.runs.forEach((id, many) -> runs.put(id, many.get()));
        RunChecker.Verdict verdict = RunChecker.check(clients.records, runs, faults, GRACE_NANOS);
        List<Long> times = new ArrayList<>(listed.values());
        times.sort(null);
        return new Result(
                peers,
                window.isEmpty() ? 0 : (double) served / window.size(),
                window.size(),
                verdict.lost(),
                verdict.twice(),
                times,
                killed.size(),
                calls,
                standIns.maxRequestsPerSecondAtNewNode(),
                verdict.findings());
    }

    private static void await(java.util.function.BooleanSupplier condition, String failure) throws IOException {
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS); !condition.getAsBoolean(); ) {
            if (System.nanoTime() > end) {
                throw new IOException(failure + " after " + PATIENCE_SECONDS + " s");
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }
}
