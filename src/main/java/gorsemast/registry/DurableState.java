package gorsemast.registry;

import gorsemast.gossip.Entry;
import gorsemast.gossip.GossipState;
import gorsemast.logging.Log;
import gorsemast.peer.PeerMessage;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps the gossip state on this machine's disk: a journal for entries that must be synced before they are confirmed, and
 * a snapshot of the whole state, which supersedes earlier journal records. The snapshot also records whether the disk is
 * complete. The disk itself is behind {@link RegistryNode.Environment}. Not thread-safe.
 */
final class DurableState {
    /** The first byte of a snapshot; snapshots of earlier formats began with their record's format version. */
    private static final int FORMAT_VERSION = 2;

    /** The shortest interval between snapshots while the state changes. */
    private static final long SNAPSHOT_INTERVAL_MICROS = 500_000;
    /** The shortest interval between snapshots if only the edges' speed reports have changed. */
    private static final long SPEED_SNAPSHOT_INTERVAL_MICROS = 5_000_000;

    private static final Log LOG = new Log("registry");

    private final GossipState state;
    private final RegistryNode.Environment environment;
    /** The newest synced stamp of each key. */
    private final Map<String, Long> syncedStamps = new HashMap<>();

    private final boolean hasDisk;
    private boolean complete;
    private boolean changed = true;
    private boolean writingSnapshot;
    private long nextSnapshotAt;
    private long nextSpeedSnapshotAt;

    /**
     * Creates the durable state of one process.
     *
     * @param hasDisk whether there is a disk
     * @param firstBoot whether the whole system starts for the first time, so that an empty disk is complete
     */
    DurableState(GossipState state, RegistryNode.Environment environment, boolean hasDisk, boolean firstBoot) {
        this.state = state;
        this.environment = environment;
        this.hasDisk = hasDisk;
        this.complete = hasDisk && firstBoot;
    }

    /** Returns whether the disk has all that this machine ever confirmed, and what its set of holders had before. */
    boolean complete() {
        return complete;
    }

    /** Marks the disk incomplete: this machine is no member any more, and others may hold entries that it lacks. */
    void markIncomplete() {
        changed |= complete;
        complete = false;
    }

    /** Notes that an entry has changed. */
    void entryChanged(Entry entry) {
        changed |= entry.kind().reconciled();
    }

    /** Writes a snapshot if one is due; called at each tick. */
    void tick(long now, boolean speedsChanged, Quorum quorum) {
        boolean becomesComplete = quorum.becomesComplete();
        boolean due =
                changed && now >= nextSnapshotAt || speedsChanged && now >= nextSpeedSnapshotAt || becomesComplete;
        if (!hasDisk || writingSnapshot || !due) {
            return;
        }
        changed = false;
        writingSnapshot = true;
        nextSnapshotAt = now + SNAPSHOT_INTERVAL_MICROS;
        nextSpeedSnapshotAt = now + SPEED_SNAPSHOT_INTERVAL_MICROS;
        long term = quorum.membership().term();
        environment.writeSnapshot(encodeSnapshot(now, becomesComplete || complete), synced -> {
            writingSnapshot = false;
            changed |= !synced;
            if (synced && becomesComplete && term == quorum.membership().term()) {
                LOG.info("the disk is complete from term " + term + " on");
                complete = true;
            }
            changed |= becomesComplete && !complete; // the snapshot says complete, which no longer holds
        });
    }

    /** Persists the current entry of this entry's key; {@code whenSynced} runs once that or a newer one is synced. */
    void persist(Entry entry, long now, Runnable whenSynced) {
        if (!hasDisk) {
            return;
        }
        Entry current = state.get(entry.kind(), entry.key());
        String key = key(entry);
        if (current == null || syncedStamps.getOrDefault(key, Long.MIN_VALUE) >= current.stamp()) {
            whenSynced.run(); // expired, or already on disk
            return;
        }
        environment.append(encode(List.of(current), now), () -> {
            syncedStamps.merge(key, current.stamp(), Math::max);
            whenSynced.run();
        });
    }

    private static String key(Entry entry) {
        return entry.kind().ordinal() + entry.key();
    }

    /** Removes the keys that the gossip state no longer has. */
    void removeForgotten() {
        syncedStamps
                .keySet()
                .removeIf(key -> state.get(Entry.Kind.values()[key.charAt(0) - '0'], key.substring(1)) == null);
    }

    private byte[] encodeSnapshot(long now, boolean markComplete) {
        List<Entry> entries = new ArrayList<>();
        for (Entry.Kind kind : Entry.Kind.values()) {
            entries.addAll(state.all(kind));
        }
        byte[] encoded = encode(entries, now);
        byte[] snapshot = new byte[encoded.length + 2];
        snapshot[0] = FORMAT_VERSION;
        snapshot[1] = (byte) (markComplete ? 1 : 0);
        System.arraycopy(encoded, 0, snapshot, 2, encoded.length);
        return snapshot;
    }

    private static byte[] encode(List<Entry> entries, long now) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            new PeerMessage.Updates(0, entries).write(out, now);
        } catch (IOException e) {
            throw new IllegalStateException(e); // a byte array does not fail
        }
        return bytes.toByteArray();
    }

    /** Decodes a snapshot (null for none) and the journal records written since; returns their entries, oldest first. */
    List<Entry> restore(byte[] snapshot, List<byte[]> journal, long now) {
        List<Entry> entries = new ArrayList<>();
        if (snapshot != null && snapshot.length > 2 && snapshot[0] == FORMAT_VERSION) {
            complete = snapshot[1] == 1;
            entries.addAll(decode(snapshot, 2, now));
        }
        for (byte[] record : journal) {
            entries.addAll(decode(record, 0, now));
        }
        entries.forEach(entry -> syncedStamps.merge(key(entry), entry.stamp(), Math::max));
        return entries;
    }

    private static List<Entry> decode(byte[] record, int offset, long now) {
        try (DataInputStream in =
                new DataInputStream(new ByteArrayInputStream(record, offset, record.length - offset))) {
            if (PeerMessage.read(in, now) instanceof PeerMessage.Updates updates) {
                return updates.entries();
            }
        } catch (IOException e) {
            LOG.warn("cannot decode a stored record: " + e.getMessage());
        }
        return List.of();
    }
}
