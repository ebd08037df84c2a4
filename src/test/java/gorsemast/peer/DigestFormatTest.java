package gorsemast.peer;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.gossip.GossipState;
import gorsemast.peer.PeerMessage.Digest;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** A digest of an earlier version of the program lacks the age of the configuration; versions are mixed during an upgrade. */
class DigestFormatTest {
    private static final Digest DIGEST = new Digest(true, 0, 5, new long[GossipState.BUCKETS], 700);

    private static byte[] write(Digest digest) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        digest.write(new DataOutputStream(bytes), 0);
        return bytes.toByteArray();
    }

    private static Digest read(byte[] bytes) throws IOException {
        return (Digest) PeerMessage.read(new DataInputStream(new ByteArrayInputStream(bytes)), 0);
    }

    @Test
    void theAgeIsRead() throws IOException {
        assertThat(read(write(DIGEST)).configurationAge()).isEqualTo(700);
    }

    @Test
    void theAgeIsUnknownInTheEarlierFormat() throws IOException {
        byte[] bytes = write(DIGEST);
        Digest digest = read(Arrays.copyOf(bytes, bytes.length - Long.BYTES));
        assertThat(digest.configurationAge()).isEqualTo(Digest.UNKNOWN_AGE);
        assertThat(digest.inReplyTo()).isEqualTo(5);
    }
}
