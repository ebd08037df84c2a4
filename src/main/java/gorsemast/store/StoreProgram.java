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
 * The store process around its {@link StoreNode}: links to the other stores and from registries on one event loop, and
 * the disk on a thread of its own that may block.
 */
public final class StoreProgram implements Daemon, Link.Receiver {
    private static final long DISK_RETRY_MILLIS = 100;
    /** Used where the settings have no {@code grace}. */
    private static final long DEFAULT_GRACE_MICROS = 6_000_000;
    /** The share of the grace period that may be spent waiting; the rest is for the disk and for closing. */
    private static final double HANDOVER_SHARE_OF_GRACE = 0.75;

    private static final Log LOG = new Log("store");

    private final Settings settings;
    private final EventLoop loop;
    private final ExecutorService diskExecutor = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "disk");
        thread.setDaemon(true);
        return thread;
    });
    private final long clockStart = System.nanoTime();
    private final Links links;
    private StoreNode node;
    /** Set once the process is asked to end and released when it may; used on the loop only. */
    private CountDownLatch mayStop;

    /** Creates the process from the platform's settings without starting anything. */
    public StoreProgram(Settings settings) {
        this.settings = settings;
        this.loop = new MultiThreadIoEventLoopGroup(1, Transport.handlers()).next();
        this.links = new Links(loop, this::now, () -> StoreNode.hello(settings.ip(), settings.zone()), this);
    }

    private long now() {
        return (System.nanoTime() - clockStart) / 1_000;
    }

    @Override
    public void start() throws IOException {
        if (settings.dataDir() == null) {
            throw new IOException("dataDir: the store needs a disk");
        }
        if (!settings.configMode().equals(Settings.HIGHEST)) {
            LOG.warn("configMode: stores the highest version, not \"" + settings.configMode() + '"');
        }
        Disk disk = Disk.open(settings.dataDir(), RandomSeed.next());
        ReplicaState saved = recover(disk);
        StateWriter states = new StateWriter(
                disk::save, diskExecutor, this::onLoop, token -> node.saved(token), StoreProgram::pauseBeforeRetry);
        node = new StoreNode(
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
            LOG.info("starts with version " + Long.toHexString(saved.stored().version()) + " of term "
                    + saved.stored().term() + ", promised term " + saved.promised());
            return saved;
        }
        if (!settings.firstBoot()) {
            LOG.warn("has an empty disk and asks to become a member");
        }
        ReplicaState fresh =
                ReplicaState.initial(settings.ip(), settings.seedIps(), settings.firstBoot(), RandomSeed.next());
        disk.save(fresh.encodeState(), fresh.encodeConfiguration());
        return fresh;
    }

    @Override
    public void reload(Settings changed) {
        loop.execute(() -> {
            node.replaceSeeds(changed.seedIps());
            updateLinks();
        });
    }

    /** Returns once a successor has taken over or there is none, at the latest shortly before the grace period ends. */
    @Override
    public void stop() {
        long grace = (long) (HANDOVER_SHARE_OF_GRACE * settings.time("grace", DEFAULT_GRACE_MICROS));
        CountDownLatch released = new CountDownLatch(1);
        loop.execute(() -> {
            node.leave();
            mayStop = released;
        });
        try {
            if (!released.await(grace, TimeUnit.MICROSECONDS)) {
                LOG.warn("stops without a successor: the grace period is over");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        diskExecutor.shutdown();
        try {
            if (!diskExecutor.awaitTermination(1, TimeUnit.SECONDS)) {
                LOG.warn("stops with a save under way");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        Daemon.shutDown(loop);
        Daemon.shutDown(diskExecutor);
    }

    private void tick() {
        try {
            node.tick();
            updateLinks();
            if (mayStop != null && node.mayStop()) {
                mayStop.countDown();
            }
        } catch (RuntimeException e) {
            LOG.internalError(e);
        }
    }

    private void updateLinks() {
        Set<InetSocketAddress> peers = new LinkedHashSet<>();
        node.peerAddresses().forEach(ip -> peers.add(Ports.STORE.address(settings, ip)));
        links.setTargets(peers);
    }

    // ---- links

    @Override
    public void connected(Neighbour peer) {
        node.up(peer);
    }

    @Override
    public void disconnected(Neighbour peer) {
        node.down(peer);
    }

    @Override
    public void received(Neighbour peer, PeerMessage message) {
        node.received(peer, message);
    }

    // ---- disk

    /** Runs a task on the loop, unless that is shutting down. */
    private void onLoop(Runnable task) {
        if (!loop.isShuttingDown()) {
            loop.execute(task);
        }
    }

    private static void pauseBeforeRetry() {
        try {
            TimeUnit.MILLISECONDS.sleep(DISK_RETRY_MILLIS); // on the disk's own thread, which has no other work
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
