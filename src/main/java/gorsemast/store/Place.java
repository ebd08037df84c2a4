package gorsemast.store;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * Where a member's machine stands, as it says itself. A value; any thread.
 *
 * @param zone its zone; empty where it is not told
 * @param region its zone's region; empty where it is not told
 * @param counted whether the machine's loss is one of those that are to be borne: only such a machine is taken in
 */
public record Place(String zone, String region, boolean counted) {
    /** Of a member that has not said it. */
    public static final Place UNKNOWN = new Place("", "", true);

    void write(DataOutputStream out) throws IOException {
        out.writeUTF(zone);
        out.writeUTF(region);
        out.writeBoolean(counted);
    }

    static Place read(DataInputStream in) throws IOException {
        return new Place(in.readUTF(), in.readUTF(), in.readBoolean());
    }
}
