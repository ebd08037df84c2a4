package gorsemast.retention;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class SendBufferHandoffTest {
    private final SendBufferHandoff<String> handoff = new SendBufferHandoff<>(100, 40);

    @Test
    void selectsTheShortestRemaindersWithinTheLimit() {
        assertEquals(List.of("a", "b", "c"), handoff.select(Map.of("c", 40L, "a", 10L, "d", 35L + 6, "b", 30L)));
        assertEquals(List.of("f"), handoff.select(Map.of("a", 1L, "e", 21L, "f", 20L)));
        assertEquals(List.of(), handoff.select(Map.of("a", 1L, "g", 1L)), "each response is selected once");
    }

    @Test
    void unknownLengthCountsAsTheResponseLimit() {
        assertEquals(List.of("b", "x"), handoff.select(Map.of("x", -1L, "b", 39L)));
        assertEquals(List.of("c"), handoff.select(Map.of("c", 21L, "y", -1L)));
    }

    @Test
    void bufferOfAFinishedResponseStillCounts() {
        handoff.select(Map.of("a", 40L, "b", 40L));
        handoff.finished("a");
        assertEquals(List.of("a"), handoff.select(Map.of("a", 20L)));
        assertEquals(List.of(), handoff.select(Map.of("c", 1L)));
    }
}
