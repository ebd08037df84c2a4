package gorsemast.store;

import gorsemast.configuration.ContentDigest;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * A configuration as a member keeps it, and the numbers that are taken, its own among them.
 *
 * @param version 0 for none
 * @param term that vouches for it: in which it was taken, or of the primary that last began with it; of two with the same
 *             version the later one holds, as the earlier was never acknowledged
 * @param body not to be written to
 */
public record StoredVersion(long version, long term, byte[] body, VersionHistory history)
        implements Comparable<StoredVersion> {
    /** Nothing yet. */
    public static final StoredVersion NONE = new StoredVersion(0, 0, new byte[0], VersionHistory.NONE);

    @Override
    public int compareTo(StoredVersion other) {
        return version != other.version ? Long.compare(version, other.version) : Long.compare(term, other.term);
    }

    /** The digest of its content. */
    public ContentDigest digest() {
        ContentDigest known = history.digest(version);
        return known == null ? ContentDigest.NONE : known;
    }

    /** A higher version in this one's place. */
    StoredVersion next(long higher, long ofTerm, byte[] content, ContentDigest digest) {
        return new StoredVersion(higher, ofTerm, content, history.with(higher, ofTerm, digest));
    }

    /** The same, with a lower number taken: nothing else changes. */
    StoredVersion taking(long lower, long ofTerm, ContentDigest digest) {
        return new StoredVersion(version, term, body, history.with(lower, ofTerm, digest));
    }

    /** The newer of both, with the numbers of both; this one itself where the other adds nothing. */
    StoredVersion mergedWith(StoredVersion other) {
        VersionHistory all = history.merge(other.history);
        boolean newer = other.compareTo(this) > 0;
        if (!newer && all == history) {
            return this;
        }
        StoredVersion held = newer ? other : this;
        return new StoredVersion(held.version, held.term, held.body, all);
    }

    /** The same, vouched for by a term. */
    StoredVersion confirmedIn(long ofTerm) {
        return history.size() == 0 ? this : new StoredVersion(version, ofTerm, body, history.in(ofTerm));
    }

    /** The same without its content, for whoever only compares. */
    StoredVersion withoutBody() {
        return new StoredVersion(version, term, new byte[0], history);
    }

    /** The same with only those numbers that the other lacks. */
    StoredVersion since(StoredVersion other) {
        return new StoredVersion(version, term, body, history.since(other.history));
    }

    void write(DataOutputStream out) throws IOException {
        out.writeLong(version);
        out.writeLong(term);
        out.writeInt(body.length);
        out.write(body);
        history.write(out);
    }

    static StoredVersion read(DataInputStream in) throws IOException {
        StoredVersion bare = bare(in);
        return new StoredVersion(bare.version, bare.term, bare.body, VersionHistory.read(in));
    }

    /** From a disk; an earlier program wrote no numbers, and of those its own is taken. */
    static StoredVersion recorded(DataInputStream in) throws IOException {
        StoredVersion bare = bare(in);
        if (in.available() > 0) {
            return new StoredVersion(bare.version, bare.term, bare.body, VersionHistory.read(in));
        }
        return bare.version == 0 ? NONE : NONE.next(bare.version, bare.term, bare.body, ContentDigest.of(bare.body));
    }

    private static StoredVersion bare(DataInputStream in) throws IOException {
        long version = in.readLong();
        long term = in.readLong();
        int length = in.readInt();
        if (length < 0 || length > in.available()) {
            throw new IOException("a configuration of " + length + " bytes");
        }
        byte[] body = new byte[length];
        in.readFully(body);
        return new StoredVersion(version, term, body, VersionHistory.NONE);
    }
}
