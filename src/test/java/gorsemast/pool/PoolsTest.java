package gorsemast.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsemast.pool.Pools.Room;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class PoolsTest {
    private static final String NODE = "s-1";
    private final Pools pools = new Pools(40, new SplittableRandom(3));
    private long now = 1_000_000;

    private void open(String node, int count) {
        for (int i = 0; i < count; i++) {
            pools.opening(now, node);
            pools.up(node);
        }
    }

    /** Opens for {@code waiting} attempts as far as it is allowed; returns how many. */
    private int grow(String node, int waiting) {
        int opened = 0;
        while (pools.room(now, node, waiting) == Room.OPEN) {
            pools.opening(now, node);
            opened++;
        }
        return opened;
    }

    @Test
    void opensOneForEachThatWaitsAndNoMore() {
        assertEquals(2, grow(NODE, 2));
        assertEquals(Room.WAIT, pools.room(now, NODE, 2));
    }

    /** A burst doubles the pool each round trip; all at once would be a storm of handshakes. */
    @Test
    void burstsOpenAtABoundedPace() {
        assertEquals(Pools.FIRST, grow(NODE, 30));
        for (int i = 0; i < Pools.FIRST; i++) {
            pools.up(NODE);
        }
        assertEquals(Pools.FIRST, grow(NODE, 26));
        for (int i = 0; i < Pools.FIRST; i++) {
            pools.up(NODE);
        }
        assertEquals(2 * Pools.FIRST, grow(NODE, 22));
    }

    @Test
    void aFailureWithNothingOpenTellsOfTheNode() {
        pools.opening(now, NODE);
        assertTrue(pools.failed(now, NODE));
        assertEquals(Room.OPEN, pools.room(now, NODE, 1), "the module paces what goes to such a node");
    }

    /** The table of the node is full: what it let in is kept to, and one more is tried, later each time. */
    @Test
    void aFailureBesideOpenOnesIsABoundAndNotADeadNode() {
        open(NODE, 5);
        pools.opening(now, NODE);
        assertFalse(pools.failed(now, NODE));
        assertEquals(Room.WAIT, pools.room(now, NODE, 3));
        long last = 0;
        for (int i = 0; i < 8; i++) {
            long trial = pools.trialAt(NODE) - now;
            assertTrue(trial <= Pools.LONGEST_MICROS * 1.3, "trial after " + trial);
            assertTrue(i > 3 || trial > last, "trials further apart: " + last + ", " + trial);
            last = trial;
            now = pools.trialAt(NODE);
            assertEquals(1, grow(NODE, 3), "one trial at a time");
            pools.failed(now, NODE);
        }
        now = pools.trialAt(NODE);
        assertEquals(1, grow(NODE, 3));
        pools.up(NODE);
        assertEquals(6, pools.open(NODE));
        assertEquals(1, grow(NODE, 3), "it has let one more in, so the next is tried at once");
    }

    @Test
    void trialsOfManyProcessesAreSpread() {
        Map<Long, Integer> at = new HashMap<>();
        for (int seed = 0; seed < 100; seed++) {
            Pools other = new Pools(40, new SplittableRandom(seed));
            other.opening(now, NODE);
            other.up(NODE);
            other.opening(now, NODE);
            other.failed(now, NODE);
            at.merge((other.trialAt(NODE) - now) / 10_000, 1, Integer::sum);
        }
        assertTrue(at.values().stream().allMatch(n -> n < 40), "so many in one 10 ms: " + at);
    }

    @Test
    void atTheBoundWhoHasNoneGetsNone() {
        open("a", 40);
        assertEquals(Room.NONE, pools.room(now, NODE, 1));
        assertEquals(Room.WAIT, pools.room(now, "a", 1));
        assertEquals("a", pools.crowded());
        for (int i = 0; i < 40; i++) {
            pools.taken(now, "a");
        }
        assertNull(pools.crowded());
    }

    @Test
    void descriptorsAreSharedOutWhenTheyRunShort() {
        open("a", 30);
        open("b", 3);
        open("c", 3);
        assertEquals(Room.WAIT, pools.room(now, "a", 1), "a has more than twice its share");
        assertEquals(Room.OPEN, pools.room(now, "b", 1));
    }

    /** A node that closes often gets its connections back before they are asked for, as far as uses earned them. */
    @Test
    void keepsWarmForTheUsualRate() {
        open(NODE, 3);
        for (int i = 0; i < 30; i++) {
            pools.taken(now, NODE);
            pools.taken(now, NODE);
            pools.given(NODE);
            pools.given(NODE);
        }
        pools.closed(NODE);
        assertFalse(pools.spare(now, NODE), "two are as many as are used at once");
        pools.closed(NODE);
        assertTrue(pools.spare(now, NODE));
        pools.opening(now, NODE);
        assertFalse(pools.spare(now, NODE), "one is coming up");
        pools.failed(now, NODE);
        now += 10 * Pools.HALF_LIFE_MICROS;
        assertFalse(pools.spare(now, NODE), "nobody has asked for long");
    }

    @Test
    void sparesAreEarnedByUses() {
        int opened = 0;
        for (int i = 0; i < 1_000; i++) {
            open(NODE, 1);
            pools.taken(now, NODE);
            pools.taken(now, NODE);
            pools.given(NODE);
            pools.given(NODE);
            pools.closed(NODE);
            if (pools.spare(now, NODE)) {
                pools.opening(now, NODE);
                pools.failed(now, NODE);
                opened++;
            }
        }
        assertTrue(opened > 0 && opened <= 2_000 / Pools.USES_PER_SPARE + 4, "opened ahead: " + opened);
    }

    /** Ids of nodes are ever new: what is kept for one that has left must go with its last connection. */
    @Test
    void nodesThatLeaveAreForgotten() {
        for (int i = 0; i < 100; i++) {
            String node = "n" + i;
            open(node, 2);
            pools.taken(now, node);
            pools.opening(now, node);
            pools.closed(node);
            pools.forget(node);
            assertEquals(1, pools.nodes(), "one is open and one is coming up");
            pools.failed(now, node);
            pools.closed(node);
            pools.given(node);
            assertEquals(0, pools.nodes());
        }
        assertEquals(0, pools.total());
    }

    /** Counts never go below nothing nor over the bound, whatever comes in whatever order. */
    @Test
    void holdsItsBoundsInAnyOrderOfEvents() {
        SplittableRandom random = new SplittableRandom(11);
        Map<String, int[]> model = new HashMap<>();
        for (int step = 0; step < 50_000; step++) {
            now += random.nextInt(20_000);
            String node = "n" + random.nextInt(6);
            int[] m = model.computeIfAbsent(node, n -> new int[3]);
            switch (random.nextInt(6)) {
                case 0, 1 -> {
                    if (pools.room(now, node, 1 + random.nextInt(9)) == Room.OPEN) {
                        pools.opening(now, node);
                        m[1]++;
                    }
                }
                case 2 -> {
                    if (m[1] > 0) {
                        pools.up(node);
                        m[1]--;
                        m[0]++;
                    }
                }
                case 3 -> {
                    if (m[1] > 0) {
                        assertEquals(m[0] == 0, pools.failed(now, node));
                        m[1]--;
                    }
                }
                case 4 -> {
                    if (m[0] > m[2]) {
                        pools.taken(now, node);
                        m[2]++;
                    }
                }
                default -> {
                    if (m[2] > 0) {
                        pools.given(node);
                        m[2]--;
                    } else if (m[0] > 0) {
                        pools.closed(node);
                        m[0]--;
                    }
                }
            }
            assertEquals(m[0], pools.open(node));
            assertEquals(m[1], pools.opening(node));
            assertTrue(pools.total() <= 40);
            assertEquals(model.values().stream().mapToInt(x -> x[0] + x[1]).sum(), pools.total());
        }
    }
}
