package gorsemast.store;

import gorsemast.logging.Log;
import gorsemast.node.Daemon;
import gorsemast.node.RandomSeed;
import gorsemast.node.Settings;
import gorsemast.peer.Link;
import gorsemast.peer.Links;
import gorsemast.peer.Neighbour;
import gorsemast.peer.PeerMessage;
import gorsemast.peer.Ports;
import gorsemast.storage.Disk;
import gorsemast.transport.Transport;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * The store's program round its {@link StoreNode}: links to the other stores and from registries on one event loop, and the
 * disk on a thread of its own that may wait.
 */
public final class StoreProgram implements Daemon, Link.Receiver {
    private static final long DISK_AGAIN_MILLIS = 100;
    /** Where the settings name no {@code grace}. */
    private static final long GRACE_MICROS = 6_000_000;
    /** Of it, what may be waited; the rest is for the disk and the end itself. */
    private static final double GRACE_PART = 0.75;

    private static final Log LOG = new Log("store");

    private final Settings settings;
    private final EventLoop loop;
    private final ExecutorService writer = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "disk");
        thread.setDaemon(true);
        return thread;
    });
    private final long origin = System.nanoTime();
    private final Links links;
    private StoreNode teller;
    /** Set once the process is asked to end, and opened when it may; the loop's. */
    private CountDownLatch left;

    /** By the platform's settings; nothing begins yet. */
    public StoreProgram(Settings settings) {
        this.settings = settings;
        this.loop = new MultiThreadIoEventLoopGroup(1, Transport.handlers()).next();
        this.links = new Links(loop, this::now, () -> StoreNode.hello(settings.ip(), settings.zone()), this);
    }

    private long now() {
        return (System.nanoTime() - origin) / 1_000;
    }

    @Override
    public void start() throws IOException {
        if (settings.dataDir() == null) {
            throw new IOException("dataDir: the store needs a disk");
        }
        if (!settings.configMode().equals(Settings.HIGHEST)) {
            LOG.warn("configMode: keeps the highest version, not \"" + settings.configMode() + '"');
        }
        Disk disk = Disk.open(settings.dataDir(), RandomSeed.next());
        ReplicaState saved = recover(disk);
        StateWriter states =
                new StateWriter(disk::save, writer, this::onLoop, token -> teller.saved(token), StoreProgram::pause);
        teller = new StoreNode(
                settings.ip(),
                settings.seedIps(),
                saved,
                settings.tolerance(),
                new Location(settings.zone(), settings.region(), settings.lossCounted()),
                RandomSeed.next(),
                this::now,
                links,
                states::save);
        links.listen(Ports.STORE.address(settings, settings.ip()));
        loop.execute(this::tick);
        loop.scheduleWithFixedDelay(this::tick, StoreNode.TICK_MICROS, StoreNode.TICK_MICROS, TimeUnit.MICROSECONDS);
    }

    private ReplicaState recover(Disk disk) throws IOException {
        Disk.Saved records = disk.load();
        if (records != null) {
            ReplicaState saved = ReplicaState.decode(records.state(), records.configuration());
            LOG.info("has version " + Long.toHexString(saved.stored().version()) + " of term "
                    + saved.stored().term() + ", promised " + saved.promised());
            return saved;
        }
        if (!settings.firstBoot()) {
            LOG.warn("has an empty disk and asks to be taken in");
        }
        ReplicaState fresh =
                ReplicaState.initial(settings.ip(), settings.seedIps(), settings.firstBoot(), RandomSeed.next());
        disk.save(fresh.encodeState(), fresh.encodeConfiguration());
        return fresh;
    }

    @Override
    public void reload(Settings changed) {
        loop.execute(() -> {
            teller.replaceSeeds(changed.seedIps());
            dial();
        });
    }

    /** Ends once another member has its place, or nobody is there to take it; shortly before the platform's patience ends. */
    @Override
    public void stop() {
        long grace = (long) (GRACE_PART * settings.time("grace", GRACE_MICROS));
        CountDownLatch over = new CountDownLatch(1);
        loop.execute(() -> {
            teller.leave();
            left = over;
        });
        try {
            if (!over.await(grace, TimeUnit.MICROSECONDS)) {
                LOG.warn("ends without a successor: grace is over");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        writer.shutdown();
        try {
            if (!writer.awaitTermination(1, TimeUnit.SECONDS)) {
                LOG.warn("ends with a save under way");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        Daemon.shutDown(loop);
        Daemon.shutDown(writer);
    }

    private void tick() {
        try {
            teller.tick();
            dial();
            if (left != null && teller.mayStop()) {
                left.countDown();
            }
        } catch (RuntimeException e) {
            LOG.internalError(e);
        }
    }

    private void dial() {
        Set<InetSocketAddress> wanted = new LinkedHashSet<>();
        teller.peerAddresses().forEach(ip -> wanted.add(Ports.STORE.address(settings, ip)));
        links.setTargets(wanted);
    }

    // ---- links

    @Override
    public void connected(Neighbour one) {
        teller.up(one);
    }

    @Override
    public void disconnected(Neighbour one) {
        teller.down(one);
    }

    @Override
    public void received(Neighbour one, PeerMessage record) {
        teller.received(one, record);
    }

    // ---- the disk

    /** Runs a task on the loop, unless that is being closed. */
    private void onLoop(Runnable task) {
        if (!loop.isShuttingDown()) {
            loop.execute(task);
        }
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(DISK_AGAIN_MILLIS); // on the disk's own thread, which has nothing else to do
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
