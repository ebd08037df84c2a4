package gorsemast.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.gossip.Hash;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which registries an edge is linked to when some of them do not confirm their state. */
class RegistrySelectorTest {
    private static final String EDGE = "10.1.0.1";
    private static final Set<String> CORE = Set.of("10.0.0.1", "10.0.0.2", "10.0.0.3");
    /** Addresses of machines that have been replaced. */
    private static final Set<String> SEEDS = Set.of("10.0.0.7", "10.0.0.8", "10.0.0.9");

    private static final long TICK_MICROS = ProxyNode.TICK_MICROS;
    private static final long SECOND_MICROS = 1_000_000;
    /** {@code contact}: by then an edge must have what the connected majority acknowledges. */
    private static final long CONTACT_MICROS = 3 * SECOND_MICROS;

    private final Set<String> unsynced = new HashSet<>();
    private final Set<String> silent = new HashSet<>();
    private final Set<String> unreachable = new HashSet<>();
    private long now = 10 * SECOND_MICROS;
    private Network edge = new Network(EDGE, 1);

    /** One edge's links, as {@link ProxyNode} keeps them; each registry is asked at each tick. */
    private final class Network {
        private final RegistryMonitor monitor = new RegistryMonitor();
        private final RegistrySelector selector;
        private Set<String> linked = new LinkedHashSet<>();
        private int dialled;

        Network(String ip, int links) {
            selector = new RegistrySelector(ip, links, now, monitor);
        }

        private void tick() {
            monitor.update(now, linked);
            for (String registry : linked) {
                if (!silent.contains(registry)) {
                    monitor.replied(registry, now, !unsynced.contains(registry), now);
                }
            }
            Set<String> targets = new LinkedHashSet<>(selector.select(now, CORE, SEEDS, linked));
            targets.removeAll(unreachable);
            targets.removeAll(SEEDS);
            dialled += (int)
                    targets.stream().filter(target -> !linked.contains(target)).count();
            linked = targets;
        }
    }

    private void pass(long micros) {
        for (long passed = 0; passed < micros; passed += TICK_MICROS) {
            now += TICK_MICROS;
            edge.tick();
        }
    }

    private String ranked(int number) {
        return Hash.ranked(EDGE, CORE).get(number);
    }

    private void settle() {
        pass(3 * SECOND_MICROS);
        assertThat(edge.linked).containsExactly(ranked(0));
    }

    @Test
    void isLinkedToTheHighestRankedRegistry() {
        settle();
        edge = new Network(EDGE, 2);
        pass(3 * SECOND_MICROS);
        assertThat(edge.linked).containsExactlyInAnyOrder(ranked(0), ranked(1));
    }

    @Test
    void aPartitionedRegistryIsKeptUntilAnotherConfirms() {
        settle();
        unsynced.add(ranked(0));
        pass(TICK_MICROS);
        assertThat(edge.linked).contains(ranked(0), ranked(1));
        pass(TICK_MICROS);
        assertThat(edge.linked).containsExactly(ranked(1));
    }

    @Test
    void aRegistryThatStandsStillIsLeftWellBeforeContact() {
        settle();
        silent.add(ranked(0));
        pass(CONTACT_MICROS - SECOND_MICROS);
        assertThat(edge.linked).containsExactly(ranked(1));
    }

    @Test
    void findsTheOnlyRegistryThatConfirms() {
        settle();
        unsynced.add(ranked(0));
        unsynced.add(ranked(1));
        pass(4 * TICK_MICROS);
        assertThat(edge.linked).containsExactly(ranked(2));
    }

    @Test
    void anUnreachableRegistryDoesNotHoldUpTheSearch() {
        settle();
        unsynced.add(ranked(0));
        unreachable.add(ranked(1));
        pass(CONTACT_MICROS - SECOND_MICROS);
        assertThat(edge.linked).contains(ranked(2));
        assertThat(edge.monitor.health(ranked(2))).isEqualTo(RegistryMonitor.Health.CONFIRMING);
    }

    @Test
    void keepsItsLinkAndTriesTheOthersSeldomWhileNobodyConfirms() {
        settle();
        unsynced.addAll(CORE);
        edge.dialled = 0;
        for (int i = 0; i < 40; i++) {
            pass(TICK_MICROS);
            assertThat(edge.linked).hasSizeBetween(1, 2).contains(ranked(0));
        }
        assertThat(edge.dialled).isBetween(2, 10);
        unsynced.remove(ranked(2));
        pass(RegistrySelector.RETRY_MICROS + SECOND_MICROS);
        assertThat(edge.linked).containsExactly(ranked(2));
    }

    @Test
    void aSecondPartitionRightAfterTheFirstIsLeftToo() {
        settle();
        unsynced.add(ranked(0));
        pass(SECOND_MICROS);
        unsynced.clear();
        unsynced.add(ranked(1));
        pass(SECOND_MICROS);
        assertThat(edge.linked).doesNotContain(ranked(1)).isNotEmpty();
        unsynced.clear();
        unsynced.add(ranked(2));
        pass(SECOND_MICROS + RegistrySelector.RETRY_MICROS);
        assertThat(edge.linked).hasSize(1).doesNotContain(ranked(2));
    }

    @Test
    void returnsOnceThePartitionIsOverAndNeverLacksALinkThatConfirms() {
        settle();
        unsynced.add(ranked(0));
        pass(SECOND_MICROS);
        for (int i = 0; i < 120; i++) {
            pass(TICK_MICROS);
            assertThat(edge.linked).as("still partitioned").contains(ranked(1));
        }
        unsynced.clear();
        pass(RegistrySelector.RETURN_MICROS + RegistrySelector.RETURN_SPREAD_MICROS + SECOND_MICROS);
        assertThat(edge.linked).containsExactly(ranked(0));
    }

    /** Sixty-five edges leave one registry at once and spread over the others; they come back one by one. */
    @Test
    void manyEdgesSpreadOverTheOthersAndDoNotReturnAllAtOnce() {
        List<Network> edges = new ArrayList<>();
        for (int i = 1; i <= 65; i++) {
            edges.add(new Network("10.1.0." + i, 1));
        }
        passAll(edges, 3 * SECOND_MICROS);
        String cutOff = "10.0.0.2";
        unsynced.add(cutOff);
        edges.forEach(one -> one.dialled = 0);
        passAll(edges, 2 * SECOND_MICROS);
        long atFirst = linkedTo(edges, "10.0.0.1");
        long atThird = linkedTo(edges, "10.0.0.3");
        assertThat(linkedTo(edges, cutOff)).isZero();
        assertThat(atFirst + atThird).isEqualTo(65);
        assertThat(atFirst).isBetween(20L, 45L);
        assertThat(edges).allMatch(one -> one.dialled <= 1);
        unsynced.clear();
        edges.forEach(one -> one.dialled = 0);
        long before = 0;
        for (int i = 0; i < 84; i++) {
            passAll(edges, TICK_MICROS);
            long back = linkedTo(edges, cutOff);
            assertThat(back - before).as("return in one tick").isLessThanOrEqualTo(5);
            before = back;
        }
        assertThat(before).isBetween(10L, 35L);
        assertThat(edges).allMatch(one -> one.dialled <= 1);
    }

    private void passAll(List<Network> edges, long micros) {
        for (long passed = 0; passed < micros; passed += TICK_MICROS) {
            now += TICK_MICROS;
            edges.forEach(Network::tick);
        }
    }

    private static long linkedTo(List<Network> edges, String registry) {
        return edges.stream().filter(one -> one.linked.contains(registry)).count();
    }
}
