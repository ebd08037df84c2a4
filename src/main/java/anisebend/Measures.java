package anisebend;

import java.util.ArrayDeque;

/** Arithmetic without decisions: smoothed figures and hashes. */
final class Measures {
    private static final double SMOOTHING = 0.125;
    /** Microseconds in a second. */
    static final double MICROS = 1e6;

    private Measures() {}

    /** A value moved towards a sample by the usual step. */
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

    /** Events a second, smoothed over a span of microseconds. */
    static final class Rate {
        final double span;
        double value;
        /** The highest value lately, forgotten over several spans' worth of events. */
        double peak;

        private long last;

        Rate(double span) {
            this.span = span;
        }

        void add(long now) {
            value = value * Math.exp((last - now) / span) + MICROS / span;
            last = now;
            peak = Math.max(value, peak * (1 - SMOOTHING * MICROS / span / value));
        }

        double at(long now) {
            return value * Math.exp((last - now) / span);
        }
    }

    /** Counts events of a sliding window. */
    static final class Window {
        private final ArrayDeque<Long> times = new ArrayDeque<>();

        void add(long now) {
            times.add(now);
        }

        /** How many came after {@code since}, which never goes back. */
        int countAfter(long since) {
            while (!times.isEmpty() && times.peek() <= since) {
                times.poll();
            }
            return times.size();
        }
    }

    /** A hash that depends on the text alone. */
    static long hash(String text) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        return mix(h);
    }

    /** A number in (0, 1) from a hash. */
    static double unit(long hash) {
        return ((mix(hash) >>> 11) + 0.5) * 0x1p-53;
    }

    private static long mix(long z) {
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}
