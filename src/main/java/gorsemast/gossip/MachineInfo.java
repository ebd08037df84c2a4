package gorsemast.gossip;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * A machine of the system, under its address; all listen at the same ports.
 *
 * @param up whether it is believed to run
 * @param incarnation higher for a later start
 */
public record MachineInfo(String ip, String zone, String controlAddress, boolean up, long incarnation) {
    /** As a piece of news of this kind; what is told as down ranks above the life that it is told of. */
    public Entry toEntry(Entry.Kind kind, long now) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeUTF(zone);
            out.writeUTF(controlAddress);
            out.writeBoolean(up);
            out.writeLong(incarnation);
        } catch (IOException e) {
            throw new IllegalStateException(e); // memory does not fail
        }
        return new Entry(kind, ip, 2 * incarnation + (up ? 0 : 1), bytes.toByteArray(), now);
    }

    /** What {@link #toEntry} made; null where it can't be read. */
    public static MachineInfo fromEntry(Entry item) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(item.body()))) {
            return new MachineInfo(item.key(), in.readUTF(), in.readUTF(), in.readBoolean(), in.readLong());
        } catch (IOException e) {
            return null;
        }
    }
}
