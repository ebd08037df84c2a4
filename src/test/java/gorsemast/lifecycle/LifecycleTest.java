package gorsemast.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsemast.lifecycle.Lifecycle.Phase;
import org.junit.jupiter.api.Test;

class LifecycleTest {
    private static final long SERVE_ON_MICROS = 3_000_000;
    private static final long PERIOD_MICROS = 100_000;
    private final Lifecycle lifecycle = new Lifecycle();

    @Test
    void isReadyOnlyOnceStarted() {
        assertFalse(lifecycle.ready());
        assertFalse(lifecycle.quiesce(0));
        assertFalse(lifecycle.resume());
        lifecycle.started();
        assertTrue(lifecycle.ready());
        assertFalse(lifecycle.isClosing(Long.MAX_VALUE - 1));
    }

    @Test
    void drainsOnceTheLoadBalancerHasNoticedAndResumes() {
        lifecycle.started();
        assertTrue(lifecycle.quiesce(1_000));
        assertFalse(lifecycle.ready());
        assertFalse(lifecycle.addressReady());
        assertFalse(lifecycle.isClosing(1_000 + Lifecycle.PROBE_REACTION_MICROS - 1));
        assertTrue(lifecycle.isClosing(1_000 + Lifecycle.PROBE_REACTION_MICROS));
        assertTrue(lifecycle.quiesce(900_000), "a repeated call has no effect");
        assertTrue(
                lifecycle.isClosing(1_000 + Lifecycle.PROBE_REACTION_MICROS), "the start of closing is not postponed");
        assertTrue(lifecycle.resume());
        assertTrue(lifecycle.ready());
        assertFalse(lifecycle.isClosing(10_000_000));
    }

    @Test
    void spreadsTheClosingOfIdleConnections() {
        lifecycle.started();
        lifecycle.quiesce(0);
        int idleConnections = 200;
        int maxClosed = 0;
        for (long now = 0;
                now <= Lifecycle.PROBE_REACTION_MICROS + Lifecycle.IDLE_CLOSE_SPREAD_MICROS;
                now += PERIOD_MICROS) {
            int closed = lifecycle.idleConnectionsToClose(now, idleConnections, PERIOD_MICROS);
            assertTrue(closed <= idleConnections);
            maxClosed = Math.max(maxClosed, closed);
            idleConnections -= closed;
        }
        assertEquals(0, idleConnections);
        assertTrue(maxClosed <= 30, "closed at once: " + maxClosed);
    }

    @Test
    void stopsLateWithoutASuccessorAndAtOnceWithOne() {
        lifecycle.started();
        lifecycle.terminate(0, false, SERVE_ON_MICROS);
        assertEquals(Phase.STOPPING, lifecycle.phase());
        assertFalse(lifecycle.addressReady());
        assertFalse(lifecycle.isClosing(SERVE_ON_MICROS - 1));
        assertEquals(7, lifecycle.idleConnectionsToClose(SERVE_ON_MICROS, 7, PERIOD_MICROS));

        Lifecycle old = new Lifecycle();
        old.started();
        old.terminate(5, true, SERVE_ON_MICROS);
        assertTrue(old.isClosing(5));
        assertFalse(old.ready());
        assertTrue(old.addressReady(), "the address is served by the successor");
        assertTrue(old.isEnding());
    }

    @Test
    void drainedProxyClosesConnectionsAtOnce() {
        lifecycle.started();
        lifecycle.quiesce(0);
        lifecycle.terminate(2_000_000, false, SERVE_ON_MICROS);
        assertTrue(lifecycle.isClosing(2_000_000));
        assertFalse(lifecycle.resume());
    }

    /** The successor was still starting when the signal arrived. */
    @Test
    void handsOverAsSoonAsASuccessorStarts() {
        lifecycle.started();
        lifecycle.successorStarted(1);
        assertEquals(Phase.SERVING, lifecycle.phase(), "only a stopping proxy hands over");
        lifecycle.terminate(2, false, SERVE_ON_MICROS);
        assertFalse(lifecycle.isClosing(3));
        lifecycle.successorStarted(3);
        assertEquals(Phase.HANDING_OVER, lifecycle.phase());
        assertTrue(lifecycle.isClosing(3));
        assertTrue(lifecycle.addressReady());
    }
}
