package gorsemast.admission;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.admission.ConcurrencyLimiter.Admission;
import gorsemast.admission.ConcurrencyLimiter.Kind;
import gorsemast.admission.ConcurrencyLimiter.Waiter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
            assertThat(admission.slotsInUse()).isBetween(0, PLACES).isEqualTo(held.size());
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

    // ---- who may wait

    /** One kind in a crowd: how often it is asked for and how long one request holds a place. */
    private record Traffic(Kind kind, double perSecond, long workMicros) {}

    /** What became of a kind's requests. */
    private static final class Tally {
        private int asked;
        private int admitted;
        private int waited;

        double served() {
            return (double) admitted / asked;
        }
    }

    /** A crowd in virtual time, a minute long; requests that wait leave when their time is over. */
    private static final class Crowd {
        private record Ending(long at, Runnable what) {}

        private final ConcurrencyLimiter limiter;
        private final PriorityQueue<Ending> endings = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
        private final SplittableRandom random;
        private long now;

        Crowd(int mostWaiting, long seed) {
            limiter = new ConcurrencyLimiter(PLACES, mostWaiting);
            random = new SplittableRandom(seed);
        }

        Map<String, Tally> play(List<Traffic> all) {
            Map<String, Tally> tallies = new HashMap<>();
            all.forEach(one -> tallies.put(one.kind.name(), new Tally()));
            double perSecond = all.stream().mapToDouble(Traffic::perSecond).sum();
            while (now < 60_000_000) {
                long next = now + (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e6);
                while (!endings.isEmpty() && endings.peek().at <= next) {
                    Ending ending = endings.poll();
                    now = ending.at;
                    ending.what.run();
                }
                now = next;
                double drawn = random.nextDouble() * perSecond;
                int which = 0;
                while (drawn >= all.get(which).perSecond) {
                    drawn -= all.get(which++).perSecond;
                }
                ask(all.get(which), tallies.get(all.get(which).kind.name()));
                assertThat(limiter.slotsInUse()).isBetween(0, PLACES);
            }
            return tallies;
        }

        private void ask(Traffic one, Tally tally) {
            tally.asked++;
            Waiter waiter = new Waiter() {
                @Override
                public void admitted() {
                    hold(one, tally);
                }

                @Override
                public void refused() {
                    // it has given way
                }
            };
            switch (limiter.acquire(one.kind, now, waiter)) {
                case ADMITTED -> hold(one, tally);
                case QUEUED -> {
                    tally.waited++;
                    endings.add(new Ending(now + one.kind.maxWaitMicros(), () -> limiter.expire(waiter)));
                }
                default -> {
                    // it comes back as another request
                }
            }
        }

        private void hold(Traffic one, Tally tally) {
            tally.admitted++;
            endings.add(new Ending(now + one.workMicros, () -> limiter.release(one.kind, one.workMicros, now)));
        }
    }

    private static final Traffic BUSY = new Traffic(new Kind("busy", 200_000, PLACES), 300, 50_000);
    private static final Traffic BUSY_TOO = new Traffic(new Kind("busy too", 200_000, PLACES), 150, 50_000);
    private static final Traffic RARE = new Traffic(new Kind("rare", 200_000, PLACES), 1, 50_000);

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aRareKindIsServedBesideBusyOnesAndCostsThemNothing(long seed) {
        List<Traffic> all = List.of(BUSY, BUSY_TOO, RARE);
        Map<String, Tally> without = new Crowd(0, seed).play(all);
        Map<String, Tally> with = new Crowd(1, seed).play(all);
        assertThat(without.get("rare").served()).as("where nobody may wait").isLessThan(0.5);
        assertThat(with.get("rare").served()).isGreaterThan(0.95);
        int before = without.values().stream().mapToInt(one -> one.admitted).sum();
        int after = with.values().stream().mapToInt(one -> one.admitted).sum();
        assertThat(after).as("no place stands idle").isGreaterThanOrEqualTo((int) (0.99 * before));
        assertThat(with.get("busy").waited).as("who holds most does not wait").isLessThan(with.get("busy").asked / 100);
    }

    /** It gets less than its fair share, as there are busier ones; if it waited for that the socket for it would be taken all the time. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void whoAsksForFarTooMuchDoesNotWaitThoughItGetsLittle(long seed) {
        Traffic third = new Traffic(new Kind("third", 200_000, PLACES), 60, 50_000);
        Map<String, Tally> tallies = new Crowd(1, seed).play(List.of(BUSY, BUSY_TOO, third, RARE));
        assertThat(tallies.get("third").served()).isLessThan(0.5);
        assertThat(tallies.get("third").waited).isLessThan(tallies.get("third").asked / 20);
        assertThat(tallies.get("rare").served()).isGreaterThan(0.95);
    }

    /** Of two kinds that are rare alike both are served; of a rarer one that comes while one waits the other gives way. */
    @Test
    void theLightestGoesFirst() {
        ConcurrencyLimiter limiter = new ConcurrencyLimiter(PLACES, 1);
        Kind light = new Kind("light", 200_000, PLACES);
        Kind lighter = new Kind("lighter", 200_000, PLACES);
        List<String> told = new ArrayList<>();
        assertThat(limiter.acquire(light, 0, NOBODY)).isEqualTo(Admission.ADMITTED);
        limiter.release(light, SHORT_MICROS, SHORT_MICROS);
        for (int i = 0; i < PLACES; i++) {
            assertThat(limiter.acquire(CALL, 1_000_000, NOBODY)).isEqualTo(Admission.ADMITTED);
        }
        long now = 3_000_000;
        assertThat(limiter.acquire(CALL, now, NOBODY)).as("holds all").isEqualTo(Admission.REFUSED);
        assertThat(limiter.acquire(light, now, telling("light", told))).isEqualTo(Admission.QUEUED);
        assertThat(limiter.acquire(lighter, now, telling("lighter", told))).isEqualTo(Admission.QUEUED);
        assertThat(told).containsExactly("light refused");
        assertThat(limiter.acquire(light, now, telling("light", told)))
                .as("gives way to nobody")
                .isEqualTo(Admission.REFUSED);
        limiter.release(CALL, SHORT_MICROS, now);
        assertThat(told).containsExactly("light refused", "lighter admitted");
        assertThat(limiter.slotsInUse()).isEqualTo(PLACES);
        assertThat(limiter.waiting()).isZero();
    }

    @Test
    void whoHasLeftIsNotAdmitted() {
        ConcurrencyLimiter limiter = new ConcurrencyLimiter(1, 1);
        List<String> told = new ArrayList<>();
        Waiter waiter = telling("one", told);
        assertThat(limiter.acquire(CALL, 0, NOBODY)).isEqualTo(Admission.ADMITTED);
        assertThat(limiter.acquire(LONG, 0, waiter)).isEqualTo(Admission.QUEUED);
        assertThat(limiter.withdraw(waiter)).isTrue();
        assertThat(limiter.withdraw(waiter)).as("once only").isFalse();
        limiter.release(CALL, SHORT_MICROS, SHORT_MICROS);
        assertThat(told).isEmpty();
        assertThat(limiter.slotsInUse()).isZero();
    }

    /** A frequent kind whose requests end at once, as what they need is taken: they would wait on that socket one after the other. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void whoIsFrequentDoesNotWaitHoweverShortItsRequestsAre(long seed) {
        Traffic quick = new Traffic(new Kind("quick", 200_000, PLACES), 120, 2_000);
        Map<String, Tally> tallies = new Crowd(1, seed).play(List.of(BUSY, quick, RARE));
        assertThat(tallies.get("quick").waited).isLessThan(tallies.get("quick").asked / 20);
        assertThat(tallies.get("rare").served()).isGreaterThan(0.95);
    }

    /** Servers that hang hold all places: the socket on which requests wait must go on turning others round. */
    @Test
    void afterOneHasWaitedInVainNobodyWaitsUntilAPlaceComesFree() {
        ConcurrencyLimiter limiter = new ConcurrencyLimiter(1, 1);
        List<String> told = new ArrayList<>();
        Waiter first = telling("first", told);
        assertThat(limiter.acquire(CALL, 0, NOBODY)).isEqualTo(Admission.ADMITTED);
        assertThat(limiter.acquire(LONG, 0, first)).isEqualTo(Admission.QUEUED);
        assertThat(limiter.expire(first)).isTrue();
        assertThat(limiter.acquire(LONG, 100_000, NOBODY)).isEqualTo(Admission.REFUSED);
        limiter.release(CALL, SHORT_MICROS, 200_000);
        assertThat(limiter.acquire(CALL, 200_000, NOBODY)).isEqualTo(Admission.ADMITTED);
        assertThat(limiter.acquire(LONG, 200_000, telling("next", told))).isEqualTo(Admission.QUEUED);
        assertThat(told).isEmpty();
    }

    private static Waiter telling(String name, List<String> told) {
        return new Waiter() {
            @Override
            public void admitted() {
                told.add(name + " admitted");
            }

            @Override
            public void refused() {
                told.add(name + " refused");
            }
        };
    }
}
