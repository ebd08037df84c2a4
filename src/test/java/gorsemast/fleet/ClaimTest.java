package gorsemast.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** What is said of one process comes to the same in any order and however often. */
class ClaimTest {
    private static final ProcessId ID = new ProcessId("p", 1);

    private static List<Claim> all() {
        List<Claim> all = new ArrayList<>();
        for (long incarnation = 0; incarnation < 3; incarnation++) {
            for (Claim.State state : Claim.State.values()) {
                for (long version = 0; version < 2; version++) {
                    for (String fact : List.of("a", "b")) {
                        all.add(new Claim(ID, "h:1", incarnation, state, version, new TreeMap<>(Map.of("k", fact))));
                    }
                }
            }
        }
        return all;
    }

    @Test
    void joinsAreCommutativeAssociativeAndIdempotent() {
        List<Claim> all = all();
        for (Claim a : all) {
            assertEquals(a, a.join(a));
            for (Claim b : all) {
                assertEquals(a.join(b), b.join(a), a + " and " + b);
                for (Claim c : all) {
                    assertEquals(a.join(b).join(c), a.join(b.join(c)));
                }
            }
        }
    }

    @Test
    void anyOrderAndAnyRepetitionComesToTheSame() {
        SplittableRandom random = new SplittableRandom(1);
        List<Claim> all = all();
        for (int round = 0; round < 200; round++) {
            List<Claim> some = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                some.add(all.get(random.nextInt(all.size())));
            }
            Claim once = some.stream().reduce(Claim::join).orElseThrow();
            some.addAll(List.copyOf(some).subList(0, 3));
            Collections.shuffle(some, new java.util.Random(round));
            assertEquals(once, some.stream().reduce(Claim::join).orElseThrow());
        }
    }

    @Test
    void whatIsOutOfBoundsIsTurnedDown() {
        assertThrows(IllegalArgumentException.class, () -> new ProcessId("a b", 1));
        assertThrows(IllegalArgumentException.class, () -> new ProcessId("", 1));
        assertThrows(IllegalArgumentException.class, () -> new ProcessId("a", -1));
        assertThrows(
                IllegalArgumentException.class,
                () -> new Claim(ID, "h:1", Claim.MAX_INCARNATION + 1, Claim.State.ALIVE, 0, new TreeMap<>()));
        assertThrows(
                IllegalArgumentException.class,
                () -> new Claim(ID, "h:1", 0, Claim.State.ALIVE, 0, new TreeMap<>(Map.of("k", "x".repeat(300)))));
    }
}
