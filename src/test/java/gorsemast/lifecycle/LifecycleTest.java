package gorsemast.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsemast.lifecycle.Lifecycle.Phase;
import org.junit.jupiter.api.Test;

class LifecycleTest {
    private static final long SERVE_ON = 3_000_000;
    private static final long PERIOD = 100_000;
    private final Lifecycle life = new Lifecycle();

    @Test
    void isReadyOnlyOnceStarted() {
        assertFalse(life.ready());
        assertFalse(life.quiesce(0));
        assertFalse(life.resume());
        life.started();
        assertTrue(life.ready());
        assertFalse(life.isClosing(Long.MAX_VALUE - 1));
    }

    @Test
    void emptiesOnceTheFrontHasNoticedAndTakesClientsAgain() {
        life.started();
        assertTrue(life.quiesce(1_000));
        assertFalse(life.ready());
        assertFalse(life.addressReady());
        assertFalse(life.isClosing(1_000 + Lifecycle.PROBE_REACTION_MICROS - 1));
        assertTrue(life.isClosing(1_000 + Lifecycle.PROBE_REACTION_MICROS));
        assertTrue(life.quiesce(900_000), "again is harmless");
        assertTrue(life.isClosing(1_000 + Lifecycle.PROBE_REACTION_MICROS), "and does not put it off");
        assertTrue(life.resume());
        assertTrue(life.ready());
        assertFalse(life.isClosing(10_000_000));
    }

    @Test
    void spreadsWhatItClosesAndLeavesNothing() {
        life.started();
        life.quiesce(0);
        int free = 200;
        int most = 0;
        for (long now = 0; now <= Lifecycle.PROBE_REACTION_MICROS + Lifecycle.IDLE_CLOSE_SPREAD_MICROS; now += PERIOD) {
            int closed = life.idleConnectionsToClose(now, free, PERIOD);
            assertTrue(closed <= free);
            most = Math.max(most, closed);
            free -= closed;
        }
        assertEquals(0, free);
        assertTrue(most <= 30, "at once: " + most);
    }

    @Test
    void stopsLateWhereNobodyFollowsAndAtOnceWhereSomebodyDoes() {
        life.started();
        life.terminate(0, false, SERVE_ON);
        assertEquals(Phase.STOPPING, life.phase());
        assertFalse(life.addressReady());
        assertFalse(life.isClosing(SERVE_ON - 1));
        assertEquals(7, life.idleConnectionsToClose(SERVE_ON, 7, PERIOD));

        Lifecycle old = new Lifecycle();
        old.started();
        old.terminate(5, true, SERVE_ON);
        assertTrue(old.isClosing(5));
        assertFalse(old.ready());
        assertTrue(old.addressReady(), "the address is served by the successor");
        assertTrue(old.isEnding());
    }

    @Test
    void anEmptiedProxyNeedNotServeOn() {
        life.started();
        life.quiesce(0);
        life.terminate(2_000_000, false, SERVE_ON);
        assertTrue(life.isClosing(2_000_000));
        assertFalse(life.resume());
    }

    /** The successor was still warming up when the signal came. */
    @Test
    void leavesAsSoonAsSomebodyFollows() {
        life.started();
        life.successorStarted(1);
        assertEquals(Phase.SERVING, life.phase(), "only who is to end leaves");
        life.terminate(2, false, SERVE_ON);
        assertFalse(life.isClosing(3));
        life.successorStarted(3);
        assertEquals(Phase.HANDING_OVER, life.phase());
        assertTrue(life.isClosing(3));
        assertTrue(life.addressReady());
    }
}
