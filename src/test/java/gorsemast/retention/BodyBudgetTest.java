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
    void grantsInOrderOfRequest() {
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
    void leavingTheQueueUnblocksOthers() {
        budget.reserve("a", 60);
        budget.reserve("b", 100);
        budget.reserve("c", 40);
        assertEquals(List.of("c"), budget.release("b"));
        assertEquals(List.of(), budget.release("nobody"));
    }

    @Test
    void onlyOneGrowsAtATimeAndGoesFirst() {
        assertTrue(budget.growTo("g", 40));
        assertFalse(budget.growTo("h", 10), "two growing bodies could wait for each other");
        assertTrue(budget.growTo("g", 60));
        assertEquals(60, budget.reserved(), "in all, and not on top");
        assertFalse(budget.reserve("a", 30), "the waiting growth is first");
        assertFalse(budget.growTo("g", 101), "beyond the capacity");
        assertEquals(List.of("h", "a"), budget.release("g"));
    }

    @Test
    void growthGoesBeforeNewBodies() {
        assertTrue(budget.growTo("g", 40));
        assertTrue(budget.reserve("a", 60));
        assertFalse(budget.growTo("g", 50));
        assertFalse(budget.reserve("b", 20));
        assertEquals(List.of("g", "b"), budget.release("a"));
        assertEquals(70, budget.reserved());
    }

    /** In any order of requests the limit holds and all requests end. */
    @Test
    void neverExceedsItsLimitAndNeverDeadlocks() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            BodyBudget<Integer> shared = new BodyBudget<>(100);
            Map<Integer, Integer> remainingSteps = new HashMap<>(); // remaining growth steps of each request
            List<Integer> active = new ArrayList<>();
            for (int request = 0; request < 50; request++) {
                boolean known = random.nextBoolean();
                remainingSteps.put(request, known ? 0 : 1 + random.nextInt(3));
                if (known ? shared.reserve(request, 1 + random.nextInt(100)) : shared.growTo(request, 20)) {
                    active.add(request);
                }
                assertTrue(shared.reserved() <= 100);
            }
            int ended = 0;
            while (!active.isEmpty()) {
                Integer request = active.remove(random.nextInt(active.size()));
                int steps = remainingSteps.get(request);
                if (steps > 0) {
                    remainingSteps.put(request, steps - 1);
                    if (shared.growTo(request, 20 + 20 * (4 - steps))) {
                        active.add(request);
                    }
                } else {
                    ended++;
                    active.addAll(shared.release(request));
                }
                assertTrue(shared.reserved() <= 100, "seed " + seed);
            }
            assertEquals(50, ended, "seed " + seed);
            assertEquals(0, shared.reserved());
            assertEquals(0, shared.waiting());
        }
    }
}
