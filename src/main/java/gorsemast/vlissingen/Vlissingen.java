package gorsemast.vlissingen;

import gorsemast.lauwersoog.Link;
import gorsemast.lauwersoog.Links;
import gorsemast.lauwersoog.Ports;
import gorsemast.lauwersoog.Record;
import gorsemast.lauwersoog.Record.Program;
import gorsemast.marknesse.Daemon;
import gorsemast.marknesse.Log;
import gorsemast.marknesse.Seed;
import gorsemast.marknesse.Settings;
import gorsemast.transport.Transport;
import gorsemast.wilhelminadorp.Disk;
import gorsemast.wilhelminadorp.DiskException;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * The store's program: {@link Keeper} on one event loop, its disk on a thread of its own that may wait, and links to the
 * other stores and to registries.
 */
public final class Vlissingen implements Daemon, Link.Receiver, Keeper.Out {
    private static final long TICK_MICROS = 25_000;
    /** Longer than any call may take here or at the store that it is passed on to. */
    private static final long ASKED_MICROS = 6_000_000;
    private static final long DISK_AGAIN_MILLIS = 100;
    private static final String STATE = "state";
    private static final String CONFIGURATION = "configuration";
    private static final Log LOG = new Log("vlissingen");

    /** Who waits for a call's answer: a registry, or a store that passed it on. */
    private record Asker(Link link, long call, boolean put, long version, byte[] body, long known, long until) {
    }

    private final Settings settings;
    private final EventLoop loop;
    private final ExecutorService writer = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "disk");
        thread.setDaemon(true);
        return thread;
    });
    private final long origin = System.nanoTime();
    private final Links links;
    private final Map<Long, Asker> askers = new HashMap<>();
    private final Set<String> seeds = new LinkedHashSet<>();
    private long lastCall;
    private Disk disk;
    private Keeper keeper;

    /** By the platform's settings; nothing begins yet. */
    public Vlissingen(Settings settings) {
        this.settings = settings;
        this.loop = new MultiThreadIoEventLoopGroup(1, Transport.handlers()).next();
        this.links = new Links(loop, this::now, () -> new Record.Hello(Program.STORE, settings.ip(), settings.zone(),
            "", 0), this);
        settings.seeds().forEach(seed -> seeds.add(seed.getAddress().getHostAddress()));
    }

    private long now() {
        return (System.nanoTime() - origin) / 1_000;
    }

    @Override
    public void start() throws IOException {
        if (settings.dataDir() == null) {
            throw new IOException("dataDir: the store needs a disk");
        }
        disk = Disk.open(settings.dataDir());
        Saved saved = recover(disk.load());
        keeper = new Keeper(saved, Math.max(1, settings.losses()), Seed.fresh(), this);
        links.listen(Ports.STORE.at(settings, settings.ip()));
        loop.execute(this::dial);
        loop.scheduleWithFixedDelay(this::tick, TICK_MICROS, TICK_MICROS, TimeUnit.MICROSECONDS);
    }

    private Saved recover(Map<String, byte[]> records) throws IOException {
        if (records.containsKey(STATE) && records.containsKey(CONFIGURATION)) {
            Saved saved = Saved.of(records.get(STATE), records.get(CONFIGURATION));
            LOG.info("has version " + Long.toHexString(saved.kept().version()) + " of epoch " + saved.kept().epoch()
                + ", promised " + saved.promised());
            return saved;
        }
        // Only on the first start of all is an empty disk as it should be; any other one belongs to a new member.
        String life = settings.firstBoot() ? "0" : Long.toHexString(Seed.fresh());
        List<Member> members = new ArrayList<>();
        if (settings.firstBoot()) {
            seeds.forEach(ip -> members.add(new Member(ip + "#0", ip)));
        } else {
            LOG.warn("has an empty disk and asks to be taken in");
        }
        Saved fresh = new Saved(new Member(settings.ip() + "#" + life, settings.ip()), 0, Keeper.first(members), Kept.NONE);
        disk.save(Map.of(STATE, fresh.state(), CONFIGURATION, fresh.configuration()));
        return fresh;
    }

    @Override
    public void reload(Settings changed) {
        loop.execute(() -> {
            changed.seeds().forEach(seed -> seeds.add(seed.getAddress().getHostAddress()));
            dial();
        });
    }

    @Override
    public void stop() {
        writer.shutdown();
        try {
            if (writer.awaitTermination(1, TimeUnit.SECONDS)) {
                disk.close();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void tick() {
        try {
            long now = now();
            keeper.tick(now);
            askers.values().removeIf(asker -> now > asker.until); // whoever it was passed on to did not answer
            dial();
        } catch (RuntimeException e) {
            LOG.fault(e);
        }
    }

    private void dial() {
        Set<InetSocketAddress> wanted = new LinkedHashSet<>();
        seeds.forEach(ip -> wanted.add(Ports.STORE.at(settings, ip)));
        keeper.known().forEach(member -> wanted.add(Ports.STORE.at(settings, member.ip())));
        wanted.remove(Ports.STORE.at(settings, settings.ip()));
        links.keep(wanted);
    }

    // ---- links

    @Override
    public void up(Link link) {
        if (link.peer().program() == Program.STORE) {
            link.send(new Record.Between(keeper.greeting()));
        } else if (link.peer().ip().equals(settings.ip())) {
            committed(keeper.kept()); // so that edges that start have something at once, whatever an election takes
        }
    }

    @Override
    public void down(Link link) {
        askers.values().removeIf(asker -> asker.link == link);
    }

    @Override
    public void received(Link link, Record record) {
        if (record instanceof Record.Between between) {
            keeper.message(now(), between.message());
        } else if (record instanceof Record.Put put) {
            long call = ++lastCall;
            askers.put(call, new Asker(link, put.call(), true, put.version(), put.body(), 0, now() + ASKED_MICROS));
            keeper.put(now(), call, put.version(), put.body());
        } else if (record instanceof Record.Get get) {
            long call = ++lastCall;
            askers.put(call, new Asker(link, get.call(), false, 0, null, get.known(), now() + ASKED_MICROS));
            keeper.get(now(), call);
        } else if (record instanceof Record.Answer answer) {
            Asker asker = askers.remove(answer.call());
            if (asker != null) {
                asker.link.send(new Record.Answer(asker.call, answer.done(), answer.version(), answer.body()));
            }
        }
    }

    private Link to(String ip) {
        for (Link link : links.up(Program.STORE)) {
            if (link.peer().ip().equals(ip)) {
                return link;
            }
        }
        return null;
    }

    // ---- what the keeper wants done

    @Override
    public void send(Member member, Message message) {
        Link link = to(member.ip());
        if (link != null) {
            link.send(new Record.Between(message));
        }
    }

    @Override
    public void save(Saved state, boolean keptToo, long token) {
        byte[] record = state.state();
        byte[] kept = keptToo ? state.configuration() : null;
        writer.execute(() -> {
            while (true) {
                try {
                    disk.save(kept == null ? Map.of(STATE, record) : Map.of(STATE, record, CONFIGURATION, kept));
                    break;
                } catch (DiskException e) {
                    LOG.warn("can't write, tries again: " + e.getMessage());
                    pause();
                } catch (Error e) {
                    LOG.fault(e);
                    throw e;
                }
            }
            loop.execute(() -> keeper.saved(now(), token));
        });
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(DISK_AGAIN_MILLIS); // on the disk's own thread, which has nothing else to do
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void answer(long call, boolean done, Kept kept) {
        Asker asker = askers.remove(call);
        if (asker != null) {
            boolean body = done && !asker.put && kept.version() != asker.known;
            asker.link.send(new Record.Answer(asker.call, done, kept.version(), body ? kept.body() : null));
        }
    }

    @Override
    public void forward(long call, Member primary) {
        Asker asker = askers.get(call);
        Link link = to(primary.ip());
        if (asker == null) {
            return;
        }
        if (link == null) {
            answer(call, false, Kept.NONE);
        } else if (asker.put) {
            link.send(new Record.Put(call, asker.version, asker.body));
        } else {
            link.send(new Record.Get(call, asker.known));
        }
    }

    @Override
    public void committed(Kept kept) {
        if (kept.version() > 0) {
            for (Link link : links.up(Program.REGISTRY)) {
                link.send(new Record.Answer(0, true, kept.version(), kept.body()));
            }
        }
    }

    @Override
    public void log(String sentence) {
        LOG.info(sentence);
    }
}
