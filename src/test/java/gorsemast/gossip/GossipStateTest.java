package gorsemast.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.configuration.ContentDigest;
import gorsemast.gossip.Entry.Kind;
import gorsemast.gossip.ServerInfo.State;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Merging in any order, mending by digests, and what is forgotten. */
class GossipStateTest {
    private static ServerInfo server(String id, State state, long seq) {
        return new ServerInfo(id, "s", "10.0.0.1:80", "z", 4, state, seq, 0);
    }

    /** A number and a term have one content. */
    private static Entry configuration(long number, long term) {
        byte[] body = (number + " of " + term).getBytes(StandardCharsets.UTF_8);
        return Entry.configuration(number, term, ContentDigest.of(body), body, 0);
    }

    private static List<Entry> drawn(Random random) {
        List<Entry> items = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            items.add(
                    switch (random.nextInt(4)) {
                        case 0 ->
                            new PurgeRequest("p" + random.nextInt(40), "h", "/" + i, "").toEntry(random.nextInt(1_000));
                        case 1 -> configuration(random.nextInt(3), random.nextInt(3));
                        case 2 ->
                            server("i" + random.nextInt(20), State.values()[random.nextInt(4)], random.nextInt(9))
                                    .toEntry(0);
                        default ->
                            new MachineInfo(
                                            "10.0.0." + random.nextInt(9),
                                            "z",
                                            "",
                                            random.nextBoolean(),
                                            random.nextInt(5))
                                    .toEntry(Kind.EDGE, 0);
                    });
        }
        return items;
    }

    @Test
    void allOrdersComeToTheSameAndDigestsSaySo() {
        Random random = new Random(3);
        for (int round = 0; round < 50; round++) {
            List<Entry> items = drawn(random);
            GossipState one = new GossipState();
            items.forEach(item -> one.merge(1_000, item));
            Collections.shuffle(items, random);
            GossipState other = new GossipState();
            items.forEach(item -> other.merge(1_000, item));
            items.forEach(
                    item -> assertThat(other.merge(1_000, item)).as("again").isFalse());
            assertThat(other.differingBuckets(one.digest())).isZero();
            assertThat(other.purgeDigest()).isEqualTo(one.purgeDigest());
        }
    }

    @Test
    void partsThatDifferAreMendedBothWays() {
        Random random = new Random(4);
        GossipState one = new GossipState();
        GossipState other = new GossipState();
        drawn(random).forEach(item -> (random.nextBoolean() ? one : other).merge(1_000, item));
        int parts = one.differingBuckets(other.digest());
        assertThat(parts).isNotZero();
        one.newerThan(parts, other.versions(parts)).forEach(item -> other.merge(2_000, item));
        other.newerThan(parts, one.versions(parts)).forEach(item -> one.merge(2_000, item));
        assertThat(one.differingBuckets(other.digest())).isZero();
    }

    @Test
    void ofTwoContentsUnderOneNumberTheLaterTermsHoldsAndDigestsTellThemApart() {
        GossipState one = new GossipState();
        GossipState other = new GossipState();
        one.merge(0, configuration(7, 1));
        other.merge(0, configuration(7, 2));
        int parts = one.differingBuckets(other.digest());
        assertThat(parts).isNotZero();
        assertThat(other.newerThan(parts, one.versions(parts))).hasSize(1);
        assertThat(one.newerThan(parts, other.versions(parts))).isEmpty();
        assertThat(one.missing(other.versions(parts))).hasSize(1);
        assertThat(one.merge(1, other.get(Kind.CONFIGURATION, ""))).isTrue();
        assertThat(other.merge(1, configuration(7, 1))).isFalse();
        assertThat(one.differingBuckets(other.digest())).isZero();
    }

    /** The planted defect: news of configurations merge by their number alone. */
    @Test
    void mergedByTheNumberAloneTwoContentsWouldStayAndNoDigestWouldTell() {
        GossipState one = new GossipState();
        GossipState other = new GossipState();
        one.merge(0, byNumberAlone(configuration(7, 1)));
        other.merge(0, byNumberAlone(configuration(7, 2)));
        assertThat(one.differingBuckets(other.digest())).isZero();
        assertThat(one.merge(1, other.get(Kind.CONFIGURATION, ""))).isFalse();
        assertThat(one.get(Kind.CONFIGURATION, "").body())
                .isNotEqualTo(other.get(Kind.CONFIGURATION, "").body());
    }

    private static Entry byNumberAlone(Entry item) {
        return new Entry(item.kind(), item.key(), item.stamp(), item.body(), item.createdAt());
    }

    @Test
    void aServerThatStillServesIsNotForgottenAndOneThatLeftIs() {
        GossipState board = new GossipState();
        board.merge(0, server("stays", State.READY, 1).toEntry(0));
        board.merge(0, server("leaves", State.DRAINING, 1).toEntry(0));
        board.merge(0, server("gone", State.GONE, 1).toEntry(0));
        board.merge(0, server("silent", State.SILENT, 1).toEntry(0));
        board.merge(0, new PurgeRequest("p", "h", "/", "").toEntry(0));
        long empty = new GossipState().purgeDigest();
        board.removeExpired(10 * GossipState.RETENTION_MICROS);
        assertThat(board.all(Kind.SERVER)).extracting(Entry::key).containsExactly("stays", "leaves");
        assertThat(board.purgeDigest()).isEqualTo(empty);
        assertThat(board.merge(
                        10 * GossipState.RETENTION_MICROS,
                        server("gone", State.GONE, 1).toEntry(0)))
                .as("told late")
                .isFalse();
    }

    @Test
    void lateCallsChangeNothing() {
        GossipState board = new GossipState();
        board.merge(0, server("a", State.DRAINING, 5).toEntry(0));
        assertThat(board.merge(1, server("a", State.READY, 4).toEntry(1))).isFalse();
        assertThat(board.merge(1, server("a", State.SILENT, 5).toEntry(1)))
                .as("silence is weaker than what it said")
                .isFalse();
        board.merge(2, server("a", State.GONE, 5).toEntry(2));
        assertThat(board.merge(3, server("a", State.READY, 9).toEntry(3))).isFalse();
    }
}
