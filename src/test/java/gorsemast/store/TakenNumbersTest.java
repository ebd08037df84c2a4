package gorsemast.store;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.configuration.ContentDigest;
import gorsemast.peer.PeerMessage;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Which content has which number: merged in any order, cut to the highest, and read back as written. */
class TakenNumbersTest {
    private static ContentDigest digest(String content) {
        return ContentDigest.of(content.getBytes(StandardCharsets.UTF_8));
    }

    private static byte[] written(VersionHistory numbers) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        numbers.write(new DataOutputStream(bytes));
        return bytes.toByteArray();
    }

    private static VersionHistory drawn(Random random, int most) {
        VersionHistory numbers = VersionHistory.NONE;
        for (int i = random.nextInt(most); i > 0; i--) {
            long term = random.nextInt(5);
            long number = random.nextInt(2 * VersionHistory.MAX_ENTRIES);
            numbers = numbers.with(number, term, digest(number + " of " + term)); // a term has one content for a number
        }
        return numbers;
    }

    @Test
    void allOrdersOfMergingComeToTheSame() throws IOException {
        Random random = new Random(5);
        for (int round = 0; round < 20; round++) {
            VersionHistory a = drawn(random, 600);
            VersionHistory b = drawn(random, 600);
            VersionHistory c = drawn(random, 600);
            byte[] one = written(a.mergedWith(b).mergedWith(c));
            assertThat(written(c.mergedWith(a.mergedWith(b)))).isEqualTo(one);
            assertThat(written(b.mergedWith(c).mergedWith(a))).isEqualTo(one);
            VersionHistory both = a.mergedWith(b);
            assertThat(both.mergedWith(b)).as("nothing new").isSameAs(both);
            assertThat(written(a.mergedWith(both.changesSince(a))))
                    .as("only what lacks")
                    .isEqualTo(written(both));
        }
    }

    @Test
    void theLaterTermHoldsAndTheLowestAreForgotten() {
        VersionHistory numbers = VersionHistory.NONE.with(7, 1, digest("a")).with(7, 2, digest("b"));
        assertThat(numbers.digest(7)).isEqualTo(digest("b"));
        assertThat(numbers.with(7, 1, digest("a")).digest(7)).isEqualTo(digest("b"));
        for (int i = 0; i < VersionHistory.MAX_ENTRIES; i++) {
            numbers = numbers.with(100 + i, 2, digest("c"));
        }
        assertThat(numbers.size()).isEqualTo(VersionHistory.MAX_ENTRIES);
        assertThat(numbers.digest(7)).isNull();
        assertThat(numbers.isForgotten(7)).isTrue();
        assertThat(numbers.isForgotten(100 + VersionHistory.MAX_ENTRIES)).isFalse();
    }

    @Test
    void whatIsWrittenIsReadAndWhatAnEarlierProgramWroteToo() throws IOException {
        byte[] body = "body".getBytes(StandardCharsets.UTF_8);
        StoredVersion kept = StoredVersion.NONE.successor(3, 1, body, ContentDigest.of(body));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        kept.write(new DataOutputStream(bytes));
        StoredVersion read =
                StoredVersion.readFromDisk(new DataInputStream(new ByteArrayInputStream(bytes.toByteArray())));
        assertThat(read.digest()).isEqualTo(ContentDigest.of(body));
        byte[] earlier = java.util.Arrays.copyOf(bytes.toByteArray(), 2 * Long.BYTES + Integer.BYTES + body.length);
        StoredVersion old = StoredVersion.readFromDisk(new DataInputStream(new ByteArrayInputStream(earlier)));
        assertThat(old.digest()).isEqualTo(ContentDigest.of(body));
        assertThat(old.version()).isEqualTo(3);
    }

    @Test
    void answersCarryOutcomeTermAndDigest() throws IOException {
        ContentDigest digest = digest("body");
        for (CallOutcome outcome : List.of(CallOutcome.values())) {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            new PeerMessage.StoreAnswer(5, outcome, 7, 3, digest, null).write(new DataOutputStream(bytes), 0);
            assertThat(PeerMessage.read(new DataInputStream(new ByteArrayInputStream(bytes.toByteArray())), 0))
                    .isEqualTo(new PeerMessage.StoreAnswer(5, outcome, 7, 3, digest, null));
        }
    }
}
