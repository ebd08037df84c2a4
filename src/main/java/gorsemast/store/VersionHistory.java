package gorsemast.store;

import gorsemast.configuration.ContentDigest;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The history of version numbers: the highest {@link #MAX_ENTRIES} numbers that were taken, each with the term that
 * confirms it and the digest of its content. Where two contents have the same number, that of the later term wins.
 *
 * <p>Merging is idempotent, commutative and associative: the union by number, the later term first, cut to the highest
 * numbers. A number that was cut off counts as never taken. An entry has 32 bytes, so a disk record or an installation
 * carries at most 16 KiB; an append carries only the entries since the last one. Immutable.
 */
public final class VersionHistory {
    /** How many version numbers are remembered. */
    public static final int MAX_ENTRIES = 512;
    /** The empty history. */
    public static final VersionHistory NONE = new VersionHistory(List.of());

    /** A taken version number with its term and the digest of its content. */
    public record Entry(long version, long term, ContentDigest digest) {}

    /** Ordered by version, lowest first. */
    private final List<Entry> entries;

    private VersionHistory(List<Entry> entries) {
        this.entries = entries;
    }

    /** Returns the digest of the content with this number; null for none that is known. */
    public ContentDigest digest(long version) {
        int index = find(version);
        return index < 0 ? null : entries.get(index).digest;
    }

    /** Returns the number of remembered entries. */
    public int size() {
        return entries.size();
    }

    /** Returns whether a number is too low to be remembered beside the others. */
    boolean isForgotten(long version) {
        return entries.size() >= MAX_ENTRIES && version < entries.get(0).version;
    }

    private int find(long version) {
        int low = 0;
        int high = entries.size() - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            long found = entries.get(middle).version;
            if (found == version) {
                return middle;
            }
            if (found < version) {
                low = middle + 1;
            } else {
                high = middle - 1;
            }
        }
        return -1;
    }

    /** Returns the history with one more entry. */
    VersionHistory with(long version, long term, ContentDigest digest) {
        return mergedWith(new VersionHistory(List.of(new Entry(version, term, digest))));
    }

    /** Returns the union of both; this one itself where the other adds nothing. */
    VersionHistory mergedWith(VersionHistory other) {
        List<Entry> merged = new ArrayList<>(entries.size() + other.entries.size());
        int ownIndex = 0;
        int otherIndex = 0;
        while (ownIndex < entries.size() || otherIndex < other.entries.size()) {
            Entry ownEntry = ownIndex < entries.size() ? entries.get(ownIndex) : null;
            Entry otherEntry = otherIndex < other.entries.size() ? other.entries.get(otherIndex) : null;
            int order =
                    ownEntry == null ? 1 : otherEntry == null ? -1 : Long.compare(ownEntry.version, otherEntry.version);
            boolean takesOther = order > 0 || order == 0 && otherEntry.term > ownEntry.term;
            merged.add(takesOther ? otherEntry : ownEntry);
            ownIndex += order <= 0 ? 1 : 0;
            otherIndex += order >= 0 ? 1 : 0;
        }
        List<Entry> highest = merged.subList(Math.max(0, merged.size() - MAX_ENTRIES), merged.size());
        return highest.equals(entries) ? this : new VersionHistory(List.copyOf(highest));
    }

    /** Returns the same entries as confirmed by a term, with which its primary begins. */
    VersionHistory confirmedIn(long term) {
        return new VersionHistory(entries.stream()
                .map(entry -> new Entry(entry.version, term, entry.digest))
                .toList());
    }

    /** Returns the entries that the other lacks or has of an earlier term; merged with the other they make this one. */
    VersionHistory changesSince(VersionHistory other) {
        return new VersionHistory(entries.stream()
                .filter(entry -> {
                    int index = other.find(entry.version);
                    return index < 0 || other.entries.get(index).term < entry.term;
                })
                .toList());
    }

    void write(DataOutputStream out) throws IOException {
        out.writeInt(entries.size());
        for (Entry entry : entries) {
            out.writeLong(entry.version);
            out.writeLong(entry.term);
            entry.digest.write(out);
        }
    }

    static VersionHistory read(DataInputStream in) throws IOException {
        int count = in.readInt();
        if (count < 0 || count > MAX_ENTRIES) {
            throw new IOException(count + " history entries, out of range");
        }
        List<Entry> entries = new ArrayList<>(count);
        long last = -1;
        for (int i = 0; i < count; i++) {
            Entry entry = new Entry(in.readLong(), in.readLong(), ContentDigest.read(in));
            if (entry.version <= last) {
                throw new IOException("history entries out of order");
            }
            last = entry.version;
            entries.add(entry);
        }
        return new VersionHistory(List.copyOf(entries));
    }
}
