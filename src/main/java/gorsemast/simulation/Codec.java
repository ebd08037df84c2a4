package gorsemast.simulation;

import gorsemast.peer.PeerMessage;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/** Records as they go over links: written and read as in service, so that lengths and ages are what they are there. */
final class Codec {
    private Codec() {}

    static byte[] bytes(PeerMessage record, long now) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            record.write(out, now);
        } catch (IOException e) {
            throw new IllegalStateException(e); // memory does not fail
        }
        return bytes.toByteArray();
    }

    static PeerMessage record(byte[] bytes, long now) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            return PeerMessage.read(in, now);
        } catch (IOException e) {
            throw new Broken("RECORD", "a record can't be read: " + e.getMessage());
        }
    }
}
