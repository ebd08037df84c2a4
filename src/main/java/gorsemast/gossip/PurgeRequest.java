package gorsemast.gossip;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * An order that copies made before it are not to be served: of one path, or of all that carry a tag.
 *
 * @param host in lower case; empty where a tag is named
 * @param path empty where a tag is named
 * @param tag empty where a path is named
 */
public record PurgeRequest(String id, String host, String path, String tag) {
    /** As a piece of news. */
    public Entry toEntry(long now) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeUTF(host);
            out.writeUTF(path);
            out.writeUTF(tag);
        } catch (IOException e) {
            throw new IllegalStateException(e); // memory does not fail
        }
        return new Entry(Entry.Kind.PURGE, id, 1, bytes.toByteArray(), now);
    }

    /** What {@link #toEntry} made; null where it can't be read. */
    public static PurgeRequest fromEntry(Entry item) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(item.body()))) {
            return new PurgeRequest(item.key(), in.readUTF(), in.readUTF(), in.readUTF());
        } catch (IOException e) {
            return null;
        }
    }
}
