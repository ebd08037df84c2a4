package gorsemast.gossip;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * A purge: responses cached before it must not be served, either those of one path or all that carry a tag.
 *
 * @param host in lower case; empty if there is a tag
 * @param path empty if there is a tag
 * @param tag empty if there is a path
 */
public record PurgeRequest(String id, String host, String path, String tag) {
    /** Encodes it as an entry. */
    public Entry toEntry(long now) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeUTF(host);
            out.writeUTF(path);
            out.writeUTF(tag);
        } catch (IOException e) {
            throw new IllegalStateException(e); // a byte array does not fail
        }
        return new Entry(Entry.Kind.PURGE, id, 1, bytes.toByteArray(), now);
    }

    /** Decodes an entry made by {@link #toEntry}; returns null if it is unreadable. */
    public static PurgeRequest fromEntry(Entry entry) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(entry.body()))) {
            return new PurgeRequest(entry.key(), in.readUTF(), in.readUTF(), in.readUTF());
        } catch (IOException e) {
            return null;
        }
    }
}
