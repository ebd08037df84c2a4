package gorsemast.store;

import gorsemast.logging.Log;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.LongConsumer;

/**
 * Puts a replica's states on its disk, in order, on a thread that may wait.
 *
 * <p>While one save is under way, those that come are joined into one: a state is whole, so the last one holds what the
 * others would have held. So at most two states wait however long the disk hangs or is full. A save is told of only once
 * it, or a later one that holds it, is on disk; one that fails is tried again, with what has come since, whatever the
 * failure was. Any thread may save; whoever is told is told on the loop.
 */
final class StateWriter {
    private static final Log LOG = new Log("store");

    /** A disk that holds both records. */
    interface Target {
        /** Replaces the state, and the configuration unless that is null; throws where it can't. */
        void save(byte[] state, byte[] configuration);
    }

    private record Batch(ReplicaState state, boolean keptToo, List<Long> tokens) {
        Batch and(Batch later) {
            List<Long> both = new ArrayList<>(tokens);
            both.addAll(later.tokens);
            return new Batch(later.state, keptToo || later.keptToo, both);
        }
    }

    private final Target disk;
    private final Executor thread;
    private final Executor loop;
    private final LongConsumer saved;
    private final Runnable pause;
    private Batch waiting;

    /**
     * For one disk.
     *
     * @param thread runs one task at a time
     * @param saved told of each token on the loop, in order
     * @param pause waits a little, on the thread, before a save that failed is tried again
     */
    StateWriter(Target disk, Executor thread, Executor loop, LongConsumer saved, Runnable pause) {
        this.disk = disk;
        this.thread = thread;
        this.loop = loop;
        this.saved = saved;
        this.pause = pause;
    }

    /** Saves a state; {@code keptToo} where the configuration may differ from the last one saved. */
    void save(ReplicaState state, boolean keptToo, long token) {
        Batch one = new Batch(state, keptToo, List.of(token));
        synchronized (this) {
            if (waiting != null) {
                waiting = waiting.and(one);
                return;
            }
            waiting = one;
        }
        thread.execute(this::write);
    }

    private synchronized Batch take() {
        Batch taken = waiting;
        waiting = null;
        return taken;
    }

    private void write() {
        Batch batch = take();
        if (batch == null) {
            return; // joined to one before
        }
        while (!written(batch)) {
            pause.run();
            Batch more = take();
            batch = more == null ? batch : batch.and(more);
        }
        List<Long> tokens = batch.tokens;
        loop.execute(() -> tokens.forEach(saved::accept));
    }

    private boolean written(Batch batch) {
        try {
            disk.save(batch.state.encodeState(), batch.keptToo ? batch.state.encodeConfiguration() : null);
            return true;
        } catch (RuntimeException | Error e) {
            // Whatever it was: later saves must not count while this one is not there.
            LOG.warn("can't write, tries again: " + e);
            return false;
        }
    }
}
