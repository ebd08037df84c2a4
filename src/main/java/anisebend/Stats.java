package anisebend;

import java.util.ArrayDeque;

/** Smoothed statistics and hashes. */
final class Stats {
    private static final double SMOOTHING = 0.125;
    /** Microseconds in a second. */
    static final double SECOND = 1e6;

    private Stats() {}

    /** One step of an exponentially weighted moving average. */
    static double smooth(double value, double sample) {
        return value + SMOOTHING * (sample - value);
    }

    /** Smoothed mean and mean deviation. */
    static final class Estimate {
        double mean;
        double deviation;
        long samples;

        Estimate(double mean) {
            this.mean = mean;
            this.deviation = mean / 2;
        }

        void add(double sample) {
            samples++;
            deviation = smooth(deviation, Math.abs(sample - mean));
            mean = smooth(mean, sample);
        }
    }

    /** Events per second, averaged over a span of microseconds with exponential decay. */
    static final class Rate {
        final double span;
        double value;
        /** Recent maximum of the value; decays over the events of several spans. */
        double peak;

        private long updatedAt;

        Rate(double span) {
            this.span = span;
        }

        void add(long now) {
            value = value * Math.exp((updatedAt - now) / span) + SECOND / span;
            updatedAt = now;
            peak = Math.max(value, peak * (1 - SMOOTHING * SECOND / span / value));
        }

        double at(long now) {
            return value * Math.exp((updatedAt - now) / span);
        }
    }

    /** Counts events in a sliding window. */
    static final class Window {
        private final ArrayDeque<Long> times = new ArrayDeque<>();

        void add(long now) {
            times.add(now);
        }

        /** Number of events after {@code since}, which must not decrease between calls. */
        int countAfter(long since) {
            while (!times.isEmpty() && times.peek() <= since) {
                times.poll();
            }
            return times.size();
        }
    }

    /** A hash that is the same in every process. */
    static long hash(String text) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        return mix(h);
    }

    /** Maps a hash to a number in (0, 1). */
    static double uniform(long hash) {
        return ((mix(hash) >>> 11) + 0.5) * 0x1p-53;
    }

    private static long mix(long z) {
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}
