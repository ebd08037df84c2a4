package gorsemast.store;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * A configuration as a member keeps it.
 *
 * @param version 0 for none
 * @param term in which it was taken; of two with the same version the later one holds, as the earlier was never
 *              acknowledged
 * @param body not to be written to
 */
public record StoredVersion(long version, long term, byte[] body) implements Comparable<StoredVersion> {
    /** Nothing yet. */
    public static final StoredVersion NONE = new StoredVersion(0, 0, new byte[0]);

    @Override
    public int compareTo(StoredVersion other) {
        return version != other.version ? Long.compare(version, other.version) : Long.compare(term, other.term);
    }

    /** The same without its content, for whoever only compares. */
    StoredVersion withoutBody() {
        return new StoredVersion(version, term, new byte[0]);
    }

    void write(DataOutputStream out) throws IOException {
        out.writeLong(version);
        out.writeLong(term);
        out.writeInt(body.length);
        out.write(body);
    }

    static StoredVersion read(DataInputStream in) throws IOException {
        long version = in.readLong();
        long term = in.readLong();
        int length = in.readInt();
        if (length < 0 || length > in.available()) {
            throw new IOException("a configuration of " + length + " bytes");
        }
        byte[] body = new byte[length];
        in.readFully(body);
        return new StoredVersion(version, term, body);
    }
}
