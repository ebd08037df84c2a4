package gorsemast.store;

import gorsemast.configuration.ContentDigest;
import gorsemast.logging.Log;
import gorsemast.node.FaultTolerance;
import gorsemast.peer.Neighbour;
import gorsemast.peer.Neighbours;
import gorsemast.peer.PeerMessage;
import gorsemast.peer.PeerMessage.Program;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * The logic of a store process: its {@link Replica}, the calls that wait for it, and the forwarding of calls to the
 * primary. No I/O, no clock of its own, no threads. Not thread-safe; times are in microseconds.
 */
public final class StoreNode implements Replica.Output {
    /** The interval at which {@link #tick} has to be called. */
    public static final long TICK_MICROS = 25_000;
    /** Longer than a call may take here or at the store that it was forwarded to. */
    private static final long PENDING_CALL_TIMEOUT_MICROS = 6_000_000;

    private static final Log LOG = new Log("store");

    /** Saves a state durably and then calls {@link StoreNode#saved}, in the order of saves. */
    public interface Saver {
        /** @param storedChanged whether the stored version may differ from the last one saved */
        void save(ReplicaState state, boolean storedChanged, long token);
    }

    /** A call and its requester: a registry, or a store that forwarded it. */
    private record PendingCall(
            Neighbour requester,
            long call,
            boolean put,
            long version,
            byte[] body,
            long knownVersion,
            long knownTerm,
            long deadline) {
        /** Returns the body for an answer: that of a put, where it is the acknowledged one. */
        byte[] body(CallOutcome outcome, ContentDigest acknowledged, byte[] readBody) {
            boolean acknowledgedHere =
                    put && outcome == CallOutcome.DONE && ContentDigest.of(body).equals(acknowledged);
            return acknowledgedHere ? body : readBody;
        }
    }

    private final String ip;
    private final LongSupplier clock;
    private final Neighbours neighbours;
    private final Saver saver;
    private final Replica replica;
    private final Map<Long, PendingCall> pendingCalls = new HashMap<>();
    private final Set<String> seeds;
    /** Views by the token of their save, until that is on disk. */
    private final Map<Long, View> viewsBeingSaved = new HashMap<>();

    /** The last view that is on disk. */
    private View savedView;

    private long lastCall;
    /** Whether the registry on this machine was sent the stored version since it connected. */
    private boolean storedSent = true;

    /**
     * Creates the node of a process that has just started.
     *
     * @param saved the state on its disk, or the initial one for an empty disk
     * @param tolerance the losses to tolerate at the same time; at least one machine
     * @param location where its machine is
     */
    public StoreNode(
            String ip,
            Set<String> seeds,
            ReplicaState saved,
            FaultTolerance tolerance,
            Location location,
            long seed,
            LongSupplier clock,
            Neighbours neighbours,
            Saver saver) {
        this(ip, seeds, saved, tolerance, location, seed, Replica.STALL_TIMEOUT_MICROS, clock, neighbours, saver);
    }

    /** Creates a node with its own limit, in microseconds, after which a disk counts as stalled. */
    public StoreNode(
            String ip,
            Set<String> seeds,
            ReplicaState saved,
            FaultTolerance tolerance,
            Location location,
            long seed,
            long stallMicros,
            LongSupplier clock,
            Neighbours neighbours,
            Saver saver) {
        this.ip = ip;
        this.seeds = new LinkedHashSet<>(seeds);
        this.clock = clock;
        this.neighbours = neighbours;
        this.saver = saver;
        this.savedView = saved.view();
        FaultTolerance effectiveTolerance =
                new FaultTolerance(Math.max(1, tolerance.machines()), tolerance.zones(), tolerance.regions());
        this.replica = new Replica(saved, effectiveTolerance, location, seed, stallMicros, this);
    }

    /** Returns the first message on each of its links. */
    public static PeerMessage.Hello hello(String ip, String zone) {
        return new PeerMessage.Hello(Program.STORE, ip, zone, "", 0);
    }

    /** Returns the replica, for its stored version and whether it is primary. */
    public Replica replica() {
        return replica;
    }

    /** Replaces the list of core machines to connect to; the members are defined by the view. */
    public void replaceSeeds(Set<String> addresses) {
        seeds.clear();
        seeds.addAll(addresses);
    }

    /** Starts leaving, as the process was asked to end. */
    public void leave() {
        replica.leave(clock.getAsLong());
    }

    /** Returns whether the process may end, after {@link #leave}. */
    public boolean mayStop() {
        return replica.mayStop(clock.getAsLong());
    }

    /** Returns the addresses of the machines whose stores it wants links to. */
    public Set<String> peerAddresses() {
        Set<String> addresses = new LinkedHashSet<>(seeds);
        replica.knownMembers().forEach(member -> addresses.add(member.ip()));
        addresses.remove(ip);
        return addresses;
    }

    /** Runs the periodic work; call it each {@link #TICK_MICROS}. */
    public void tick() {
        long now = clock.getAsLong();
        replica.tick(now);
        sendStoredAtStartup();
        pendingCalls
                .values()
                .removeIf(pending -> now > pending.deadline); // the store that it was forwarded to did not answer
    }

    /** Reports that this and all earlier saves are on disk. */
    public void saved(long token) {
        replica.saved(clock.getAsLong(), token);
        sendMembers(viewsBeingSaved.remove(token));
    }

    /**
     * Sends the members to the registry on this machine once their view is on disk, so that no restart of this store
     * falls behind what the registry counts by.
     */
    private void sendMembers(View saved) {
        if (saved == null || saved.equals(savedView)) {
            return;
        }
        savedView = saved;
        Neighbour registry = neighbours.find(Program.REGISTRY, ip);
        if (registry != null) {
            registry.send(members());
        }
    }

    private PeerMessage.Members members() {
        return new PeerMessage.Members(savedView.term(), ips(savedView.members()), ips(savedView.previousMembers()));
    }

    private static List<String> ips(List<Member> members) {
        return members.stream().map(Member::ip).toList();
    }

    // ---- peers

    /** Handles a peer process that has become reachable. */
    public void up(Neighbour peer) {
        if (peer.hello().program() == Program.STORE) {
            peer.send(new PeerMessage.StoreMessage(replica.heartbeat()));
        } else if (peer.hello().ip().equals(ip)) {
            peer.send(members());
            storedSent = false;
            sendStoredAtStartup();
        }
    }

    /** Sends the stored version to a starting registry, so that edges needn't wait for an election. */
    private void sendStoredAtStartup() {
        if (!storedSent && replica.mayServeStored()) {
            storedSent = true;
            committed(replica.stored());
        }
    }

    /** Handles a peer process that is no longer reachable. */
    public void down(Neighbour peer) {
        pendingCalls.values().removeIf(pending -> pending.requester == peer);
    }

    /** Handles a message from a peer. */
    public void received(Neighbour peer, PeerMessage message) {
        long now = clock.getAsLong();
        if (message instanceof PeerMessage.StoreMessage storeMessage) {
            replica.receive(now, storeMessage.message());
        } else if (message instanceof PeerMessage.Put put) {
            long call = ++lastCall;
            pendingCalls.put(
                    call,
                    new PendingCall(
                            peer,
                            put.callId(),
                            true,
                            put.version(),
                            put.body(),
                            0,
                            0,
                            now + PENDING_CALL_TIMEOUT_MICROS));
            replica.put(now, call, put.version(), put.body());
        } else if (message instanceof PeerMessage.Get get) {
            long call = ++lastCall;
            pendingCalls.put(
                    call,
                    new PendingCall(
                            peer,
                            get.callId(),
                            false,
                            0,
                            null,
                            get.knownVersion(),
                            get.knownTerm(),
                            now + PENDING_CALL_TIMEOUT_MICROS));
            replica.get(now, call);
        } else if (message instanceof PeerMessage.StoreAnswer answer) {
            PendingCall pending = pendingCalls.remove(answer.callId());
            if (pending != null) {
                pending.requester.send(
                        answer.forCall(pending.call, pending.body(answer.outcome(), answer.digest(), answer.body())));
            }
        }
    }

    // ---- output of the replica

    @Override
    public void send(Member member, Message message) {
        Neighbour store = neighbours.find(Program.STORE, member.ip());
        if (store != null) {
            store.send(new PeerMessage.StoreMessage(message));
        }
    }

    @Override
    public void save(ReplicaState state, boolean storedChanged, long token) {
        viewsBeingSaved.put(token, state.view());
        saver.save(state, storedChanged, token);
    }

    @Override
    public void complete(long call, CallOutcome outcome, StoredVersion stored) {
        PendingCall pending = pendingCalls.remove(call);
        if (pending != null) {
            boolean upToDate = stored.version() == pending.knownVersion && stored.term() == pending.knownTerm;
            boolean sendsBody = !pending.put && outcome == CallOutcome.DONE && !upToDate;
            byte[] readBody = sendsBody ? stored.body() : null;
            boolean fromRegistry = pending.requester.hello().program()
                    == Program.REGISTRY; // a store adds the body for its own registry
            byte[] body = fromRegistry ? pending.body(outcome, stored.digest(), readBody) : readBody;
            pending.requester.send(new PeerMessage.StoreAnswer(
                    pending.call, outcome, stored.version(), stored.term(), stored.digest(), body));
        }
    }

    @Override
    public void forward(long call, Member primary) {
        PendingCall pending = pendingCalls.get(call);
        if (pending == null) {
            return;
        }
        Neighbour store = neighbours.find(Program.STORE, primary.ip());
        if (store == null) {
            complete(call, CallOutcome.UNCERTAIN, StoredVersion.NONE);
        } else if (pending.put) {
            store.send(new PeerMessage.Put(call, pending.version, pending.body));
        } else {
            store.send(new PeerMessage.Get(call, pending.knownVersion, pending.knownTerm));
        }
    }

    @Override
    public void committed(StoredVersion stored) {
        if (stored.version() > 0) {
            for (Neighbour peer : neighbours.connected(Program.REGISTRY)) {
                peer.send(new PeerMessage.StoreAnswer(
                        0, CallOutcome.DONE, stored.version(), stored.term(), stored.digest(), stored.body()));
            }
        }
    }

    @Override
    public void log(String message) {
        LOG.info(message);
    }
}
