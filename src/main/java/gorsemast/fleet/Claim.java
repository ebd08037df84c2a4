package gorsemast.fleet;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What is said of one process: alive, suspected, silent, gone or left, as of one of its incarnations, and the facts
 * that it tells of itself.
 *
 * <p><b>Idea.</b> As in SWIM (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
 * Membership Protocol", DSN 2002) only a process itself raises its incarnation, to refute what is said of it. Claims
 * about one process are ordered: who has left stays so; else the higher incarnation wins, and within one the worse
 * state. The facts go by their own version, of which the process is the only author. Both are joins of a semilattice
 * (Shapiro, Preguiça, Baquero and Zawirski, "Conflict-free Replicated Data Types", SSS 2011), so the order in which
 * claims come, and how often, makes no difference.
 *
 * <p>Immutable.
 *
 * @param address where it takes datagrams, {@code host:port}; part of what it says of itself
 * @param incarnation 0 to {@link #MAX_INCARNATION}
 * @param version of the facts, 0 for none yet
 */
public record Claim(
        ProcessId id, String address, long incarnation, State state, long version, SortedMap<String, String> facts) {
    /** A process that refutes a thousand times a second reaches this after 30 years; what is beyond is forged. */
    public static final long MAX_INCARNATION = 1L << 40;
    /** Keys and values of all facts together, in characters: so that any claim fits in a datagram. */
    public static final int MAX_FACTS = 256;
    /** The longest address, an IPv6 one with its zone and port. */
    public static final int MAX_ADDRESS = 80;
    /** What a claim's encoding takes beside its strings, at most; see {@code gorsemast.peers}. */
    private static final int OVERHEAD = 44;

    /** In the order in which one within the same incarnation replaces another. */
    public enum State {
        /** It answers, or has said so. */
        ALIVE,
        /** Some have had no answer; it has a while to refute that. */
        SUSPECT,
        /** It has not refuted in time. Dead, cut off or stopped: nobody can tell which. */
        SILENT,
        /** Its machine says that there is no such process any more, or a later one has its address. */
        GONE,
        /** It has said that it ends; final for its generation. */
        LEFT;

        /** Whether it counts as serving. */
        public boolean live() {
            return this == ALIVE || this == SUSPECT;
        }
    }

    public Claim {
        if (incarnation < 0 || incarnation > MAX_INCARNATION || version < 0 || version > MAX_INCARNATION) {
            throw new IllegalArgumentException("incarnation or version out of range: " + incarnation + ", " + version);
        }
        if (address.isEmpty() || address.length() > MAX_ADDRESS) {
            throw new IllegalArgumentException("no address: " + address);
        }
        int length = 0;
        for (Map.Entry<String, String> fact : facts.entrySet()) {
            length += fact.getKey().length() + fact.getValue().length();
        }
        if (length > MAX_FACTS) {
            throw new IllegalArgumentException("facts of " + length + " characters, " + MAX_FACTS + " at most");
        }
        facts = Collections.unmodifiableSortedMap(new TreeMap<>(facts));
    }

    /** The same process as it first speaks of itself. */
    public static Claim first(ProcessId id, String address) {
        return new Claim(id, address, 0, State.ALIVE, 0, Collections.emptySortedMap());
    }

    /** The same process in another state, as of its present incarnation. */
    Claim in(State other) {
        return new Claim(id, address, incarnation, other, version, facts);
    }

    /** The same process that says that it lives, as of an incarnation of its own choice. */
    Claim refuted(long next) {
        return new Claim(id, address, next, State.ALIVE, version, facts);
    }

    /** The same with other facts, which the process itself has changed. */
    Claim with(SortedMap<String, String> changed) {
        return new Claim(id, address, incarnation, state, version + 1, changed);
    }

    /** What both claims say together; of the same process. */
    Claim join(Claim other) {
        Claim word = standing(other) >= 0 ? this : other;
        Claim told = author(other) >= 0 ? this : other;
        if (word == told) {
            return word;
        }
        return new Claim(id, word.address, word.incarnation, word.state, told.version, told.facts);
    }

    /** Above 0 where this says more of the process's state than the other, below where less. */
    int standing(Claim other) {
        boolean left = state == State.LEFT;
        if (left != (other.state == State.LEFT)) {
            return left ? 1 : -1;
        }
        int order = Long.compare(incarnation, other.incarnation);
        order = order != 0 ? order : state.compareTo(other.state);
        return order != 0 ? order : address.compareTo(other.address); // differs only where somebody lies
    }

    private int author(Claim other) {
        int order = Long.compare(version, other.version);
        return order != 0 ? order : facts.toString().compareTo(other.facts.toString());
    }

    /** An upper bound of what it takes in a datagram, in bytes. */
    int size() {
        int size = OVERHEAD + id.name().length() + address.length();
        for (Map.Entry<String, String> fact : facts.entrySet()) {
            size += 4 + utf8(fact.getKey()) + utf8(fact.getValue());
        }
        return size;
    }

    private static int utf8(String text) {
        int bytes = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            bytes += c < 0x80 ? 1 : c < 0x800 ? 2 : 3; // a surrogate pair counts as six, and takes four
        }
        return bytes;
    }
}
