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
 * @param life higher for a later start
 */
public record MachineNews(String ip, String zone, String control, boolean up, long life) {
    /** As a piece of news of this kind; what is told as down ranks above the life that it is told of. */
    public Entry item(Entry.Kind kind, long now) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeUTF(zone);
            out.writeUTF(control);
            out.writeBoolean(up);
            out.writeLong(life);
        } catch (IOException e) {
            throw new IllegalStateException(e); // memory does not fail
        }
        return new Entry(kind, ip, 2 * life + (up ? 0 : 1), bytes.toByteArray(), now);
    }

    /** What {@link #item} made; null where it can't be read. */
    public static MachineNews of(Entry item) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(item.body()))) {
            return new MachineNews(item.key(), in.readUTF(), in.readUTF(), in.readBoolean(), in.readLong());
        } catch (IOException e) {
            return null;
        }
    }
}
