package anisebend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import anisebend.FetchLimit.Fetch;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Origin of 100 fetches a second, target latency 160 ms: 16 in flight on average, plus 2 and four deviations. */
class FetchLimitTest {
    private static final long MS = 1_000;
    private static final int LIMIT = 2 + 16 + 4 * 4;
    private final FetchLimit limit = new FetchLimit();
    private final List<Fetch> out = new ArrayList<>();

    private boolean hasCapacity(long now) {
        return limit.hasCapacity(now, 100, 160 * MS, 2_500 * MS);
    }

    /** Sends one each millisecond from {@code now} on while there is capacity. */
    private int fill(long now) {
        int sent = 0;
        for (; hasCapacity(now + sent * MS); sent++) {
            out.add(limit.send(now + sent * MS));
        }
        return sent;
    }

    @Test
    void admitsWhatIsAnsweredWithinTheTarget() {
        assertEquals(LIMIT, fill(0));
        limit.finish(out.get(7));
        assertEquals(1, fill(100 * MS));
        limit.finish(out.get(7));
        assertFalse(hasCapacity(101 * MS), "already finished");
        assertTrue(limit.hasCapacity(101 * MS, 400, 160 * MS, 2_500 * MS), "a faster origin has more capacity");
    }

    @Test
    void fetchesHangingAtACacheServerBlockNoOthers() {
        fill(0);
        Fetch last = out.get(LIMIT - 1);
        limit.answered(last, 4 * MS);
        assertEquals(LIMIT - 3, fill(200 * MS), "those sent 4 ms before it and less may still be there");
        limit.finish(out.get(0));
        assertFalse(hasCapacity(201 * MS), "it was no longer counted");
    }

    @Test
    void fetchesAbandonedByTheClientStillCount() {
        fill(0);
        assertEquals(0, fill(1_000 * MS), "none was reported as finished");
    }

    @Test
    void fetchesExpire() {
        fill(0);
        assertFalse(hasCapacity(2_499 * MS));
        assertEquals(LIMIT, fill(3_000 * MS));
    }
}
