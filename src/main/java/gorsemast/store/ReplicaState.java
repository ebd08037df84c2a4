package gorsemast.store;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * All that a member has on its disk.
 *
 * @param promised no term below this, nor this one for anybody else, has its word any more
 */
public record ReplicaState(Member self, long promised, View view, StoredVersion stored) {
    /**
     * What a machine begins with whose disk is empty. Only at the first start of all is that as it should be, and the
     * seeds are the first members; any other empty disk belongs to a new member, which has no vote yet.
     *
     * @param life a number that no other disk was given
     */
    public static ReplicaState initial(String ip, Collection<String> seeds, boolean firstBoot, long life) {
        List<Member> members = new ArrayList<>();
        if (firstBoot) {
            seeds.forEach(seed -> members.add(new Member(seed + "#0", seed)));
        }
        return new ReplicaState(
                new Member(ip + "#" + (firstBoot ? "0" : Long.toHexString(life)), ip),
                0,
                Replica.initialView(members),
                StoredVersion.NONE);
    }

    /** As a record, without what is kept. */
    public byte[] encodeState() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(1);
            self.write(out);
            out.writeLong(promised);
            view.write(out);
        } catch (IOException e) {
            throw new IllegalStateException(e); // memory does not fail
        }
        return bytes.toByteArray();
    }

    /** What is kept, as a record. */
    public byte[] encodeConfiguration() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            stored.write(out);
        } catch (IOException e) {
            throw new IllegalStateException(e); // memory does not fail
        }
        return bytes.toByteArray();
    }

    /** What both records say; throws where they are none. */
    public static ReplicaState decode(byte[] state, byte[] configuration) throws IOException {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(state));
                DataInputStream more = new DataInputStream(new ByteArrayInputStream(configuration))) {
            if (in.readUnsignedByte() != 1) {
                throw new IOException("another form of state");
            }
            return new ReplicaState(Member.read(in), in.readLong(), View.read(in), StoredVersion.recorded(more));
        }
    }
}
