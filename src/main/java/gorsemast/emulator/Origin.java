package gorsemast.emulator;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Models the one slow store behind all cache nodes: a number of workers and an unbounded queue.
 *
 * <p>Service times are exponential (M/M/c for Poisson arrivals). Work that a node has abandoned is still done, as an
 * origin does not learn of that. O(1) per event.
 */
final class Origin {
    private record Work(long serviceMicros, Runnable done) {}

    private final VirtualTime time;
    private final SplittableRandom random;
    private final int workers;
    private final long meanMicros;
    private final ArrayDeque<Work> queue = new ArrayDeque<>();
    private final Map<String, Integer> fetchesByKey = new HashMap<>();
    private int busyWorkers;
    private double slowdown = 1;
    long fetches;
    long writes;
    int longestQueue;

    Origin(VirtualTime time, SplittableRandom random, int workers, long meanMicros) {
        this.time = time;
        this.random = random;
        this.workers = workers;
        this.meanMicros = meanMicros;
    }

    /** Multiplies the service time of all work that begins from now on. */
    void setSlowdown(double factor) {
        slowdown = factor;
    }

    void fetch(String key, Runnable done) {
        fetches++;
        fetchesByKey.merge(key, 1, Integer::sum);
        submit(done);
    }

    void write(Runnable done) {
        writes++;
        submit(done);
    }

    /** Number of fetches of the key fetched most often. */
    int maxFetchesOfOneKey() {
        return fetchesByKey.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    /** Number of distinct keys fetched. */
    int keysFetched() {
        return fetchesByKey.size();
    }

    private void submit(Runnable done) {
        Work work = new Work((long) (-Math.log(1 - random.nextDouble()) * meanMicros * slowdown), done);
        if (busyWorkers == workers) {
            queue.add(work);
            longestQueue = Math.max(longestQueue, queue.size());
        } else {
            busyWorkers++;
            execute(work);
        }
    }

    private void execute(Work work) {
        time.after(work.serviceMicros, () -> {
            Work next = queue.poll();
            if (next != null) {
                execute(next);
            } else {
                busyWorkers--;
            }
            work.done.run();
        });
    }
}
