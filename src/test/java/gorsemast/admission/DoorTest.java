package gorsemast.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class DoorTest {
    private static final int PLACES = 16;
    /** So many of them may have asked before idle ones go. */
    private static final int KEPT = 10;

    private final Door<String> door = new Door<>(PLACES);
    private long now = 1_000_000;

    private void idle(int from, int to) {
        for (int i = from; i < to; i++) {
            door.arrived(now, "c" + i);
            door.asks(now, "c" + i);
            door.answered(now++, "c" + i);
        }
    }

    /** What the incident r268a78 was: all places taken by those that asked once, and 70 of 100 refused. */
    @Test
    void idleOnesGoLongBeforeThePlacesEnd() {
        idle(0, KEPT);
        assertEquals(List.of(), door.surplus(now + Door.YOUNG_MICROS));
        idle(KEPT, KEPT + 2);
        assertEquals(List.of("c0", "c1"), door.surplus(now + Door.YOUNG_MICROS));
    }

    @Test
    void theLongestIdleGoesAndNotTheLongestThere() {
        idle(0, KEPT);
        door.asks(now, "c0");
        door.answered(now, "c0");
        idle(KEPT, KEPT + 1);
        assertEquals(List.of("c1"), door.surplus(now + Door.YOUNG_MICROS));
    }

    @Test
    void whoIsBusyStays() {
        idle(0, KEPT + 2);
        door.asks(now, "c0");
        door.asks(now, "c1");
        assertEquals(List.of("c2", "c3"), door.surplus(now + Door.YOUNG_MICROS));
    }

    /** Clients of a draining process can't come back, so their connections stay while there is room. */
    @Test
    void idleOnesStayDuringADrain() {
        door.drain(0);
        idle(0, PLACES - 1);
        assertEquals(List.of(), door.surplus(now));
        idle(PLACES - 1, PLACES);
        assertEquals(List.of("c0"), door.surplus(now));
    }

    @Test
    void silentOnesGoFirstAtTheBound() {
        idle(0, KEPT);
        for (int i = KEPT; i < PLACES; i++) {
            door.arrived(now, "s" + i);
        }
        assertFalse(door.open());
        assertEquals(List.of("c0"), door.surplus(now), "nobody has been silent for long enough");
        now += Door.SILENT_MICROS + 1;
        List<String> silent = door.surplus(now);
        assertEquals(PLACES - KEPT, silent.size());
        assertTrue(silent.stream().allMatch(guest -> guest.startsWith("s")));
    }

    @Test
    void turnedAwayOnesGoAtTheBound() {
        idle(0, KEPT);
        for (int i = KEPT; i < PLACES; i++) {
            door.arrived(now, "b" + i);
            door.asks(now, "b" + i);
        }
        door.turnedAway(now, "b12");
        now += Door.SILENT_MICROS + 1;
        assertTrue(door.surplus(now).contains("b12"));
        door.left("b12");
        assertTrue(door.open());
    }

    @Test
    void whereAllAreBusyNobodyMoreComesIn() {
        for (int i = 0; i < PLACES; i++) {
            door.arrived(now, "c" + i);
            door.asks(now, "c" + i);
        }
        assertFalse(door.open());
        assertEquals(List.of(), door.surplus(now));
        door.left("c3");
        assertTrue(door.open());
    }

    @Test
    void fewerPlacesMakeTheLongestIdleGo() {
        idle(0, KEPT);
        door.places(4);
        assertEquals(
                List.of("c0", "c1", "c2", "c3", "c4", "c5", "c6", "c7"),
                door.surplus(now + Door.YOUNG_MICROS).subList(0, 8));
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
                case 0 -> door.arrived(now, guest);
                case 1 -> {
                    door.asks(now, guest);
                    busy.add(guest);
                }
                case 2 -> {
                    door.answered(now, guest);
                    idle.add(guest);
                }
                case 3 -> door.turnedAway(now, guest);
                default -> door.left(guest);
            }
            List<String> gone = door.surplus(now);
            assertEquals(gone.size(), gone.stream().distinct().count());
            assertTrue(gone.stream().noneMatch(busy::contains));
            assertTrue(gone.stream().allMatch(g -> !g.equals(guest) || idle.contains(g) || !busy.contains(g)));
            gone.forEach(g -> {
                door.left(g);
                idle.remove(g);
            });
            assertTrue(door.size() < PLACES || idle.isEmpty(), "an idle one stays while nobody more may come in");
        }
    }

    private static void answered(Door<Integer> door, int guests) {
        for (int guest = 0; guest < guests; guest++) {
            door.arrived(0, guest);
            door.asks(0, guest);
            door.answered(0, guest);
        }
    }

    @Test
    void aDrainKeepsTheLastConnectionsFree() {
        Door<Integer> door = new Door<>(100);
        answered(door, 40);
        for (int guest = 10; guest < 40; guest++) {
            door.asks(0, guest);
        }
        assertFalse(door.tight(0, false), "no drain");
        door.drain(0);
        assertFalse(door.tight(Door.LAST_ARRIVALS_MICROS, false), "who needs one more may still come");
        long later = Door.LAST_ARRIVALS_MICROS + 1;
        assertFalse(door.tight(later, false), "a quarter is free");
        door.asks(later, 0);
        assertTrue(door.tight(later, false));
        assertFalse(door.tight(later, true), "half of that is for the worthiest");
        for (int guest = 1; guest < 6; guest++) {
            door.asks(later, guest);
        }
        assertTrue(door.tight(later, true));
        door.answered(later, 39);
        assertFalse(door.tight(later, true));
    }

    @Test
    void aSmallDrainKeepsSomeFreeTooAndServesOn() {
        for (int guests : new int[] {1, 2, 5, 2 * Door.FREE_LEAST}) {
            Door<Integer> small = new Door<>(100);
            small.drain(0);
            answered(small, guests);
            int taken = 0;
            while (taken < guests && !small.tight(1_000_000, false)) {
                small.asks(1_000_000, taken++);
            }
            assertEquals(guests / 2 + 1, taken, "of " + guests + " half serve, and one more is noticed");
        }
    }

    @Test
    void whoWasAnsweredJustNowKeepsHisPlace() {
        Door<Integer> door = new Door<>(16);
        for (int guest = 0; guest < 12; guest++) {
            door.arrived(0, guest);
            door.asks(0, guest);
        }
        door.answered(1_000, 3);
        door.answered(2_000, 4);
        assertEquals(List.of(), door.surplus(1_000), "beyond the part that idle ones may hold, yet young");
        assertEquals(List.of(3), door.surplus(1_000 + Door.YOUNG_MICROS));
        assertEquals(List.of(3, 4), door.surplus(2_000 + Door.YOUNG_MICROS));
    }
}
