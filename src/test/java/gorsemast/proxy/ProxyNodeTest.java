package gorsemast.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.configuration.Configuration;
import gorsemast.gossip.Entry;
import gorsemast.gossip.Entry.Kind;
import gorsemast.gossip.GossipState;
import gorsemast.gossip.MachineInfo;
import gorsemast.gossip.ServerInfo;
import gorsemast.peer.Neighbour;
import gorsemast.peer.PeerMessage;
import gorsemast.peer.PeerMessage.Digest;
import gorsemast.peer.PeerMessage.Program;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** By whose word an edge is ready: only that of a registry which vouches, in answer to a question of its own of late. */
class ProxyNodeTest {
    private static final String CONFIGURATION =
            """
            {"configVersion":"00000001","backendTable":[{"name":"s","healthPath":"/h","maxConnections":9}],
            "virtualHosts":[{"hostname":"h","pathRules":[{"name":"r","pathPrefix":"/","routeType":"idempotent",
            "timeout":"1s","targetLatency":"1s","priority":1,"maxAttempts":1,"backend":"s"}]}]}""";

    private static final class Quiet implements ProxyNode.Listener {
        @Override
        public void configurationChanged(Configuration now, int edges) {
            // nothing goes by it here
        }

        @Override
        public void serversChanged(Map<String, List<ServerInfo>> by, Map<String, Long> coldUntil) {
            // nothing goes by it here
        }

        @Override
        public void purged(Entry purge) {
            // nothing goes by it here
        }

        @Override
        public void speedsReceived(Map<String, double[]> pooled) {
            // nothing goes by it here
        }

        @Override
        public void runAfterwards(Runnable task) {
            task.run();
        }
    }

    private final List<PeerMessage> sent = new ArrayList<>();
    private final GossipState held = new GossipState();
    private final Neighbour registry = new Neighbour() {
        @Override
        public PeerMessage.Hello hello() {
            return new PeerMessage.Hello(Program.REGISTRY, "10.0.0.1", "z", "", 1);
        }

        @Override
        public void send(PeerMessage record) {
            sent.add(record);
        }
    };
    private long now = 1_000_000;
    private ProxyNode edge;

    @BeforeEach
    void linked() {
        edge = new ProxyNode(
                "10.1.0.1",
                "z",
                1,
                0,
                1,
                Set.of("10.0.0.1", "10.0.0.2", "10.0.0.3"),
                () -> now,
                () -> List.of(registry),
                Map::of,
                new Quiet());
        held.merge(now, new Entry(Kind.CONFIGURATION, "", 1, CONFIGURATION.getBytes(StandardCharsets.UTF_8), now));
        held.merge(now, new MachineInfo("10.0.0.1", "z", "", true, 1).toEntry(Kind.CORE, now));
        edge.up(registry);
        edge.received(registry, new PeerMessage.Updates(0, held.newerThan((1 << GossipState.BUCKETS) - 1, List.of())));
    }

    /** What it asked last is answered so much later. */
    private void answered(boolean vouches, long later) {
        edge.tick();
        long asks = 0;
        for (PeerMessage record : sent) {
            asks = record instanceof Digest digest ? digest.requestTime() : asks;
        }
        now += later;
        edge.received(registry, new Digest(vouches, 0, asks, held.digest()));
        edge.tick();
    }

    @Test
    void isReadyByAFreshAnswerOfOneThatVouches() {
        answered(true, 20_000);
        assertThat(edge.ready()).isTrue();
        answered(false, 20_000);
        assertThat(edge.ready()).as("serves on").isTrue();
    }

    @Test
    void isNotByOneThatDoesNotNorByWhatWasHeldUpNorUnasked() {
        answered(false, 20_000);
        answered(true, 3_000_000);
        edge.received(registry, new Digest(true, 0, 0, held.digest()));
        edge.tick();
        assertThat(edge.ready()).isFalse();
    }

    @Test
    void looksForOthersWhereItsOwnCantVouch() {
        answered(false, 20_000);
        assertThat(edge.wantedRegistries()).containsExactly("10.0.0.1");
        now += 3_000_000;
        answered(false, 20_000);
        assertThat(edge.wantedRegistries()).containsExactlyInAnyOrder("10.0.0.1", "10.0.0.2", "10.0.0.3");
    }

    @Test
    void whatItHeardIsCheckedUntilARegistryVouchesForIt() {
        assertThat(edge.configurationStatus()).isEqualTo(ConfigurationStatus.CHECKING);
        long asks = lastQuestion();
        assertThat(asks).as("asked behind the news, before any tick").isEqualTo(now);
        now += 20_000;
        edge.received(registry, new Digest(true, 0, asks, held.digest()));
        assertThat(edge.configurationStatus()).isEqualTo(ConfigurationStatus.CONFIRMED);
        assertThat(edge.ready()).isTrue();
        now += 60_000_000;
        assertThat(edge.configurationStatus()).as("serves on").isEqualTo(ConfigurationStatus.CONFIRMED);
    }

    @Test
    void whereNobodyVouchesItGoesByWhatItHeard() {
        edge.received(registry, new Digest(false, 0, lastQuestion(), held.digest()));
        assertThat(edge.configurationStatus()).isEqualTo(ConfigurationStatus.UNCONFIRMED);
    }

    @Test
    void whereNobodyAnswersItIsNotCheckedForLong() {
        now += 900_000;
        assertThat(edge.configurationStatus()).isEqualTo(ConfigurationStatus.CHECKING);
        now += 200_000;
        assertThat(edge.configurationStatus()).isEqualTo(ConfigurationStatus.UNCONFIRMED);
    }

    private long lastQuestion() {
        long asks = 0;
        for (PeerMessage record : sent) {
            asks = record instanceof Digest digest && digest.requestTime() != 0 ? digest.requestTime() : asks;
        }
        return asks;
    }
}
