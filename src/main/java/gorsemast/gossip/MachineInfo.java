package gorsemast.gossip;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * A machine of the system, keyed by its address; all machines listen on the same ports.
 *
 * @param up whether it is believed to be running
 * @param incarnation higher for a later start
 */
public record MachineInfo(String ip, String zone, String controlAddress, boolean up, long incarnation) {
    /** Encodes it as an entry of this kind; a report of it being down ranks above the incarnation it refers to. */
    public Entry toEntry(Entry.Kind kind, long now) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeUTF(zone);
            out.writeUTF(controlAddress);
            out.writeBoolean(up);
            out.writeLong(incarnation);
        } catch (IOException e) {
            throw new IllegalStateException(e); // a byte array does not fail
        }
        return new Entry(kind, ip, 2 * incarnation + (up ? 0 : 1), bytes.toByteArray(), now);
    }

    /** Decodes an entry made by {@link #toEntry}; returns null if it is unreadable. */
    public static MachineInfo fromEntry(Entry entry) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(entry.body()))) {
            return new MachineInfo(entry.key(), in.readUTF(), in.readUTF(), in.readBoolean(), in.readLong());
        } catch (IOException e) {
            return null;
        }
    }
}
