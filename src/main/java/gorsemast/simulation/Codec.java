package gorsemast.simulation;

import gorsemast.peer.PeerMessage;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/** Encodes and decodes records with the production codec, so that lengths and ages are the real ones. */
final class Codec {
    private Codec() {}

    static byte[] bytes(PeerMessage record, long now) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            record.write(out, now);
        } catch (IOException e) {
            throw new IllegalStateException(e); // in-memory streams do not fail
        }
        return bytes.toByteArray();
    }

    static PeerMessage record(byte[] bytes, long now) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            return PeerMessage.read(in, now);
        } catch (IOException e) {
            throw new Violation("RECORD", "record cannot be decoded: " + e.getMessage());
        }
    }
}
