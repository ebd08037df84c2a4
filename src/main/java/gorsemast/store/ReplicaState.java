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
 * The state that a member has on its disk.
 *
 * @param promised the highest promised term: the member takes part in no lower term and votes for nobody else in this
 *     one
 */
public record ReplicaState(Member self, long promised, View view, StoredVersion stored) {
    /**
     * Returns the state of a machine with an empty disk. Only at the very first start is an empty disk expected, and
     * then the seeds are the first members; any other empty disk belongs to a new member, which has no vote yet.
     *
     * @param diskId a number that no other disk was given
     */
    public static ReplicaState initial(String ip, Collection<String> seeds, boolean firstBoot, long diskId) {
        List<Member> members = new ArrayList<>();
        if (firstBoot) {
            seeds.forEach(seed -> members.add(new Member(seed + "#0", seed)));
        }
        return new ReplicaState(
                new Member(ip + "#" + (firstBoot ? "0" : Long.toHexString(diskId)), ip),
                0,
                Replica.initialView(members),
                StoredVersion.NONE);
    }

    /** Encodes everything but the stored version. */
    public byte[] encodeState() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(1);
            self.write(out);
            out.writeLong(promised);
            view.write(out);
        } catch (IOException e) {
            throw new IllegalStateException(e); // can't happen in memory
        }
        return bytes.toByteArray();
    }

    /** Encodes the stored version. */
    public byte[] encodeConfiguration() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            stored.write(out);
        } catch (IOException e) {
            throw new IllegalStateException(e); // can't happen in memory
        }
        return bytes.toByteArray();
    }

    /** Decodes both records; throws {@link IOException} on invalid input. */
    public static ReplicaState decode(byte[] state, byte[] configuration) throws IOException {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(state));
                DataInputStream configurationIn = new DataInputStream(new ByteArrayInputStream(configuration))) {
            if (in.readUnsignedByte() != 1) {
                throw new IOException("unknown format of the state record");
            }
            return new ReplicaState(
                    Member.read(in), in.readLong(), View.read(in), StoredVersion.readFromDisk(configurationIn));
        }
    }
}
