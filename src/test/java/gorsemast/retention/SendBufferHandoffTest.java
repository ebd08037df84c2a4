package gorsemast.retention;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class SendBufferHandoffTest {
    private final SendBufferHandoff<String> parting = new SendBufferHandoff<>(100, 40);

    @Test
    void takesTheShortestRestsFirstWithinItsRoom() {
        assertEquals(List.of("a", "b", "c"), parting.select(Map.of("c", 40L, "a", 10L, "d", 35L + 6, "b", 30L)));
        assertEquals(List.of("f"), parting.select(Map.of("a", 1L, "e", 21L, "f", 20L)));
        assertEquals(List.of(), parting.select(Map.of("a", 1L, "g", 1L)), "what was given stays given");
    }

    @Test
    void aLengthThatIsNotKnownTakesAsMuchAsAnyMay() {
        assertEquals(List.of("b", "x"), parting.select(Map.of("x", -1L, "b", 39L)));
        assertEquals(List.of("c"), parting.select(Map.of("c", 21L, "y", -1L)));
    }

    @Test
    void whatTheSystemHoldsOfAnAnswerThatHasLeftStillCounts() {
        parting.select(Map.of("a", 40L, "b", 40L));
        parting.finished("a");
        assertEquals(List.of("a"), parting.select(Map.of("a", 20L)));
        assertEquals(List.of(), parting.select(Map.of("c", 1L)));
    }
}
