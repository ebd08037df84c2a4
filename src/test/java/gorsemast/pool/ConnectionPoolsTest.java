package gorsemast.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsemast.pool.ConnectionPools.OpenDecision;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ConnectionPoolsTest {
    private static final String NODE = "s-1";
    private final ConnectionPools pools = new ConnectionPools(40, new SplittableRandom(3));
    private long now = 1_000_000;

    private void open(String node, int count) {
        for (int i = 0; i < count; i++) {
            pools.connectStarted(now, node);
            pools.connected(node);
        }
    }

    /** Opens for {@code waiting} attempts as far as it is allowed; returns how many. */
    private int grow(String node, int waiting) {
        int opened = 0;
        while (pools.decideOpen(now, node, waiting) == OpenDecision.OPEN) {
            pools.connectStarted(now, node);
            opened++;
        }
        return opened;
    }

    @Test
    void opensOneForEachWaitingAttempt() {
        assertEquals(2, grow(NODE, 2));
        assertEquals(OpenDecision.WAIT, pools.decideOpen(now, NODE, 2));
    }

    /** A burst doubles the pool each round trip; opening all at once would overload the node with handshakes. */
    @Test
    void burstsOpenAtALimitedRate() {
        assertEquals(ConnectionPools.MIN_CONNECTING, grow(NODE, 30));
        for (int i = 0; i < ConnectionPools.MIN_CONNECTING; i++) {
            pools.connected(NODE);
        }
        assertEquals(ConnectionPools.MIN_CONNECTING, grow(NODE, 26));
        for (int i = 0; i < ConnectionPools.MIN_CONNECTING; i++) {
            pools.connected(NODE);
        }
        assertEquals(2 * ConnectionPools.MIN_CONNECTING, grow(NODE, 22));
    }

    @Test
    void failureWithNothingOpenCountsAgainstTheNode() {
        pools.connectStarted(now, NODE);
        assertTrue(pools.connectFailed(now, NODE));
        assertEquals(
                OpenDecision.OPEN, pools.decideOpen(now, NODE, 1), "the decision module paces requests to such a node");
    }

    /** If the node's table is full, the pool keeps its size and tries one more at growing intervals. */
    @Test
    void failureBesideOpenConnectionsSetsALimit() {
        open(NODE, 5);
        pools.connectStarted(now, NODE);
        assertFalse(pools.connectFailed(now, NODE));
        assertEquals(OpenDecision.WAIT, pools.decideOpen(now, NODE, 3));
        long last = 0;
        for (int i = 0; i < 8; i++) {
            long trial = pools.nextTrialAt(NODE) - now;
            assertTrue(trial <= ConnectionPools.MAX_INTERVAL_MICROS * 1.3, "trial after " + trial);
            assertTrue(i > 3 || trial > last, "trials further apart: " + last + ", " + trial);
            last = trial;
            now = pools.nextTrialAt(NODE);
            assertEquals(1, grow(NODE, 3), "one trial at a time");
            pools.connectFailed(now, NODE);
        }
        now = pools.nextTrialAt(NODE);
        assertEquals(1, grow(NODE, 3));
        pools.connected(NODE);
        assertEquals(6, pools.openCount(NODE));
        assertEquals(1, grow(NODE, 3), "it accepted one more, so the next is tried at once");
    }

    @Test
    void trialsOfManyProcessesAreSpread() {
        Map<Long, Integer> at = new HashMap<>();
        for (int seed = 0; seed < 100; seed++) {
            ConnectionPools other = new ConnectionPools(40, new SplittableRandom(seed));
            other.connectStarted(now, NODE);
            other.connected(NODE);
            other.connectStarted(now, NODE);
            other.connectFailed(now, NODE);
            at.merge((other.nextTrialAt(NODE) - now) / 10_000, 1, Integer::sum);
        }
        assertTrue(at.values().stream().allMatch(n -> n < 40), "trials by 10 ms: " + at);
    }

    @Test
    void nodeWithoutConnectionsGetsNoneAtTheLimit() {
        open("a", 40);
        assertEquals(OpenDecision.NONE, pools.decideOpen(now, NODE, 1));
        assertEquals(OpenDecision.WAIT, pools.decideOpen(now, "a", 1));
        assertEquals("a", pools.nodeWithMostIdle());
        for (int i = 0; i < 40; i++) {
            pools.acquired(now, "a");
        }
        assertNull(pools.nodeWithMostIdle());
    }

    /** A long response may hold its connection for seconds: at the limit an idle one elsewhere is given up for it. */
    @Test
    void nodeWhoseConnectionsAllStreamReplacesAnIdleOneAtTheLimit() {
        open("a", 39);
        open(NODE, 1);
        pools.acquired(now, NODE);
        assertEquals(OpenDecision.WAIT, pools.decideOpen(now, NODE, 1), "its response is short as far as is known");
        pools.streamStarted(NODE);
        assertEquals(OpenDecision.REPLACE, pools.decideOpen(now, NODE, 1));
        pools.streamEnded(NODE);
        assertEquals(OpenDecision.WAIT, pools.decideOpen(now, NODE, 1));
    }

    @Test
    void scarceDescriptorsAreShared() {
        open("a", 30);
        open("b", 3);
        open("c", 3);
        assertEquals(OpenDecision.WAIT, pools.decideOpen(now, "a", 1), "a has more than twice its share");
        assertEquals(OpenDecision.OPEN, pools.decideOpen(now, "b", 1));
    }

    /** Connections to a node that closes them often are reopened before they are needed, as far as earlier uses allow. */
    @Test
    void sparesAreOpenedForThePeakInUse() {
        open(NODE, 3);
        for (int i = 0; i < 30; i++) {
            pools.acquired(now, NODE);
            pools.acquired(now, NODE);
            pools.released(NODE);
            pools.released(NODE);
        }
        pools.closed(NODE);
        assertFalse(pools.shouldOpenSpare(now, NODE), "two are open, as many as were in use at once");
        pools.closed(NODE);
        assertTrue(pools.shouldOpenSpare(now, NODE));
        pools.connectStarted(now, NODE);
        assertFalse(pools.shouldOpenSpare(now, NODE), "one is being opened");
        pools.connectFailed(now, NODE);
        now += 10 * ConnectionPools.HALF_LIFE_MICROS;
        assertFalse(pools.shouldOpenSpare(now, NODE), "unused for long");
    }

    @Test
    void sparesAreLimitedByUses() {
        int opened = 0;
        for (int i = 0; i < 1_000; i++) {
            open(NODE, 1);
            pools.acquired(now, NODE);
            pools.acquired(now, NODE);
            pools.released(NODE);
            pools.released(NODE);
            pools.closed(NODE);
            if (pools.shouldOpenSpare(now, NODE)) {
                pools.connectStarted(now, NODE);
                pools.connectFailed(now, NODE);
                opened++;
            }
        }
        assertTrue(opened > 0 && opened <= 2_000 / ConnectionPools.USES_PER_SPARE + 4, "spares opened: " + opened);
    }

    /** Node ids are never reused, so the record of a removed node must go with its last connection. */
    @Test
    void removedNodesAreForgotten() {
        for (int i = 0; i < 100; i++) {
            String node = "n" + i;
            open(node, 2);
            pools.acquired(now, node);
            pools.connectStarted(now, node);
            pools.closed(node);
            pools.removeNode(node);
            assertEquals(1, pools.nodes(), "one is open and one is being opened");
            pools.connectFailed(now, node);
            pools.closed(node);
            pools.released(node);
            assertEquals(0, pools.nodes());
        }
        assertEquals(0, pools.total());
    }

    /** Counts match a model and stay within the limit in any order of events. */
    @Test
    void limitsHoldInAnyOrderOfEvents() {
        SplittableRandom random = new SplittableRandom(11);
        Map<String, int[]> model = new HashMap<>();
        for (int step = 0; step < 50_000; step++) {
            now += random.nextInt(20_000);
            String node = "n" + random.nextInt(6);
            int[] m = model.computeIfAbsent(node, n -> new int[3]);
            switch (random.nextInt(6)) {
                case 0, 1 -> {
                    if (pools.decideOpen(now, node, 1 + random.nextInt(9)) == OpenDecision.OPEN) {
                        pools.connectStarted(now, node);
                        m[1]++;
                    }
                }
                case 2 -> {
                    if (m[1] > 0) {
                        pools.connected(node);
                        m[1]--;
                        m[0]++;
                    }
                }
                case 3 -> {
                    if (m[1] > 0) {
                        assertEquals(m[0] == 0, pools.connectFailed(now, node));
                        m[1]--;
                    }
                }
                case 4 -> {
                    if (m[0] > m[2]) {
                        pools.acquired(now, node);
                        m[2]++;
                    }
                }
                default -> {
                    if (m[2] > 0) {
                        pools.released(node);
                        m[2]--;
                    } else if (m[0] > 0) {
                        pools.closed(node);
                        m[0]--;
                    }
                }
            }
            assertEquals(m[0], pools.openCount(node));
            assertEquals(m[1], pools.connectingCount(node));
            assertTrue(pools.total() <= 40);
            assertEquals(model.values().stream().mapToInt(x -> x[0] + x[1]).sum(), pools.total());
        }
    }
}
