package gorsemast.retune;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ConfigurationShapeTest {
    private static final Map<String, Object> PRESENT = Map.of(
            "name",
            "n0",
            "known",
            Map.of("seq", 1.0),
            "settings",
            Map.of(
                    "allowed",
                    Map.of("send_cap", 6.0),
                    "lanes",
                    List.of(Map.of("name", "a", "aim", 1.0, "group", "all"), Map.of("name", "b", "aim", 2.0))));

    private static Map<String, Object> next(Object settings) {
        return Map.of("name", "n1", "known", "whatever", "settings", settings, "more", true);
    }

    private static String missing(Map<String, Object> next) {
        return assertThrows(IOException.class, () -> ConfigurationShape.check(PRESENT, next, Set.of("known")))
                .getMessage();
    }

    @Test
    void acceptsOtherValuesAndMoreKeys() {
        assertDoesNotThrow(() -> ConfigurationShape.check(
                PRESENT,
                next(Map.of(
                        "allowed",
                        Map.of("send_cap", "six", "new", 1.0),
                        "lanes",
                        List.of(Map.of("name", "c", "aim", 3.0, "x", 1.0)))),
                Set.of("known")));
    }

    @Test
    void namesTheMissingKeyAtAnyDepth() {
        assertEquals("key missing: settings", missing(Map.of("name", "n", "known", 1.0)));
        assertEquals("key missing: known", missing(Map.of("name", "n", "settings", PRESENT.get("settings"))));
        assertEquals(
                "key missing: settings.allowed.send_cap",
                missing(next(Map.of("allowed", Map.of(), "lanes", List.of()))));
        assertEquals(
                "key missing: settings.lanes[1].aim",
                missing(next(Map.of(
                        "allowed",
                        Map.of("send_cap", 1.0),
                        "lanes",
                        List.of(Map.of("name", "a", "aim", 1.0), Map.of("name", "b", "group", "all"))))));
    }

    @Test
    void rejectsAnotherTypeOfValue() {
        assertEquals("settings must be an object", missing(next(List.of())));
        assertEquals(
                "settings.lanes must be an array",
                missing(next(Map.of("allowed", Map.of("send_cap", 1.0), "lanes", Map.of()))));
        assertEquals(
                "settings.lanes[0] must be an object",
                missing(next(Map.of("allowed", Map.of("send_cap", 1.0), "lanes", List.of("a")))));
    }
}
