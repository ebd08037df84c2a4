package gorsemast.gossip;

import gorsemast.configuration.ContentDigest;
import gorsemast.gossip.Entry.Kind;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * All news that one process holds.
 *
 * <p><b>Idea.</b> Merging is idempotent, commutative and associative: the higher stamp of a key holds, and of two contents
 * under one stamp that of the later term. So news may be
 * passed on by anybody to anybody, in any order and more than once, and all come to hold the same (state-based CRDTs,
 * Shapiro et al. 2011). Gaps are found by comparing digests, one for each of {@link #BUCKETS} parts of the keys, and
 * mended by telling the stamps of a part that differs (anti-entropy, Demers et al. 1987).
 *
 * <p><b>Bounds.</b> A purge, or a server that has left or is silent, is forgotten {@link #RETENTION_MICROS} after it was first told; no copy
 * lives longer than {@link #MAX_CACHE_AGE_MICROS}, which is well before that. {@link #MOST_PURGES} purges are kept at
 * most. O(1) a merge; digests are kept up as items come. One thread.
 */
public final class GossipState {
    /** Parts of the keys that digests are kept for. */
    public static final int BUCKETS = 16;
    /** After so long, what passes is forgotten and not taken in again. */
    public static final long RETENTION_MICROS = 360_000_000;
    /** No copy may be served that is older. */
    public static final long MAX_CACHE_AGE_MICROS = 300_000_000;

    private static final int MOST_PURGES = 20_000;
    /** In this last part of its time an item counts in no digest, as clocks that differ by little forget it in turn. */
    private static final long FADING_MICROS = 30_000_000;

    /** A key with its stamp and origin, which is what digests and summaries are of. */
    public record EntryVersion(Kind kind, String key, long stamp, Entry.Origin origin) {
        /** Whether it holds against another one of the same key. */
        boolean newerThan(EntryVersion other) {
            return stamp != other.stamp ? stamp > other.stamp : origin.compareTo(other.origin) > 0;
        }

        /** Writes it; the origin only where there is one. */
        public void write(DataOutputStream out) throws IOException {
            out.writeByte(kind.ordinal());
            out.writeUTF(key);
            out.writeLong(stamp);
            if (kind.hasOrigin()) {
                out.writeLong(origin.term());
                origin.digest().write(out);
            }
        }

        /** Reads what {@link #write} wrote. */
        public static EntryVersion read(DataInputStream in) throws IOException {
            Kind kind = Kind.of(in.readUnsignedByte());
            String key = in.readUTF();
            long stamp = in.readLong();
            return new EntryVersion(
                    kind,
                    key,
                    stamp,
                    kind.hasOrigin() ? new Entry.Origin(in.readLong(), ContentDigest.read(in)) : Entry.Origin.NONE);
        }
    }

    private final Map<Kind, Map<String, Entry>> items = new EnumMap<>(Kind.class);
    private final long[] digests = new long[BUCKETS];
    private long purges;

    /** An empty one. */
    public GossipState() {
        for (Kind kind : Kind.values()) {
            items.put(kind, new LinkedHashMap<>());
        }
    }

    /** Takes an item in. Returns whether it was news. */
    public boolean merge(long now, Entry item) {
        if (item.expires() && now - item.createdAt() > RETENTION_MICROS - FADING_MICROS) {
            return false;
        }
        Map<String, Entry> of = items.get(item.kind());
        Entry held = of.get(item.key());
        if (held != null && !item.version().newerThan(held.version())) {
            return false;
        }
        if (held != null) {
            toggle(held);
        }
        of.put(item.key(), item);
        toggle(item);
        if (item.kind() == Kind.PURGE && of.size() > MOST_PURGES) {
            Entry oldest = of.values().iterator().next();
            toggle(oldest);
            of.remove(oldest.key());
        }
        return true;
    }

    /** Forgets what has passed; to be called every second or so. */
    public void removeExpired(long now) {
        for (Kind kind : Kind.values()) {
            items.get(kind).values().removeIf(item -> {
                boolean passed = item.expires() && now - item.createdAt() > RETENTION_MICROS - FADING_MICROS;
                if (passed) {
                    toggle(item);
                }
                return passed;
            });
        }
    }

    private void toggle(Entry item) {
        if (!item.kind().reconciled()) {
            return;
        }
        long hash = hash(item.kind(), item.key(), item.stamp());
        if (item.kind().hasOrigin()) {
            hash = Hash.mix(Hash.mix(hash ^ item.origin().term())
                    ^ item.origin().digest().high());
        }
        digests[bucket(item.kind(), item.key())] ^= hash;
        if (item.kind() == Kind.PURGE) {
            purges ^= hash;
        }
    }

    /** What is held of a key; null for nothing. */
    public Entry get(Kind kind, String key) {
        return items.get(kind).get(key);
    }

    /** All of a kind, oldest first; not to be changed. */
    public Collection<Entry> all(Kind kind) {
        return items.get(kind).values();
    }

    /** How many items there are. */
    public int size() {
        return items.values().stream().mapToInt(Map::size).sum();
    }

    /** One number for each part; equal numbers stand for equal news. */
    public long[] digest() {
        return digests.clone();
    }

    /** One number for all purges that are known: who has the same knows of the same. */
    public long purgeDigest() {
        return purges;
    }

    /** Whether the parts differ, a bit for each. */
    public int differingBuckets(long[] others) {
        int bits = 0;
        for (int i = 0; i < BUCKETS; i++) {
            bits |= others[i] == digests[i] ? 0 : 1 << i;
        }
        return bits;
    }

    /** The stamps of all items in these parts. */
    public List<EntryVersion> versions(int parts) {
        List<EntryVersion> found = new ArrayList<>();
        items.values().forEach(of -> of.values().forEach(item -> {
            if (item.kind().reconciled() && (parts >> bucket(item.kind(), item.key()) & 1) == 1) {
                found.add(item.version());
            }
        }));
        return found;
    }

    /** What is held here and newer than, or lacking in, the other's stamps of these parts. */
    public List<Entry> newerThan(int parts, List<EntryVersion> others) {
        Map<String, EntryVersion> known = new LinkedHashMap<>();
        others.forEach(stamp -> known.put(stamp.kind().ordinal() + stamp.key(), stamp));
        List<Entry> found = new ArrayList<>();
        items.values().forEach(of -> of.values().forEach(item -> {
            EntryVersion theirs = known.get(item.kind().ordinal() + item.key());
            if (item.kind().reconciled()
                    && (parts >> bucket(item.kind(), item.key()) & 1) == 1
                    && (theirs == null || item.version().newerThan(theirs))) {
                found.add(item);
            }
        }));
        return found;
    }

    /** What the other has newer than this one. */
    public List<EntryVersion> missing(List<EntryVersion> others) {
        List<EntryVersion> found = new ArrayList<>();
        for (EntryVersion stamp : others) {
            Entry held = get(stamp.kind(), stamp.key());
            if (held == null || stamp.newerThan(held.version())) {
                found.add(stamp);
            }
        }
        return found;
    }

    static int bucket(Kind kind, String key) {
        return (int) (hash(kind, key, 0) >>> 60);
    }

    private static long hash(Kind kind, String key, long stamp) {
        return Hash.mix(Hash.of(key) * 31 + kind.ordinal() + Hash.mix(stamp));
    }
}
