package gorsemast.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ConnectionAdmissionTest {
    private static final int PLACES = 16;
    /** So many of them may have asked before idle ones go. */
    private static final int KEPT = 10;

    private final ConnectionAdmission<String> door = new ConnectionAdmission<>(PLACES);
    private long now = 1_000_000;

    private void idle(int from, int to) {
        for (int i = from; i < to; i++) {
            door.opened(now, "c" + i);
            door.requestReceived(now, "c" + i);
            door.responseSent(now++, "c" + i);
        }
    }

    /** What the incident r268a78 was: all places taken by those that asked once, and 70 of 100 refused. */
    @Test
    void idleOnesGoLongBeforeThePlacesEnd() {
        idle(0, KEPT);
        assertEquals(List.of(), door.connectionsToClose(now + ConnectionAdmission.RECENTLY_ANSWERED_MICROS));
        idle(KEPT, KEPT + 2);
        assertEquals(List.of("c0", "c1"), door.connectionsToClose(now + ConnectionAdmission.RECENTLY_ANSWERED_MICROS));
    }

    @Test
    void theLongestIdleGoesAndNotTheLongestThere() {
        idle(0, KEPT);
        door.requestReceived(now, "c0");
        door.responseSent(now, "c0");
        idle(KEPT, KEPT + 1);
        assertEquals(List.of("c1"), door.connectionsToClose(now + ConnectionAdmission.RECENTLY_ANSWERED_MICROS));
    }

    @Test
    void whoIsBusyStays() {
        idle(0, KEPT + 2);
        door.requestReceived(now, "c0");
        door.requestReceived(now, "c1");
        assertEquals(List.of("c2", "c3"), door.connectionsToClose(now + ConnectionAdmission.RECENTLY_ANSWERED_MICROS));
    }

    /** Clients of a draining process can't come back, so their connections stay while there is room. */
    @Test
    void idleOnesStayDuringADrain() {
        door.drain(0);
        idle(0, PLACES - 1);
        assertEquals(List.of(), door.connectionsToClose(now));
        idle(PLACES - 1, PLACES);
        assertEquals(List.of("c0"), door.connectionsToClose(now));
    }

    @Test
    void silentOnesGoFirstAtTheBound() {
        idle(0, KEPT);
        for (int i = KEPT; i < PLACES; i++) {
            door.opened(now, "s" + i);
        }
        assertFalse(door.hasCapacity());
        assertEquals(List.of("c0"), door.connectionsToClose(now), "nobody has been silent for long enough");
        now += ConnectionAdmission.SILENT_MICROS + 1;
        List<String> silent = door.connectionsToClose(now);
        assertEquals(PLACES - KEPT, silent.size());
        assertTrue(silent.stream().allMatch(guest -> guest.startsWith("s")));
    }

    @Test
    void turnedAwayOnesGoAtTheBound() {
        idle(0, KEPT);
        for (int i = KEPT; i < PLACES; i++) {
            door.opened(now, "b" + i);
            door.requestReceived(now, "b" + i);
        }
        door.rejected(now, "b12");
        now += ConnectionAdmission.SILENT_MICROS + 1;
        assertTrue(door.connectionsToClose(now).contains("b12"));
        door.closed("b12");
        assertTrue(door.hasCapacity());
    }

    @Test
    void whereAllAreBusyNobodyMoreComesIn() {
        for (int i = 0; i < PLACES; i++) {
            door.opened(now, "c" + i);
            door.requestReceived(now, "c" + i);
        }
        assertFalse(door.hasCapacity());
        assertEquals(List.of(), door.connectionsToClose(now));
        door.closed("c3");
        assertTrue(door.hasCapacity());
    }

    @Test
    void fewerPlacesMakeTheLongestIdleGo() {
        idle(0, KEPT);
        door.setCapacity(4);
        assertEquals(
                List.of("c0", "c1", "c2", "c3", "c4", "c5", "c6", "c7"),
                door.connectionsToClose(now + ConnectionAdmission.RECENTLY_ANSWERED_MICROS)
                        .subList(0, 8));
    }

    /** Whatever happens: who is busy is never named, nobody is named twice, and what is over is named if idle. */
    @Test
    void holdsItsBoundsInAnyOrderOfEvents() {
        SplittableRandom random = new SplittableRandom(7);
        List<String> busy = new ArrayList<>();
        List<String> idle = new ArrayList<>();
        for (int step = 0; step < 20_000; step++) {
            now += random.nextInt(50_000);
            String guest = "g" + random.nextInt(40);
            busy.remove(guest);
            idle.remove(guest);
            switch (random.nextInt(5)) {
                case 0 -> door.opened(now, guest);
                case 1 -> {
                    door.requestReceived(now, guest);
                    busy.add(guest);
                }
                case 2 -> {
                    door.responseSent(now, guest);
                    idle.add(guest);
                }
                case 3 -> door.rejected(now, guest);
                default -> door.closed(guest);
            }
            List<String> gone = door.connectionsToClose(now);
            assertEquals(gone.size(), gone.stream().distinct().count());
            assertTrue(gone.stream().noneMatch(busy::contains));
            assertTrue(gone.stream().allMatch(g -> !g.equals(guest) || idle.contains(g) || !busy.contains(g)));
            gone.forEach(g -> {
                door.closed(g);
                idle.remove(g);
            });
            assertTrue(door.size() < PLACES || idle.isEmpty(), "an idle one stays while nobody more may come in");
        }
    }

    private static void answered(ConnectionAdmission<Integer> door, int guests) {
        for (int guest = 0; guest < guests; guest++) {
            door.opened(0, guest);
            door.requestReceived(0, guest);
            door.responseSent(0, guest);
        }
    }

    @Test
    void aDrainKeepsTheLastConnectionsFree() {
        ConnectionAdmission<Integer> door = new ConnectionAdmission<>(100);
        answered(door, 40);
        for (int guest = 10; guest < 40; guest++) {
            door.requestReceived(0, guest);
        }
        assertFalse(door.mustRefuseInDrain(0, false), "no drain");
        door.drain(0);
        assertFalse(
                door.mustRefuseInDrain(ConnectionAdmission.DRAIN_ACCEPT_MICROS, false),
                "who needs one more may still come");
        long later = ConnectionAdmission.DRAIN_ACCEPT_MICROS + 1;
        assertFalse(door.mustRefuseInDrain(later, false), "a quarter is free");
        door.requestReceived(later, 0);
        assertTrue(door.mustRefuseInDrain(later, false));
        assertFalse(door.mustRefuseInDrain(later, true), "half of that is for the worthiest");
        for (int guest = 1; guest < 6; guest++) {
            door.requestReceived(later, guest);
        }
        assertTrue(door.mustRefuseInDrain(later, true));
        door.responseSent(later, 39);
        assertFalse(door.mustRefuseInDrain(later, true));
    }

    @Test
    void aSmallDrainKeepsSomeFreeTooAndServesOn() {
        for (int guests : new int[] {1, 2, 5, 2 * ConnectionAdmission.DRAIN_IDLE_MIN}) {
            ConnectionAdmission<Integer> small = new ConnectionAdmission<>(100);
            small.drain(0);
            answered(small, guests);
            int taken = 0;
            while (taken < guests && !small.mustRefuseInDrain(1_000_000, false)) {
                small.requestReceived(1_000_000, taken++);
            }
            assertEquals(guests / 2 + 1, taken, "of " + guests + " half serve, and one more is noticed");
        }
    }

    @Test
    void whoWasAnsweredJustNowKeepsHisPlace() {
        ConnectionAdmission<Integer> door = new ConnectionAdmission<>(16);
        for (int guest = 0; guest < 12; guest++) {
            door.opened(0, guest);
            door.requestReceived(0, guest);
        }
        door.responseSent(1_000, 3);
        door.responseSent(2_000, 4);
        assertEquals(List.of(), door.connectionsToClose(1_000), "beyond the part that idle ones may hold, yet young");
        assertEquals(List.of(3), door.connectionsToClose(1_000 + ConnectionAdmission.RECENTLY_ANSWERED_MICROS));
        assertEquals(List.of(3, 4), door.connectionsToClose(2_000 + ConnectionAdmission.RECENTLY_ANSWERED_MICROS));
    }
}
