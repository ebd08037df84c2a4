package gorsemast.gossip;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/**
 * The server speeds measured by one edge: for each server its response time relative to the others, and the number of
 * answers measured.
 */
public record SpeedReport(String edge, Map<String, double[]> servers) {
    private static final int MAX_SERVERS = 4_096;

    /** Encodes it as an entry; the later one of an edge wins. */
    public Entry toEntry(long now, long stamp) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            write(out, servers);
        } catch (IOException e) {
            throw new IllegalStateException(e); // a byte array does not fail
        }
        return new Entry(Entry.Kind.SPEED, edge, stamp, bytes.toByteArray(), now);
    }

    /** Decodes an entry made by {@link #toEntry}; returns null if it is unreadable. */
    public static SpeedReport fromEntry(Entry entry) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(entry.body()))) {
            return new SpeedReport(entry.key(), read(in));
        } catch (IOException e) {
            return null;
        }
    }

    /** Writes the speeds of at most {@link #MAX_SERVERS} servers. */
    public static void write(DataOutputStream out, Map<String, double[]> servers) throws IOException {
        int remaining = Math.min(MAX_SERVERS, servers.size());
        out.writeShort(remaining);
        for (Map.Entry<String, double[]> server : servers.entrySet()) {
            if (remaining-- > 0) {
                out.writeUTF(server.getKey());
                out.writeFloat((float) server.getValue()[0]);
                out.writeFloat((float) server.getValue()[1]);
            }
        }
    }

    /** Reads what {@link #write} wrote. */
    public static Map<String, double[]> read(DataInputStream in) throws IOException {
        Map<String, double[]> servers = new HashMap<>();
        for (int remaining = in.readUnsignedShort(); remaining > 0; remaining--) {
            servers.put(in.readUTF(), new double[] {in.readFloat(), in.readFloat()});
        }
        return servers;
    }
}
