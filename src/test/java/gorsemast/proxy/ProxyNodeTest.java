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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** An edge becomes ready only by a recent answer of a synced registry to a request of its own. */
class ProxyNodeTest {
    private static final long CONFIG_APPLY_MICROS = 2_000_000;
    private static final long MAX_TICK_GAP_MICROS = 200_000;

    private static final String CONFIGURATION =
            """
            {"configVersion":"00000001","backendTable":[{"name":"s","healthPath":"/h","maxConnections":9}],
            "virtualHosts":[{"hostname":"h","pathRules":[{"name":"r","pathPrefix":"/","routeType":"idempotent",
            "timeout":"1s","targetLatency":"1s","priority":1,"maxAttempts":1,"backend":"s"}]}]}""";

    private static final class NoOpListener implements ProxyNode.Listener {
        @Override
        public void configurationChanged(Configuration now, int edges) {
            // not needed in this test
        }

        @Override
        public void serversChanged(Map<String, List<ServerInfo>> by, Map<String, Long> coldUntil) {
            // not needed in this test
        }

        @Override
        public void purged(Entry purge) {
            // not needed in this test
        }

        @Override
        public void speedsReceived(Map<String, double[]> pooled) {
            // not needed in this test
        }

        @Override
        public void runAfterwards(Runnable task) {
            task.run();
        }
    }

    private final List<PeerMessage> sent = new ArrayList<>();
    private final GossipState registryState = new GossipState();
    private final Neighbour registry = new Neighbour() {
        @Override
        public PeerMessage.Hello hello() {
            return new PeerMessage.Hello(Program.REGISTRY, "10.0.0.1", "z", "", 1);
        }

        @Override
        public void send(PeerMessage message) {
            sent.add(message);
        }
    };
    private long now = 1_000_000;
    private ProxyNode edge;

    @BeforeEach
    void setUp() {
        edge = new ProxyNode(
                "10.1.0.1",
                "z",
                1,
                0,
                1,
                CONFIG_APPLY_MICROS,
                Set.of("10.0.0.1", "10.0.0.2", "10.0.0.3"),
                () -> now,
                () -> List.of(registry),
                Map::of,
                new NoOpListener());
        registryState.merge(
                now, new Entry(Kind.CONFIGURATION, "", 1, CONFIGURATION.getBytes(StandardCharsets.UTF_8), now));
        registryState.merge(now, new MachineInfo("10.0.0.1", "z", "", true, 1).toEntry(Kind.CORE, now));
        edge.up(registry);
        edge.received(
                registry,
                new PeerMessage.Updates(0, registryState.newerThan((1 << GossipState.BUCKETS) - 1, List.of())));
    }

    /** Answers the last request after a delay. */
    private void registryAnswers(boolean synced, long delayMicros) {
        edge.tick();
        long requestTime = 0;
        for (PeerMessage message : sent) {
            requestTime = message instanceof Digest digest ? digest.requestTime() : requestTime;
        }
        now += delayMicros;
        edge.received(registry, new Digest(synced, 0, requestTime, registryState.digest(), 0));
        edge.tick();
    }

    @Test
    void isReadyAfterAFreshAnswerOfASyncedRegistry() {
        registryAnswers(true, 20_000);
        assertThat(edge.ready()).isTrue();
        registryAnswers(false, 20_000);
        assertThat(edge.ready()).as("keeps serving").isTrue();
    }

    @Test
    void isNotReadyAfterAnUnsyncedDelayedOrUnrequestedDigest() {
        registryAnswers(false, 20_000);
        registryAnswers(true, 3_000_000);
        edge.received(registry, new Digest(true, 0, 0, registryState.digest(), 0));
        edge.tick();
        assertThat(edge.ready()).isFalse();
    }

    /** Each of the others in turn, as no more than one further socket is reserved; none while the core may be starting. */
    @Test
    void triesFurtherRegistriesWhereItsOwnAreNotSynced() {
        registryAnswers(false, 20_000);
        assertThat(edge.targetRegistries()).containsExactly("10.0.0.1");
        Set<String> tried = new HashSet<>();
        for (long passed = 0; passed < 3_000_000; passed += 250_000) {
            registryAnswers(false, 250_000);
            Set<String> targets = edge.targetRegistries();
            assertThat(targets).hasSizeLessThanOrEqualTo(2).contains("10.0.0.1");
            tried.addAll(targets);
        }
        assertThat(tried).containsExactlyInAnyOrder("10.0.0.1", "10.0.0.2", "10.0.0.3");
    }

    /** STALE: a ready edge stayed with its one registry though that one had been partitioned from the others. */
    @Test
    void triesFurtherRegistriesOnceItIsReady() {
        confirm(0);
        assertThat(edge.ready()).isTrue();
        passRunning(1_200_000);
        confirm(0);
        assertThat(edge.targetRegistries()).containsExactly("10.0.0.1");
        edge.received(registry, new Digest(false, 0, lastRequestTime(), registryState.digest(), 0));
        assertThat(edge.targetRegistries()).hasSize(2).contains("10.0.0.1");
    }

    @Test
    void configurationIsCheckedUntilARegistryConfirmsIt() {
        assertThat(edge.configurationStatus()).isEqualTo(ConfigurationStatus.CHECKING);
        long requestTime = lastRequestTime();
        assertThat(requestTime)
                .as("requested after the update, before any tick")
                .isEqualTo(now);
        now += 20_000;
        edge.received(registry, new Digest(true, 0, requestTime, registryState.digest(), 0));
        assertThat(edge.configurationStatus()).isEqualTo(ConfigurationStatus.CONFIRMED);
        assertThat(edge.ready()).isTrue();
    }

    /** CONFIG: an edge whose registries were silent said 404 on routes that had been added meanwhile. */
    @Test
    void confirmationOnlyHoldsForAsLongAsANewerConfigurationCannotBeInForce() {
        confirm(0);
        passRunning(CONFIG_APPLY_MICROS - MAX_TICK_GAP_MICROS);
        assertThat(edge.configurationStatus()).isEqualTo(ConfigurationStatus.CONFIRMED);
        passRunning(60_000_000);
        assertThat(edge.ready()).as("keeps serving").isTrue();
        assertThat(edge.configurationStatus()).as("keeps serving").isEqualTo(ConfigurationStatus.UNCONFIRMED);
        confirm(0);
        assertThat(edge.configurationStatus()).isEqualTo(ConfigurationStatus.CONFIRMED);
    }

    /** CONFIG: a registry vouches for what its store confirmed a while ago. */
    @Test
    void ageOfTheRegistrysOwnConfirmationCounts() {
        confirm(CONFIG_APPLY_MICROS - MAX_TICK_GAP_MICROS);
        assertThat(edge.configurationStatus()).isEqualTo(ConfigurationStatus.CONFIRMED);
        passRunning(2 * MAX_TICK_GAP_MICROS);
        assertThat(edge.configurationStatus()).isEqualTo(ConfigurationStatus.UNCONFIRMED);
    }

    /** CONFIG: an edge that had stood still served and denied by its old configuration before it read the newest one. */
    @Test
    void edgeThatStoodStillServesNothingUntilItsConfigurationIsConfirmed() {
        confirm(0);
        long askedBefore = lastRequestTime();
        now += 5_000_000;
        assertThat(edge.configurationStatus()).isEqualTo(ConfigurationStatus.CHECKING);
        assertThat(lastRequestTime()).as("asked at once").isEqualTo(now);
        edge.received(registry, new Digest(true, 0, askedBefore, registryState.digest(), 0));
        assertThat(edge.configurationStatus()).as("a late answer").isEqualTo(ConfigurationStatus.CHECKING);
        confirm(0);
        assertThat(edge.configurationStatus()).isEqualTo(ConfigurationStatus.CONFIRMED);
    }

    /** STALE: an edge that had stood still served copies before it knew of the purges that it had missed. */
    @Test
    void edgeThatStoodStillServesNothingUntilItHasMissedNoPurge() {
        confirm(0);
        now += 5_000_000;
        Entry purge = otherBucketThanTheConfiguration();
        registryState.merge(now, purge);
        assertThat(edge.configurationStatus()).isEqualTo(ConfigurationStatus.CHECKING);
        confirm(0);
        assertThat(edge.configurationStatus()).as("a purge is missing").isEqualTo(ConfigurationStatus.CHECKING);
        edge.received(registry, new PeerMessage.Updates(0, List.of(purge)));
        confirm(0);
        assertThat(edge.configurationStatus()).isEqualTo(ConfigurationStatus.CONFIRMED);
    }

    private Entry otherBucketThanTheConfiguration() {
        for (int i = 0; ; i++) {
            Entry purge = new Entry(Kind.PURGE, "p" + i, 1, new byte[0], now);
            GossipState alone = new GossipState();
            alone.merge(now, purge);
            if (!GossipState.includesConfiguration(new GossipState().differingBuckets(alone.digest()))) {
                return purge;
            }
        }
    }

    @Test
    void edgeThatStoodStillServesAgainThoughNoRegistryAnswers() {
        confirm(0);
        now += 5_000_000;
        assertThat(edge.configurationStatus()).isEqualTo(ConfigurationStatus.CHECKING);
        passRunning(900_000);
        assertThat(edge.configurationStatus()).isEqualTo(ConfigurationStatus.CHECKING);
        passRunning(MAX_TICK_GAP_MICROS);
        assertThat(edge.configurationStatus()).isEqualTo(ConfigurationStatus.UNCONFIRMED);
    }

    private void passRunning(long micros) {
        for (long passed = 0; passed < micros; passed += MAX_TICK_GAP_MICROS) {
            now += Math.min(MAX_TICK_GAP_MICROS, micros - passed);
            edge.tick();
        }
    }

    private void confirm(long configurationAge) {
        edge.up(registry);
        edge.received(registry, new Digest(true, 0, lastRequestTime(), registryState.digest(), configurationAge));
        edge.tick();
    }

    @Test
    void configurationIsUnconfirmedWhereNoRegistryIsSynced() {
        edge.received(registry, new Digest(false, 0, lastRequestTime(), registryState.digest(), 0));
        assertThat(edge.configurationStatus()).isEqualTo(ConfigurationStatus.UNCONFIRMED);
    }

    @Test
    void checkingEndsSoonWhereNoRegistryAnswers() {
        now += 900_000;
        assertThat(edge.configurationStatus()).isEqualTo(ConfigurationStatus.CHECKING);
        now += 200_000;
        assertThat(edge.configurationStatus()).isEqualTo(ConfigurationStatus.UNCONFIRMED);
    }

    private long lastRequestTime() {
        long asks = 0;
        for (PeerMessage message : sent) {
            asks = message instanceof Digest digest && digest.requestTime() != 0 ? digest.requestTime() : asks;
        }
        return asks;
    }
}
