package gorsemast.registry;

import gorsemast.configuration.Configuration;
import gorsemast.election.LeaseElection;
import gorsemast.gossip.Entry;
import gorsemast.gossip.Entry.Kind;
import gorsemast.gossip.GossipState;
import gorsemast.gossip.MachineNews;
import gorsemast.gossip.PurgeNews;
import gorsemast.gossip.SpeedNews;
import gorsemast.logging.Log;
import gorsemast.peer.Gossip;
import gorsemast.peer.Neighbour;
import gorsemast.peer.Neighbours;
import gorsemast.peer.Record;
import gorsemast.peer.Record.Program;
import gorsemast.store.CallOutcome;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;

/**
 * Everything that a registry decides: which command is acknowledged when, what becomes news, whom it keeps links to, and
 * when it knows enough to vouch for what it tells. No I/O, no clock of its own, no threads: what carries it hands in
 * neighbours, time and the disk, so that a whole fleet of these runs in virtual time.
 *
 * <p><b>Acknowledged</b> are drains, departures and purges when {@link #holders} other core machines hold them, and
 * configurations when the store says so. One caller; times in microseconds of a clock that never goes back.
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
    /** What it knows is written down this often, where it has changed. */
    private static final long WRITE_MICROS = 500_000;
    /** What edges have seen of servers is told to all of them this often, and written down this seldom. */
    private static final long POOL_MICROS = 1_000_000;

    private static final long POOL_WRITE_MICROS = 5_000_000;
    private static final Log LOG = new Log("registry");

    /** One answer to a call; a second one is let be. */
    public interface Reply {
        /** @param text why, null for nothing to say; a body takes its place */
        void answer(int status, String text, byte[] body);
    }

    /** What this process is, as its settings and its start have it. */
    public record Self(String ip, String zone, String control, long life, long beatMicros, int losses) {}

    /** What carries an office. */
    public interface Carrier {
        /** Runs a task later, on the office's thread. */
        void later(long micros, Runnable task);

        /** Writes down what it knows; {@code done} runs on the office's thread, written or not. */
        void remember(byte[] record, Runnable done);
    }

    /** A call that waits for the store. */
    private record Waiting(Configuration put, Reply reply, long until) {}

    private final Self self;
    private final LongSupplier clock;
    private final Neighbours neighbours;
    private final Carrier carrier;
    private final GossipState board = new GossipState();
    private final HeartbeatTable registry;
    private final Gossip gossip;
    private final Pool pool = new Pool();
    /** Telling who is silent: one registry does it for all. */
    private final LeaseElection telling;

    private final Map<Long, Waiting> waiting = new HashMap<>();
    private final Set<String> seeds = new LinkedHashSet<>();
    private final SplittableRandom random;
    private final boolean remembers;
    private final long begun;
    private boolean writing;
    private long writeAt;
    private long poolAt;
    private long poolWriteAt;
    private boolean changed;
    private long lastCall;
    private long askAt;
    private boolean storeKnown;
    private boolean metSynced;

    /**
     * Of one process, from its start on.
     *
     * @param seeds addresses of core machines as the operator's list had them
     * @param remembers whether there is a disk to write to
     */
    public RegistryNode(
            Self self,
            Set<String> seeds,
            boolean remembers,
            long seed,
            LongSupplier clock,
            Neighbours neighbours,
            Carrier carrier) {
        this.self = self;
        this.clock = clock;
        this.neighbours = neighbours;
        this.carrier = carrier;
        this.remembers = remembers;
        this.random = new SplittableRandom(seed);
        this.begun = clock.getAsLong();
        this.registry = new HeartbeatTable(board, self.beatMicros);
        this.gossip = new Gossip(Program.REGISTRY, board, neighbours, clock, this::synced, this::news);
        this.telling = new LeaseElection(self.ip, random.nextLong(), (to, word, term, at) -> {
            Neighbour one = neighbours.at(Program.REGISTRY, to);
            if (one != null) {
                one.send(new Record.Ballot(word, term, at));
            }
        });
        this.seeds.addAll(seeds);
    }

    private long now() {
        return clock.getAsLong();
    }

    /** The first word on each of its links. */
    public Record.Hello hello() {
        return new Record.Hello(Program.REGISTRY, self.ip, self.zone, self.control, self.life);
    }

    /** All that it knows; only to be read. */
    public GossipState board() {
        return board;
    }

    /** Another list of core machines. */
    public void seeds(Set<String> more) {
        seeds.addAll(more);
    }

    /**
     * Whether it knows enough to vouch for what it tells: the newest configuration from the store, and the rest from
     * another registry or from two rounds of beats.
     */
    public boolean synced() {
        return storeKnown && (metSynced || now() - begun > 2 * self.beatMicros);
    }

    private void news(Entry item) {
        changed |= item.kind().mended();
        if (item.kind() == Kind.SPEED) {
            SpeedNews speeds = SpeedNews.of(item);
            if (speeds != null) {
                pool.told(now(), speeds.edge(), speeds.servers());
            }
        }
    }

    // ---- what it knew before

    /** What it knew before it ended: not all of it may hold any more, but it is told to others as what it is, old news. */
    public void recall(byte[] record) {
        if (record == null) {
            return;
        }
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(record))) {
            if (Record.read(in, now()) instanceof Record.News news) {
                for (Entry item : news.items()) {
                    board.merge(now(), item);
                    news(item);
                }
                LOG.info("recalls " + board.size() + " pieces of news");
            }
        } catch (IOException e) {
            LOG.warn("can't recall what it knew: " + e.getMessage());
        }
    }

    private void remember(long now) {
        boolean due = changed && now >= writeAt || pool.changed() && now >= poolWriteAt;
        if (!remembers || writing || !due) {
            return;
        }
        changed = false;
        writing = true;
        writeAt = now + WRITE_MICROS;
        poolWriteAt = now + POOL_WRITE_MICROS;
        List<Entry> items = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            items.addAll(board.all(kind));
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            new Record.News(0, items).write(out, now);
        } catch (IOException e) {
            throw new IllegalStateException(e); // memory does not fail
        }
        carrier.remember(bytes.toByteArray(), () -> writing = false);
    }

    // ---- time

    /** To be called each {@link #TICK_MICROS}. */
    public void tick() {
        long now = now();
        linkedMachines(now);
        List<Record.Beat> beats = new ArrayList<>();
        registry.heardHere().forEach((id, seq) -> beats.add(new Record.Beat(id, seq)));
        if (!beats.isEmpty()) {
            neighbours.up(Program.REGISTRY).forEach(one -> one.send(new Record.Heard(beats)));
        }
        telling.tick(now, reached(), machines());
        if (telling.acts(now, machines())) {
            registry.silent(now).forEach(gossip::publish);
        }
        gossip.tick();
        board.forget(now);
        registry.forget();
        remember(now);
        if (pool.changed() && now >= poolAt) {
            poolAt = now + POOL_MICROS;
            Record.Pooled sum = new Record.Pooled(pool.sum(now));
            neighbours.up(Program.PROXY).forEach(one -> one.send(sum));
            pool.passedOn();
        }
        if (now >= askAt) {
            askAt = now + ASK_MICROS;
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
    public Set<String> wanted() {
        Set<String> wanted = new LinkedHashSet<>(seeds);
        for (Entry item : board.all(Kind.CORE)) {
            MachineNews machine = MachineNews.of(item);
            if (machine != null && machine.up()) {
                wanted.add(machine.ip());
            }
        }
        wanted.remove(self.ip);
        return wanted;
    }

    private void linkedMachines(long now) {
        for (Neighbour one : neighbours.up()) {
            Record.Hello peer = one.peer();
            Kind kind = peer.program() == Program.PROXY ? Kind.EDGE : Kind.CORE;
            if (peer.program() != Program.STORE) {
                publish(registry.linked(now, kind, peer.ip(), peer.zone(), peer.control(), peer.life()));
            }
        }
        publish(registry.linked(now, Kind.CORE, self.ip, self.zone, self.control, self.life));
    }

    private void publish(Entry item) {
        if (item != null) {
            gossip.publish(item);
        }
    }

    /** Other machines with a registry that are reached now. */
    private Set<String> reached() {
        Set<String> ips = new LinkedHashSet<>();
        neighbours.up(Program.REGISTRY).forEach(one -> ips.add(one.peer().ip()));
        ips.remove(self.ip);
        return ips;
    }

    /** How many core machines there are, as far as is known. */
    private int machines() {
        return Math.max(seeds.size(), (int) board.all(Kind.CORE).stream()
                .map(MachineNews::of)
                .filter(machine -> machine != null && machine.up())
                .count());
    }

    /** How many others have to hold what is acknowledged: as many as may be lost, one at least. */
    private int holders() {
        return seeds.size() < 2 ? 0 : Math.max(1, self.losses);
    }

    // ---- the store

    private void ask(Reply reply) {
        long call = ++lastCall;
        Entry held = reply == null ? board.get(Kind.CONFIGURATION, "") : null;
        waiting.put(call, new Waiting(null, reply, now() + (reply == null ? ASK_MICROS : CALL_MICROS)));
        if (!toStore(new Record.Get(
                        call,
                        held == null ? -1 : held.stamp(),
                        held == null ? 0 : held.origin().term()))
                && reply != null) {
            waiting.remove(call);
            reply.answer(503, "the store is away", null);
        }
    }

    private boolean toStore(Record record) {
        Neighbour store = neighbours.at(Program.STORE, self.ip);
        if (store != null) {
            store.send(record);
        }
        return store != null;
    }

    private void answered(Record.Answer answer) {
        if (answer.outcome() != CallOutcome.UNCERTAIN) {
            holds(answer);
        }
        if (answer.call() == 0) {
            return; // what the store holds, acknowledged or not: it was valid, so it may be in force
        }
        Waiting call = waiting.remove(answer.call());
        storeKnown |= answer.outcome() != CallOutcome.UNCERTAIN;
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
    private void holds(Record.Answer answer) {
        if (answer.body() != null && answer.version() > 0) {
            publish(Entry.configuration(answer.version(), answer.term(), answer.digest(), answer.body(), now()));
        }
    }

    // ---- commands

    /** Runs a command of {@code size} bytes; the reply may come later, and comes once. */
    public void run(Command command, int size, Reply reply) {
        long now = now();
        if (command instanceof Command.Beat beat) {
            publish(registry.beat(now, beat.server()), reply);
        } else if (command instanceof Command.Deregister leaving) {
            publish(registry.deregister(now, leaving.id()), reply);
        } else if (command instanceof Command.Purge purge) {
            String id = Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
            publish(
                    new HeartbeatTable.Outcome(
                            new PurgeNews(id, purge.host(), purge.path(), purge.tag()).item(now), true),
                    reply);
        } else if (command instanceof Command.Read) {
            ask(reply);
        } else if (command instanceof Command.Replace replace) {
            long call = ++lastCall;
            Configuration wanted = replace.configuration();
            waiting.put(call, new Waiting(wanted, reply, now + (size > LARGE ? LARGE_CALL_MICROS : CALL_MICROS)));
            if (!toStore(new Record.Put(call, wanted.version(), wanted.body()))) {
                waiting.remove(call);
                reply.answer(503, "the store is away", null);
            }
        }
    }

    private void publish(HeartbeatTable.Outcome outcome, Reply reply) {
        if (outcome == null) {
            reply.answer(200, null, null);
            return;
        }
        Entry item = outcome.item();
        if (outcome.waits() && reached().size() < holders()) {
            gossip.publish(item); // it may be true, and those that hear of it may go by it; but nothing is promised
            reply.answer(503, "reaches no other registry", null);
            return;
        }
        gossip.publish(item, outcome.waits() ? holders() : 0, () -> {
            registry.safe(item.key(), item.stamp());
            reply.answer(200, null, null);
        });
        if (outcome.waits()) {
            carrier.later(CALL_MICROS, () -> reply.answer(503, "no other registry holds it", null));
        }
    }

    // ---- neighbours

    /** A process has come into reach. */
    public void up(Neighbour one) {
        if (one.peer().program() == Program.STORE) {
            askAt = 0;
            ask(null);
            return;
        }
        gossip.up(one);
        if (one.peer().program() == Program.PROXY) {
            Map<String, double[]> sum = pool.sum(now());
            if (!sum.isEmpty()) {
                one.send(
                        new Record.Pooled(sum)); // who has just started chooses servers no more blindly than the others
            }
        }
        linkedMachines(now());
    }

    /** It has said something. */
    public void received(Neighbour one, Record record) {
        if (record instanceof Record.Digest digest
                && digest.synced()
                && one.peer().program() == Program.REGISTRY) {
            metSynced |= board.differing(digest.buckets()) == 0;
        }
        if (gossip.received(one, record)) {
            return;
        }
        if (record instanceof Record.Heard heard) {
            heard.beats().forEach(beat -> registry.heardElsewhere(now(), beat.id(), beat.seq()));
        } else if (record instanceof Record.Ballot ballot) {
            telling.said(now(), one.peer().ip(), ballot.word(), ballot.term(), ballot.at(), machines());
        } else if (record instanceof Record.Answer answer) {
            answered(answer);
        }
    }
}
