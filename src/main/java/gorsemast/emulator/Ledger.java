package gorsemast.emulator;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The one slow store behind all cache nodes: so many hands, and a row before them that knows no bound.
 *
 * <p>Model: M/G/c with exponential service about a mean. Work that its node has given up on meanwhile is still done, as
 * a ledger does not know of that. O(1) an event.
 */
final class Ledger {
    private record Work(long took, Runnable done) {}

    private final VirtualTime time;
    private final SplittableRandom random;
    private final int hands;
    private final long meanMicros;
    private final ArrayDeque<Work> row = new ArrayDeque<>();
    private final Map<String, Integer> fetchesByKey = new HashMap<>();
    private int busy;
    private double slower = 1;
    long fetches;
    long writes;
    int longestRow;

    Ledger(VirtualTime time, SplittableRandom random, int hands, long meanMicros) {
        this.time = time;
        this.random = random;
        this.hands = hands;
        this.meanMicros = meanMicros;
    }

    /** All that begins from now on takes so many times as long. */
    void slower(double factor) {
        slower = factor;
    }

    void fetch(String key, Runnable done) {
        fetches++;
        fetchesByKey.merge(key, 1, Integer::sum);
        begin(done);
    }

    void write(Runnable done) {
        writes++;
        begin(done);
    }

    /** How often the key that was fetched most was fetched. */
    int mostFetched() {
        return fetchesByKey.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    /** How many keys were fetched. */
    int keysFetched() {
        return fetchesByKey.size();
    }

    private void begin(Runnable done) {
        Work work = new Work((long) (-Math.log(1 - random.nextDouble()) * meanMicros * slower), done);
        if (busy == hands) {
            row.add(work);
            longestRow = Math.max(longestRow, row.size());
        } else {
            busy++;
            carry(work);
        }
    }

    private void carry(Work work) {
        time.after(work.took, () -> {
            Work next = row.poll();
            if (next != null) {
                carry(next);
            } else {
                busy--;
            }
            work.done.run();
        });
    }
}
