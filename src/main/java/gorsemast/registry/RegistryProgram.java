package gorsemast.registry;

import gorsemast.logging.Log;
import gorsemast.node.Daemon;
import gorsemast.node.RandomSeed;
import gorsemast.node.Settings;
import gorsemast.peer.Link;
import gorsemast.peer.Links;
import gorsemast.peer.Neighbour;
import gorsemast.peer.PeerMessage;
import gorsemast.peer.Ports;
import gorsemast.transport.Transport;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The registry's program round its {@link RegistryNode}: the listener for servers and operators, links to the other registries,
 * to the store on its own machine, and from the proxies that have chosen it, and the disk. One event loop.
 */
public final class RegistryProgram implements Daemon, Link.Receiver, RegistryNode.Environment {
    private static final Log LOG = new Log("registry");

    private final Settings settings;
    private final EventLoop loop;
    private final Links links;
    private final RegistryNode office;
    private final long origin = System.nanoTime();
    private RegistryDisk disk;

    /** By the platform's settings; nothing begins yet. */
    public RegistryProgram(Settings settings) {
        this.settings = settings;
        this.loop = new MultiThreadIoEventLoopGroup(1, Transport.handlers()).next();
        this.links = new Links(loop, this::now, this::hello, this);
        this.office = new RegistryNode(
                new RegistryNode.Parameters(
                        settings.ip(),
                        settings.zone(),
                        control(),
                        System.currentTimeMillis(),
                        settings.heartbeatMicros(),
                        settings.losses(),
                        settings.firstBoot()),
                settings.seedIps(),
                settings.dataDir() != null,
                RandomSeed.next(),
                this::now,
                links,
                this);
    }

    private long now() {
        return (System.nanoTime() - origin) / 1_000;
    }

    private PeerMessage.Hello hello() {
        return office.hello();
    }

    private String control() {
        InetSocketAddress at = settings.listenAddresses().get("control");
        return at == null ? "" : at.getAddress().getHostAddress() + ":" + at.getPort();
    }

    @Override
    public void start() throws IOException {
        InetSocketAddress control = settings.listenAddresses().get("control");
        if (control == null) {
            throw new IOException("listenAddrs.control: is missing");
        }
        if (settings.dataDir() != null) {
            Files.createDirectories(settings.dataDir());
            disk = new RegistryDisk(settings.dataDir(), task -> {
                if (!loop.isShuttingDown()) {
                    loop.execute(task);
                }
            });
            office.restore(disk.snapshot(), disk.journal());
        }
        links.listen(Ports.REGISTRY.address(settings, settings.ip()));
        new ControlServer(loop, office::run).listen(control);
        loop.execute(this::tick);
        loop.scheduleWithFixedDelay(
                this::tick, RegistryNode.TICK_MICROS, RegistryNode.TICK_MICROS, TimeUnit.MICROSECONDS);
    }

    @Override
    public void reload(Settings changed) {
        loop.execute(() -> office.addSeeds(changed.seedIps()));
    }

    @Override
    public void stop() {
        // What is acknowledged is on this disk and on others already.
    }

    @Override
    public void close() {
        Daemon.shutDown(loop);
        if (disk != null) {
            disk.close();
        }
    }

    private void tick() {
        try {
            Set<InetSocketAddress> wanted = new LinkedHashSet<>();
            office.peerAddresses().forEach(ip -> wanted.add(Ports.REGISTRY.address(settings, ip)));
            wanted.add(Ports.STORE.address(settings, settings.ip()));
            links.setTargets(wanted);
            office.tick();
        } catch (RuntimeException e) {
            LOG.internalError(e);
        }
    }

    // ---- what the office wants done

    @Override
    public void schedule(long micros, Runnable task) {
        loop.schedule(task, micros, TimeUnit.MICROSECONDS);
    }

    @Override
    public void writeSnapshot(byte[] record, Consumer<Boolean> done) {
        disk.remember(record, done);
    }

    @Override
    public void append(byte[] record, Runnable synced) {
        disk.append(record, synced);
    }

    // ---- links

    @Override
    public void connected(Neighbour one) {
        office.connected(one);
    }

    @Override
    public void disconnected(Neighbour one) {
        // what it told holds on
    }

    @Override
    public void received(Neighbour one, PeerMessage record) {
        office.received(one, record);
    }
}
