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
        assertTrue(budget.reserve("a", 60));
        assertFalse(budget.reserve("b", 50));
        assertFalse(budget.reserve("c", 10), "it would fit, and b would starve");
        assertEquals(60, budget.reserved());
        assertEquals(2, budget.waiting());
        assertEquals(List.of("b", "c"), budget.release("a"));
        assertEquals(60, budget.reserved());
        assertEquals(List.of(), budget.release("b"));
        assertEquals(List.of(), budget.release("c"));
        assertEquals(0, budget.reserved());
    }

    @Test
    void whoLeavesTheRowLetsOthersThrough() {
        budget.reserve("a", 60);
        budget.reserve("b", 100);
        budget.reserve("c", 40);
        assertEquals(List.of("c"), budget.release("b"));
        assertEquals(List.of(), budget.release("nobody"));
    }

    @Test
    void onlyOneGrowsAtATimeAndGoesFirst() {
        assertTrue(budget.growTo("g", 40));
        assertFalse(budget.growTo("h", 10), "two that grow could wait for each other");
        assertTrue(budget.growTo("g", 60));
        assertEquals(60, budget.reserved(), "in all, and not on top");
        assertFalse(budget.reserve("a", 30), "who waits to grow came before");
        assertFalse(budget.growTo("g", 101), "beyond all there is");
        assertEquals(List.of("h", "a"), budget.release("g"));
    }

    @Test
    void aGrowingOneIsNotHeldUpByThoseThatBegin() {
        assertTrue(budget.growTo("g", 40));
        assertTrue(budget.reserve("a", 60));
        assertFalse(budget.growTo("g", 50));
        assertFalse(budget.reserve("b", 20));
        assertEquals(List.of("g", "b"), budget.release("a"));
        assertEquals(70, budget.reserved());
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
                if (known ? room.reserve(guest, 1 + random.nextInt(100)) : room.growTo(guest, 20)) {
                    going.add(guest);
                }
                assertTrue(room.reserved() <= 100);
            }
            int ended = 0;
            while (!going.isEmpty()) {
                Integer guest = going.remove(random.nextInt(going.size()));
                int steps = left.get(guest);
                if (steps > 0) {
                    left.put(guest, steps - 1);
                    if (room.growTo(guest, 20 + 20 * (4 - steps))) {
                        going.add(guest);
                    }
                } else {
                    ended++;
                    going.addAll(room.release(guest));
                }
                assertTrue(room.reserved() <= 100, "seed " + seed);
            }
            assertEquals(50, ended, "seed " + seed);
            assertEquals(0, room.reserved());
            assertEquals(0, room.waiting());
        }
    }
}
