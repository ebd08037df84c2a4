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

/** Tests merging in any order, repair by digests, and expiry. */
class GossipStateTest {
    private static ServerInfo server(String id, State state, long seq) {
        return new ServerInfo(id, "s", "10.0.0.1:80", "z", 4, state, seq, 0);
    }

    /** Returns the configuration of a version and a term, which determine its content. */
    private static Entry configuration(long version, long term) {
        byte[] body = (version + " of " + term).getBytes(StandardCharsets.UTF_8);
        return Entry.configuration(version, term, ContentDigest.of(body), body, 0);
    }

    private static List<Entry> randomEntries(Random random) {
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            entries.add(
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
        return entries;
    }

    @Test
    void mergingInAnyOrderConvergesToEqualDigests() {
        Random random = new Random(3);
        for (int round = 0; round < 50; round++) {
            List<Entry> entries = randomEntries(random);
            GossipState one = new GossipState();
            entries.forEach(entry -> one.merge(1_000, entry));
            Collections.shuffle(entries, random);
            GossipState other = new GossipState();
            entries.forEach(entry -> other.merge(1_000, entry));
            entries.forEach(
                    entry -> assertThat(other.merge(1_000, entry)).as("again").isFalse());
            assertThat(other.differingBuckets(one.digest())).isZero();
            assertThat(other.purgeDigest()).isEqualTo(one.purgeDigest());
        }
    }

    @Test
    void differingBucketsAreRepairedInBothDirections() {
        Random random = new Random(4);
        GossipState one = new GossipState();
        GossipState other = new GossipState();
        randomEntries(random).forEach(entry -> (random.nextBoolean() ? one : other).merge(1_000, entry));
        int buckets = one.differingBuckets(other.digest());
        assertThat(buckets).isNotZero();
        one.newerThan(buckets, other.versions(buckets)).forEach(entry -> other.merge(2_000, entry));
        other.newerThan(buckets, one.versions(buckets)).forEach(entry -> one.merge(2_000, entry));
        assertThat(one.differingBuckets(other.digest())).isZero();
    }

    @Test
    void ofTwoContentsOfOneVersionTheLaterTermWinsAndDigestsDiffer() {
        GossipState one = new GossipState();
        GossipState other = new GossipState();
        one.merge(0, configuration(7, 1));
        other.merge(0, configuration(7, 2));
        int buckets = one.differingBuckets(other.digest());
        assertThat(buckets).isNotZero();
        assertThat(other.newerThan(buckets, one.versions(buckets))).hasSize(1);
        assertThat(one.newerThan(buckets, other.versions(buckets))).isEmpty();
        assertThat(one.missing(other.versions(buckets))).hasSize(1);
        assertThat(one.merge(1, other.get(Kind.CONFIGURATION, ""))).isTrue();
        assertThat(other.merge(1, configuration(7, 1))).isFalse();
        assertThat(one.differingBuckets(other.digest())).isZero();
    }

    /** Injected defect: configurations are merged by version alone. */
    @Test
    void mergedByVersionAloneTwoContentsPersistAndDigestsAreEqual() {
        GossipState one = new GossipState();
        GossipState other = new GossipState();
        one.merge(0, byVersionAlone(configuration(7, 1)));
        other.merge(0, byVersionAlone(configuration(7, 2)));
        assertThat(one.differingBuckets(other.digest())).isZero();
        assertThat(one.merge(1, other.get(Kind.CONFIGURATION, ""))).isFalse();
        assertThat(one.get(Kind.CONFIGURATION, "").body())
                .isNotEqualTo(other.get(Kind.CONFIGURATION, "").body());
    }

    private static Entry byVersionAlone(Entry entry) {
        return new Entry(entry.kind(), entry.key(), entry.stamp(), entry.body(), entry.createdAt());
    }

    @Test
    void servingServersAreKeptAndServersThatLeftExpire() {
        GossipState state = new GossipState();
        state.merge(0, server("stays", State.READY, 1).toEntry(0));
        state.merge(0, server("leaves", State.DRAINING, 1).toEntry(0));
        state.merge(0, server("gone", State.GONE, 1).toEntry(0));
        state.merge(0, server("silent", State.SILENT, 1).toEntry(0));
        state.merge(0, new PurgeRequest("p", "h", "/", "").toEntry(0));
        long empty = new GossipState().purgeDigest();
        state.removeExpired(10 * GossipState.RETENTION_MICROS);
        assertThat(state.all(Kind.SERVER)).extracting(Entry::key).containsExactly("stays", "leaves");
        assertThat(state.purgeDigest()).isEqualTo(empty);
        assertThat(state.merge(
                        10 * GossipState.RETENTION_MICROS,
                        server("gone", State.GONE, 1).toEntry(0)))
                .as("arrives late")
                .isFalse();
    }

    @Test
    void lateCallsAreIgnored() {
        GossipState state = new GossipState();
        state.merge(0, server("a", State.DRAINING, 5).toEntry(0));
        assertThat(state.merge(1, server("a", State.READY, 4).toEntry(1))).isFalse();
        assertThat(state.merge(1, server("a", State.SILENT, 5).toEntry(1)))
                .as("silence ranks below the server's own report")
                .isFalse();
        state.merge(2, server("a", State.GONE, 5).toEntry(2));
        assertThat(state.merge(3, server("a", State.READY, 9).toEntry(3))).isFalse();
    }
}
