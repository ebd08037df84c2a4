package gorsemast.store;

import gorsemast.configuration.ContentDigest;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Which content has which number: the highest {@link #MAX_ENTRIES} numbers that were taken, each with the term that vouches for
 * it and the digest of its content. Of two contents under a number the later term's holds.
 *
 * <p><b>Merging</b> is idempotent, commutative and associative: the union by number, the later term first, cut to the
 * highest numbers. A number that has been cut off is as one that was never taken. 32 bytes an entry: 16 KiB on a disk and
 * in an installation at most; an append carries only the entries since the last one. Immutable; any thread.
 */
public final class VersionHistory {
    /** So many numbers are remembered. */
    public static final int MAX_ENTRIES = 512;
    /** No number yet. */
    public static final VersionHistory NONE = new VersionHistory(List.of());

    /** A number that is taken: by whose term, and by which content. */
    public record Entry(long version, long term, ContentDigest digest) {}

    /** Lowest number first. */
    private final List<Entry> entries;

    private VersionHistory(List<Entry> entries) {
        this.entries = entries;
    }

    /** The content that has a number; null for none that is known. */
    public ContentDigest digest(long number) {
        int at = find(number);
        return at < 0 ? null : entries.get(at).digest;
    }

    /** How many are remembered. */
    public int size() {
        return entries.size();
    }

    /** Whether a number is too low to be remembered beside those that are. */
    boolean forgets(long number) {
        return entries.size() >= MAX_ENTRIES && number < entries.get(0).version;
    }

    private int find(long number) {
        int low = 0;
        int high = entries.size() - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            long found = entries.get(middle).version;
            if (found == number) {
                return middle;
            }
            if (found < number) {
                low = middle + 1;
            } else {
                high = middle - 1;
            }
        }
        return -1;
    }

    /** With one more. */
    VersionHistory with(long number, long term, ContentDigest digest) {
        return merge(new VersionHistory(List.of(new Entry(number, term, digest))));
    }

    /** Both together; this one itself where the other adds nothing. */
    VersionHistory merge(VersionHistory other) {
        List<Entry> all = new ArrayList<>(entries.size() + other.entries.size());
        int mine = 0;
        int theirs = 0;
        while (mine < entries.size() || theirs < other.entries.size()) {
            Entry a = mine < entries.size() ? entries.get(mine) : null;
            Entry b = theirs < other.entries.size() ? other.entries.get(theirs) : null;
            int order = a == null ? 1 : b == null ? -1 : Long.compare(a.version, b.version);
            boolean takes = order > 0 || order == 0 && b.term > a.term;
            all.add(takes ? b : a);
            mine += order <= 0 ? 1 : 0;
            theirs += order >= 0 ? 1 : 0;
        }
        List<Entry> highest = all.subList(Math.max(0, all.size() - MAX_ENTRIES), all.size());
        return highest.equals(entries) ? this : new VersionHistory(List.copyOf(highest));
    }

    /** The same, vouched for by a term: what its primary begins with. */
    VersionHistory in(long term) {
        return new VersionHistory(entries.stream()
                .map(one -> new Entry(one.version, term, one.digest))
                .toList());
    }

    /** Those that the other lacks or has of an earlier term: what merged with the other makes this one. */
    VersionHistory since(VersionHistory other) {
        return new VersionHistory(entries.stream()
                .filter(one -> {
                    int at = other.find(one.version);
                    return at < 0 || other.entries.get(at).term < one.term;
                })
                .toList());
    }

    void write(DataOutputStream out) throws IOException {
        out.writeInt(entries.size());
        for (Entry one : entries) {
            out.writeLong(one.version);
            out.writeLong(one.term);
            one.digest.write(out);
        }
    }

    static VersionHistory read(DataInputStream in) throws IOException {
        int count = in.readInt();
        if (count < 0 || count > MAX_ENTRIES) {
            throw new IOException(count + " numbers");
        }
        List<Entry> entries = new ArrayList<>(count);
        long last = -1;
        for (int i = 0; i < count; i++) {
            Entry one = new Entry(in.readLong(), in.readLong(), ContentDigest.read(in));
            if (one.version <= last) {
                throw new IOException("numbers out of order");
            }
            last = one.version;
            entries.add(one);
        }
        return new VersionHistory(List.copyOf(entries));
    }
}
