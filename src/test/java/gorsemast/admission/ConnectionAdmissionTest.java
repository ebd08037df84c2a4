package gorsemast.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ConnectionAdmissionTest {
    private static final int CAPACITY = 16;
    /** Number of connections with a request up to which no idle one is closed. */
    private static final int IDLE_LIMIT = 10;

    private final ConnectionAdmission<String> admission = new ConnectionAdmission<>(CAPACITY);
    private long now = 1_000_000;

    private void idle(int from, int to) {
        for (int i = from; i < to; i++) {
            admission.opened(now, "c" + i);
            admission.requestReceived(now, "c" + i);
            admission.responseSent(now++, "c" + i);
        }
    }

    /** Incident r268a78: clients that sent one request held the whole capacity, and 70 of 100 requests were refused. */
    @Test
    void idleConnectionsAreClosedLongBeforeTheLimit() {
        idle(0, IDLE_LIMIT);
        assertEquals(List.of(), admission.connectionsToClose(now + ConnectionAdmission.RECENTLY_ANSWERED_MICROS));
        idle(IDLE_LIMIT, IDLE_LIMIT + 2);
        assertEquals(
                List.of("c0", "c1"), admission.connectionsToClose(now + ConnectionAdmission.RECENTLY_ANSWERED_MICROS));
    }

    @Test
    void longestIdleIsClosedRatherThanOldest() {
        idle(0, IDLE_LIMIT);
        admission.requestReceived(now, "c0");
        admission.responseSent(now, "c0");
        idle(IDLE_LIMIT, IDLE_LIMIT + 1);
        assertEquals(List.of("c1"), admission.connectionsToClose(now + ConnectionAdmission.RECENTLY_ANSWERED_MICROS));
    }

    @Test
    void busyConnectionsStay() {
        idle(0, IDLE_LIMIT + 2);
        admission.requestReceived(now, "c0");
        admission.requestReceived(now, "c1");
        assertEquals(
                List.of("c2", "c3"), admission.connectionsToClose(now + ConnectionAdmission.RECENTLY_ANSWERED_MICROS));
    }

    /** Clients of a draining process can't connect again, so their connections stay while there is capacity. */
    @Test
    void idleConnectionsStayDuringADrain() {
        admission.drain(0);
        idle(0, CAPACITY - 1);
        assertEquals(List.of(), admission.connectionsToClose(now));
        idle(CAPACITY - 1, CAPACITY);
        assertEquals(List.of("c0"), admission.connectionsToClose(now));
    }

    @Test
    void silentConnectionsAreClosedFirstAtTheLimit() {
        idle(0, IDLE_LIMIT);
        for (int i = IDLE_LIMIT; i < CAPACITY; i++) {
            admission.opened(now, "s" + i);
        }
        assertFalse(admission.hasCapacity());
        assertEquals(List.of("c0"), admission.connectionsToClose(now), "none has been silent for long enough");
        now += ConnectionAdmission.SILENT_MICROS + 1;
        List<String> silent = admission.connectionsToClose(now);
        assertEquals(CAPACITY - IDLE_LIMIT, silent.size());
        assertTrue(silent.stream().allMatch(connection -> connection.startsWith("s")));
    }

    @Test
    void rejectedConnectionsAreClosedAtTheLimit() {
        idle(0, IDLE_LIMIT);
        for (int i = IDLE_LIMIT; i < CAPACITY; i++) {
            admission.opened(now, "b" + i);
            admission.requestReceived(now, "b" + i);
        }
        admission.rejected(now, "b12");
        now += ConnectionAdmission.SILENT_MICROS + 1;
        assertTrue(admission.connectionsToClose(now).contains("b12"));
        admission.closed("b12");
        assertTrue(admission.hasCapacity());
    }

    @Test
    void nothingIsAcceptedWhileAllAreBusy() {
        for (int i = 0; i < CAPACITY; i++) {
            admission.opened(now, "c" + i);
            admission.requestReceived(now, "c" + i);
        }
        assertFalse(admission.hasCapacity());
        assertEquals(List.of(), admission.connectionsToClose(now));
        admission.closed("c3");
        assertTrue(admission.hasCapacity());
    }

    @Test
    void lowerCapacityClosesTheLongestIdle() {
        idle(0, IDLE_LIMIT);
        admission.setCapacity(4);
        assertEquals(
                List.of("c0", "c1", "c2", "c3", "c4", "c5", "c6", "c7"),
                admission
                        .connectionsToClose(now + ConnectionAdmission.RECENTLY_ANSWERED_MICROS)
                        .subList(0, 8));
    }

    /** In any order of events no busy connection is selected, none twice, and idle ones over the capacity are. */
    @Test
    void limitsHoldInAnyOrderOfEvents() {
        SplittableRandom random = new SplittableRandom(7);
        List<String> busy = new ArrayList<>();
        List<String> idle = new ArrayList<>();
        for (int step = 0; step < 20_000; step++) {
            now += random.nextInt(50_000);
            String connection = "g" + random.nextInt(40);
            busy.remove(connection);
            idle.remove(connection);
            switch (random.nextInt(5)) {
                case 0 -> admission.opened(now, connection);
                case 1 -> {
                    admission.requestReceived(now, connection);
                    busy.add(connection);
                }
                case 2 -> {
                    admission.responseSent(now, connection);
                    idle.add(connection);
                }
                case 3 -> admission.rejected(now, connection);
                default -> admission.closed(connection);
            }
            List<String> selected = admission.connectionsToClose(now);
            assertEquals(selected.size(), selected.stream().distinct().count());
            assertTrue(selected.stream().noneMatch(busy::contains));
            assertTrue(selected.stream().allMatch(g -> !g.equals(connection) || idle.contains(g) || !busy.contains(g)));
            selected.forEach(g -> {
                admission.closed(g);
                idle.remove(g);
            });
            assertTrue(admission.size() < CAPACITY || idle.isEmpty(), "an idle connection stays at the limit");
        }
    }

    private static void answered(ConnectionAdmission<Integer> admission, int connections) {
        for (int connection = 0; connection < connections; connection++) {
            admission.opened(0, connection);
            admission.requestReceived(0, connection);
            admission.responseSent(0, connection);
        }
    }

    @Test
    void drainKeepsTheLastConnectionsIdle() {
        ConnectionAdmission<Integer> admission = new ConnectionAdmission<>(100);
        answered(admission, 40);
        for (int connection = 10; connection < 40; connection++) {
            admission.requestReceived(0, connection);
        }
        assertFalse(admission.mustRefuseInDrain(0, false), "no drain");
        admission.drain(0);
        assertFalse(
                admission.mustRefuseInDrain(ConnectionAdmission.DRAIN_ACCEPT_MICROS, false),
                "clients may still open one more");
        long later = ConnectionAdmission.DRAIN_ACCEPT_MICROS + 1;
        assertFalse(admission.mustRefuseInDrain(later, false), "a quarter is free");
        admission.requestReceived(later, 0);
        assertTrue(admission.mustRefuseInDrain(later, false));
        assertFalse(admission.mustRefuseInDrain(later, true), "half of that is for the most important class");
        for (int connection = 1; connection < 6; connection++) {
            admission.requestReceived(later, connection);
        }
        assertTrue(admission.mustRefuseInDrain(later, true));
        admission.responseSent(later, 39);
        assertFalse(admission.mustRefuseInDrain(later, true));
    }

    @Test
    void drainOfFewConnectionsKeepsSomeIdleAndServes() {
        for (int connections : new int[] {1, 2, 5, 2 * ConnectionAdmission.DRAIN_IDLE_MIN}) {
            ConnectionAdmission<Integer> small = new ConnectionAdmission<>(100);
            small.drain(0);
            answered(small, connections);
            int accepted = 0;
            while (accepted < connections && !small.mustRefuseInDrain(1_000_000, false)) {
                small.requestReceived(1_000_000, accepted++);
            }
            assertEquals(
                    connections / 2 + 1, accepted, "of " + connections + " half serve, and one more until the refusal");
        }
    }

    @Test
    void recentlyAnsweredConnectionStays() {
        ConnectionAdmission<Integer> admission = new ConnectionAdmission<>(16);
        for (int connection = 0; connection < 12; connection++) {
            admission.opened(0, connection);
            admission.requestReceived(0, connection);
        }
        admission.responseSent(1_000, 3);
        admission.responseSent(2_000, 4);
        assertEquals(List.of(), admission.connectionsToClose(1_000), "over the idle limit, but answered recently");
        assertEquals(List.of(3), admission.connectionsToClose(1_000 + ConnectionAdmission.RECENTLY_ANSWERED_MICROS));
        assertEquals(List.of(3, 4), admission.connectionsToClose(2_000 + ConnectionAdmission.RECENTLY_ANSWERED_MICROS));
    }
}
