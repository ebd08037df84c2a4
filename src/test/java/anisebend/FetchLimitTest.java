package anisebend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import anisebend.FetchLimit.Fetch;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A ledger of 100 fetches a second, wanted in 160 ms: 16 are there usually, and 2 and four deviations more may be. */
class FetchLimitTest {
    private static final long MS = 1_000;
    private static final int MOST = 2 + 16 + 4 * 4;
    private final FetchLimit limit = new FetchLimit();
    private final List<Fetch> out = new ArrayList<>();

    private boolean room(long now) {
        return limit.hasCapacity(now, 100, 160 * MS, 2_500 * MS);
    }

    /** Sends one each millisecond from {@code now} on while there is room. */
    private int fill(long now) {
        int sent = 0;
        for (; room(now + sent * MS); sent++) {
            out.add(limit.send(now + sent * MS));
        }
        return sent;
    }

    @Test
    void letsOutWhatIsAnsweredInTheWantedTime() {
        assertEquals(MOST, fill(0));
        limit.finish(out.get(7));
        assertEquals(1, fill(100 * MS));
        limit.finish(out.get(7));
        assertFalse(room(101 * MS), "over once");
        assertTrue(limit.hasCapacity(101 * MS, 400, 160 * MS, 2_500 * MS), "a quicker ledger has more room");
    }

    @Test
    void whatHangsAtACacheServerKeepsNoOtherOut() {
        fill(0);
        Fetch last = out.get(MOST - 1);
        limit.answered(last, 4 * MS);
        assertEquals(MOST - 3, fill(200 * MS), "those sent 4 ms before it and less may still be there");
        limit.finish(out.get(0));
        assertFalse(room(201 * MS), "it has been counted out already");
    }

    @Test
    void whatTheClientGaveUpIsStillWorkedOn() {
        fill(0);
        assertEquals(0, fill(1_000 * MS), "nobody has said that it is over");
    }

    @Test
    void nothingIsCountedForever() {
        fill(0);
        assertFalse(room(2_499 * MS));
        assertEquals(MOST, fill(3_000 * MS));
    }
}
