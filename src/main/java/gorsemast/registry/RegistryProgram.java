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
 * The registry process around a {@link RegistryNode}: the HTTP server for servers and operators, the disk, and the links to
 * other registries, to the store on its machine, and from the proxies that chose it. Runs on one event loop.
 */
public final class RegistryProgram implements Daemon, Link.Receiver, RegistryNode.Environment {
    private static final Log LOG = new Log("registry");

    private final Settings settings;
    private final EventLoop loop;
    private final Links links;
    private final RegistryNode node;
    private final long startNanos = System.nanoTime();
    private RegistryDisk disk;

    /** Creates the process from the platform's settings; {@link #start} starts it. */
    public RegistryProgram(Settings settings) {
        this.settings = settings;
        this.loop = new MultiThreadIoEventLoopGroup(1, Transport.handlers()).next();
        this.links = new Links(loop, this::now, this::hello, this);
        this.node = new RegistryNode(
                new RegistryNode.Parameters(
                        settings.ip(),
                        settings.zone(),
                        controlAddress(),
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
        return (System.nanoTime() - startNanos) / 1_000;
    }

    private PeerMessage.Hello hello() {
        return node.hello();
    }

    private String controlAddress() {
        InetSocketAddress address = settings.listenAddresses().get("control");
        return address == null ? "" : address.getAddress().getHostAddress() + ":" + address.getPort();
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
            node.restore(disk.snapshot(), disk.journal());
        }
        links.listen(Ports.REGISTRY.address(settings, settings.ip()));
        new ControlServer(loop, node::execute).listen(control);
        loop.execute(this::tick);
        loop.scheduleWithFixedDelay(
                this::tick, RegistryNode.TICK_MICROS, RegistryNode.TICK_MICROS, TimeUnit.MICROSECONDS);
    }

    @Override
    public void reload(Settings changed) {
        loop.execute(() -> node.addSeeds(changed.seedIps()));
    }

    @Override
    public void stop() {
        // Nothing to do: acknowledged commands are already on this disk and on others.
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
            Set<InetSocketAddress> targets = new LinkedHashSet<>();
            node.peerAddresses().forEach(ip -> targets.add(Ports.REGISTRY.address(settings, ip)));
            targets.add(Ports.STORE.address(settings, settings.ip()));
            links.setTargets(targets);
            node.tick();
        } catch (RuntimeException e) {
            LOG.internalError(e);
        }
    }

    // ---- environment of the node

    @Override
    public void schedule(long micros, Runnable task) {
        loop.schedule(task, micros, TimeUnit.MICROSECONDS);
    }

    @Override
    public void writeSnapshot(byte[] record, Consumer<Boolean> done) {
        disk.writeSnapshot(record, done);
    }

    @Override
    public void append(byte[] record, Runnable synced) {
        disk.append(record, synced);
    }

    // ---- links

    @Override
    public void connected(Neighbour neighbour) {
        node.connected(neighbour);
    }

    @Override
    public void disconnected(Neighbour neighbour) {
        // nothing to do: its updates stay valid
    }

    @Override
    public void received(Neighbour neighbour, PeerMessage message) {
        node.received(neighbour, message);
    }
}
