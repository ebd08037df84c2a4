package gorsemast.register;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ListWatchTest {
    private static final long WITHIN = 10_000_000;
    private final ListWatch watch = new ListWatch(WITHIN);

    @Test
    void theWholeListComesFirstAndOneCallIsOutAtATime() {
        ListWatch.Call first = watch.subscribe();
        assertTrue(first.whole());
        assertEquals(ListWatch.WHOLE_LIST_MICROS, first.limitMicros());
        assertNull(watch.subscribe());
        assertFalse(watch.answers(true), "changes answer no call for the whole list");
        assertTrue(watch.answers(false));
        ListWatch.Call second = watch.taken(5, 41);
        assertFalse(second.whole());
        assertEquals(41, second.after());
        assertEquals(WITHIN + ListWatch.GRACE_MICROS, second.limitMicros());
        assertTrue(watch.answers(true));
        assertTrue(watch.answers(false), "a register may tell the whole list at any time");
        assertEquals(7, watch.age(12));
    }

    @Test
    void aFailedCallLeavesWhatIsKnownAndNothingCountsUntilTheNext() {
        watch.subscribe();
        watch.taken(5, 41);
        watch.failed();
        assertFalse(watch.answers(true));
        assertTrue(watch.listed());
        ListWatch.Call next = watch.subscribe();
        assertFalse(next.whole());
        assertEquals(41, next.after());
    }

    @Test
    void anotherRegisterIsAskedForTheWholeListAndWhatOthersToldIsNotItsWord() {
        watch.told(17);
        assertFalse(watch.listed());
        assertEquals(-1, watch.age(9));
        watch.subscribe();
        watch.taken(5, 41);
        assertTrue(watch.redirected().whole());
        assertFalse(watch.listed());
        assertFalse(watch.answers(true));
    }
}
