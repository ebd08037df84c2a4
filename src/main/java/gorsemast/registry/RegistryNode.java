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
 * The decisions of a registry: when a command is acknowledged, which updates are published, which links it keeps, and when
 * its state is known to be current. It has no I/O, clock or threads of its own: neighbours, time and the disk are passed
 * in, so that many of these run in virtual time.
 *
 * <p>Drains, departures and purges are acknowledged once one more member of the store's view than may be lost has them
 * synced to disk ({@link ReplicationTracker}, {@link DurableState}); configurations, once the store acknowledges them. The
 * registry confirms that its state is current while its {@link ConfirmationLease} is valid. Members are those of the
 * {@link Membership} reported by the store on its machine. Not thread-safe; times in microseconds of a monotonic clock.
 */
public final class RegistryNode {
    /** The interval of calls of {@link #tick}. */
    public static final long TICK_MICROS = 250_000;
    /** A caller tries another registry after a second; the answer that the outcome is uncertain must come before. */
    static final long COMMAND_TIMEOUT_MICROS = 850_000;

    private static final long LARGE_COMMAND_TIMEOUT_MICROS = 2_500_000;
    /** From this size on, callers wait longer for the answer. */
    private static final int LARGE_COMMAND_BYTES = 256 << 10;
    /** The interval of queries for the store's newest version, in case its message was lost. */
    private static final long STORE_QUERY_INTERVAL_MICROS = 500_000;
    /** The interval at which the aggregated server speeds are sent to all edges. */
    private static final long SPEED_INTERVAL_MICROS = 1_000_000;

    private static final Log LOG = new Log("registry");

    /** Answers a call; only the first answer counts. */
    public interface Reply {
        /** @param text the error message, null for none; ignored if there is a body */
        void answer(int status, String text, byte[] body);
    }

    /**
     * Identity and settings of this process.
     *
     * @param losses how many disks may be lost at the same time
     * @param firstBoot whether the whole system starts for the first time, so that empty disks are complete
     */
    public record Parameters(
            String ip,
            String zone,
            String controlAddress,
            long incarnation,
            long heartbeatMicros,
            int losses,
            boolean firstBoot) {}

    /** What the node needs from the process that runs it. */
    public interface Environment {
        /** Runs a task after a delay, on the node's thread. */
        void schedule(long micros, Runnable task);

        /**
         * Replaces the snapshot and drops the records appended before; {@code done} receives, on the node's thread,
         * whether the snapshot is synced.
         */
        void writeSnapshot(byte[] record, Consumer<Boolean> done);

        /** Appends to the journal; {@code synced} runs on the node's thread once the record is on disk, or never. */
        void append(byte[] record, Runnable synced);
    }

    /** A call that waits for the store; {@code reply} is null for a query of this registry itself. */
    private record StoreCall(Configuration replacement, Reply reply, long sentAt, long deadline) {}

    private final Parameters parameters;
    private final LongSupplier clock;
    private final Neighbours neighbours;
    private final Environment environment;
    private final GossipState state = new GossipState();
    private final HeartbeatTable heartbeats;
    private final Gossip gossip;
    private final SpeedAggregator speeds = new SpeedAggregator();
    /** Elects the one registry that publishes which servers are silent. */
    private final LeaseElection silenceElection;

    private final Map<Long, StoreCall> storeCalls = new HashMap<>();
    private final Set<String> seeds = new LinkedHashSet<>();
    private final SplittableRandom random;
    private final long startedAt;
    private long nextSpeedsAt;
    private long lastCallId;
    private long nextStoreQueryAt;
    private boolean restored;
    private final Quorum quorum;
    private final DurableState durable;
    private final ReplicationTracker replication;

    /**
     * Creates the node at the start of its process.
     *
     * @param seeds addresses of core machines in the operator's list
     * @param hasDisk whether there is a disk to write to
     */
    public RegistryNode(
            Parameters parameters,
            Set<String> seeds,
            boolean hasDisk,
            long seed,
            LongSupplier clock,
            Neighbours neighbours,
            Environment environment) {
        this.parameters = parameters;
        this.clock = clock;
        this.neighbours = neighbours;
        this.environment = environment;
        this.random = new SplittableRandom(seed);
        this.startedAt = clock.getAsLong();
        this.heartbeats = new HeartbeatTable(state, parameters.heartbeatMicros);
        this.gossip = new Gossip(
                Program.REGISTRY, state, neighbours, clock, this::synced, this::configurationAge, this::entryChanged);
        this.durable = new DurableState(state, environment, hasDisk, parameters.firstBoot);
        this.quorum = new Quorum(parameters.ip, parameters.losses, state, durable, neighbours, clock);
        this.replication = new ReplicationTracker(parameters.ip, quorum, durable, gossip, clock);
        this.silenceElection = new LeaseElection(
                parameters.ip,
                random.nextLong(),
                ips -> quorum.membership().isMajority(ips),
                (to, type, term, sentAt) -> {
                    Neighbour neighbour = neighbours.find(Program.REGISTRY, to);
                    if (neighbour != null) {
                        neighbour.send(new PeerMessage.Ballot(type, term, sentAt));
                    }
                });
        this.seeds.addAll(seeds);
    }

    private long now() {
        return clock.getAsLong();
    }

    /** Returns the first message on each link. */
    public PeerMessage.Hello hello() {
        return new PeerMessage.Hello(
                Program.REGISTRY, parameters.ip, parameters.zone, parameters.controlAddress, parameters.incarnation);
    }

    /** Returns the gossip state; callers must not modify it. */
    public GossipState state() {
        return state;
    }

    /** Adds addresses of core machines to those from the start. */
    public void addSeeds(Set<String> addresses) {
        seeds.addAll(addresses);
    }

    /**
     * Returns whether the state is confirmed to be current: the lease is valid, enough members answer to acknowledge a
     * command and, at the first start of the whole system, the servers have had time to send heartbeats. A partitioned
     * registry still holds its lease for a while; edges are not to rely on it for that time, as they then have too
     * little left to find another one.
     */
    public boolean synced() {
        long now = now();
        boolean heardAll = restored || !parameters.firstBoot || now - startedAt > 2 * parameters.heartbeatMicros;
        return heardAll && quorum.holdsLease() && quorum.reachesDurableSet();
    }

    /** Returns how long ago the store confirmed that the configuration published here is the newest. */
    private long configurationAge() {
        return now() - quorum.lease().storeConfirmedAt();
    }

    /** Returns the current membership. */
    public Membership membership() {
        return quorum.membership();
    }

    private void entryChanged(Entry entry) {
        durable.entryChanged(entry);
        if (entry.kind() == Kind.SPEED) {
            SpeedReport report = SpeedReport.fromEntry(entry);
            if (report != null) {
                speeds.report(now(), report.edge(), report.servers());
            }
        }
    }

    // ---- restoring from disk

    /**
     * Restores the state from disk. Some entries may be outdated; they keep their stamps, so that newer ones replace them.
     *
     * @param snapshot null for none
     * @param journal the records appended since, in order
     */
    public void restore(byte[] snapshot, List<byte[]> journal) {
        List<Entry> entries = durable.restore(snapshot, journal, now());
        entries.forEach(entry -> {
            state.merge(now(), entry);
            entryChanged(entry);
        });
        restored = !entries.isEmpty();
        if (restored) {
            LOG.info("restored " + state.size() + " entries from disk");
        }
    }

    // ---- time

    /** Runs the periodic work; called every {@link #TICK_MICROS}. */
    public void tick() {
        long now = now();
        publishConnectedMachines(now);
        List<PeerMessage.Heartbeat> received = new ArrayList<>();
        heartbeats.takeLocalHeartbeats().forEach((id, seq) -> received.add(new PeerMessage.Heartbeat(id, seq)));
        if (!received.isEmpty()) {
            neighbours.connected(Program.REGISTRY).forEach(one -> one.send(new PeerMessage.Heartbeats(received)));
        }
        silenceElection.tick(now, connectedRegistries());
        if (silenceElection.isActive(now)) {
            heartbeats.detectSilent(now).forEach(gossip::publish);
        }
        gossip.tick();
        state.removeExpired(now);
        heartbeats.removeForgotten();
        durable.removeForgotten();
        replication.removeExpired();
        quorum.tick();
        durable.tick(now, speeds.changed(), quorum);
        if (speeds.changed() && now >= nextSpeedsAt) {
            nextSpeedsAt = now + SPEED_INTERVAL_MICROS;
            PeerMessage.ServerSpeeds aggregate = new PeerMessage.ServerSpeeds(speeds.aggregate(now));
            neighbours.connected(Program.PROXY).forEach(one -> one.send(aggregate));
            speeds.markSent();
        }
        if (now >= nextStoreQueryAt) {
            nextStoreQueryAt = now + TICK_MICROS; // an answer postpones it
            queryStore(null);
        }
        storeCalls.values().removeIf(call -> {
            if (now > call.deadline && call.reply != null) {
                call.reply.answer(503, "not certain", null);
            }
            return now > call.deadline;
        });
    }

    /** Returns the addresses of the machines to whose registries this one keeps links. */
    public Set<String> peerAddresses() {
        Set<String> addresses = new LinkedHashSet<>(seeds);
        for (Entry entry : state.all(Kind.CORE)) {
            MachineInfo machine = MachineInfo.fromEntry(entry);
            if (machine != null && machine.up()) {
                addresses.add(machine.ip());
            }
        }
        addresses.remove(parameters.ip);
        return addresses;
    }

    private void publishConnectedMachines(long now) {
        for (Neighbour neighbour : neighbours.connected()) {
            PeerMessage.Hello peer = neighbour.hello();
            Kind kind = peer.program() == Program.PROXY ? Kind.EDGE : Kind.CORE;
            if (peer.program() != Program.STORE) {
                publish(heartbeats.machineConnected(
                        now, kind, peer.ip(), peer.zone(), peer.controlAddress(), peer.incarnation()));
            }
        }
        publish(heartbeats.machineConnected(
                now, Kind.CORE, parameters.ip, parameters.zone, parameters.controlAddress, parameters.incarnation));
    }

    private void publish(Entry entry) {
        if (entry != null) {
            gossip.publish(entry);
        }
    }

    /** Returns the other machines whose registries are connected. */
    private Set<String> connectedRegistries() {
        Set<String> ips = new LinkedHashSet<>();
        neighbours
                .connected(Program.REGISTRY)
                .forEach(one -> ips.add(one.hello().ip()));
        ips.remove(parameters.ip);
        return ips;
    }

    // ---- the store

    private void queryStore(Reply reply) {
        long callId = ++lastCallId;
        Entry current = reply == null ? state.get(Kind.CONFIGURATION, "") : null;
        long deadline = now() + (reply == null ? ConfirmationLease.LEASE_MICROS : COMMAND_TIMEOUT_MICROS);
        storeCalls.put(callId, new StoreCall(null, reply, now(), deadline));
        long knownVersion = current == null ? -1 : current.stamp();
        long knownTerm = current == null ? 0 : current.origin().term();
        if (!sendToStore(new PeerMessage.Get(callId, knownVersion, knownTerm)) && reply != null) {
            storeCalls.remove(callId);
            reply.answer(503, "the store is away", null);
        }
    }

    private boolean sendToStore(PeerMessage message) {
        Neighbour store = neighbours.find(Program.STORE, parameters.ip);
        if (store != null) {
            store.send(message);
        }
        return store != null;
    }

    private void storeAnswered(PeerMessage.StoreAnswer answer) {
        if (answer.outcome() != CallOutcome.UNCERTAIN) {
            publishConfiguration(answer);
        }
        if (answer.callId() == 0) {
            return; // the version that the store holds, acknowledged or not: it is valid, so it may be applied
        }
        StoreCall call = storeCalls.remove(answer.callId());
        if (call != null && answer.outcome() != CallOutcome.UNCERTAIN) {
            quorum.lease().storeAnswered(call.sentAt);
            nextStoreQueryAt = Math.max(nextStoreQueryAt, call.sentAt + STORE_QUERY_INTERVAL_MICROS);
        }
        if (call == null || call.reply == null) {
            return;
        }
        switch (answer.outcome()) {
            case UNCERTAIN -> call.reply.answer(503, "the store is not certain", null);
            case CONFLICT -> call.reply.answer(409, "configVersion: is taken by another content", null);
            case DONE -> {
                if (call.replacement != null) {
                    call.reply.answer(200, null, null);
                } else if (answer.version() == 0) {
                    call.reply.answer(404, "no configuration yet", null);
                } else {
                    call.reply.answer(200, null, answer.body());
                }
            }
        }
    }

    /** Publishes the configuration that the store reports, never the one of a call to this registry. */
    private void publishConfiguration(PeerMessage.StoreAnswer answer) {
        if (answer.body() != null && answer.version() > 0) {
            publish(Entry.configuration(answer.version(), answer.term(), answer.digest(), answer.body(), now()));
        }
    }

    // ---- commands

    /** Executes a command of {@code size} bytes; the reply may come later. */
    public void execute(Command command, int size, Reply reply) {
        long now = now();
        if (command instanceof Command.Heartbeat heartbeat) {
            publish(heartbeats.heartbeat(now, heartbeat.server()), reply);
        } else if (command instanceof Command.Deregister leaving) {
            publish(heartbeats.deregister(now, leaving.id()), reply);
        } else if (command instanceof Command.Purge purge) {
            String id = Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
            publish(
                    new HeartbeatTable.Outcome(
                            new PurgeRequest(id, purge.host(), purge.path(), purge.tag()).toEntry(now), true),
                    reply);
        } else if (command instanceof Command.Read) {
            queryStore(reply);
        } else if (command instanceof Command.Replace replace) {
            long callId = ++lastCallId;
            Configuration replacement = replace.configuration();
            storeCalls.put(
                    callId,
                    new StoreCall(
                            replacement,
                            reply,
                            now,
                            now
                                    + (size > LARGE_COMMAND_BYTES
                                            ? LARGE_COMMAND_TIMEOUT_MICROS
                                            : COMMAND_TIMEOUT_MICROS)));
            if (!sendToStore(new PeerMessage.Put(callId, replacement.version(), replacement.body()))) {
                storeCalls.remove(callId);
                reply.answer(503, "the store is away", null);
            }
        }
    }

    /**
     * Publishes the outcome and answers. If too few members are reachable the call is answered with an error at once, so
     * that the caller tries another registry; the update may still take effect where it arrives.
     */
    private void publish(HeartbeatTable.Outcome outcome, Reply reply) {
        boolean reachable = quorum.reachesDurableSet();
        if (outcome == null || !reachable || !outcome.requiresReplication()) {
            if (outcome != null) {
                gossip.publish(outcome.entry());
            }
            reply.answer(reachable ? 200 : 503, reachable ? null : "reaches too few other registries", null);
            return;
        }
        Entry entry = outcome.entry();
        replication.publish(entry, COMMAND_TIMEOUT_MICROS, () -> {
            heartbeats.markReplicated(entry.key(), entry.stamp());
            reply.answer(200, null, null);
        });
        environment.schedule(
                COMMAND_TIMEOUT_MICROS, () -> reply.answer(503, "too few registries have it on disk", null));
    }

    // ---- neighbours

    /** Handles a new link to a process. */
    public void connected(Neighbour neighbour) {
        if (neighbour.hello().program() == Program.STORE) {
            nextStoreQueryAt = 0;
            queryStore(null);
            return;
        }
        gossip.connected(neighbour);
        quorum.neighbourConnected();
        if (neighbour.hello().program() == Program.PROXY) {
            Map<String, double[]> aggregate = speeds.aggregate(now());
            if (!aggregate.isEmpty()) {
                neighbour.send(new PeerMessage.ServerSpeeds(aggregate)); // a new edge gets the speeds at once
            }
        }
        publishConnectedMachines(now());
    }

    /** Handles a message of a neighbour. */
    public void received(Neighbour neighbour, PeerMessage message) {
        if (quorum.received(neighbour, message)) {
            if (quorum.becomesComplete()) {
                durable.tick(now(), speeds.changed(), quorum); // this disk must count before another one is lost
            }
            return;
        }
        if (gossip.received(neighbour, message)) {
            if (message instanceof PeerMessage.Updates updates && updates.commandId() != 0) {
                replication.confirmWhenDurable(neighbour, updates);
            }
            return;
        }
        if (message instanceof PeerMessage.Heartbeats heard) {
            heard.heartbeats().forEach(one -> heartbeats.heartbeatAtPeer(now(), one.id(), one.seq()));
        } else if (message instanceof PeerMessage.Ballot ballot) {
            silenceElection.receive(now(), neighbour.hello().ip(), ballot.type(), ballot.term(), ballot.sentAt());
        } else if (message instanceof PeerMessage.StoreAnswer answer) {
            storeAnswered(answer);
        } else if (message instanceof PeerMessage.Persisted persisted) {
            replication.persistedBy(persisted.commandId(), neighbour.hello().ip(), persisted.term());
        } else if (message instanceof PeerMessage.Members members
                && neighbour.hello().ip().equals(parameters.ip)) {
            if (quorum.update(members)) {
                replication.membershipChanged();
                quorum.tick(); // a new member compares at once, as its disk counts only after that
            }
        }
    }
}
