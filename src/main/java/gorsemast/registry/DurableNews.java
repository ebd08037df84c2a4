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
 * What of the news is on this machine's disk, and what it says there: a journal for what has to be there before it is
 * confirmed, and a snapshot of everything, which the journal's records are gone into. Whether the disk is complete
 * stands in the snapshot. The disk itself is behind {@link RegistryNode.Environment}. One caller.
 */
final class DurableNews {
    /** The first byte of a snapshot; earlier ones began with the form of their record. */
    private static final int FORM = 2;

    /** What it knows is written down this often, where it has changed. */
    private static final long WRITE_MICROS = 500_000;
    /** And this often where only what edges have seen of servers has. */
    private static final long POOL_WRITE_MICROS = 5_000_000;

    private static final Log LOG = new Log("registry");

    private final GossipState board;
    private final RegistryNode.Environment carrier;
    /** Stamps by key of what is synced. */
    private final Map<String, Long> synced = new HashMap<>();

    private final boolean remembers;
    private boolean complete;
    private boolean changed = true;
    private boolean writing;
    private long writeAt;
    private long poolWriteAt;

    /**
     * Of one process.
     *
     * @param remembers whether there is a disk
     * @param firstBoot whether an empty one is as it should be
     */
    DurableNews(GossipState board, RegistryNode.Environment carrier, boolean remembers, boolean firstBoot) {
        this.board = board;
        this.carrier = carrier;
        this.remembers = remembers;
        this.complete = remembers && firstBoot;
    }

    /** Whether the disk has all that this machine has ever confirmed to hold, and what its set of holders had before. */
    boolean complete() {
        return complete;
    }

    /** It has no more: this machine counts no more, and others may by now hold what it has not. */
    void incomplete() {
        changed |= complete;
        complete = false;
    }

    /** A piece of news has come. */
    void changed(Entry item) {
        changed |= item.kind().reconciled();
    }

    /** Writes a snapshot where one is due; to be called at each tick. */
    void tick(long now, boolean poolChanged, Quorum quorum) {
        boolean completes = quorum.completes();
        boolean due = changed && now >= writeAt || poolChanged && now >= poolWriteAt || completes;
        if (!remembers || writing || !due) {
            return;
        }
        changed = false;
        writing = true;
        writeAt = now + WRITE_MICROS;
        poolWriteAt = now + POOL_WRITE_MICROS;
        long term = quorum.membership().term();
        carrier.writeSnapshot(snapshot(now, completes || complete), safe -> {
            writing = false;
            changed |= !safe;
            if (safe && completes && term == quorum.membership().term()) {
                LOG.info("its disk is complete from term " + term + " on");
                complete = true;
            }
            changed |= completes && !complete; // the disk says so, and it isn't any more
        });
    }

    /** Puts what is held of this key now on disk; {@code then} runs once that, or something newer, is synced. */
    void keep(Entry told, long now, Runnable then) {
        if (!remembers) {
            return;
        }
        Entry item = board.get(told.kind(), told.key());
        String key = key(told);
        if (item == null || synced.getOrDefault(key, Long.MIN_VALUE) >= item.stamp()) {
            then.run(); // it has passed, or was on disk before
            return;
        }
        carrier.append(news(List.of(item), now), () -> {
            synced.merge(key, item.stamp(), Math::max);
            then.run();
        });
    }

    private static String key(Entry item) {
        return item.kind().ordinal() + item.key();
    }

    /** Forgets what the board has forgotten. */
    void forget() {
        synced.keySet().removeIf(key -> board.get(Entry.Kind.values()[key.charAt(0) - '0'], key.substring(1)) == null);
    }

    private byte[] snapshot(long now, boolean asComplete) {
        List<Entry> items = new ArrayList<>();
        for (Entry.Kind kind : Entry.Kind.values()) {
            items.addAll(board.all(kind));
        }
        byte[] news = news(items, now);
        byte[] snapshot = new byte[news.length + 2];
        snapshot[0] = FORM;
        snapshot[1] = (byte) (asComplete ? 1 : 0);
        System.arraycopy(news, 0, snapshot, 2, news.length);
        return snapshot;
    }

    private static byte[] news(List<Entry> items, long now) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            new PeerMessage.Updates(0, items).write(out, now);
        } catch (IOException e) {
            throw new IllegalStateException(e); // memory does not fail
        }
        return bytes.toByteArray();
    }

    /** Reads both back, each null or empty where there is none. Returns what they hold, the oldest first. */
    List<Entry> recall(byte[] snapshot, List<byte[]> journal, long now) {
        List<Entry> items = new ArrayList<>();
        if (snapshot != null && snapshot.length > 2 && snapshot[0] == FORM) {
            complete = snapshot[1] == 1;
            items.addAll(items(snapshot, 2, now));
        }
        for (byte[] record : journal) {
            items.addAll(items(record, 0, now));
        }
        items.forEach(item -> synced.merge(key(item), item.stamp(), Math::max));
        return items;
    }

    private static List<Entry> items(byte[] record, int from, long now) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(record, from, record.length - from))) {
            if (PeerMessage.read(in, now) instanceof PeerMessage.Updates news) {
                return news.entries();
            }
        } catch (IOException e) {
            LOG.warn("can't recall what it knew: " + e.getMessage());
        }
        return List.of();
    }
}
