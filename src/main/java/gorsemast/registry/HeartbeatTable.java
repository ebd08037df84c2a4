package gorsemast.registry;

import gorsemast.gossip.Entry;
import gorsemast.gossip.Entry.Kind;
import gorsemast.gossip.GossipState;
import gorsemast.gossip.MachineInfo;
import gorsemast.gossip.ServerInfo;
import gorsemast.gossip.ServerInfo.State;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks heartbeats of servers and links of machines, and derives the updates to publish. It stores nothing on disk;
 * {@link Outcome} says which entries must be replicated before the call is acknowledged.
 *
 * <p>A server's call sequence number orders its reports, whichever registry they reach. Only a change of state is
 * published, not each heartbeat. A server from which no registry received some heartbeats is marked silent, not gone: its
 * next heartbeat makes it ready again. O(1) per heartbeat. Times in microseconds; not thread-safe.
 */
public final class HeartbeatTable {
    /** After this many missed heartbeats a server is marked silent. */
    private static final double MISSED_HEARTBEATS = 3.5;
    /** After this time without a link an edge or a core machine is marked down. */
    static final long MACHINE_TIMEOUT_MICROS = 3_000_000;
    /** After this time without a heartbeat a draining server is marked gone. */
    private static final long DRAIN_TIMEOUT_MICROS = 30_000_000;

    private final GossipState state;
    private final long heartbeatMicros;
    private final Map<String, Long> lastHeardAt = new HashMap<>();
    private final Map<String, Long> latestSeq = new HashMap<>();
    private final Map<String, Long> unreportedSeq = new HashMap<>();
    private final Set<String> replicated = new HashSet<>();

    /** Creates a table over a gossip state that it only reads. */
    public HeartbeatTable(GossipState state, long heartbeatMicros) {
        this.state = state;
        this.heartbeatMicros = heartbeatMicros;
    }

    /** An entry to publish, and whether other registries must hold it before the call is acknowledged. */
    public record Outcome(Entry entry, boolean requiresReplication) {}

    /** Processes a heartbeat of a server; returns null if there is nothing to publish. */
    public Outcome heartbeat(long now, ServerInfo server) {
        lastHeardAt.put(server.id(), now);
        latestSeq.merge(server.id(), server.seq(), Math::max);
        unreportedSeq.put(server.id(), latestSeq.get(server.id()));
        Entry current = state.get(Kind.SERVER, server.id());
        ServerInfo known = current == null ? null : ServerInfo.fromEntry(current);
        if (known != null && known.state() == State.GONE) {
            // A late heartbeat of a server that has left: its drain is acknowledged once its departure is replicated.
            return server.state() == State.DRAINING && !isReplicated(current) ? new Outcome(current, true) : null;
        }
        Entry entry = server.toEntry(now);
        if (known != null
                && (current.stamp() >= entry.stamp()
                        || known.state() == server.state()
                                && known.address().equals(server.address())
                                && known.service().equals(server.service()))) {
            boolean awaitsReplication =
                    known.state() == State.DRAINING && server.state() == State.DRAINING && !isReplicated(current);
            return awaitsReplication ? new Outcome(current, true) : null;
        }
        return new Outcome(entry, server.state() == State.DRAINING);
    }

    /** Processes a deregistration; returns null if the departure is already replicated. */
    public Outcome deregister(long now, String id) {
        Entry current = state.get(Kind.SERVER, id);
        ServerInfo known = current == null ? null : ServerInfo.fromEntry(current);
        ServerInfo departed = known == null
                ? new ServerInfo(id, "", "", "", 1, State.GONE, 0, 0)
                : known.withState(State.GONE, known.seq());
        if (known != null && known.state() == State.GONE) {
            return isReplicated(current) ? null : new Outcome(current, true);
        }
        return new Outcome(departed.toEntry(now), true);
    }

    private boolean isReplicated(Entry entry) {
        return replicated.contains(entry.key() + entry.stamp());
    }

    /** Notes that other registries hold the entry of this key and stamp. */
    public void markReplicated(String key, long stamp) {
        replicated.add(key + stamp);
    }

    /** Notes that another registry recently received a heartbeat of this server or machine. */
    public void heartbeatAtPeer(long now, String id, long seq) {
        Long known = latestSeq.get(id);
        if (known == null || seq > known || seq == 0) {
            latestSeq.put(id, seq);
            lastHeardAt.put(id, now);
        }
    }

    /** Returns the sequence numbers of heartbeats received here since the last call of this method. */
    public Map<String, Long> takeLocalHeartbeats() {
        Map<String, Long> reported = new HashMap<>(unreportedSeq);
        unreportedSeq.clear();
        return reported;
    }

    /** Notes that a machine has a link to this registry; returns the entry to publish, or null. */
    public Entry machineConnected(
            long now, Kind kind, String ip, String zone, String controlAddress, long incarnation) {
        String key = kind + ip;
        lastHeardAt.put(key, now);
        unreportedSeq.put(key, 0L);
        Entry current = state.get(kind, ip);
        MachineInfo known = current == null ? null : MachineInfo.fromEntry(current);
        if (known != null && known.up() && known.incarnation() >= incarnation) {
            return null;
        }
        long nextIncarnation = known == null ? incarnation : Math.max(incarnation, known.incarnation() + 1);
        return new MachineInfo(ip, zone, controlAddress, true, nextIncarnation).toEntry(kind, now);
    }

    /** Returns updates for servers and machines that timed out; only for the registry elected by a majority to publish them. */
    public List<Entry> detectSilent(long now) {
        List<Entry> updates = new ArrayList<>();
        for (Entry entry : state.all(Kind.SERVER)) {
            ServerInfo server = ServerInfo.fromEntry(entry);
            long silentFor = now - lastHeardAt.computeIfAbsent(entry.key(), key -> now);
            if (server == null) {
                continue;
            }
            long seq = Math.max(server.seq(), latestSeq.getOrDefault(entry.key(), 0L));
            if (server.state() == State.READY && silentFor > MISSED_HEARTBEATS * heartbeatMicros) {
                updates.add(server.withState(State.SILENT, seq).toEntry(now));
            } else if (server.state() == State.DRAINING && silentFor > DRAIN_TIMEOUT_MICROS) {
                updates.add(server.withState(State.GONE, seq).toEntry(now));
            }
        }
        for (Kind kind : List.of(Kind.EDGE, Kind.CORE)) {
            for (Entry entry : state.all(kind)) {
                MachineInfo machine = MachineInfo.fromEntry(entry);
                if (machine != null
                        && machine.up()
                        && now - lastHeardAt.computeIfAbsent(kind + entry.key(), key -> now) > MACHINE_TIMEOUT_MICROS) {
                    updates.add(new MachineInfo(
                                    machine.ip(),
                                    machine.zone(),
                                    machine.controlAddress(),
                                    false,
                                    machine.incarnation())
                            .toEntry(kind, now));
                }
            }
        }
        return updates;
    }

    /** Removes what the gossip state no longer has. */
    public void removeForgotten() {
        Set<String> knownKeys = new HashSet<>();
        state.all(Kind.SERVER).forEach(entry -> knownKeys.add(entry.key()));
        for (Kind kind : List.of(Kind.EDGE, Kind.CORE)) {
            state.all(kind).forEach(entry -> knownKeys.add(kind + entry.key()));
        }
        lastHeardAt.keySet().retainAll(knownKeys);
        latestSeq.keySet().retainAll(knownKeys);
        Set<String> currentVersions = new HashSet<>();
        state.all(Kind.SERVER).forEach(entry -> currentVersions.add(entry.key() + entry.stamp()));
        replicated.retainAll(currentVersions);
    }
}
