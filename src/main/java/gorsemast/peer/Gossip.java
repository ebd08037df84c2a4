package gorsemast.peer;

import gorsemast.gossip.Entry;
import gorsemast.gossip.GossipState;
import gorsemast.peer.PeerMessage.Digest;
import gorsemast.peer.PeerMessage.Program;
import gorsemast.peer.PeerMessage.Summary;
import gorsemast.peer.PeerMessage.Updates;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Passes news on over the links of one process and mends gaps.
 *
 * <p><b>Idea.</b> What is new is passed on at once to whoever may not have it: a registry tells the other registries
 * what it did not have from one of them, and its proxies everything; a proxy tells the few others that it keeps links
 * to. Digests go over each link when it comes up and to one more link at each tick; parts that differ are mended both
 * ways. So a lost record, a cut or a freeze costs a tick and a way. A proxy that is catching up asks its registries at each
 * tick, and is answered: a registry's own turn comes seldom where it has many links. One thread.
 */
public final class Gossip {
    /** A digest makes a process ready only as the answer to a question asked within this, by the asker's own clock. */
    static final long ANSWER_MICROS = 1_000_000;

    private final GossipState board;
    private final Neighbours links;
    private final Program program;
    private final LongSupplier clock;
    private final BooleanSupplier synced;
    private final Consumer<Entry> changed;
    private boolean caughtUp;
    private long refusedAt = Long.MIN_VALUE / 2;
    private int turn;

    /**
     * For one process.
     *
     * @param synced whether this process vouches for its news (a registry), or is ready (a proxy)
     * @param changed told of each item that is new here, after it was merged
     */
    public Gossip(
            Program program,
            GossipState board,
            Neighbours links,
            LongSupplier clock,
            BooleanSupplier synced,
            Consumer<Entry> changed) {
        this.program = program;
        this.board = board;
        this.links = links;
        this.clock = clock;
        this.synced = synced;
        this.changed = changed;
    }

    /** A link is up. */
    public void connected(Neighbour link) {
        link.send(digest(0));
    }

    private Digest digest(long answers) {
        boolean vouches = synced.getAsBoolean();
        long asks =
                program == Program.PROXY && !vouches && answers == 0 ? clock.getAsLong() : 0; // no answer asks again
        return new Digest(vouches, asks, answers, board.digest());
    }

    /** Something of this process's own, to be known by all. Returns whether it was news. */
    public boolean publish(Entry item) {
        return publish(item, 0);
    }

    /** The same; registries on other machines are to confirm this order, unless it is 0. */
    public boolean publish(Entry item, long order) {
        boolean fresh = board.merge(clock.getAsLong(), item);
        if (fresh || order != 0) {
            Updates news = new Updates(order, List.of(item));
            for (Neighbour link : links.connected()) {
                if (item.kind().reconciled() || link.hello().program() == Program.REGISTRY) {
                    link.send(news);
                }
            }
        }
        if (fresh) {
            changed.accept(item);
        }
        return fresh;
    }

    /** Takes what is about news; returns whether it was. */
    public boolean received(Neighbour link, PeerMessage record) {
        if (record instanceof Digest digest) {
            int parts = board.differingBuckets(digest.buckets());
            boolean fresh = digest.inReplyTo() != 0 && clock.getAsLong() - digest.inReplyTo() < ANSWER_MICROS;
            if (fresh && link.hello().program() == Program.REGISTRY) {
                // Looked at as it comes: a moment later one of the two may have something newer.
                caughtUp |= digest.synced() && parts == 0;
                refusedAt = digest.synced() ? Long.MIN_VALUE / 2 : clock.getAsLong();
            }
            if (digest.requestTime() != 0) {
                link.send(digest(digest.requestTime())); // whoever has just started waits for this, among however many
            }
            if (parts != 0) {
                link.send(new Summary(parts, true, board.versions(parts)));
            }
        } else if (record instanceof Summary summary) {
            List<Entry> newer = board.newerThan(summary.buckets(), summary.versions());
            if (!newer.isEmpty()) {
                link.send(new Updates(0, newer));
            }
            if (summary.asks() && !board.missing(summary.versions()).isEmpty()) {
                link.send(new Summary(summary.buckets(), false, board.versions(summary.buckets())));
            }
        } else if (record instanceof Updates news) {
            take(link, news);
        } else {
            return false;
        }
        return true;
    }

    private void take(Neighbour from, Updates news) {
        long now = clock.getAsLong();
        List<Entry> fresh = new ArrayList<>();
        for (Entry item : news.entries()) {
            if (board.merge(now, item)) {
                fresh.add(item);
            }
        }
        if (fresh.isEmpty()) {
            return;
        }
        // What is told anew all the time ends at the registries, which tell proxies one sum of it.
        Updates all = new Updates(0, fresh);
        Updates lasting = new Updates(
                0, fresh.stream().filter(item -> item.kind().reconciled()).toList());
        boolean fromRegistry = from.hello().program() == Program.REGISTRY;
        for (Neighbour link : links.connected()) {
            boolean toRegistry = link.hello().program() == Program.REGISTRY;
            Updates on = toRegistry ? all : lasting;
            if (!on.entries().isEmpty()
                    && link != from
                    && !link.hello().ip().equals(from.hello().ip())
                    && !(fromRegistry && toRegistry)) {
                link.send(on);
            }
        }
        fresh.forEach(changed);
        if (program == Program.PROXY && fromRegistry && !synced.getAsBoolean()) {
            from.send(digest(0)); // whether that was all is known a way later, not a tick later
        }
    }

    /** Tells one link after the other what is known here. */
    public void tick() {
        Collection<Neighbour> up = links.connected();
        if (program == Program.PROXY && !synced.getAsBoolean()) {
            Digest mine = digest(0);
            links.connected(Program.REGISTRY).forEach(link -> link.send(mine));
        } else if (!up.isEmpty()) {
            List<Neighbour> all = new ArrayList<>(up);
            all.get(Math.floorMod(turn++, all.size())).send(digest(0));
        }
    }

    /** Whether this process has once held just what a registry held that vouched for it when it was asked. */
    public boolean caughtUp() {
        return caughtUp;
    }

    /** Whether the last registry that answered of late does not vouch for what it holds. */
    public boolean registryUnsynced() {
        return clock.getAsLong() - refusedAt < ANSWER_MICROS;
    }
}
