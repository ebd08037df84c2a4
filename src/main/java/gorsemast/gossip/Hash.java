package gorsemast.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Hashes that are the same in every process, and rendezvous hashing by them (Thaler and Ravishankar, 1998): each name
 * ranks all others by a hash of the pair, so that all agree on who is first without talking, and one that leaves moves
 * nothing but what it had.
 */
public final class Hash {
    private record Ranked(String name, long rank) {}

    private Hash() {}

    /** Of a text: FNV-1a, mixed. */
    public static long of(String text) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        return mix(h);
    }

    /** SplitMix64's finish. */
    public static long mix(long z) {
        long x = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        x = (x ^ x >>> 27) * 0x94d049bb133111ebL;
        return x ^ x >>> 31;
    }

    /** How high a name ranks another. */
    public static long rank(long name, String other) {
        return rank(name, of(other));
    }

    /** The same, by the hashes of both. */
    public static long rank(long name, long other) {
        return mix(name ^ other);
    }

    /** The others by rank, first the highest. */
    public static List<String> ranked(String name, Collection<String> others) {
        long hash = of(name);
        List<Ranked> all = new ArrayList<>();
        others.forEach(other -> all.add(new Ranked(other, rank(hash, other))));
        all.sort((a, b) -> Long.compare(b.rank, a.rank));
        List<String> names = new ArrayList<>(all.size());
        all.forEach(one -> names.add(one.name));
        return names;
    }
}
