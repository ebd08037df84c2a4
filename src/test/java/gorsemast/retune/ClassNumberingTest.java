package gorsemast.retune;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import anisebend.Balancer.Effect;
import anisebend.Balancer.Group;
import anisebend.Balancer.RequestClass;
import java.util.List;
import org.junit.jupiter.api.Test;

class ClassNumberingTest {
    private static RequestClass rules(Effect effect, long deadline) {
        return new RequestClass(effect, Group.ALL, 0, 100, deadline, 1);
    }

    private static final RequestClass READ = rules(Effect.SAFE, 1_000);
    private static final RequestClass ONCE = rules(Effect.UNSAFE, 1_000);
    private static final ClassNumbering FIRST = ClassNumbering.of(List.of("read", "topup"), List.of(READ, ONCE));

    @Test
    void numbersInOrder() {
        assertEquals(0, FIRST.number("read"));
        assertEquals(1, FIRST.number("topup"));
        assertEquals(-1, FIRST.number("none"));
        assertEquals(-1, FIRST.number(null));
    }

    @Test
    void removedClassKeepsItsNumberWithoutAName() {
        ClassNumbering next = FIRST.with(List.of("topup"), List.of(ONCE));
        assertEquals(-1, next.number("read"));
        assertEquals(1, next.number("topup"));
        assertEquals(READ, next.rules().get(0));
        assertEquals("read", next.name(0));
        assertEquals(List.of("topup"), List.copyOf(next.names()));
    }

    @Test
    void changedRulesGetANewNumber() {
        ClassNumbering next = FIRST.with(List.of("topup", "read"), List.of(READ, READ));
        assertEquals(2, next.number("topup"));
        assertEquals(0, next.number("read"));
        assertEquals(ONCE, next.rules().get(1));
        ClassNumbering back = next.with(List.of("read", "topup"), List.of(READ, ONCE));
        assertEquals(1, back.number("topup"), "the number that had these rules");
        assertEquals(3, back.rules().size());
    }

    @Test
    void rejectsMoreThanTheMaximumOfClasses() {
        ClassNumbering numbering = FIRST;
        for (int i = numbering.rules().size(); i < ClassNumbering.MAX_CLASSES; i++) {
            numbering = numbering.with(List.of("read"), List.of(rules(Effect.SAFE, 2_000 + i)));
        }
        ClassNumbering full = numbering;
        assertThrows(IllegalArgumentException.class, () -> full.with(List.of("new"), List.of(READ)));
        assertEquals(0, full.with(List.of("read"), List.of(READ)).number("read"));
    }

    @Test
    void rejectsNoClassAndDuplicateNames() {
        assertThrows(IllegalArgumentException.class, () -> FIRST.with(List.of(), List.of()));
        assertThrows(IllegalArgumentException.class, () -> FIRST.with(List.of("a", "a"), List.of(READ, ONCE)));
    }
}
