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
 * What a registry makes of beats and of silence. Keeps nothing on disk itself; what has to be there before it is
 * acknowledged is said by {@link Outcome}.
 *
 * <p><b>Idea.</b> The count of calls orders what a server tells, whichever registry it reaches; a state becomes news
 * when it changes, a beat alone does not. Who is not heard by any registry for some beats is taken for silent, not for
 * gone: its next beat brings it back. O(1) a beat. Times in microseconds; one thread.
 */
public final class HeartbeatTable {
    /** After so many beats that did not come a server is taken for silent. */
    private static final double MISSED = 3.5;
    /** After so long without a link an edge or a core machine is taken for down. */
    static final long DOWN_MICROS = 3_000_000;
    /** A draining server that is not heard of any more has gone. */
    private static final long DRAINED_MICROS = 30_000_000;

    private final GossipState board;
    private final long beatMicros;
    private final Map<String, Long> heard = new HashMap<>();
    private final Map<String, Long> told = new HashMap<>();
    private final Map<String, Long> sinceTold = new HashMap<>();
    private final Set<String> safe = new HashSet<>();

    /** Over a board that it only reads. */
    public HeartbeatTable(GossipState board, long beatMicros) {
        this.board = board;
        this.beatMicros = beatMicros;
    }

    /** What is to be published for a beat, and whether others must hold it first. */
    public record Outcome(Entry entry, boolean requiresReplication) {}

    /** A server's own beat. Null where it is no news. */
    public Outcome heartbeat(long now, ServerInfo server) {
        heard.put(server.id(), now);
        told.merge(server.id(), server.seq(), Math::max);
        sinceTold.put(server.id(), told.get(server.id()));
        Entry held = board.get(Kind.SERVER, server.id());
        ServerInfo known = held == null ? null : ServerInfo.fromEntry(held);
        if (known != null && known.state() == State.GONE) {
            // It has left; this came late. What it asks for holds once its departure does.
            return server.state() == State.DRAINING && !safe(held) ? new Outcome(held, true) : null;
        }
        Entry item = server.toEntry(now);
        if (known != null
                && (held.stamp() >= item.stamp()
                        || known.state() == server.state()
                                && known.address().equals(server.address())
                                && known.service().equals(server.service()))) {
            boolean unsafe = known.state() == State.DRAINING && server.state() == State.DRAINING && !safe(held);
            return unsafe ? new Outcome(held, true) : null;
        }
        return new Outcome(item, server.state() == State.DRAINING);
    }

    /** A server has left. Null where all know. */
    public Outcome deregister(long now, String id) {
        Entry held = board.get(Kind.SERVER, id);
        ServerInfo known = held == null ? null : ServerInfo.fromEntry(held);
        ServerInfo gone = known == null
                ? new ServerInfo(id, "", "", "", 1, State.GONE, 0, 0)
                : known.withState(State.GONE, known.seq());
        if (known != null && known.state() == State.GONE) {
            return safe(held) ? null : new Outcome(held, true);
        }
        return new Outcome(gone.toEntry(now), true);
    }

    private boolean safe(Entry item) {
        return safe.contains(item.key() + item.stamp());
    }

    /** Others hold this. */
    public void markReplicated(String key, long stamp) {
        safe.add(key + stamp);
    }

    /** Another registry has heard this one of late. */
    public void heartbeatAtPeer(long now, String id, long seq) {
        Long known = told.get(id);
        if (known == null || seq > known || seq == 0) {
            told.put(id, seq);
            heard.put(id, now);
        }
    }

    /** What was heard here since this was last asked. */
    public Map<String, Long> takeLocalHeartbeats() {
        Map<String, Long> all = new HashMap<>(sinceTold);
        sinceTold.clear();
        return all;
    }

    /** A machine that has a link to this registry now. Returns what is to be published, null for nothing. */
    public Entry machineConnected(long now, Kind kind, String ip, String zone, String control, long life) {
        String key = kind + ip;
        heard.put(key, now);
        sinceTold.put(key, 0L);
        Entry held = board.get(kind, ip);
        MachineInfo known = held == null ? null : MachineInfo.fromEntry(held);
        if (known != null && known.up() && known.incarnation() >= life) {
            return null;
        }
        long next = known == null ? life : Math.max(life, known.incarnation() + 1);
        return new MachineInfo(ip, zone, control, true, next).toEntry(kind, now);
    }

    /** What has been silent for too long; only for who can tell that, as it reaches most of the others. */
    public List<Entry> detectSilent(long now) {
        List<Entry> found = new ArrayList<>();
        for (Entry item : board.all(Kind.SERVER)) {
            ServerInfo server = ServerInfo.fromEntry(item);
            long quiet = now - heard.computeIfAbsent(item.key(), key -> now);
            if (server == null) {
                continue;
            }
            long seq = Math.max(server.seq(), told.getOrDefault(item.key(), 0L));
            if (server.state() == State.READY && quiet > MISSED * beatMicros) {
                found.add(server.withState(State.SILENT, seq).toEntry(now));
            } else if (server.state() == State.DRAINING && quiet > DRAINED_MICROS) {
                found.add(server.withState(State.GONE, seq).toEntry(now));
            }
        }
        for (Kind kind : List.of(Kind.EDGE, Kind.CORE)) {
            for (Entry item : board.all(kind)) {
                MachineInfo machine = MachineInfo.fromEntry(item);
                if (machine != null
                        && machine.up()
                        && now - heard.computeIfAbsent(kind + item.key(), key -> now) > DOWN_MICROS) {
                    found.add(new MachineInfo(
                                    machine.ip(),
                                    machine.zone(),
                                    machine.controlAddress(),
                                    false,
                                    machine.incarnation())
                            .toEntry(kind, now));
                }
            }
        }
        return found;
    }

    /** Forgets what the board has forgotten. */
    public void removeForgotten() {
        Set<String> known = new HashSet<>();
        board.all(Kind.SERVER).forEach(item -> known.add(item.key()));
        for (Kind kind : List.of(Kind.EDGE, Kind.CORE)) {
            board.all(kind).forEach(item -> known.add(kind + item.key()));
        }
        heard.keySet().retainAll(known);
        told.keySet().retainAll(known);
        Set<String> held = new HashSet<>();
        board.all(Kind.SERVER).forEach(item -> held.add(item.key() + item.stamp()));
        safe.retainAll(held);
    }
}
