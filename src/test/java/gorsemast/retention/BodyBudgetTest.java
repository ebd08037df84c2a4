package gorsemast.retention;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class BodyBudgetTest {
    private final BodyBudget<String> budget = new BodyBudget<>(100);

    @Test
    void handsOutInTheOrderOfAsking() {
        assertTrue(budget.begin("a", 60));
        assertFalse(budget.begin("b", 50));
        assertFalse(budget.begin("c", 10), "it would fit, and b would starve");
        assertEquals(60, budget.used());
        assertEquals(2, budget.waiting());
        assertEquals(List.of("b", "c"), budget.release("a"));
        assertEquals(60, budget.used());
        assertEquals(List.of(), budget.release("b"));
        assertEquals(List.of(), budget.release("c"));
        assertEquals(0, budget.used());
    }

    @Test
    void whoLeavesTheRowLetsOthersThrough() {
        budget.begin("a", 60);
        budget.begin("b", 100);
        budget.begin("c", 40);
        assertEquals(List.of("c"), budget.release("b"));
        assertEquals(List.of(), budget.release("nobody"));
    }

    @Test
    void onlyOneGrowsAtATimeAndGoesFirst() {
        assertTrue(budget.grow("g", 40));
        assertFalse(budget.grow("h", 10), "two that grow could wait for each other");
        assertTrue(budget.grow("g", 60));
        assertEquals(60, budget.used(), "in all, and not on top");
        assertFalse(budget.begin("a", 30), "who waits to grow came before");
        assertFalse(budget.grow("g", 101), "beyond all there is");
        assertEquals(List.of("h", "a"), budget.release("g"));
    }

    @Test
    void aGrowingOneIsNotHeldUpByThoseThatBegin() {
        assertTrue(budget.grow("g", 40));
        assertTrue(budget.begin("a", 60));
        assertFalse(budget.grow("g", 50));
        assertFalse(budget.begin("b", 20));
        assertEquals(List.of("g", "b"), budget.release("a"));
        assertEquals(70, budget.used());
    }

    /** Whatever comes in whatever order, the bound holds and everybody ends. */
    @Test
    void neverExceedsItsBoundAndNeverStandsStill() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            BodyBudget<Integer> room = new BodyBudget<>(100);
            Map<Integer, Integer> left = new HashMap<>(); // steps that each still has to grow
            List<Integer> going = new ArrayList<>();
            for (int guest = 0; guest < 50; guest++) {
                boolean known = random.nextBoolean();
                left.put(guest, known ? 0 : 1 + random.nextInt(3));
                if (known ? room.begin(guest, 1 + random.nextInt(100)) : room.grow(guest, 20)) {
                    going.add(guest);
                }
                assertTrue(room.used() <= 100);
            }
            int ended = 0;
            while (!going.isEmpty()) {
                Integer guest = going.remove(random.nextInt(going.size()));
                int steps = left.get(guest);
                if (steps > 0) {
                    left.put(guest, steps - 1);
                    if (room.grow(guest, 20 + 20 * (4 - steps))) {
                        going.add(guest);
                    }
                } else {
                    ended++;
                    going.addAll(room.release(guest));
                }
                assertTrue(room.used() <= 100, "seed " + seed);
            }
            assertEquals(50, ended, "seed " + seed);
            assertEquals(0, room.used());
            assertEquals(0, room.waiting());
        }
    }
}
