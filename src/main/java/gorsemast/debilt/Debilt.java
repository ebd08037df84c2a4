package gorsemast.debilt;

import gorsemast.lauwersoog.Gossip;
import gorsemast.lauwersoog.Link;
import gorsemast.lauwersoog.Links;
import gorsemast.lauwersoog.Ports;
import gorsemast.lauwersoog.Record;
import gorsemast.lauwersoog.Record.Program;
import gorsemast.marknesse.Daemon;
import gorsemast.marknesse.Log;
import gorsemast.marknesse.Seed;
import gorsemast.marknesse.Settings;
import gorsemast.schiphol.Configuration;
import gorsemast.terschelling.Board;
import gorsemast.terschelling.Duty;
import gorsemast.terschelling.Item;
import gorsemast.terschelling.Item.Kind;
import gorsemast.terschelling.MachineNews;
import gorsemast.terschelling.PurgeNews;
import gorsemast.transport.Transport;
import gorsemast.wilhelminadorp.DiskException;
import gorsemast.wilhelminadorp.Snapshot;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * The registry's program: takes the calls of servers and operators, runs their commands, keeps links to the other
 * registries, to the store on its own machine, and to the proxies that have chosen it. One event loop.
 */
public final class Debilt implements Daemon, Link.Receiver, ControlServer.Runner {
    private static final long TICK_MICROS = 250_000;
    /** A caller looks elsewhere after a second; the answer that nothing is certain has to come before. */
    private static final long CALL_MICROS = 850_000;
    private static final long LARGE_CALL_MICROS = 2_500_000;
    /** From this size on callers wait longer. */
    private static final int LARGE = 256 << 10;
    /** The store is asked for the newest version this often, in case its word was lost on the way. */
    private static final long ASK_MICROS = 1_000_000;
    /** What it knows is written down this often, where it has changed. */
    private static final long WRITE_MICROS = 500_000;
    private static final Log LOG = new Log("debilt");

    /** A call that waits for the store. */
    private record Waiting(Configuration put, ControlServer.Reply reply, long until) {
    }

    private final Settings settings;
    private final EventLoop loop;
    private final Board board = new Board();
    private final Registry registry;
    private final Links links;
    private final Gossip gossip;
    /** Telling who is silent: one registry does it for all. */
    private final Duty telling;
    private final Map<Long, Waiting> waiting = new HashMap<>();
    private final Set<String> seeds = new LinkedHashSet<>();
    private final SplittableRandom random = new SplittableRandom(Seed.fresh());
    private final long origin = System.nanoTime();
    private final long life = System.currentTimeMillis();
    private final ExecutorService writer = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "disk");
        thread.setDaemon(true);
        return thread;
    });
    private Snapshot snapshot;
    private boolean writing;
    private long writeAt;
    private boolean changed;
    private ControlServer server;
    private long lastCall;
    private long askAt;
    private boolean storeKnown;
    private boolean metSynced;

    /** By the platform's settings; nothing begins yet. */
    public Debilt(Settings settings) {
        this.settings = settings;
        this.loop = new MultiThreadIoEventLoopGroup(1, Transport.handlers()).next();
        this.registry = new Registry(board, settings.beatMicros());
        this.links = new Links(loop, this::now, () -> new Record.Hello(Program.REGISTRY, settings.ip(), settings.zone(),
            control(), life), this);
        this.gossip = new Gossip(Program.REGISTRY, board, links, this::now, this::synced, item -> changed |= item.kind().mended());
        this.telling = new Duty(settings.ip(), Seed.fresh(), (to, word, term, at) -> links.up(Program.REGISTRY).stream()
            .filter(link -> link.peer().ip().equals(to)).findFirst().ifPresent(link ->
                link.send(new Record.Ballot(word, term, at))));
        settings.seeds().forEach(seed -> seeds.add(seed.getAddress().getHostAddress()));
    }

    private long now() {
        return (System.nanoTime() - origin) / 1_000;
    }

    private String control() {
        InetSocketAddress at = settings.listens().get("control");
        return at == null ? "" : at.getAddress().getHostAddress() + ":" + at.getPort();
    }

    /**
     * Whether it knows enough to vouch for what it tells: the newest configuration from the store, and the rest from
     * another registry or from two rounds of beats.
     */
    private boolean synced() {
        return storeKnown && (metSynced || now() > 2 * settings.beatMicros());
    }

    @Override
    public void start() throws IOException {
        InetSocketAddress control = settings.listens().get("control");
        if (control == null) {
            throw new IOException("listenAddrs.control: is missing");
        }
        if (settings.dataDir() != null) {
            Files.createDirectories(settings.dataDir());
            snapshot = new Snapshot(settings.dataDir());
            recall(snapshot.read());
        }
        links.listen(Ports.REGISTRY.at(settings, settings.ip()));
        server = new ControlServer(loop, this);
        server.listen(control);
        loop.execute(this::tick);
        loop.scheduleWithFixedDelay(this::tick, TICK_MICROS, TICK_MICROS, TimeUnit.MICROSECONDS);
    }

    /** What it knew before it ended: not all of it may hold any more, but it is told to others as what it is, old news. */
    private void recall(byte[] record) {
        if (record == null) {
            return;
        }
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(record))) {
            if (Record.read(in, now()) instanceof Record.News news) {
                news.items().forEach(item -> board.merge(now(), item));
                LOG.info("recalls " + board.size() + " pieces of news");
            }
        } catch (IOException e) {
            LOG.warn("can't recall what it knew: " + e.getMessage());
        }
    }

    private void remember(long now) {
        if (snapshot == null || writing || !changed || now < writeAt) {
            return;
        }
        changed = false;
        writing = true;
        writeAt = now + WRITE_MICROS;
        List<Item> items = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            if (kind.mended()) {
                items.addAll(board.all(kind));
            }
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            new Record.News(0, items).write(out, now);
        } catch (IOException e) {
            throw new IllegalStateException(e); // memory does not fail
        }
        writer.execute(() -> {
            try {
                snapshot.write(bytes.toByteArray());
            } catch (DiskException e) {
                LOG.warn("can't write down what it knows: " + e.getMessage());
            }
            loop.execute(() -> writing = false);
        });
    }

    @Override
    public void reload(Settings changed) {
        loop.execute(() -> changed.seeds().forEach(seed -> seeds.add(seed.getAddress().getHostAddress())));
    }

    @Override
    public void stop() {
        // Nothing here outlives the process by intent: what is acknowledged is held elsewhere already.
    }

    private void tick() {
        try {
            long now = now();
            dial();
            linkedMachines(now);
            List<Record.Beat> beats = new ArrayList<>();
            registry.heardHere().forEach((id, seq) -> beats.add(new Record.Beat(id, seq)));
            if (!beats.isEmpty()) {
                links.up(Program.REGISTRY).forEach(link -> link.send(new Record.Heard(beats)));
            }
            telling.tick(now, reached(), machines());
            if (telling.acts(now, machines())) {
                registry.silent(now).forEach(gossip::publish);
            }
            gossip.tick();
            board.forget(now);
            registry.forget();
            remember(now);
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
        } catch (RuntimeException e) {
            LOG.fault(e);
        }
    }

    private void dial() {
        Set<InetSocketAddress> wanted = new LinkedHashSet<>();
        seeds.forEach(ip -> wanted.add(Ports.REGISTRY.at(settings, ip)));
        for (Item item : board.all(Kind.CORE)) {
            MachineNews machine = MachineNews.of(item);
            if (machine != null && machine.up()) {
                wanted.add(Ports.REGISTRY.at(settings, machine.ip()));
            }
        }
        wanted.remove(Ports.REGISTRY.at(settings, settings.ip()));
        wanted.add(Ports.STORE.at(settings, settings.ip()));
        links.keep(wanted);
    }

    private void linkedMachines(long now) {
        for (Link link : links.up()) {
            Record.Hello peer = link.peer();
            Kind kind = peer.program() == Program.PROXY ? Kind.EDGE : Kind.CORE;
            if (peer.program() != Program.STORE) {
                publish(registry.linked(now, kind, peer.ip(), peer.zone(), peer.control(), peer.life()));
            }
        }
        publish(registry.linked(now, Kind.CORE, settings.ip(), settings.zone(), control(), life));
    }

    private void publish(Item item) {
        if (item != null) {
            gossip.publish(item);
        }
    }

    /** Other machines with a registry that are reached now. */
    private Set<String> reached() {
        Set<String> ips = new LinkedHashSet<>();
        links.up(Program.REGISTRY).forEach(link -> ips.add(link.peer().ip()));
        ips.remove(settings.ip());
        return ips;
    }

    /** How many core machines there are, as far as is known. */
    private int machines() {
        return Math.max(seeds.size(), (int) board.all(Kind.CORE).stream().map(MachineNews::of)
            .filter(machine -> machine != null && machine.up()).count());
    }

    /** How many others have to hold what is acknowledged: as many as may be lost, one at least. */
    private int holders() {
        return seeds.size() < 2 ? 0 : Math.max(1, settings.losses());
    }

    private void ask(ControlServer.Reply reply) {
        long call = ++lastCall;
        Item held = reply == null ? board.get(Kind.CONFIGURATION, "") : null;
        waiting.put(call, new Waiting(null, reply, now() + (reply == null ? ASK_MICROS : CALL_MICROS)));
        if (!toStore(new Record.Get(call, held == null ? -1 : held.stamp())) && reply != null) {
            waiting.remove(call);
            reply.answer(503, "the store is away", null);
        }
    }

    private boolean toStore(Record record) {
        for (Link link : links.up(Program.STORE)) {
            if (link.peer().ip().equals(settings.ip())) {
                link.send(record);
                return true;
            }
        }
        return false;
    }

    // ---- commands

    @Override
    public void run(Command command, int size, ControlServer.Reply reply) {
        long now = now();
        if (command instanceof Command.Beat beat) {
            publish(registry.beat(now, beat.server()), reply);
        } else if (command instanceof Command.Deregister leaving) {
            publish(registry.deregister(now, leaving.id()), reply);
        } else if (command instanceof Command.Purge purge) {
            String id = Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
            publish(new Registry.Outcome(new PurgeNews(id, purge.host(), purge.path(), purge.tag()).item(now), true),
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

    private void publish(Registry.Outcome outcome, ControlServer.Reply reply) {
        if (outcome == null) {
            reply.answer(200, null, null);
            return;
        }
        Item item = outcome.item();
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
            loop.schedule(() -> reply.answer(503, "no other registry holds it", null), CALL_MICROS, TimeUnit.MICROSECONDS);
        }
    }

    // ---- links

    @Override
    public void up(Link link) {
        if (link.peer().program() != Program.STORE) {
            gossip.up(link);
            linkedMachines(now());
        } else {
            askAt = 0;
            ask(null);
        }
    }

    @Override
    public void down(Link link) {
        gossip.down(link);
    }

    @Override
    public void received(Link link, Record record) {
        if (record instanceof Record.Digest digest && digest.synced() && link.peer().program() == Program.REGISTRY) {
            metSynced |= board.differing(digest.buckets()) == 0;
        }
        if (gossip.received(link, record)) {
            return;
        }
        if (record instanceof Record.Heard heard) {
            heard.beats().forEach(beat -> registry.heardElsewhere(now(), beat.id(), beat.seq()));
        } else if (record instanceof Record.Ballot ballot) {
            telling.said(now(), link.peer().ip(), ballot.word(), ballot.term(), ballot.at(), machines());
        } else if (record instanceof Record.Answer answer) {
            answered(answer);
        }
    }

    private void answered(Record.Answer answer) {
        if (answer.call() == 0 && answer.body() != null && answer.version() > 0) {
            // What the store holds, acknowledged or not: it was valid, so it may be in force.
            publish(new Item(Kind.CONFIGURATION, "", answer.version(), answer.body(), now()));
            return;
        }
        Waiting call = waiting.remove(answer.call());
        boolean read = call != null && call.put == null && call.reply != null;
        if (!answer.done()) {
            if (call != null && call.reply != null) {
                call.reply.answer(503, "the store is not certain", null);
            }
            return;
        }
        storeKnown = true;
        if (answer.body() != null && answer.version() > 0) {
            publish(new Item(Kind.CONFIGURATION, "", answer.version(), answer.body(), now()));
        }
        if (call != null && call.put != null) {
            if (answer.version() == call.put.version()) {
                publish(new Item(Kind.CONFIGURATION, "", call.put.version(), call.put.body(), now()));
            }
            call.reply.answer(200, null, null);
        } else if (read) {
            if (answer.version() == 0) {
                call.reply.answer(404, "no configuration yet", null);
            } else {
                call.reply.answer(200, null, answer.body());
            }
        }
    }
}
