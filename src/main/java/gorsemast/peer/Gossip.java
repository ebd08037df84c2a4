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
 * Spreads updates over the links of one process and repairs gaps.
 *
 * <p>A new entry is forwarded at once to the processes that may lack it: a registry forwards to the other registries what
 * it did not receive from one of them, and everything to its proxies; a proxy forwards to the few processes it keeps links
 * to. Digests are sent over each link when it comes up and over one more link at each tick; buckets that differ are
 * repaired in both directions. So a lost message, a partition or a freeze costs a tick and a round trip. A proxy that is
 * catching up requests a digest from its registries at each tick, because a registry with many links reaches each one only
 * rarely by its own ticks. One that has caught up still requests a digest from each registry twice a second, so that it knows
 * at any time how long ago its configuration was the newest, and which registries confirm their state. Not thread-safe.
 */
public final class Gossip {
    /** A digest makes a process ready only if it replies to a request this recent, by the requester's own clock. */
    static final long MAX_REPLY_AGE_MICROS = 1_000_000;
    /** How often a proxy that has caught up asks its registries to confirm its state. */
    static final long CONFIRMATION_INTERVAL_MICROS = 500_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final GossipState state;
    private final Neighbours neighbours;
    private final Program program;
    private final LongSupplier clock;
    private final BooleanSupplier synced;
    private final LongSupplier configurationAge;
    private final Consumer<Entry> changed;
    private long unsyncedReplyAt = NEVER;
    private long configurationConfirmedAt = NEVER;
    private long stateConfirmedAt = NEVER;
    private long nextConfirmationAt;
    private int nextNeighbour;

    /**
     * Creates the gossip of one process.
     *
     * @param synced whether this process confirms that its state is current (a registry), or is ready (a proxy)
     * @param configurationAge how long ago this process knew its configuration to be the newest, as a {@link Digest} says it
     * @param changed receives each entry that is new here, after it was merged
     */
    public Gossip(
            Program program,
            GossipState state,
            Neighbours neighbours,
            LongSupplier clock,
            BooleanSupplier synced,
            LongSupplier configurationAge,
            Consumer<Entry> changed) {
        this.program = program;
        this.state = state;
        this.neighbours = neighbours;
        this.clock = clock;
        this.synced = synced;
        this.configurationAge = configurationAge;
        this.changed = changed;
    }

    /** Sends a digest to a neighbour that has connected. */
    public void connected(Neighbour neighbour) {
        neighbour.send(neighbour.hello().program() == Program.REGISTRY ? request() : digest(0));
    }

    private Digest digest(long inReplyTo) {
        boolean isSynced = synced.getAsBoolean();
        // A reply requests no reply.
        long requestTime = program == Program.PROXY && !isSynced && inReplyTo == 0 ? clock.getAsLong() : 0;
        return new Digest(isSynced, requestTime, inReplyTo, state.digest(), configurationAge.getAsLong());
    }

    /** A digest that, if this process is a proxy, requests the receiver's. */
    private Digest request() {
        long requestTime = program == Program.PROXY ? clock.getAsLong() : 0;
        return new Digest(synced.getAsBoolean(), requestTime, 0, state.digest(), configurationAge.getAsLong());
    }

    /** Publishes an entry of this process; returns whether it was new. */
    public boolean publish(Entry entry) {
        return publish(entry, 0);
    }

    /** Publishes an entry that registries on other machines confirm under this command id, unless it is 0. */
    public boolean publish(Entry entry, long commandId) {
        boolean fresh = state.merge(clock.getAsLong(), entry);
        if (fresh || commandId != 0) {
            Updates updates = new Updates(commandId, List.of(entry));
            for (Neighbour neighbour : neighbours.connected()) {
                if (entry.kind().reconciled() || neighbour.hello().program() == Program.REGISTRY) {
                    neighbour.send(updates);
                }
            }
        }
        if (fresh) {
            changed.accept(entry);
        }
        return fresh;
    }

    /** Handles messages of the gossip protocol; returns whether this was one. */
    public boolean received(Neighbour neighbour, PeerMessage message) {
        if (message instanceof Digest digest) {
            int differing = state.differingBuckets(digest.buckets());
            boolean fresh = digest.inReplyTo() != 0 && clock.getAsLong() - digest.inReplyTo() < MAX_REPLY_AGE_MICROS;
            if (fresh && neighbour.hello().program() == Program.REGISTRY) {
                // Compared on arrival: a moment later either side may have something newer.
                if (digest.synced() && differing == 0) {
                    stateConfirmedAt = Math.max(stateConfirmedAt, digest.inReplyTo());
                }
                unsyncedReplyAt = digest.synced() ? NEVER : clock.getAsLong();
                if (digest.synced() && !GossipState.includesConfiguration(differing)) {
                    configurationConfirmedAt =
                            Math.max(configurationConfirmedAt, digest.inReplyTo() - digest.configurationAge());
                }
            }
            if (digest.requestTime() != 0) {
                // A starting process waits for this, however many links there are.
                neighbour.send(digest(digest.requestTime()));
            }
            if (differing != 0) {
                neighbour.send(new Summary(differing, true, state.versions(differing)));
            }
        } else if (message instanceof Summary summary) {
            List<Entry> newer = state.newerThan(summary.buckets(), summary.versions());
            if (!newer.isEmpty()) {
                neighbour.send(new Updates(0, newer));
            }
            if (summary.requestMissing() && !state.missing(summary.versions()).isEmpty()) {
                neighbour.send(new Summary(summary.buckets(), false, state.versions(summary.buckets())));
            }
        } else if (message instanceof Updates updates) {
            receiveUpdates(neighbour, updates);
        } else {
            return false;
        }
        return true;
    }

    private void receiveUpdates(Neighbour sender, Updates updates) {
        long now = clock.getAsLong();
        List<Entry> fresh = new ArrayList<>();
        for (Entry entry : updates.entries()) {
            if (state.merge(now, entry)) {
                fresh.add(entry);
            }
        }
        if (fresh.isEmpty()) {
            return;
        }
        // Speed reports go to registries only, which send proxies one aggregate of them.
        Updates all = new Updates(0, fresh);
        Updates reconciled = new Updates(
                0, fresh.stream().filter(entry -> entry.kind().reconciled()).toList());
        boolean fromRegistry = sender.hello().program() == Program.REGISTRY;
        for (Neighbour neighbour : neighbours.connected()) {
            boolean toRegistry = neighbour.hello().program() == Program.REGISTRY;
            Updates outgoing = toRegistry ? all : reconciled;
            if (!outgoing.entries().isEmpty()
                    && neighbour != sender
                    && !neighbour.hello().ip().equals(sender.hello().ip())
                    && !(fromRegistry && toRegistry)) {
                neighbour.send(outgoing);
            }
        }
        fresh.forEach(changed);
        if (program == Program.PROXY && fromRegistry && !synced.getAsBoolean()) {
            sender.send(digest(0)); // learns whether that was all after one round trip instead of a tick
        }
    }

    /** Sends a digest to the next neighbour, or to all registries while this proxy is not synced. */
    public void tick() {
        Collection<Neighbour> up = neighbours.connected();
        if (program == Program.PROXY && !synced.getAsBoolean()) {
            requestConfirmations();
        } else if (!up.isEmpty()) {
            List<Neighbour> all = new ArrayList<>(up);
            all.get(Math.floorMod(nextNeighbour++, all.size())).send(digest(0));
            requestConfirmationsIfDue();
        }
    }

    /** Asks all registries to confirm this proxy's state. */
    public void requestConfirmations() {
        Digest request = request();
        neighbours.connected(Program.REGISTRY).forEach(neighbour -> neighbour.send(request));
    }

    private void requestConfirmationsIfDue() {
        long now = clock.getAsLong();
        if (program == Program.PROXY && now >= nextConfirmationAt) {
            nextConfirmationAt = now + CONFIRMATION_INTERVAL_MICROS;
            requestConfirmations();
        }
    }

    /** Returns whether this process once held exactly the state of a registry that confirmed it as current. */
    public boolean caughtUp() {
        return stateConfirmedAt != NEVER;
    }

    /**
     * Returns when this process last asked a registry that then confirmed as current exactly the state held here. Long before
     * the start for never.
     */
    public long stateConfirmedAt() {
        return stateConfirmedAt;
    }

    /**
     * Returns when the configuration of this process was last known to be the newest: it includes all that had been
     * acknowledged by then. Long before the start for never.
     */
    public long configurationConfirmedAt() {
        return configurationConfirmedAt;
    }

    /** Returns whether the last registry that replied recently did not confirm its state as current. */
    public boolean registryUnsynced() {
        return clock.getAsLong() - unsyncedReplyAt < MAX_REPLY_AGE_MICROS;
    }
}
