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
 * A registry's disk, written by a thread of its own. Pending appends are synced together at a limited rate, and a snapshot
 * that covers the whole journal lets the journal be cleared. Called on the event loop, which never blocks; callbacks run
 * there.
 */
final class RegistryDisk {
    /** The shortest time between the starts of two journal syncs, 40 a second; a single append is not delayed. */
    static final long SYNC_INTERVAL_MICROS = 25_000;

    private static final long RETRY_MICROS = 100_000;
    /** The bound on appends that wait for a stalled disk; further ones are dropped and so never confirmed. */
    private static final int MAX_PENDING_BYTES = 8 << 20;

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
    private List<Append> pending = new ArrayList<>();
    private int pendingBytes;
    private boolean syncScheduled;
    private long submittedCount;
    private long syncCount;
    /** The number of records written; used on the writer thread only. */
    private long writtenCount;

    /** When the last sync started; used on the writer thread only. */
    private long syncedAt = Long.MIN_VALUE / 2;

    /** Opens the disk in a directory, which must exist. */
    RegistryDisk(Path directory, Executor loop) {
        this.loop = loop;
        this.snapshot = new Snapshot(directory);
        this.journal = Journal.open(directory);
    }

    /** Reads the last snapshot, null for none; called before anything is written. */
    byte[] snapshot() {
        return snapshot.read();
    }

    /** Reads the journal's records; called before anything is written. */
    List<byte[]> journal() {
        return journal.read();
    }

    /** Appends a record; {@code done} runs once it is synced. */
    void append(byte[] record, Runnable done) {
        synchronized (lock) {
            if (pendingBytes > MAX_PENDING_BYTES) {
                LOG.warn("too many writes wait for the disk, dropping an append, which stays unconfirmed");
                return;
            }
            pending.add(new Append(record, done));
            pendingBytes += record.length;
            submittedCount++;
            if (!syncScheduled) {
                syncScheduled = true;
                writer.execute(this::sync);
            }
        }
    }

    private void sync() {
        long waitMicros = syncedAt + SYNC_INTERVAL_MICROS - now();
        if (waitMicros > 0) {
            writer.schedule(this::sync, waitMicros, TimeUnit.MICROSECONDS);
            return;
        }
        List<Append> batch;
        synchronized (lock) {
            batch = pending;
            pending = new ArrayList<>();
            pendingBytes = 0;
            syncScheduled = false;
            syncCount++;
        }
        syncedAt = now();
        try {
            journal.append(batch.stream().map(Append::record).toList());
            writtenCount += batch.size();
            loop.execute(() -> batch.forEach(append -> append.done.run()));
        } catch (DiskException e) {
            LOG.warn("cannot write the journal, will retry: " + e.getMessage());
            synchronized (lock) {
                batch.addAll(pending);
                pending = batch;
                pendingBytes =
                        batch.stream().mapToInt(append -> append.record.length).sum();
                syncScheduled = true;
            }
            writer.schedule(this::sync, RETRY_MICROS, TimeUnit.MICROSECONDS);
        }
    }

    /** Replaces the snapshot by one that covers all earlier appends; {@code done} receives whether it is synced. */
    void writeSnapshot(byte[] record, Consumer<Boolean> done) {
        long coveredCount;
        synchronized (lock) {
            coveredCount = submittedCount;
        }
        writer.execute(() -> {
            boolean synced = false;
            try {
                snapshot.write(record);
                synced = true;
                if (writtenCount <= coveredCount) {
                    journal.clear();
                }
            } catch (DiskException e) {
                LOG.warn("cannot write the snapshot: " + e.getMessage());
            }
            boolean result = synced;
            loop.execute(() -> done.accept(result));
        });
    }

    /** Stops the writer thread and closes the journal. */
    void close() {
        Daemon.shutDown(writer);
        journal.close();
    }

    /** Returns how often the journal was synced; thread-safe. */
    long syncCount() {
        synchronized (lock) {
            return syncCount;
        }
    }

    private static long now() {
        return System.nanoTime() / 1_000;
    }
}
