package gorsemast.fleet;

import java.util.Comparator;

/**
 * One process of a proxy: the name that a restart keeps, and a generation that it raises. Of two generations of one
 * name the higher is the later start; both may run for a while, in an upgrade or where two machines share a name.
 *
 * @param name 1 to {@value #MAX_NAME} characters of {@code A-Z a-z 0-9 . _ -}
 * @param generation 0 or more; usually drawn from the machine's clock at the start, see {@link #generation}
 */
public record ProcessId(String name, long generation) implements Comparable<ProcessId> {
    /** The longest name, so that a claim fits in a datagram many times over. */
    public static final int MAX_NAME = 64;
    /** Low bits that two starts within one millisecond on machines of one name differ by. */
    private static final int DRAWN_BITS = 12;

    private static final Comparator<ProcessId> ORDER =
            Comparator.comparing(ProcessId::name).thenComparingLong(ProcessId::generation);

    public ProcessId {
        if (name.isEmpty() || name.length() > MAX_NAME || !name.chars().allMatch(ProcessId::usable)) {
            throw new IllegalArgumentException("a name has 1 to " + MAX_NAME + " of A-Z a-z 0-9 . _ -, not: " + name);
        }
        if (generation < 0) {
            throw new IllegalArgumentException("a generation is 0 or more, not " + generation);
        }
    }

    private static boolean usable(int c) {
        return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '.' || c == '_' || c == '-';
    }

    /**
     * The generation of a start. No disk is needed: the clock raises it, and where the clock was set back the first
     * word of the old generation does (see {@link Fleet}).
     *
     * @param unixMillis the machine's clock
     * @param random any bits
     */
    public static long generation(long unixMillis, long random) {
        return Math.max(0, unixMillis) << DRAWN_BITS | random & (1 << DRAWN_BITS) - 1;
    }

    @Override
    public int compareTo(ProcessId other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return name + "#" + Long.toString(generation, Character.MAX_RADIX);
    }
}
