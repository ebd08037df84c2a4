package gorsemast.store;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * A member of the store: one life of one disk. A machine whose disk comes back empty is another member at the same
 * address, so what the lost one had promised binds nobody by mistake.
 *
 * @param id the address and a word drawn when the disk was first used
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
