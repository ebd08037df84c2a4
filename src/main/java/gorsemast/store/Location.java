package gorsemast.store;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * Where a member's machine stands, as it says itself. A value; any thread.
 *
 * @param zone its zone; empty where it is not told
 * @param region its zone's region; empty where it is not told
 * @param lossCounted whether the machine's loss is one of those that are to be borne: only such a machine is taken in
 */
public record Location(String zone, String region, boolean lossCounted) {
    /** Of a member that has not said it. */
    public static final Location UNKNOWN = new Location("", "", true);

    void write(DataOutputStream out) throws IOException {
        out.writeUTF(zone);
        out.writeUTF(region);
        out.writeBoolean(lossCounted);
    }

    static Location read(DataInputStream in) throws IOException {
        return new Location(in.readUTF(), in.readUTF(), in.readBoolean());
    }
}
