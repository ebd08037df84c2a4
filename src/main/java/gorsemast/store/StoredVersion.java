package gorsemast.store;

import gorsemast.configuration.ContentDigest;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * A configuration version as a member stores it, with the history of taken version numbers, its own among them.
 *
 * @param version 0 for none
 * @param term the term that confirms it: the one in which it was stored, or that of the last primary that began with
 *     it; of two entries with the same version the later term wins, as the earlier was never acknowledged
 * @param body not to be modified
 */
public record StoredVersion(long version, long term, byte[] body, VersionHistory history)
        implements Comparable<StoredVersion> {
    /** No version. */
    public static final StoredVersion NONE = new StoredVersion(0, 0, new byte[0], VersionHistory.NONE);

    @Override
    public int compareTo(StoredVersion other) {
        return version != other.version ? Long.compare(version, other.version) : Long.compare(term, other.term);
    }

    /** Returns the digest of the content. */
    public ContentDigest digest() {
        ContentDigest digest = history.digest(version);
        return digest == null ? ContentDigest.NONE : digest;
    }

    /** Returns a higher version that replaces this one. */
    StoredVersion successor(long higher, long ofTerm, byte[] content, ContentDigest digest) {
        return new StoredVersion(higher, ofTerm, content, history.with(higher, ofTerm, digest));
    }

    /** Returns this version with a lower number marked as taken. */
    StoredVersion withTaken(long lower, long ofTerm, ContentDigest digest) {
        return new StoredVersion(version, term, body, history.with(lower, ofTerm, digest));
    }

    /** Returns the newer of both, with the history of both; this one itself where the other adds nothing. */
    StoredVersion mergedWith(StoredVersion other) {
        VersionHistory merged = history.mergedWith(other.history);
        boolean newer = other.compareTo(this) > 0;
        if (!newer && merged == history) {
            return this;
        }
        StoredVersion newest = newer ? other : this;
        return new StoredVersion(newest.version, newest.term, newest.body, merged);
    }

    /** Returns this version as confirmed by a term. */
    StoredVersion confirmedIn(long ofTerm) {
        return history.size() == 0 ? this : new StoredVersion(version, ofTerm, body, history.confirmedIn(ofTerm));
    }

    /** Returns this version without its content, for comparison only. */
    StoredVersion withoutBody() {
        return new StoredVersion(version, term, new byte[0], history);
    }

    /** Returns this version with only those history entries that the other lacks. */
    StoredVersion changesSince(StoredVersion other) {
        return new StoredVersion(version, term, body, history.changesSince(other.history));
    }

    void write(DataOutputStream out) throws IOException {
        out.writeLong(version);
        out.writeLong(term);
        out.writeInt(body.length);
        out.write(body);
        history.write(out);
    }

    static StoredVersion read(DataInputStream in) throws IOException {
        StoredVersion partial = readWithoutHistory(in);
        return new StoredVersion(partial.version, partial.term, partial.body, VersionHistory.read(in));
    }

    /** Reads the record on disk; an earlier release wrote no history, so its version becomes the only entry. */
    static StoredVersion readFromDisk(DataInputStream in) throws IOException {
        StoredVersion partial = readWithoutHistory(in);
        if (in.available() > 0) {
            return new StoredVersion(partial.version, partial.term, partial.body, VersionHistory.read(in));
        }
        return partial.version == 0
                ? NONE
                : NONE.successor(partial.version, partial.term, partial.body, ContentDigest.of(partial.body));
    }

    private static StoredVersion readWithoutHistory(DataInputStream in) throws IOException {
        long version = in.readLong();
        long term = in.readLong();
        int length = in.readInt();
        if (length < 0 || length > in.available()) {
            throw new IOException("invalid configuration length of " + length + " bytes");
        }
        byte[] body = new byte[length];
        in.readFully(body);
        return new StoredVersion(version, term, body, VersionHistory.NONE);
    }
}
