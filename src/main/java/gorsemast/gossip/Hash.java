package gorsemast.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Hashes that are the same in every process, and rendezvous hashing based on them (Thaler and Ravishankar, 1998): each name
 * ranks all others by a hash of the pair. So all processes agree on the first without communication, and a name that
 * leaves moves only the keys it had.
 */
public final class Hash {
    private record Ranked(String name, long rank) {}

    private Hash() {}

    /** Hashes a text: FNV-1a with a final {@link #mix}. */
    public static long of(String text) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        return mix(h);
    }

    /** Mixes the bits of a number: the finalizer of SplitMix64. */
    public static long mix(long z) {
        long x = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        x = (x ^ x >>> 27) * 0x94d049bb133111ebL;
        return x ^ x >>> 31;
    }

    /** Returns the rank that a name gives to another. */
    public static long rank(long name, String other) {
        return rank(name, of(other));
    }

    /** Returns the rank by the hashes of both names. */
    public static long rank(long name, long other) {
        return mix(name ^ other);
    }

    /** Returns the others by rank, highest first. */
    public static List<String> ranked(String name, Collection<String> others) {
        long hash = of(name);
        List<Ranked> all = new ArrayList<>();
        others.forEach(other -> all.add(new Ranked(other, rank(hash, other))));
        all.sort((a, b) -> Long.compare(b.rank, a.rank));
        List<String> names = new ArrayList<>(all.size());
        all.forEach(entry -> names.add(entry.name));
        return names;
    }
}
