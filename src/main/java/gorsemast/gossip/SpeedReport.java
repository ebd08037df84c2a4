package gorsemast.gossip;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/**
 * How long servers take beside the others, as one edge has seen it: by server, how many times as long, and by how many
 * answers that is known.
 */
public record SpeedReport(String edge, Map<String, double[]> servers) {
    private static final int MOST = 4_096;

    /** As a piece of news; the later one of an edge holds. */
    public Entry toEntry(long now, long stamp) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            write(out, servers);
        } catch (IOException e) {
            throw new IllegalStateException(e); // memory does not fail
        }
        return new Entry(Entry.Kind.SPEED, edge, stamp, bytes.toByteArray(), now);
    }

    /** What {@link #toEntry} made; null where it can't be read. */
    public static SpeedReport fromEntry(Entry item) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(item.body()))) {
            return new SpeedReport(item.key(), read(in));
        } catch (IOException e) {
            return null;
        }
    }

    /** Writes servers with what was seen of them, {@link #MOST} at most. */
    public static void write(DataOutputStream out, Map<String, double[]> servers) throws IOException {
        int left = Math.min(MOST, servers.size());
        out.writeShort(left);
        for (Map.Entry<String, double[]> server : servers.entrySet()) {
            if (left-- > 0) {
                out.writeUTF(server.getKey());
                out.writeFloat((float) server.getValue()[0]);
                out.writeFloat((float) server.getValue()[1]);
            }
        }
    }

    /** Reads what {@link #write} wrote. */
    public static Map<String, double[]> read(DataInputStream in) throws IOException {
        Map<String, double[]> servers = new HashMap<>();
        for (int left = in.readUnsignedShort(); left > 0; left--) {
            servers.put(in.readUTF(), new double[] {in.readFloat(), in.readFloat()});
        }
        return servers;
    }
}
