package gorsemast.store;

import gorsemast.logging.Log;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.LongConsumer;

/**
 * Writes a replica's states to its disk, in order, on a thread that may block.
 *
 * <p>Saves that arrive while one is under way are merged into one: a state is complete, so the last one contains the
 * others. So at most two states wait, however long the disk hangs or is full. A save is reported only once it, or a
 * later one that contains it, is on disk. A failed save is retried, merged with those that have arrived since, whatever
 * the failure was, until the thread is interrupted. Any thread may save; saves are reported on the loop.
 */
final class StateWriter {
    private static final Log LOG = new Log("store");

    /** The disk to write to. */
    interface Target {
        /** Replaces the state, and the configuration unless that is null; throws if it fails. */
        void save(byte[] state, byte[] configuration);
    }

    private record Batch(ReplicaState state, boolean storedChanged, List<Long> tokens) {
        Batch mergedWith(Batch later) {
            List<Long> allTokens = new ArrayList<>(tokens);
            allTokens.addAll(later.tokens);
            return new Batch(later.state, storedChanged || later.storedChanged, allTokens);
        }
    }

    private final Target disk;
    private final Executor thread;
    private final Executor loop;
    private final LongConsumer onSaved;
    private final Runnable waitBeforeRetry;
    private Batch waiting;

    /**
     * Creates a writer for one disk.
     *
     * @param thread runs one task at a time
     * @param loop runs the reports
     * @param onSaved receives each token on the loop, in order
     * @param waitBeforeRetry waits a little, on the thread, before a failed save is retried
     */
    StateWriter(Target disk, Executor thread, Executor loop, LongConsumer onSaved, Runnable waitBeforeRetry) {
        this.disk = disk;
        this.thread = thread;
        this.loop = loop;
        this.onSaved = onSaved;
        this.waitBeforeRetry = waitBeforeRetry;
    }

    /** Saves a state; {@code storedChanged} where the stored version may differ from the last one saved. */
    void save(ReplicaState state, boolean storedChanged, long token) {
        Batch added = new Batch(state, storedChanged, List.of(token));
        synchronized (this) {
            if (waiting != null) {
                waiting = waiting.mergedWith(added);
                return;
            }
            waiting = added;
        }
        thread.execute(this::write);
    }

    private synchronized Batch takeWaiting() {
        Batch taken = waiting;
        waiting = null;
        return taken;
    }

    private void write() {
        Batch batch = takeWaiting();
        if (batch == null) {
            return; // merged into an earlier batch
        }
        while (!tryWrite(batch)) {
            if (Thread.currentThread().isInterrupted()) {
                return; // an interrupted thread can't write to a file; the save is never reported
            }
            waitBeforeRetry.run();
            Batch later = takeWaiting();
            batch = later == null ? batch : batch.mergedWith(later);
        }
        List<Long> tokens = batch.tokens;
        loop.execute(() -> tokens.forEach(onSaved::accept));
    }

    private boolean tryWrite(Batch batch) {
        try {
            disk.save(batch.state.encodeState(), batch.storedChanged ? batch.state.encodeConfiguration() : null);
            return true;
        } catch (RuntimeException | Error e) {
            // Whatever the failure was, later saves must not count while this one is not on disk.
            LOG.warn("can't write the state, retrying: " + e);
            return false;
        }
    }
}
