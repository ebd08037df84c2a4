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
 * Everything that a store decides: its {@link Replica}, whose call each of the keeper's calls is, and who is passed on to
 * the primary. No I/O, no clock of its own, no threads; one caller; times in microseconds.
 */
public final class StoreNode implements Replica.Output {
    /** To be called so often. */
    public static final long TICK_MICROS = 25_000;
    /** Longer than any call may take here or at the store that it is passed on to. */
    private static final long ASKED_MICROS = 6_000_000;

    private static final Log LOG = new Log("store");

    /** Puts a state on disk, synced, and has {@link StoreNode#saved} called then, in the order of saves. */
    public interface Saver {
        /** @param keptToo whether the configuration may differ from the last one saved */
        void save(ReplicaState state, boolean keptToo, long token);
    }

    /** Who waits for a call's answer: a registry, or a store that passed it on. */
    private record Asker(
            Neighbour from, long call, boolean put, long version, byte[] body, long known, long knownTerm, long until) {
        /** The body that goes with an answer: that of a put, where it is what holds. */
        byte[] body(CallOutcome outcome, ContentDigest holds, byte[] told) {
            boolean same =
                    put && outcome == CallOutcome.DONE && ContentDigest.of(body).equals(holds);
            return same ? body : told;
        }
    }

    private final String ip;
    private final LongSupplier clock;
    private final Neighbours neighbours;
    private final Saver saver;
    private final Replica keeper;
    private final Map<Long, Asker> askers = new HashMap<>();
    private final Set<String> seeds;
    /** Views by token that are on their way to the disk, and the last one that is on it. */
    private final Map<Long, View> saving = new HashMap<>();

    private View view;
    private long lastCall;
    /** Whether the registry of this machine was told what is kept since it came up. */
    private boolean told = true;

    /**
     * Of one process, from its start on.
     *
     * @param saved what its disk has, or had drawn for an empty one
     * @param tolerance what may be lost at the same time; one machine at the least
     * @param place where its machine stands
     */
    public StoreNode(
            String ip,
            Set<String> seeds,
            ReplicaState saved,
            FaultTolerance tolerance,
            Location place,
            long seed,
            LongSupplier clock,
            Neighbours neighbours,
            Saver saver) {
        this(ip, seeds, saved, tolerance, place, seed, Replica.SLOW_MICROS, clock, neighbours, saver);
    }

    /** The same with a bound of its own, in microseconds, for disks that end nothing. */
    public StoreNode(
            String ip,
            Set<String> seeds,
            ReplicaState saved,
            FaultTolerance tolerance,
            Location place,
            long seed,
            long slowMicros,
            LongSupplier clock,
            Neighbours neighbours,
            Saver saver) {
        this.ip = ip;
        this.seeds = new LinkedHashSet<>(seeds);
        this.clock = clock;
        this.neighbours = neighbours;
        this.saver = saver;
        this.view = saved.view();
        FaultTolerance borne =
                new FaultTolerance(Math.max(1, tolerance.machines()), tolerance.zones(), tolerance.regions());
        this.keeper = new Replica(saved, borne, place, seed, slowMicros, this);
    }

    /** The first word on each of its links. */
    public static PeerMessage.Hello hello(String ip, String zone) {
        return new PeerMessage.Hello(Program.STORE, ip, zone, "", 0);
    }

    /** What it keeps, and whether it leads. */
    public Replica replica() {
        return keeper;
    }

    /** Another list of core machines, in place of the last one: members are known by the view. */
    public void replaceSeeds(Set<String> others) {
        seeds.clear();
        seeds.addAll(others);
    }

    /** The process is asked to end. */
    public void leave() {
        keeper.leave(clock.getAsLong());
    }

    /** Whether it may end now, after {@link #leave}. */
    public boolean mayStop() {
        return keeper.mayStop(clock.getAsLong());
    }

    /** Addresses of the machines whose stores it wants links to. */
    public Set<String> peerAddresses() {
        Set<String> wanted = new LinkedHashSet<>(seeds);
        keeper.knownMembers().forEach(member -> wanted.add(member.ip()));
        wanted.remove(ip);
        return wanted;
    }

    /** To be called each {@link #TICK_MICROS}. */
    public void tick() {
        long now = clock.getAsLong();
        keeper.tick(now);
        tellEarly();
        askers.values().removeIf(asker -> now > asker.until); // whoever it was passed on to did not answer
    }

    /** A save is on disk, and all before it. */
    public void saved(long token) {
        keeper.saved(clock.getAsLong(), token);
        tellMembers(saving.remove(token));
    }

    /** The registry on this machine counts by the view that is on disk, which no later life of this store falls behind. */
    private void tellMembers(View saved) {
        if (saved == null || saved.equals(view)) {
            return;
        }
        view = saved;
        Neighbour registry = neighbours.find(Program.REGISTRY, ip);
        if (registry != null) {
            registry.send(members());
        }
    }

    private PeerMessage.Members members() {
        return new PeerMessage.Members(view.term(), ips(view.members()), ips(view.previousMembers()));
    }

    private static List<String> ips(List<Member> members) {
        return members.stream().map(Member::ip).toList();
    }

    // ---- neighbours

    /** A process has come into reach. */
    public void up(Neighbour one) {
        if (one.hello().program() == Program.STORE) {
            one.send(new PeerMessage.StoreMessage(keeper.heartbeat()));
        } else if (one.hello().ip().equals(ip)) {
            one.send(members());
            told = false;
            tellEarly();
        }
    }

    /** Edges that start have something at once, whatever an election takes. */
    private void tellEarly() {
        if (!told && keeper.mayServeStored()) {
            told = true;
            committed(keeper.stored());
        }
    }

    /** It is reached no more. */
    public void down(Neighbour one) {
        askers.values().removeIf(asker -> asker.from == one);
    }

    /** It has said something. */
    public void received(Neighbour one, PeerMessage record) {
        long now = clock.getAsLong();
        if (record instanceof PeerMessage.StoreMessage between) {
            keeper.receive(now, between.message());
        } else if (record instanceof PeerMessage.Put put) {
            long call = ++lastCall;
            askers.put(call, new Asker(one, put.callId(), true, put.version(), put.body(), 0, 0, now + ASKED_MICROS));
            keeper.put(now, call, put.version(), put.body());
        } else if (record instanceof PeerMessage.Get get) {
            long call = ++lastCall;
            askers.put(
                    call,
                    new Asker(
                            one,
                            get.callId(),
                            false,
                            0,
                            null,
                            get.knownVersion(),
                            get.knownTerm(),
                            now + ASKED_MICROS));
            keeper.get(now, call);
        } else if (record instanceof PeerMessage.StoreAnswer answer) {
            Asker asker = askers.remove(answer.callId());
            if (asker != null) {
                asker.from.send(
                        answer.forCall(asker.call, asker.body(answer.outcome(), answer.digest(), answer.body())));
            }
        }
    }

    // ---- what the keeper wants done

    @Override
    public void send(Member member, Message message) {
        Neighbour store = neighbours.find(Program.STORE, member.ip());
        if (store != null) {
            store.send(new PeerMessage.StoreMessage(message));
        }
    }

    @Override
    public void save(ReplicaState state, boolean keptToo, long token) {
        saving.put(token, state.view());
        saver.save(state, keptToo, token);
    }

    @Override
    public void complete(long call, CallOutcome outcome, StoredVersion kept) {
        Asker asker = askers.remove(call);
        if (asker != null) {
            boolean known = kept.version() == asker.known && kept.term() == asker.knownTerm;
            boolean reads = !asker.put && outcome == CallOutcome.DONE && !known;
            byte[] told = reads ? kept.body() : null;
            boolean near = asker.from.hello().program() == Program.REGISTRY; // a store gives its own registry the body
            byte[] body = near ? asker.body(outcome, kept.digest(), told) : told;
            asker.from.send(
                    new PeerMessage.StoreAnswer(asker.call, outcome, kept.version(), kept.term(), kept.digest(), body));
        }
    }

    @Override
    public void forward(long call, Member primary) {
        Asker asker = askers.get(call);
        if (asker == null) {
            return;
        }
        Neighbour store = neighbours.find(Program.STORE, primary.ip());
        if (store == null) {
            complete(call, CallOutcome.UNCERTAIN, StoredVersion.NONE);
        } else if (asker.put) {
            store.send(new PeerMessage.Put(call, asker.version, asker.body));
        } else {
            store.send(new PeerMessage.Get(call, asker.known, asker.knownTerm));
        }
    }

    @Override
    public void committed(StoredVersion kept) {
        if (kept.version() > 0) {
            for (Neighbour one : neighbours.connected(Program.REGISTRY)) {
                one.send(new PeerMessage.StoreAnswer(
                        0, CallOutcome.DONE, kept.version(), kept.term(), kept.digest(), kept.body()));
            }
        }
    }

    @Override
    public void log(String sentence) {
        LOG.info(sentence);
    }
}
