package gorsemast.peer;

import static org.assertj.core.api.Assertions.assertThat;

import gorsemast.emulator.VirtualTime;
import gorsemast.gossip.Entry;
import gorsemast.gossip.Entry.Kind;
import gorsemast.gossip.GossipState;
import gorsemast.gossip.PurgeRequest;
import gorsemast.gossip.ServerInfo;
import gorsemast.peer.PeerMessage.Hello;
import gorsemast.peer.PeerMessage.Program;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a process that missed 600 updates of each kind holds the state of the others within {@code contact}. */
class GossipCatchUpTest {
    private static final long TICK_MICROS = 250_000;
    private static final long CONTACT_MICROS = 3_000_000;
    private static final long CHANGE_MICROS = 200_000;
    private static final int CHANGES = 600;
    private static final int SERVERS = 40;
    private static final byte[] CONFIGURATION = new byte[2_000];

    private final VirtualTime time = new VirtualTime(10_000_000);
    private final SplittableRandom random = new SplittableRandom(5);
    private final List<Node> nodes = new ArrayList<>();
    private Predicate<PeerMessage> isDropped = message -> false;

    /** A process that runs the gossip protocol. */
    private final class Node implements Neighbours {
        private final Hello hello;
        private final GossipState state = new GossipState();
        private final List<LinkEnd> ends = new ArrayList<>();
        private final Gossip gossip;
        private boolean offline;

        Node(Program program, int number) {
            hello = new Hello(program, "10.0." + program.ordinal() + "." + number, "a", "", 1);
            gossip = new Gossip(program, state, this, time::now, () -> true, () -> 0, entry -> {});
            nodes.add(this);
            tick();
        }

        private void tick() {
            gossip.tick();
            time.after(TICK_MICROS, this::tick);
        }

        @Override
        public Collection<Neighbour> connected() {
            return new ArrayList<>(ends);
        }
    }

    /** One side of a link. */
    private final class LinkEnd implements Neighbour {
        private final Node local;
        private final Node other;
        private LinkEnd remote;

        LinkEnd(Node local, Node other) {
            this.local = local;
            this.other = other;
        }

        @Override
        public Hello hello() {
            return other.hello;
        }

        @Override
        public void send(PeerMessage message) {
            if (local.offline || other.offline || isDropped.test(message)) {
                return; // lost, although the link may stay up
            }
            byte[] bytes = encode(message);
            time.after(3_000, () -> {
                if (!other.offline && other.ends.contains(remote)) {
                    other.gossip.received(remote, decode(bytes));
                }
            });
        }
    }

    private byte[] encode(PeerMessage message) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            message.write(out, time.now());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private PeerMessage decode(byte[] bytes) {
        try {
            return PeerMessage.read(new DataInputStream(new ByteArrayInputStream(bytes)), time.now());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void link(Node a, Node b) {
        LinkEnd mine = new LinkEnd(a, b);
        LinkEnd theirs = new LinkEnd(b, a);
        mine.remote = theirs;
        theirs.remote = mine;
        a.ends.add(mine);
        b.ends.add(theirs);
        a.gossip.connected(mine);
        b.gossip.connected(theirs);
    }

    private void unlink(Node a) {
        nodes.forEach(other -> other.ends.removeIf(end -> end.other == a));
        a.ends.clear();
    }

    /** Links three registries with each other, and each proxy with two of them and with the previous proxy. */
    private void linkNetwork(int proxies) {
        for (int i = 0; i < 3; i++) {
            Node registry = new Node(Program.REGISTRY, i);
            nodes.stream().filter(other -> other != registry).forEach(other -> link(registry, other));
        }
        for (int i = 0; i < proxies; i++) {
            join(new Node(Program.PROXY, i));
        }
    }

    private void join(Node node) {
        int number = nodes.indexOf(node);
        if (node.hello.program() == Program.REGISTRY) {
            nodes.stream()
                    .filter(other -> other != node && other.hello.program() == Program.REGISTRY)
                    .forEach(other -> link(node, other));
        } else {
            link(node, nodes.get(number % 3));
            link(node, nodes.get((number + 1) % 3));
            if (number > 3) {
                link(node, nodes.get(number - 1));
            }
        }
    }

    private void publishChanges(Node away) {
        for (int change = 1; change <= CHANGES; change++) {
            List<Node> registries =
                    nodes.subList(0, 3).stream().filter(one -> one != away).toList();
            Gossip registry = registries.get(random.nextInt(registries.size())).gossip;
            long now = time.now();
            registry.publish(new Entry(Kind.CONFIGURATION, "", change, CONFIGURATION, now));
            registry.publish(new PurgeRequest("p" + change, "h.example", "/o/" + change, "").toEntry(now));
            ServerInfo.State serverState = ServerInfo.State.values()[random.nextInt(ServerInfo.State.values().length)];
            registry.publish(
                    new ServerInfo("s" + change % SERVERS, "orders", "10.9.0.1:80", "a", 1, serverState, change, 0)
                            .toEntry(now));
            time.run(now + CHANGE_MICROS);
        }
    }

    private long catchUpTime(Node away) {
        long startedAt = time.now();
        for (Node other : nodes) {
            assertThat(other == away || sameState(other, nodes.get(away == nodes.get(0) ? 1 : 0)))
                    .isTrue();
        }
        Node reference = nodes.get(away == nodes.get(0) ? 1 : 0);
        time.run(startedAt + 2 * CONTACT_MICROS, 1, () -> sameState(away, reference));
        assertThat(sameState(away, reference)).isTrue();
        assertThat(away.state.get(Kind.CONFIGURATION, "").stamp()).isEqualTo(CHANGES);
        assertThat(away.state.all(Kind.PURGE)).hasSize(CHANGES);
        return time.now() - startedAt;
    }

    private static boolean sameState(Node one, Node other) {
        return one.state.differingBuckets(other.state.digest()) == 0;
    }

    /** The links were down and are reconnected. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 3, 8})
    void catchesUpAtOnceWhenLinksReconnect(int number) {
        linkNetwork(6);
        Node away = nodes.get(number);
        away.offline = true;
        unlink(away);
        publishChanges(away);
        away.offline = false;
        join(away);
        assertThat(catchUpTime(away)).isLessThan(CONTACT_MICROS / 10);
    }

    /** The links stay up but lose every message, as real links do not; only the periodic digests repair that. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 3, 8})
    void catchesUpByPeriodicDigestsAlone(int number) {
        linkNetwork(6);
        Node away = nodes.get(number);
        away.offline = true;
        publishChanges(away);
        away.offline = false;
        assertThat(catchUpTime(away)).isLessThan(CONTACT_MICROS);
    }

    /** A registry with many proxies sends one digest a tick; the proxy's own ticks cover its few links. */
    @Test
    void catchesUpAsFastAmongManyProxies() {
        linkNetwork(120);
        Node away = nodes.get(60);
        away.offline = true;
        publishChanges(away);
        away.offline = false;
        assertThat(catchUpTime(away)).isLessThan(CONTACT_MICROS);
    }

    /** Injected defect: without digests no gap is repaired. */
    @Test
    void doesNotCatchUpWithoutDigests() {
        linkNetwork(6);
        Node away = nodes.get(8);
        away.offline = true;
        unlink(away);
        publishChanges(away);
        away.offline = false;
        isDropped = message -> message instanceof PeerMessage.Digest;
        join(away);
        time.run(time.now() + 2 * CONTACT_MICROS);
        assertThat(sameState(away, nodes.get(0))).isFalse();
    }
}
