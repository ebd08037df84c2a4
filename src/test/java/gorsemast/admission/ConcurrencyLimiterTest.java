package gorsemast.admission;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.admission.ConcurrencyLimiter.Admission;
import gorsemast.admission.ConcurrencyLimiter.Kind;
import gorsemast.admission.ConcurrencyLimiter.Waiter;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Places for requests that take time: never more than there are, and long ones leave room for the others. */
class ConcurrencyLimiterTest {
    private static final int PLACES = 6;
    private static final int FOR_LONG = 4;
    private static final long SHORT_MICROS = 60_000;
    private static final long LONG_MICROS = 800_000;

    private static final Kind CALL = new Kind("call", 200_000, FOR_LONG);
    private static final Kind LONG = new Kind("long", 200_000, FOR_LONG);

    private static final Waiter NOBODY = new Waiter() {
        @Override
        public void admitted() {
            throw new IllegalStateException("nobody may wait here");
        }

        @Override
        public void refused() {
            throw new IllegalStateException("nobody may wait here");
        }
    };

    private record Held(long until, Kind kind, long micros) {}

    /** Calls of 60 ms, eight a second, beside long answers; returns the parts that found a place: of calls, of long answers. */
    private static double[] play(double longPerSecond, long seed) {
        ConcurrencyLimiter admission = new ConcurrencyLimiter(PLACES, 0);
        SplittableRandom random = new SplittableRandom(seed);
        PriorityQueue<Held> held = new PriorityQueue<>((a, b) -> Long.compare(a.until, b.until));
        long[] asked = new long[2];
        long[] entered = new long[2];
        double all = 8 + longPerSecond;
        long now = 0;
        while (now < 60_000_000) {
            now += (long) (-Math.log(1 - random.nextDouble()) / all * 1e6);
            while (!held.isEmpty() && held.peek().until <= now) {
                Held over = held.poll();
                admission.release(over.kind, over.micros, over.until);
            }
            int which = random.nextDouble() * all < 8 ? 0 : 1;
            Kind kind = which == 0 ? CALL : LONG;
            long micros = which == 0 ? SHORT_MICROS : LONG_MICROS;
            asked[which]++;
            if (admission.acquire(kind, now, NOBODY) == Admission.ADMITTED) {
                entered[which]++;
                held.add(new Held(now + micros, kind, micros));
            }
            assertThat(admission.taken()).isBetween(0, PLACES).isEqualTo(held.size());
        }
        return new double[] {(double) entered[0] / asked[0], (double) entered[1] / asked[1]};
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void longAnswersLeaveRoomForTheOthers(long seed) {
        assertThat(play(1, seed)[0]).as("few long ones").isGreaterThan(0.99);
        double[] crowded = play(40, seed);
        assertThat(crowded[0]).as("more long ones than places").isGreaterThan(0.85);
        assertThat(crowded[1]).as("the long ones use what is left").isGreaterThan(0.08);
    }

    @Test
    void whereAllAreAlikeAllPlacesAreUsed() {
        ConcurrencyLimiter admission = new ConcurrencyLimiter(PLACES, 0);
        for (int i = 0; i < 50; i++) {
            assertThat(admission.acquire(CALL, i, NOBODY)).isEqualTo(Admission.ADMITTED);
            admission.release(CALL, SHORT_MICROS, i);
        }
        for (int i = 0; i < PLACES; i++) {
            assertThat(admission.acquire(CALL, i, NOBODY)).as("place %d", i).isEqualTo(Admission.ADMITTED);
        }
        assertThat(admission.acquire(CALL, 100, NOBODY)).isEqualTo(Admission.REFUSED);
    }

    /** Also not a kind that takes longer than its aim and would else have one place of them. */
    @Test
    void whereNothingIsShortLongRequestsAreNotRefused() {
        ConcurrencyLimiter admission = new ConcurrencyLimiter(ConcurrencyLimiter.UNBOUNDED, 0);
        Kind slow = new Kind("slow", 1_000, 1);
        for (int i = 0; i < 100; i++) {
            assertThat(admission.acquire(slow, i, NOBODY)).as("request %d", i).isEqualTo(Admission.ADMITTED);
            admission.release(slow, LONG_MICROS, i);
            assertThat(admission.acquire(slow, i, NOBODY))
                    .as("beside it, %d", i)
                    .isEqualTo(Admission.ADMITTED);
        }
    }

    @Test
    void whereNothingIsShortNobodyIsRefused() {
        ConcurrencyLimiter admission = new ConcurrencyLimiter(Integer.MAX_VALUE, 0);
        for (int i = 0; i < 10_000; i++) {
            assertThat(admission.acquire(new Kind("kind " + i % 7, 1, 1_000_000), i, NOBODY))
                    .isEqualTo(Admission.ADMITTED);
        }
    }
}
