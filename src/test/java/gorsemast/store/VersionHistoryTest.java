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

/** The history of version numbers: merged in any order, cut to the highest, and decoded as encoded. */
class VersionHistoryTest {
    private static ContentDigest digest(String content) {
        return ContentDigest.of(content.getBytes(StandardCharsets.UTF_8));
    }

    private static byte[] encoded(VersionHistory history) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        history.write(new DataOutputStream(bytes));
        return bytes.toByteArray();
    }

    private static VersionHistory randomHistory(Random random, int maxEntries) {
        VersionHistory history = VersionHistory.NONE;
        for (int i = random.nextInt(maxEntries); i > 0; i--) {
            long term = random.nextInt(5);
            long version = random.nextInt(2 * VersionHistory.MAX_ENTRIES);
            history =
                    history.with(version, term, digest(version + " of " + term)); // a term has one content per version
        }
        return history;
    }

    @Test
    void mergingGivesTheSameResultInAnyOrder() throws IOException {
        Random random = new Random(5);
        for (int round = 0; round < 20; round++) {
            VersionHistory a = randomHistory(random, 600);
            VersionHistory b = randomHistory(random, 600);
            VersionHistory c = randomHistory(random, 600);
            byte[] expected = encoded(a.mergedWith(b).mergedWith(c));
            assertThat(encoded(c.mergedWith(a.mergedWith(b)))).isEqualTo(expected);
            assertThat(encoded(b.mergedWith(c).mergedWith(a))).isEqualTo(expected);
            VersionHistory both = a.mergedWith(b);
            assertThat(both.mergedWith(b)).as("nothing new").isSameAs(both);
            assertThat(encoded(a.mergedWith(both.changesSince(a))))
                    .as("only the missing entries")
                    .isEqualTo(encoded(both));
        }
    }

    @Test
    void theLaterTermWinsAndTheLowestVersionsAreForgotten() {
        VersionHistory history = VersionHistory.NONE.with(7, 1, digest("a")).with(7, 2, digest("b"));
        assertThat(history.digest(7)).isEqualTo(digest("b"));
        assertThat(history.with(7, 1, digest("a")).digest(7)).isEqualTo(digest("b"));
        for (int i = 0; i < VersionHistory.MAX_ENTRIES; i++) {
            history = history.with(100 + i, 2, digest("c"));
        }
        assertThat(history.size()).isEqualTo(VersionHistory.MAX_ENTRIES);
        assertThat(history.digest(7)).isNull();
        assertThat(history.isForgotten(7)).isTrue();
        assertThat(history.isForgotten(100 + VersionHistory.MAX_ENTRIES)).isFalse();
    }

    @Test
    void recordsOfThisAndOfEarlierReleasesAreDecoded() throws IOException {
        byte[] body = "body".getBytes(StandardCharsets.UTF_8);
        StoredVersion stored = StoredVersion.NONE.successor(3, 1, body, ContentDigest.of(body));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        stored.write(new DataOutputStream(bytes));
        StoredVersion read =
                StoredVersion.readFromDisk(new DataInputStream(new ByteArrayInputStream(bytes.toByteArray())));
        assertThat(read.digest()).isEqualTo(ContentDigest.of(body));
        byte[] withoutHistory =
                java.util.Arrays.copyOf(bytes.toByteArray(), 2 * Long.BYTES + Integer.BYTES + body.length);
        StoredVersion legacy =
                StoredVersion.readFromDisk(new DataInputStream(new ByteArrayInputStream(withoutHistory)));
        assertThat(legacy.digest()).isEqualTo(ContentDigest.of(body));
        assertThat(legacy.version()).isEqualTo(3);
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
