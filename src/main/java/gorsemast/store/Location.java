package gorsemast.store;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * Where a member's machine is, as the member reports it.
 *
 * @param zone its zone; empty where it is not configured
 * @param region the region of its zone; empty where it is not configured
 * @param lossCounted whether the loss of this machine is among the tolerated losses: only such a machine can join
 */
public record Location(String zone, String region, boolean lossCounted) {
    /** The location of a member that has reported none. */
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
