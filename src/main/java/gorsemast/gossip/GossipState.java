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
 * The replicated gossip state of one process.
 *
 * <p>Merging is idempotent, commutative and associative: the higher stamp of a key wins, and of two contents under one
 * stamp that of the later term. So any process may forward entries to any other, in any order and more than once, and all
 * converge (state-based CRDTs, Shapiro et al. 2011). Gaps are found by comparing digests, one per bucket of the keys, of
 * which there are {@link #BUCKETS}, and repaired by exchanging the versions of a bucket that differs (anti-entropy, Demers
 * et al. 1987).
 *
 * <p>A purge, or a server that has left or is silent, is removed about {@link #RETENTION_MICROS} after it was first
 * published. No cached response lives longer than {@link #MAX_CACHE_AGE_MICROS}, which is well before that. At most
 * {@link #MAX_PURGES} purges are kept. O(1) per merge; digests are updated incrementally. Not thread-safe.
 */
public final class GossipState {
    /** The number of buckets that keys are divided into, each with its digest. */
    public static final int BUCKETS = 16;
    /** After this time an entry that expires is removed and not accepted again. */
    public static final long RETENTION_MICROS = 360_000_000;
    /** The highest age at which a cached response may be served. */
    public static final long MAX_CACHE_AGE_MICROS = 300_000_000;

    private static final int MAX_PURGES = 20_000;
    /** Entries leave the state and its digests this early, as slightly different clocks expire them one after another. */
    private static final long EXPIRY_MARGIN_MICROS = 30_000_000;

    /** The key, stamp and origin of an entry, which digests and summaries cover. */
    public record EntryVersion(Kind kind, String key, long stamp, Entry.Origin origin) {
        /** Returns whether it wins against another version of the same key. */
        boolean newerThan(EntryVersion other) {
            return stamp != other.stamp ? stamp > other.stamp : origin.compareTo(other.origin) > 0;
        }

        /** Writes the version, with the origin only for kinds that have one. */
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

    private final Map<Kind, Map<String, Entry>> entries = new EnumMap<>(Kind.class);
    private final long[] digests = new long[BUCKETS];
    private long purgeDigest;

    /** Creates an empty state. */
    public GossipState() {
        for (Kind kind : Kind.values()) {
            entries.put(kind, new LinkedHashMap<>());
        }
    }

    /** Merges an entry; returns whether it was newer than the current one. */
    public boolean merge(long now, Entry entry) {
        if (entry.expires() && now - entry.createdAt() > RETENTION_MICROS - EXPIRY_MARGIN_MICROS) {
            return false;
        }
        Map<String, Entry> sameKind = entries.get(entry.kind());
        Entry current = sameKind.get(entry.key());
        if (current != null && !entry.version().newerThan(current.version())) {
            return false;
        }
        if (current != null) {
            toggleDigest(current);
        }
        sameKind.put(entry.key(), entry);
        toggleDigest(entry);
        if (entry.kind() == Kind.PURGE && sameKind.size() > MAX_PURGES) {
            Entry oldest = sameKind.values().iterator().next();
            toggleDigest(oldest);
            sameKind.remove(oldest.key());
        }
        return true;
    }

    /** Removes expired entries; called about every second. */
    public void removeExpired(long now) {
        for (Kind kind : Kind.values()) {
            entries.get(kind).values().removeIf(entry -> {
                boolean expired = entry.expires() && now - entry.createdAt() > RETENTION_MICROS - EXPIRY_MARGIN_MICROS;
                if (expired) {
                    toggleDigest(entry);
                }
                return expired;
            });
        }
    }

    private void toggleDigest(Entry entry) {
        if (!entry.kind().reconciled()) {
            return;
        }
        long hash = hash(entry.kind(), entry.key(), entry.stamp());
        if (entry.kind().hasOrigin()) {
            hash = Hash.mix(Hash.mix(hash ^ entry.origin().term())
                    ^ entry.origin().digest().high());
        }
        digests[bucket(entry.kind(), entry.key())] ^= hash;
        if (entry.kind() == Kind.PURGE) {
            purgeDigest ^= hash;
        }
    }

    /** Returns the entry of a key, or null. */
    public Entry get(Kind kind, String key) {
        return entries.get(kind).get(key);
    }

    /** Returns all entries of a kind, oldest first; callers must not modify them. */
    public Collection<Entry> all(Kind kind) {
        return entries.get(kind).values();
    }

    /** Returns the number of entries. */
    public int size() {
        return entries.values().stream().mapToInt(Map::size).sum();
    }

    /** Returns one hash per bucket; equal hashes stand for equal entries. */
    public long[] digest() {
        return digests.clone();
    }

    /** Returns one hash over all known purges; processes with the same hash know the same purges. */
    public long purgeDigest() {
        return purgeDigest;
    }

    /** Returns a bit for each bucket whose digest differs. */
    public int differingBuckets(long[] otherDigests) {
        int bits = 0;
        for (int i = 0; i < BUCKETS; i++) {
            bits |= otherDigests[i] == digests[i] ? 0 : 1 << i;
        }
        return bits;
    }

    /** Returns whether the bucket of the configuration is among these, given as bits. */
    public static boolean includesConfiguration(int buckets) {
        return (buckets >> bucket(Kind.CONFIGURATION, "") & 1) == 1;
    }

    /** Returns the versions of all entries in these buckets, given as bits. */
    public List<EntryVersion> versions(int buckets) {
        List<EntryVersion> found = new ArrayList<>();
        entries.values().forEach(sameKind -> sameKind.values().forEach(entry -> {
            if (entry.kind().reconciled() && (buckets >> bucket(entry.kind(), entry.key()) & 1) == 1) {
                found.add(entry.version());
            }
        }));
        return found;
    }

    /** Returns the entries of these buckets that are newer than, or missing in, the other's versions. */
    public List<Entry> newerThan(int buckets, List<EntryVersion> otherVersions) {
        Map<String, EntryVersion> known = new LinkedHashMap<>();
        otherVersions.forEach(stamp -> known.put(stamp.kind().ordinal() + stamp.key(), stamp));
        List<Entry> newer = new ArrayList<>();
        entries.values().forEach(sameKind -> sameKind.values().forEach(entry -> {
            EntryVersion otherVersion = known.get(entry.kind().ordinal() + entry.key());
            if (entry.kind().reconciled()
                    && (buckets >> bucket(entry.kind(), entry.key()) & 1) == 1
                    && (otherVersion == null || entry.version().newerThan(otherVersion))) {
                newer.add(entry);
            }
        }));
        return newer;
    }

    /** Returns the versions that are newer than, or missing in, this state. */
    public List<EntryVersion> missing(List<EntryVersion> otherVersions) {
        List<EntryVersion> found = new ArrayList<>();
        for (EntryVersion stamp : otherVersions) {
            Entry current = get(stamp.kind(), stamp.key());
            if (current == null || stamp.newerThan(current.version())) {
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
