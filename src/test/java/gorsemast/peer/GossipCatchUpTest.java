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

/** Whoever was away for 600 changes, purges and drains holds what the others hold within {@code contact}. */
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
    private Predicate<PeerMessage> drops = record -> false;

    /** A process that gossips. */
    private final class Node implements Neighbours {
        private final Hello hello;
        private final GossipState board = new GossipState();
        private final List<End> ends = new ArrayList<>();
        private final Gossip gossip;
        private boolean away;

        Node(Program program, int number) {
            hello = new Hello(program, "10.0." + program.ordinal() + "." + number, "a", "", 1);
            gossip = new Gossip(program, board, this, time::now, () -> true, entry -> {});
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
    private final class End implements Neighbour {
        private final Node of;
        private final Node other;
        private End far;

        End(Node of, Node other) {
            this.of = of;
            this.other = other;
        }

        @Override
        public Hello hello() {
            return other.hello;
        }

        @Override
        public void send(PeerMessage record) {
            if (of.away || other.away || drops.test(record)) {
                return; // lost, though the link may stay
            }
            byte[] bytes = written(record);
            time.after(3_000, () -> {
                if (!other.away && other.ends.contains(far)) {
                    other.gossip.received(far, read(bytes));
                }
            });
        }
    }

    private byte[] written(PeerMessage record) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            record.write(out, time.now());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private PeerMessage read(byte[] bytes) {
        try {
            return PeerMessage.read(new DataInputStream(new ByteArrayInputStream(bytes)), time.now());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void link(Node a, Node b) {
        End mine = new End(a, b);
        End theirs = new End(b, a);
        mine.far = theirs;
        theirs.far = mine;
        a.ends.add(mine);
        b.ends.add(theirs);
        a.gossip.connected(mine);
        b.gossip.connected(theirs);
    }

    private void unlink(Node a) {
        nodes.forEach(other -> other.ends.removeIf(end -> end.other == a));
        a.ends.clear();
    }

    /** Three registries, each linked to the others; each proxy to two of them and to the proxy before it. */
    private void network(int proxies) {
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

    private void changes(Node away) {
        for (int change = 1; change <= CHANGES; change++) {
            List<Node> registries =
                    nodes.subList(0, 3).stream().filter(one -> one != away).toList();
            Gossip at = registries.get(random.nextInt(registries.size())).gossip;
            long now = time.now();
            at.publish(new Entry(Kind.CONFIGURATION, "", change, CONFIGURATION, now));
            at.publish(new PurgeRequest("p" + change, "h.example", "/o/" + change, "").toEntry(now));
            ServerInfo.State state = ServerInfo.State.values()[random.nextInt(ServerInfo.State.values().length)];
            at.publish(new ServerInfo("s" + change % SERVERS, "orders", "10.9.0.1:80", "a", 1, state, change, 0)
                    .toEntry(now));
            time.run(now + CHANGE_MICROS);
        }
    }

    private long caughtUpAfter(Node away) {
        long begun = time.now();
        for (Node other : nodes) {
            assertThat(other == away || same(other, nodes.get(away == nodes.get(0) ? 1 : 0)))
                    .isTrue();
        }
        Node whole = nodes.get(away == nodes.get(0) ? 1 : 0);
        time.run(begun + 2 * CONTACT_MICROS, 1, () -> same(away, whole));
        assertThat(same(away, whole)).isTrue();
        assertThat(away.board.get(Kind.CONFIGURATION, "").stamp()).isEqualTo(CHANGES);
        assertThat(away.board.all(Kind.PURGE)).hasSize(CHANGES);
        return time.now() - begun;
    }

    private static boolean same(Node one, Node other) {
        return one.board.differingBuckets(other.board.digest()) == 0;
    }

    /** Its links were down, and come back. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 3, 8})
    void whoeverWasCutOffHoldsAllAsSoonAsALinkIsUp(int number) {
        network(6);
        Node away = nodes.get(number);
        away.away = true;
        unlink(away);
        changes(away);
        away.away = false;
        join(away);
        assertThat(caughtUpAfter(away)).isLessThan(CONTACT_MICROS / 10);
    }

    /** Its links stayed and lost everything, as no link of ours does: the digests of ticks alone mend that. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 3, 8})
    void whoeverHeardNothingOverItsLinksHoldsAllInATickOrTwo(int number) {
        network(6);
        Node away = nodes.get(number);
        away.away = true;
        changes(away);
        away.away = false;
        assertThat(caughtUpAfter(away)).isLessThan(CONTACT_MICROS);
    }

    /** A registry of many proxies tells one link a tick; a proxy's own ticks go round its few links. */
    @Test
    void aProxyAmongManyIsNoSlower() {
        network(120);
        Node away = nodes.get(60);
        away.away = true;
        changes(away);
        away.away = false;
        assertThat(caughtUpAfter(away)).isLessThan(CONTACT_MICROS);
    }

    /** Planted: without digests nothing mends a gap. */
    @Test
    void withoutDigestsItStaysBehind() {
        network(6);
        Node away = nodes.get(8);
        away.away = true;
        unlink(away);
        changes(away);
        away.away = false;
        drops = record -> record instanceof PeerMessage.Digest;
        join(away);
        time.run(time.now() + 2 * CONTACT_MICROS);
        assertThat(same(away, nodes.get(0))).isFalse();
    }
}
