package gorsemast.store;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * A member of the store, identified by its disk. A machine whose disk comes back empty is a different member at the
 * same address, so it never votes as the member whose promises were lost.
 *
 * @param id the address and a random suffix chosen when the disk was first used
 */
public record Member(String id, String ip) {
    void write(DataOutputStream out) throws IOException {
        out.writeUTF(id);
        out.writeUTF(ip);
    }

    static Member read(DataInputStream in) throws IOException {
        return new Member(in.readUTF(), in.readUTF());
    }
}
