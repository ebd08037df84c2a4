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

/** Checks that the slots in use stay within the limit and that long requests leave slots for the others. */
class ConcurrencyLimiterTest {
    private static final int SLOTS = 6;
    private static final int MAX_SLOTS_IF_SLOW = 4;
    private static final long SHORT_MICROS = 60_000;
    private static final long LONG_MICROS = 800_000;

    private static final Kind CALL = new Kind("call", 200_000, MAX_SLOTS_IF_SLOW);
    private static final Kind LONG = new Kind("long", 200_000, MAX_SLOTS_IF_SLOW);

    private static final Waiter NO_CALLBACK = new Waiter() {
        @Override
        public void admitted() {
            throw new IllegalStateException("no request may be queued here");
        }

        @Override
        public void refused() {
            throw new IllegalStateException("no request may be queued here");
        }
    };

    private record Held(long until, Kind kind, long micros) {}

    /** Simulates eight 60 ms calls a second beside long responses; returns the admitted fractions of calls and of long ones. */
    private static double[] play(double longPerSecond, long seed) {
        ConcurrencyLimiter admission = new ConcurrencyLimiter(SLOTS, 0);
        SplittableRandom random = new SplittableRandom(seed);
        PriorityQueue<Held> held = new PriorityQueue<>((a, b) -> Long.compare(a.until, b.until));
        long[] requested = new long[2];
        long[] admittedCount = new long[2];
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
            requested[which]++;
            if (admission.acquire(kind, now, NO_CALLBACK) == Admission.ADMITTED) {
                admittedCount[which]++;
                held.add(new Held(now + micros, kind, micros));
            }
            assertThat(admission.slotsInUse()).isBetween(0, SLOTS).isEqualTo(held.size());
        }
        return new double[] {(double) admittedCount[0] / requested[0], (double) admittedCount[1] / requested[1]};
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void longResponsesLeaveSlotsForOthers(long seed) {
        assertThat(play(1, seed)[0]).as("few long ones").isGreaterThan(0.99);
        double[] overloaded = play(40, seed);
        assertThat(overloaded[0]).as("more long ones than slots").isGreaterThan(0.85);
        assertThat(overloaded[1]).as("the long ones use what is left").isGreaterThan(0.08);
    }

    @Test
    void allSlotsAreUsedByRequestsOfOneKind() {
        ConcurrencyLimiter admission = new ConcurrencyLimiter(SLOTS, 0);
        for (int i = 0; i < 50; i++) {
            assertThat(admission.acquire(CALL, i, NO_CALLBACK)).isEqualTo(Admission.ADMITTED);
            admission.release(CALL, SHORT_MICROS, i);
        }
        for (int i = 0; i < SLOTS; i++) {
            assertThat(admission.acquire(CALL, i, NO_CALLBACK)).as("slot %d", i).isEqualTo(Admission.ADMITTED);
        }
        assertThat(admission.acquire(CALL, 100, NO_CALLBACK)).isEqualTo(Admission.REFUSED);
    }

    /** Without a limit a kind that exceeds its target latency isn't refused either, although it may hold one slot only. */
    @Test
    void unboundedLimiterRefusesNoSlowRequest() {
        ConcurrencyLimiter admission = new ConcurrencyLimiter(ConcurrencyLimiter.UNBOUNDED, 0);
        Kind slow = new Kind("slow", 1_000, 1);
        for (int i = 0; i < 100; i++) {
            assertThat(admission.acquire(slow, i, NO_CALLBACK))
                    .as("request %d", i)
                    .isEqualTo(Admission.ADMITTED);
            admission.release(slow, LONG_MICROS, i);
            assertThat(admission.acquire(slow, i, NO_CALLBACK))
                    .as("beside it, %d", i)
                    .isEqualTo(Admission.ADMITTED);
        }
    }

    @Test
    void unboundedLimiterRefusesNothing() {
        ConcurrencyLimiter admission = new ConcurrencyLimiter(Integer.MAX_VALUE, 0);
        for (int i = 0; i < 10_000; i++) {
            assertThat(admission.acquire(new Kind("kind " + i % 7, 1, 1_000_000), i, NO_CALLBACK))
                    .isEqualTo(Admission.ADMITTED);
        }
    }

    // ---- queueing

    /** The load of one kind: its request rate and how long a request holds a slot. */
    private record Traffic(Kind kind, double perSecond, long workMicros) {}

    /** Counts of a kind's requests by outcome. */
    private static final class Tally {
        private int requested;
        private int admitted;
        private int waited;

        double served() {
            return (double) admitted / requested;
        }
    }

    /** Simulates a minute of traffic in virtual time; queued requests expire after their maximum wait. */
    private static final class TrafficSimulation {
        private record Ending(long at, Runnable what) {}

        private final ConcurrencyLimiter limiter;
        private final PriorityQueue<Ending> endings = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
        private final SplittableRandom random;
        private long now;

        TrafficSimulation(int maxWaiting, long seed) {
            limiter = new ConcurrencyLimiter(SLOTS, maxWaiting);
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
                assertThat(limiter.slotsInUse()).isBetween(0, SLOTS);
            }
            return tallies;
        }

        private void ask(Traffic one, Tally tally) {
            tally.requested++;
            Waiter waiter = new Waiter() {
                @Override
                public void admitted() {
                    hold(one, tally);
                }

                @Override
                public void refused() {
                    // displaced by another request
                }
            };
            switch (limiter.acquire(one.kind, now, waiter)) {
                case ADMITTED -> hold(one, tally);
                case QUEUED -> {
                    tally.waited++;
                    endings.add(new Ending(now + one.kind.maxWaitMicros(), () -> limiter.expire(waiter)));
                }
                default -> {
                    // a retry counts as another request
                }
            }
        }

        private void hold(Traffic one, Tally tally) {
            tally.admitted++;
            endings.add(new Ending(now + one.workMicros, () -> limiter.release(one.kind, one.workMicros, now)));
        }
    }

    private static final Traffic BUSY = new Traffic(new Kind("busy", 200_000, SLOTS), 300, 50_000);
    private static final Traffic BUSY_TOO = new Traffic(new Kind("busy too", 200_000, SLOTS), 150, 50_000);
    private static final Traffic RARE = new Traffic(new Kind("rare", 200_000, SLOTS), 1, 50_000);

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void rareKindIsServedBesideBusyOnesAtNoCost(long seed) {
        List<Traffic> all = List.of(BUSY, BUSY_TOO, RARE);
        Map<String, Tally> without = new TrafficSimulation(0, seed).play(all);
        Map<String, Tally> with = new TrafficSimulation(1, seed).play(all);
        assertThat(without.get("rare").served()).as("without queueing").isLessThan(0.5);
        assertThat(with.get("rare").served()).isGreaterThan(0.95);
        int before = without.values().stream().mapToInt(one -> one.admitted).sum();
        int after = with.values().stream().mapToInt(one -> one.admitted).sum();
        assertThat(after).as("no slot is left idle").isGreaterThanOrEqualTo((int) (0.99 * before));
        assertThat(with.get("busy").waited)
                .as("the busiest kind does not wait")
                .isLessThan(with.get("busy").requested / 100);
    }

    /** A kind with high demand that obtains less than its fair share must not wait, or it would occupy the waiting socket all the time. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void kindWithHighDemandDoesNotWaitDespiteFewSlots(long seed) {
        Traffic third = new Traffic(new Kind("third", 200_000, SLOTS), 60, 50_000);
        Map<String, Tally> tallies = new TrafficSimulation(1, seed).play(List.of(BUSY, BUSY_TOO, third, RARE));
        assertThat(tallies.get("third").served()).isLessThan(0.5);
        assertThat(tallies.get("third").waited).isLessThan(tallies.get("third").requested / 20);
        assertThat(tallies.get("rare").served()).isGreaterThan(0.95);
    }

    /** A waiting request is displaced by one of a rarer kind, which then gets the next slot. */
    @Test
    void lowestDemandGoesFirst() {
        ConcurrencyLimiter limiter = new ConcurrencyLimiter(SLOTS, 1);
        Kind light = new Kind("light", 200_000, SLOTS);
        Kind lighter = new Kind("lighter", 200_000, SLOTS);
        List<String> callbacks = new ArrayList<>();
        assertThat(limiter.acquire(light, 0, NO_CALLBACK)).isEqualTo(Admission.ADMITTED);
        limiter.release(light, SHORT_MICROS, SHORT_MICROS);
        for (int i = 0; i < SLOTS; i++) {
            assertThat(limiter.acquire(CALL, 1_000_000, NO_CALLBACK)).isEqualTo(Admission.ADMITTED);
        }
        long now = 3_000_000;
        assertThat(limiter.acquire(CALL, now, NO_CALLBACK))
                .as("holds all slots")
                .isEqualTo(Admission.REFUSED);
        assertThat(limiter.acquire(light, now, recordingWaiter("light", callbacks)))
                .isEqualTo(Admission.QUEUED);
        assertThat(limiter.acquire(lighter, now, recordingWaiter("lighter", callbacks)))
                .isEqualTo(Admission.QUEUED);
        assertThat(callbacks).containsExactly("light refused");
        assertThat(limiter.acquire(light, now, recordingWaiter("light", callbacks)))
                .as("does not displace a rarer kind")
                .isEqualTo(Admission.REFUSED);
        limiter.release(CALL, SHORT_MICROS, now);
        assertThat(callbacks).containsExactly("light refused", "lighter admitted");
        assertThat(limiter.slotsInUse()).isEqualTo(SLOTS);
        assertThat(limiter.waiting()).isZero();
    }

    @Test
    void withdrawnRequestIsNotAdmitted() {
        ConcurrencyLimiter limiter = new ConcurrencyLimiter(1, 1);
        List<String> callbacks = new ArrayList<>();
        Waiter waiter = recordingWaiter("one", callbacks);
        assertThat(limiter.acquire(CALL, 0, NO_CALLBACK)).isEqualTo(Admission.ADMITTED);
        assertThat(limiter.acquire(LONG, 0, waiter)).isEqualTo(Admission.QUEUED);
        assertThat(limiter.withdraw(waiter)).isTrue();
        assertThat(limiter.withdraw(waiter)).as("once only").isFalse();
        limiter.release(CALL, SHORT_MICROS, SHORT_MICROS);
        assertThat(callbacks).isEmpty();
        assertThat(limiter.slotsInUse()).isZero();
    }

    /** Requests of a frequent kind that fail at once, as a resource is in use, would occupy the waiting socket one after the other. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void frequentKindDoesNotWaitHoweverShortItsRequests(long seed) {
        Traffic quick = new Traffic(new Kind("quick", 200_000, SLOTS), 120, 2_000);
        Map<String, Tally> tallies = new TrafficSimulation(1, seed).play(List.of(BUSY, quick, RARE));
        assertThat(tallies.get("quick").waited).isLessThan(tallies.get("quick").requested / 20);
        assertThat(tallies.get("rare").served()).isGreaterThan(0.95);
    }

    /** Hanging servers hold all slots: the socket on which requests wait must go on serving others. */
    @Test
    void noRequestWaitsAfterAnExpiryUntilASlotIsReleased() {
        ConcurrencyLimiter limiter = new ConcurrencyLimiter(1, 1);
        List<String> callbacks = new ArrayList<>();
        Waiter first = recordingWaiter("first", callbacks);
        assertThat(limiter.acquire(CALL, 0, NO_CALLBACK)).isEqualTo(Admission.ADMITTED);
        assertThat(limiter.acquire(LONG, 0, first)).isEqualTo(Admission.QUEUED);
        assertThat(limiter.expire(first)).isTrue();
        assertThat(limiter.acquire(LONG, 100_000, NO_CALLBACK)).isEqualTo(Admission.REFUSED);
        limiter.release(CALL, SHORT_MICROS, 200_000);
        assertThat(limiter.acquire(CALL, 200_000, NO_CALLBACK)).isEqualTo(Admission.ADMITTED);
        assertThat(limiter.acquire(LONG, 200_000, recordingWaiter("next", callbacks)))
                .isEqualTo(Admission.QUEUED);
        assertThat(callbacks).isEmpty();
    }

    private static Waiter recordingWaiter(String name, List<String> callbacks) {
        return new Waiter() {
            @Override
            public void admitted() {
                callbacks.add(name + " admitted");
            }

            @Override
            public void refused() {
                callbacks.add(name + " refused");
            }
        };
    }
}
