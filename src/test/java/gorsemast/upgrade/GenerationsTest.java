package gorsemast.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsemast.upgrade.Generations.Member;
import gorsemast.upgrade.Generations.Standing;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class GenerationsTest {
    private final Generations second = new Generations(2);

    @ParameterizedTest
    @EnumSource(Standing.class)
    void onlyALaterOneThatTakesClientsSucceeds(Standing standing) {
        second.seen(List.of(new Member(3, standing)));
        assertEquals(standing == Standing.SERVING, second.succeeded());
        second.seen(List.of(new Member(1, standing)));
        assertFalse(second.succeeded());
        assertTrue(second.hasPredecessor());
    }

    @Test
    void aThirdCountsWhereTheSecondIsStoppedBeforeItIsReady() {
        second.seen(List.of(
                new Member(1, Standing.LEAVING), new Member(3, Standing.LEAVING), new Member(4, Standing.SERVING)));
        assertEquals(4, second.processes());
        assertTrue(second.succeeded());
    }

    @Test
    void aSignOfALaterVersionIsNobodyToHandOverTo() {
        assertEquals(Standing.EMPTIED, Standing.of('?'));
        assertEquals(Standing.EMPTIED, Standing.of(-1));
        assertEquals(Standing.SERVING, Standing.of(Standing.SERVING.sign));
    }
}
