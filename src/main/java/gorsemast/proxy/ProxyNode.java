package gorsemast.proxy;

import gorsemast.cache.HomeSelector;
import gorsemast.configuration.Configuration;
import gorsemast.configuration.ConfigurationException;
import gorsemast.configuration.ContentDigest;
import gorsemast.gossip.Entry;
import gorsemast.gossip.Entry.Kind;
import gorsemast.gossip.GossipState;
import gorsemast.gossip.Hash;
import gorsemast.gossip.MachineInfo;
import gorsemast.gossip.ServerInfo;
import gorsemast.gossip.SpeedReport;
import gorsemast.logging.Log;
import gorsemast.peer.Gossip;
import gorsemast.peer.Neighbour;
import gorsemast.peer.Neighbours;
import gorsemast.peer.PeerMessage;
import gorsemast.peer.PeerMessage.Program;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Holds what an edge knows apart from its own traffic: the newest configuration, servers, purges and other machines,
 * and decides which processes to link to for updates. No I/O, no own clock, no threads; changes are reported to a
 * {@link Listener}.
 *
 * <p>Links go to a few registries and other edges, chosen by rendezvous hashing, independent of the number of
 * machines. The node is ready once it holds what a synced registry holds. Single-threaded; times in microseconds.
 */
public final class ProxyNode {
    /** Interval at which {@link #tick} must be called. */
    public static final long TICK_MICROS = 250_000;
    /**
     * How often observed server speeds are published. With more than {@link #EDGES_PER_SPEED_REPORT_INTERVAL} edges
     * the interval grows, so that the total rate stays the same.
     */
    private static final long SPEED_REPORT_INTERVAL_MICROS = 1_000_000;

    private static final int EDGES_PER_SPEED_REPORT_INTERVAL = 20;
    /** How often the log repeats why the edge is not ready. */
    private static final long NOT_READY_LOG_INTERVAL_MICROS = 3_000_000;

    /** A registry that is reachable and synced confirms the configuration within this time. */
    private static final long CONFIRMATION_TIMEOUT_MICROS = 1_000_000;

    private static final Log LOG = new Log("proxy");

    /** Receives changes. Called on the caller's thread, after an update has been merged. */
    public interface Listener {
        /** The configuration or the number of edges that share the servers has changed. */
        void configurationChanged(Configuration configuration, int edges);

        /**
         * The servers have changed.
         *
         * @param serversByService servers by service, for services that the configuration knows or knew
         * @param coldUntil end of the warm-up by server id
         */
        void serversChanged(Map<String, List<ServerInfo>> serversByService, Map<String, Long> coldUntil);

        /** A purge was received. */
        void purged(Entry purge);

        /** The server speeds observed by all edges together. */
        void speedsReceived(Map<String, double[]> pooled);

        /** Runs a task after the current update has been processed. */
        void runAfterwards(Runnable task);
    }

    private final String ip;
    private final String zone;
    private final int maxLinkedRegistries;
    private final int maxLinkedEdges;
    private final long incarnation;
    private final long startedAt;
    private final LongSupplier clock;
    private final Neighbours neighbours;
    private final Supplier<Map<String, double[]>> ownSpeeds;
    private final Listener listener;
    private final GossipState gossipState = new GossipState();
    private final HomeSelector homes;
    private final Gossip gossip;
    private final StateFreshness freshness;
    private final RegistryMonitor registryMonitor = new RegistryMonitor();
    private final RegistrySelector registrySelector;
    private final Map<String, Long> coldUntil = new HashMap<>();
    private final Set<String> seeds = new LinkedHashSet<>();
    private final Set<String> services = new LinkedHashSet<>();
    private Configuration configuration;
    /** When the first configuration was received. */
    private long firstConfiguredAt;
    /** Digest of the active configuration. */
    private ContentDigest contentDigest;

    private boolean serversDirty;
    private boolean edgesDirty;
    /**
     * Edges that are up, with their zones; null where they must be computed again. The same holds for {@link
     * #linkedEdges}.
     */
    private Map<String, String> upEdges;

    private Set<String> linkedEdges;
    private long nextSpeedReportAt;
    private long nextNotReadyLogAt;
    private boolean ready;

    /**
     * Creates the node of one process.
     *
     * @param maxLinkedRegistries registries to link to
     * @param maxLinkedEdges other edges to link to
     * @param incarnation higher for a later start of the machine
     * @param configApplyMicros how long after its acknowledgement a configuration must be in force
     * @param ownSpeeds server speeds observed by this edge, in the format of {@link SpeedReport}
     */
    public ProxyNode(
            String ip,
            String zone,
            int maxLinkedRegistries,
            int maxLinkedEdges,
            long incarnation,
            long configApplyMicros,
            Set<String> seeds,
            LongSupplier clock,
            Neighbours neighbours,
            Supplier<Map<String, double[]>> ownSpeeds,
            Listener listener) {
        this.ip = ip;
        this.zone = zone;
        this.maxLinkedRegistries = maxLinkedRegistries;
        this.maxLinkedEdges = maxLinkedEdges;
        this.incarnation = incarnation;
        this.clock = clock;
        this.startedAt = clock.getAsLong();
        this.nextNotReadyLogAt = startedAt + NOT_READY_LOG_INTERVAL_MICROS;
        this.neighbours = neighbours;
        this.ownSpeeds = ownSpeeds;
        this.listener = listener;
        this.homes = new HomeSelector(ip, zone);
        this.gossip = new Gossip(
                Program.PROXY,
                gossipState,
                neighbours,
                clock,
                () -> ready,
                () -> PeerMessage.Digest.UNKNOWN_AGE,
                this::changed);
        this.freshness = new StateFreshness(startedAt, configApplyMicros);
        this.registrySelector = new RegistrySelector(ip, maxLinkedRegistries, startedAt, registryMonitor);
        this.seeds.addAll(seeds);
    }

    /** The handshake message for each link. */
    public PeerMessage.Hello hello() {
        return new PeerMessage.Hello(Program.PROXY, ip, zone, "", incarnation);
    }

    /** The replicated entries; read-only for callers. */
    public GossipState gossipState() {
        return gossipState;
    }

    /** Determines the home edges of objects. */
    public HomeSelector homes() {
        return homes;
    }

    /** The newest configuration; null before the first one. */
    public Configuration configuration() {
        return configuration;
    }

    /** Whether the configuration is known to be the newest. */
    public ConfigurationStatus configurationStatus() {
        recordRunning();
        if (configuration == null) {
            return ConfigurationStatus.ABSENT;
        }
        long now = clock.getAsLong();
        boolean mayBeConfirmed =
                ready ? freshness.isCatchingUp(now) : now - firstConfiguredAt < CONFIRMATION_TIMEOUT_MICROS;
        if (mayBeConfirmed && !gossip.registryUnsynced()) {
            return ConfigurationStatus.CHECKING;
        }
        return ready && freshness.isConfigurationCurrent(now)
                ? ConfigurationStatus.CONFIRMED
                : ConfigurationStatus.UNCONFIRMED;
    }

    /** Describes, for the log, which configuration is active and how long ago it was known to be the newest. */
    public String describeConfiguration() {
        String version = configuration == null ? "none" : Long.toHexString(configuration.version());
        return "configuration " + version + ", " + freshness.describe(clock.getAsLong());
    }

    private void recordRunning() {
        if (freshness.recordRunning(clock.getAsLong())) {
            LOG.info("resumed with " + describeConfiguration());
            registryMonitor.resume(clock.getAsLong());
            gossip.requestConfirmations();
        }
    }

    /** Whether the node holds, or once held, what a synced registry holds. */
    public boolean ready() {
        return ready;
    }

    /** Adds addresses of core machines. */
    public void addSeeds(Set<String> addresses) {
        seeds.addAll(addresses);
    }

    /** Performs the periodic work; must be called every {@link #TICK_MICROS}. */
    public void tick() {
        recordRunning();
        long now = clock.getAsLong();
        homes.updateEdges(edgesUp());
        registryMonitor.update(now, linkedRegistries());
        gossip.tick();
        publishSpeeds(now);
        gossipState.removeExpired(now);
        notifyServers();
        becomeReady();
        if (!ready && now >= nextNotReadyLogAt && gossip.registryUnsynced()) {
            nextNotReadyLogAt = now + NOT_READY_LOG_INTERVAL_MICROS;
            LOG.warn("not ready: no reachable registry is synced");
        }
    }

    private void becomeReady() {
        if (!ready && configuration != null && gossip.caughtUp()) {
            ready = true;
            LOG.info("ready with configuration version " + Long.toHexString(configuration.version()));
        }
    }

    private void publishSpeeds(long now) {
        if (now < nextSpeedReportAt) {
            return;
        }
        nextSpeedReportAt =
                now + SPEED_REPORT_INTERVAL_MICROS * Math.max(1, homes.edgeCount() / EDGES_PER_SPEED_REPORT_INTERVAL);
        Map<String, double[]> speeds = ownSpeeds.get();
        if (!speeds.isEmpty()) {
            gossip.publish(new SpeedReport(ip, speeds).toEntry(now, incarnation + (now - startedAt) / 1_000));
        }
    }

    private Set<String> linkedRegistries() {
        Set<String> linked = new LinkedHashSet<>();
        neighbours
                .connected(Program.REGISTRY)
                .forEach(one -> linked.add(one.hello().ip()));
        return linked;
    }

    /** Addresses of the machines whose registries this edge should be linked to. */
    public Set<String> targetRegistries() {
        Set<String> cores = new LinkedHashSet<>();
        for (Entry entry : gossipState.all(Kind.CORE)) {
            MachineInfo machine = MachineInfo.fromEntry(entry);
            if (machine != null && machine.up()) {
                cores.add(machine.ip());
            }
        }
        Set<String> linked = linkedRegistries();
        long now = clock.getAsLong();
        // At first few core machines are known: the configured seeds are tried until enough are connected.
        boolean needsSeeds =
                cores.isEmpty() || linked.size() < maxLinkedRegistries || registrySelector.isSearching(now, linked);
        return registrySelector.select(now, cores, needsSeeds ? seeds : Set.of(), linked);
    }

    /** Addresses of the other edges that this edge should be linked to. */
    public Set<String> targetEdges() {
        if (linkedEdges == null) {
            Set<String> edges = new LinkedHashSet<>(edgesUp().keySet());
            edges.remove(ip);
            linkedEdges =
                    new LinkedHashSet<>(Hash.ranked(ip, edges).subList(0, Math.min(maxLinkedEdges, edges.size())));
        }
        return linkedEdges;
    }

    // ---- updates

    private void changed(Entry entry) {
        switch (entry.kind()) {
            case CONFIGURATION -> applyConfiguration(entry);
            case SERVER -> {
                ServerInfo server = ServerInfo.fromEntry(entry);
                if (server != null && server.warmupMicros() > 0 && !coldUntil.containsKey(server.id())) {
                    coldUntil.put(server.id(), entry.createdAt() + server.warmupMicros());
                }
                if (!serversDirty) {
                    serversDirty = true;
                    // Several changes in one message cause one notification.
                    listener.runAfterwards(this::notifyServers);
                }
            }
            case PURGE -> listener.purged(entry);
            case EDGE -> {
                upEdges = null;
                linkedEdges = null;
                if (!edgesDirty) {
                    edgesDirty = true;
                    listener.runAfterwards(this::notifyEdges); // many edges change at once when a whole fleet starts
                }
            }
            default -> {
                // the next tick updates the links
            }
        }
    }

    private void applyConfiguration(Entry entry) {
        if (entry != gossipState.get(Kind.CONFIGURATION, "")
                || entry.origin().digest().equals(contentDigest)) {
            return; // superseded by an entry of the same message, or the active content confirmed in a later term
        }
        try {
            Configuration next = Configuration.parse(entry.body());
            firstConfiguredAt = configuration == null ? clock.getAsLong() : firstConfiguredAt;
            configuration = next;
            contentDigest = entry.origin().digest();
            LOG.info("applied configuration version " + Long.toHexString(next.version()) + " of term "
                    + entry.origin().term());
            notifyConfiguration();
            serversDirty = true;
            notifyServers();
        } catch (ConfigurationException e) {
            LOG.warn("received an invalid configuration: " + e.getMessage());
        }
    }

    private void notifyConfiguration() {
        homes.updateEdges(edgesUp());
        listener.configurationChanged(configuration, homes.edgeCount());
    }

    private void notifyEdges() {
        edgesDirty = false;
        if (configuration != null) {
            notifyConfiguration();
            serversDirty = true;
            notifyServers();
        }
    }

    private void notifyServers() {
        if (!serversDirty || configuration == null) {
            return;
        }
        serversDirty = false;
        Map<String, List<ServerInfo>> serversByService = new HashMap<>();
        // Requests in progress to a removed service still need its servers.
        services.addAll(configuration.services().keySet());
        services.forEach(service -> serversByService.put(service, new ArrayList<>()));
        for (Entry entry : gossipState.all(Kind.SERVER)) {
            ServerInfo server = ServerInfo.fromEntry(entry);
            if (server != null && serversByService.containsKey(server.service())) {
                serversByService.get(server.service()).add(server);
            }
        }
        long now = clock.getAsLong();
        coldUntil.values().removeIf(until -> until < now);
        listener.serversChanged(serversByService, coldUntil);
    }

    private Map<String, String> edgesUp() {
        if (upEdges != null) {
            return upEdges;
        }
        Map<String, String> edgesUp = new HashMap<>();
        for (Entry entry : gossipState.all(Kind.EDGE)) {
            MachineInfo machine = MachineInfo.fromEntry(entry);
            if (machine != null && machine.up()) {
                edgesUp.put(machine.ip(), machine.zone());
            }
        }
        upEdges = edgesUp;
        return edgesUp;
    }

    // ---- links

    /** A link to a process has been established. */
    public void up(Neighbour neighbour) {
        if (neighbour.hello().program() != Program.STORE) {
            gossip.connected(neighbour);
        }
    }

    /** A message was received from a linked process. */
    public void received(Neighbour neighbour, PeerMessage message) {
        if (message instanceof PeerMessage.ServerSpeeds pooled) {
            listener.speedsReceived(pooled.servers());
        } else {
            gossip.received(neighbour, message);
            if (message instanceof PeerMessage.Digest digest
                    && digest.inReplyTo() != 0
                    && neighbour.hello().program() == Program.REGISTRY) {
                registryMonitor.replied(neighbour.hello().ip(), digest.inReplyTo(), digest.synced(), clock.getAsLong());
            }
            freshness.recordConfirmed(gossip.configurationConfirmedAt(), gossip.stateConfirmedAt());
            becomeReady();
        }
    }
}
