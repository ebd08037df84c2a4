package gorsemast.registry;

import gorsemast.logging.Log;
import gorsemast.node.Daemon;
import gorsemast.storage.DiskException;
import gorsemast.storage.Journal;
import gorsemast.storage.Snapshot;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A registry's disk on a thread of its own: what waits to be appended is synced together, at most so often, and a
 * snapshot that holds all that the journal does lets that be emptied. Called on the event loop, which never waits; ends
 * are told there.
 */
final class RegistryDisk {
    /** Between the beginnings of two syncs of the journal: at most 40 a second; one that comes alone does not wait. */
    static final long GATHER_MICROS = 25_000;

    private static final long AGAIN_MICROS = 100_000;
    /** What waits for a disk that stands still; more is not taken, and so not confirmed. */
    private static final int MOST_WAITING = 8 << 20;

    private static final Log LOG = new Log("registry");

    private record Append(byte[] record, Runnable done) {}

    private final Executor loop;
    private final Snapshot snapshot;
    private final Journal journal;
    private final ScheduledExecutorService writer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "disk");
        thread.setDaemon(true);
        return thread;
    });
    private final Object lock = new Object();
    private List<Append> waiting = new ArrayList<>();
    private int waitingBytes;
    private boolean due;
    private long submitted;
    private long syncs;
    /** Of the disk's thread: how many are written, and when the last sync began. */
    private long written;

    private long syncedAt = Long.MIN_VALUE / 2;

    /** In a folder, which must exist. */
    RegistryDisk(Path folder, Executor loop) {
        this.loop = loop;
        this.snapshot = new Snapshot(folder);
        this.journal = Journal.open(folder);
    }

    /** The last snapshot; null for none. To be called before anything is written. */
    byte[] snapshot() {
        return snapshot.read();
    }

    /** The journal's records; to be called before anything is written. */
    List<byte[]> journal() {
        return journal.read();
    }

    /** Appends a record; {@code done} runs when it is synced. */
    void append(byte[] record, Runnable done) {
        synchronized (lock) {
            if (waitingBytes > MOST_WAITING) {
                LOG.warn("has too much that waits for its disk, and confirms nothing more");
                return;
            }
            waiting.add(new Append(record, done));
            waitingBytes += record.length;
            submitted++;
            if (!due) {
                due = true;
                writer.execute(this::sync);
            }
        }
    }

    private void sync() {
        long early = syncedAt + GATHER_MICROS - now();
        if (early > 0) {
            writer.schedule(this::sync, early, TimeUnit.MICROSECONDS);
            return;
        }
        List<Append> all;
        synchronized (lock) {
            all = waiting;
            waiting = new ArrayList<>();
            waitingBytes = 0;
            due = false;
            syncs++;
        }
        syncedAt = now();
        try {
            journal.append(all.stream().map(Append::record).toList());
            written += all.size();
            loop.execute(() -> all.forEach(one -> one.done.run()));
        } catch (DiskException e) {
            LOG.warn("can't write its journal, tries again: " + e.getMessage());
            synchronized (lock) {
                all.addAll(waiting);
                waiting = all;
                waitingBytes = all.stream().mapToInt(one -> one.record.length).sum();
                due = true;
            }
            writer.schedule(this::sync, AGAIN_MICROS, TimeUnit.MICROSECONDS);
        }
    }

    /** Swaps the snapshot for this one, which holds all that was appended before; {@code done} is told whether it is safe. */
    void remember(byte[] record, Consumer<Boolean> done) {
        long holds;
        synchronized (lock) {
            holds = submitted;
        }
        writer.execute(() -> {
            boolean safe = false;
            try {
                snapshot.write(record);
                safe = true;
                if (written <= holds) {
                    journal.clear();
                }
            } catch (DiskException e) {
                LOG.warn("can't write down what it knows: " + e.getMessage());
            }
            boolean is = safe;
            loop.execute(() -> done.accept(is));
        });
    }

    /** Ends its thread and lets go of its file. */
    void close() {
        Daemon.shutDown(writer);
        journal.close();
    }

    /** How often the journal was synced; any thread. */
    long syncs() {
        synchronized (lock) {
            return syncs;
        }
    }

    private static long now() {
        return System.nanoTime() / 1_000;
    }
}
