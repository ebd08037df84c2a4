package gorsemast.registry;

import gorsemast.configuration.Configuration;
import gorsemast.election.LeaseElection;
import gorsemast.gossip.Entry;
import gorsemast.gossip.Entry.Kind;
import gorsemast.gossip.GossipState;
import gorsemast.gossip.MachineInfo;
import gorsemast.gossip.PurgeRequest;
import gorsemast.gossip.SpeedReport;
import gorsemast.logging.Log;
import gorsemast.peer.Gossip;
import gorsemast.peer.Neighbour;
import gorsemast.peer.Neighbours;
import gorsemast.peer.PeerMessage;
import gorsemast.peer.PeerMessage.Program;
import gorsemast.store.CallOutcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Everything that a registry decides: which command is acknowledged when, what becomes news, whom it keeps links to, and
 * when it knows enough to vouch for what it tells. No I/O, no clock of its own, no threads: what carries it hands in
 * neighbours, time and the disk, so that a whole fleet of these runs in virtual time.
 *
 * <p><b>Acknowledged</b> are drains, departures and purges when one more member of the store's view than may be lost has
 * them on disk, synced ({@link Orders}, {@link DurableNews}), and configurations when the store says so. It <b>vouches</b>
 * while its {@link VouchingLease} holds. Members are those of the {@link Membership} that the store on its machine tells.
 * One caller; times in microseconds of a clock that never goes back.
 */
public final class RegistryNode {
    /** To be called so often. */
    public static final long TICK_MICROS = 250_000;
    /** A caller looks elsewhere after a second; the answer that nothing is certain has to come before. */
    static final long CALL_MICROS = 850_000;

    private static final long LARGE_CALL_MICROS = 2_500_000;
    /** From this size on callers wait longer. */
    private static final int LARGE = 256 << 10;
    /** The store is asked for the newest version this often, in case its word was lost on the way. */
    private static final long ASK_MICROS = 1_000_000;
    /** What edges have seen of servers is told to all of them this often. */
    private static final long POOL_MICROS = 1_000_000;

    private static final Log LOG = new Log("registry");

    /** One answer to a call; a second one is let be. */
    public interface Reply {
        /** @param text why, null for nothing to say; a body takes its place */
        void answer(int status, String text, byte[] body);
    }

    /**
     * What this process is, as its settings and its start have it.
     *
     * @param losses how many disks may be lost at the same time
     * @param firstBoot whether all begin now with empty disks, which are as they should be then
     */
    public record Parameters(
            String ip,
            String zone,
            String controlAddress,
            long incarnation,
            long heartbeatMicros,
            int losses,
            boolean firstBoot) {}

    /** What carries an office. */
    public interface Environment {
        /** Runs a task later, on the office's thread. */
        void schedule(long micros, Runnable task);

        /**
         * Swaps the snapshot for this one, and lets go of what was appended before; {@code done} is told, on the office's
         * thread, whether it is synced.
         */
        void writeSnapshot(byte[] record, Consumer<Boolean> done);

        /** Appends to the journal; {@code synced} runs on the office's thread when it is on disk, or never. */
        void append(byte[] record, Runnable synced);
    }

    /** A call that waits for the store. */
    private record Waiting(Configuration put, Reply reply, long sentAt, long until) {}

    private final Parameters self;
    private final LongSupplier clock;
    private final Neighbours neighbours;
    private final Environment carrier;
    private final GossipState board = new GossipState();
    private final HeartbeatTable registry;
    private final Gossip gossip;
    private final SpeedAggregator pool = new SpeedAggregator();
    /** Telling who is silent: one registry does it for all. */
    private final LeaseElection telling;

    private final Map<Long, Waiting> waiting = new HashMap<>();
    private final Set<String> seeds = new LinkedHashSet<>();
    private final SplittableRandom random;
    private final long begun;
    private long poolAt;
    private long lastCall;
    private long askAt;
    private boolean recalled;
    private final Quorum quorum;
    private final DurableNews durable;
    private final Orders orders;

    /**
     * Of one process, from its start on.
     *
     * @param seeds addresses of core machines as the operator's list had them
     * @param remembers whether there is a disk to write to
     */
    public RegistryNode(
            Parameters self,
            Set<String> seeds,
            boolean remembers,
            long seed,
            LongSupplier clock,
            Neighbours neighbours,
            Environment carrier) {
        this.self = self;
        this.clock = clock;
        this.neighbours = neighbours;
        this.carrier = carrier;
        this.random = new SplittableRandom(seed);
        this.begun = clock.getAsLong();
        this.registry = new HeartbeatTable(board, self.heartbeatMicros);
        this.gossip = new Gossip(Program.REGISTRY, board, neighbours, clock, this::synced, this::news);
        this.durable = new DurableNews(board, carrier, remembers, self.firstBoot);
        this.quorum = new Quorum(self.ip, self.losses, board, durable, neighbours, clock);
        this.orders = new Orders(self.ip, quorum, durable, gossip, clock);
        this.telling = new LeaseElection(
                self.ip, random.nextLong(), ips -> quorum.membership().isMajority(ips), (to, word, term, at) -> {
                    Neighbour one = neighbours.find(Program.REGISTRY, to);
                    if (one != null) {
                        one.send(new PeerMessage.Ballot(word, term, at));
                    }
                });
        this.seeds.addAll(seeds);
    }

    private long now() {
        return clock.getAsLong();
    }

    /** The first word on each of its links. */
    public PeerMessage.Hello hello() {
        return new PeerMessage.Hello(Program.REGISTRY, self.ip, self.zone, self.controlAddress, self.incarnation);
    }

    /** All that it knows; only to be read. */
    public GossipState state() {
        return board;
    }

    /** Another list of core machines. */
    public void addSeeds(Set<String> more) {
        seeds.addAll(more);
    }

    /**
     * Whether it vouches for what it tells: its lease holds, and at the first start of all it has heard the servers.
     */
    public boolean synced() {
        long now = now();
        boolean heardAll = recalled || !self.firstBoot || now - begun > 2 * self.heartbeatMicros;
        return heardAll && quorum.vouches();
    }

    /** By whom it counts. */
    public Membership membership() {
        return quorum.membership();
    }

    private void news(Entry item) {
        durable.changed(item);
        if (item.kind() == Kind.SPEED) {
            SpeedReport speeds = SpeedReport.fromEntry(item);
            if (speeds != null) {
                pool.report(now(), speeds.edge(), speeds.servers());
            }
        }
    }

    // ---- what it knew before

    /**
     * What its disk has: not all of it may hold any more, but it is told to others as what it is, old news.
     *
     * @param snapshot null for none
     * @param journal what was appended since, in order
     */
    public void restore(byte[] snapshot, List<byte[]> journal) {
        List<Entry> items = durable.recall(snapshot, journal, now());
        items.forEach(item -> {
            board.merge(now(), item);
            news(item);
        });
        recalled = !items.isEmpty();
        if (recalled) {
            LOG.info("recalls " + board.size() + " pieces of news");
        }
    }

    // ---- time

    /** To be called each {@link #TICK_MICROS}. */
    public void tick() {
        long now = now();
        linkedMachines(now);
        List<PeerMessage.Heartbeat> beats = new ArrayList<>();
        registry.takeLocalHeartbeats().forEach((id, seq) -> beats.add(new PeerMessage.Heartbeat(id, seq)));
        if (!beats.isEmpty()) {
            neighbours.connected(Program.REGISTRY).forEach(one -> one.send(new PeerMessage.Heartbeats(beats)));
        }
        telling.tick(now, reached());
        if (telling.isActive(now)) {
            registry.detectSilent(now).forEach(gossip::publish);
        }
        gossip.tick();
        board.removeExpired(now);
        registry.removeForgotten();
        durable.forget();
        orders.tick();
        quorum.tick();
        durable.tick(now, pool.changed(), quorum);
        if (pool.changed() && now >= poolAt) {
            poolAt = now + POOL_MICROS;
            PeerMessage.ServerSpeeds sum = new PeerMessage.ServerSpeeds(pool.aggregate(now));
            neighbours.connected(Program.PROXY).forEach(one -> one.send(sum));
            pool.markSent();
        }
        if (now >= askAt) {
            askAt = now + TICK_MICROS; // an answer puts it off
            ask(null);
        }
        waiting.values().removeIf(call -> {
            if (now > call.until && call.reply != null) {
                call.reply.answer(503, "not certain", null);
            }
            return now > call.until;
        });
    }

    /** Addresses of the machines whose registries it wants links to. */
    public Set<String> peerAddresses() {
        Set<String> wanted = new LinkedHashSet<>(seeds);
        for (Entry item : board.all(Kind.CORE)) {
            MachineInfo machine = MachineInfo.fromEntry(item);
            if (machine != null && machine.up()) {
                wanted.add(machine.ip());
            }
        }
        wanted.remove(self.ip);
        return wanted;
    }

    private void linkedMachines(long now) {
        for (Neighbour one : neighbours.connected()) {
            PeerMessage.Hello peer = one.hello();
            Kind kind = peer.program() == Program.PROXY ? Kind.EDGE : Kind.CORE;
            if (peer.program() != Program.STORE) {
                publish(registry.machineConnected(
                        now, kind, peer.ip(), peer.zone(), peer.controlAddress(), peer.incarnation()));
            }
        }
        publish(registry.machineConnected(now, Kind.CORE, self.ip, self.zone, self.controlAddress, self.incarnation));
    }

    private void publish(Entry item) {
        if (item != null) {
            gossip.publish(item);
        }
    }

    /** Other machines with a registry that are reached now. */
    private Set<String> reached() {
        Set<String> ips = new LinkedHashSet<>();
        neighbours
                .connected(Program.REGISTRY)
                .forEach(one -> ips.add(one.hello().ip()));
        ips.remove(self.ip);
        return ips;
    }

    // ---- the store

    private void ask(Reply reply) {
        long call = ++lastCall;
        Entry held = reply == null ? board.get(Kind.CONFIGURATION, "") : null;
        long until = now() + (reply == null ? VouchingLease.LEASE_MICROS : CALL_MICROS);
        waiting.put(call, new Waiting(null, reply, now(), until));
        long known = held == null ? -1 : held.stamp();
        long knownTerm = held == null ? 0 : held.origin().term();
        if (!toStore(new PeerMessage.Get(call, known, knownTerm)) && reply != null) {
            waiting.remove(call);
            reply.answer(503, "the store is away", null);
        }
    }

    private boolean toStore(PeerMessage record) {
        Neighbour store = neighbours.find(Program.STORE, self.ip);
        if (store != null) {
            store.send(record);
        }
        return store != null;
    }

    private void answered(PeerMessage.StoreAnswer answer) {
        if (answer.outcome() != CallOutcome.UNCERTAIN) {
            holds(answer);
        }
        if (answer.callId() == 0) {
            return; // what the store holds, acknowledged or not: it was valid, so it may be in force
        }
        Waiting call = waiting.remove(answer.callId());
        if (call != null && answer.outcome() != CallOutcome.UNCERTAIN) {
            quorum.lease().storeAnswered(call.sentAt);
            askAt = Math.max(askAt, call.sentAt + ASK_MICROS);
        }
        if (call == null || call.reply == null) {
            return;
        }
        switch (answer.outcome()) {
            case UNCERTAIN -> call.reply.answer(503, "the store is not certain", null);
            case CONFLICT -> call.reply.answer(409, "configVersion: is taken by another content", null);
            case DONE -> {
                if (call.put != null) {
                    call.reply.answer(200, null, null);
                } else if (answer.version() == 0) {
                    call.reply.answer(404, "no configuration yet", null);
                } else {
                    call.reply.answer(200, null, answer.body());
                }
            }
        }
    }

    /** Tells what the store says that it holds: never this registry's own copy of a call. */
    private void holds(PeerMessage.StoreAnswer answer) {
        if (answer.body() != null && answer.version() > 0) {
            publish(Entry.configuration(answer.version(), answer.term(), answer.digest(), answer.body(), now()));
        }
    }

    // ---- commands

    /** Runs a command of {@code size} bytes; the reply may come later, and comes once. */
    public void run(Command command, int size, Reply reply) {
        long now = now();
        if (command instanceof Command.Heartbeat beat) {
            publish(registry.heartbeat(now, beat.server()), reply);
        } else if (command instanceof Command.Deregister leaving) {
            publish(registry.deregister(now, leaving.id()), reply);
        } else if (command instanceof Command.Purge purge) {
            String id = Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
            publish(
                    new HeartbeatTable.Outcome(
                            new PurgeRequest(id, purge.host(), purge.path(), purge.tag()).toEntry(now), true),
                    reply);
        } else if (command instanceof Command.Read) {
            ask(reply);
        } else if (command instanceof Command.Replace replace) {
            long call = ++lastCall;
            Configuration wanted = replace.configuration();
            waiting.put(call, new Waiting(wanted, reply, now, now + (size > LARGE ? LARGE_CALL_MICROS : CALL_MICROS)));
            if (!toStore(new PeerMessage.Put(call, wanted.version(), wanted.body()))) {
                waiting.remove(call);
                reply.answer(503, "the store is away", null);
            }
        }
    }

    /**
     * Makes it news and answers. Where too few members are reached nothing is promised, and the caller is sent elsewhere at
     * once; it may be true all the same, and those that hear of it may go by it.
     */
    private void publish(HeartbeatTable.Outcome outcome, Reply reply) {
        boolean promises = quorum.reachesEnough();
        if (outcome == null || !promises || !outcome.requiresReplication()) {
            if (outcome != null) {
                gossip.publish(outcome.entry());
            }
            reply.answer(promises ? 200 : 503, promises ? null : "reaches too few other registries", null);
            return;
        }
        Entry item = outcome.entry();
        orders.publish(item, CALL_MICROS, () -> {
            registry.markReplicated(item.key(), item.stamp());
            reply.answer(200, null, null);
        });
        carrier.schedule(CALL_MICROS, () -> reply.answer(503, "too few registries have it on disk", null));
    }

    // ---- neighbours

    /** A process has come into reach. */
    public void connected(Neighbour one) {
        if (one.hello().program() == Program.STORE) {
            askAt = 0;
            ask(null);
            return;
        }
        gossip.connected(one);
        quorum.up();
        if (one.hello().program() == Program.PROXY) {
            Map<String, double[]> sum = pool.aggregate(now());
            if (!sum.isEmpty()) {
                one.send(new PeerMessage.ServerSpeeds(
                        sum)); // who has just started chooses servers no more blindly than the others
            }
        }
        linkedMachines(now());
    }

    /** It has said something. */
    public void received(Neighbour one, PeerMessage record) {
        if (quorum.received(one, record)) {
            if (quorum.completes()) {
                durable.tick(now(), pool.changed(), quorum); // whoever is lost next, this disk has to count by then
            }
            return;
        }
        if (gossip.received(one, record)) {
            if (record instanceof PeerMessage.Updates news && news.commandId() != 0) {
                orders.confirm(one, news);
            }
            return;
        }
        if (record instanceof PeerMessage.Heartbeats heard) {
            heard.heartbeats().forEach(beat -> registry.heartbeatAtPeer(now(), beat.id(), beat.seq()));
        } else if (record instanceof PeerMessage.Ballot ballot) {
            telling.receive(now(), one.hello().ip(), ballot.type(), ballot.term(), ballot.sentAt());
        } else if (record instanceof PeerMessage.StoreAnswer answer) {
            answered(answer);
        } else if (record instanceof PeerMessage.Persisted held) {
            orders.held(held.commandId(), one.hello().ip(), held.term());
        } else if (record instanceof PeerMessage.Members members
                && one.hello().ip().equals(self.ip)) {
            if (quorum.members(members)) {
                orders.membershipChanged();
                quorum.tick(); // a new member compares at once: its disk counts only after that
            }
        }
    }
}
