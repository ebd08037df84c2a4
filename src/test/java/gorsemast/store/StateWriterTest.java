package gorsemast.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Saves count in their order and once they, or later ones, are on disk; however the disk fails. */
class StateWriterTest {
    private final Deque<Runnable> thread = new ArrayDeque<>();
    private final List<Long> told = new ArrayList<>();
    private final List<String> written = new ArrayList<>();
    private final Deque<Throwable> failures = new ArrayDeque<>();
    private Runnable pause = () -> {};
    private final StateWriter writer =
            new StateWriter(this::write, thread::add, Runnable::run, told::add, () -> pause.run());

    private void write(byte[] state, byte[] configuration) {
        Throwable failure = failures.poll();
        if (failure instanceof Error error) {
            throw error;
        } else if (failure instanceof RuntimeException exception) {
            throw exception;
        }
        written.add(configuration == null ? "state" : "both");
    }

    private void save(long token, boolean keptToo) {
        writer.save(ReplicaState.initial("m1", List.of(), true, 0), keptToo, token);
    }

    private void run() {
        while (!thread.isEmpty()) {
            thread.poll().run();
        }
    }

    @Test
    void savesThatWaitAreJoinedAndToldOfInOrder() {
        save(1, false);
        save(2, true);
        save(3, false);
        assertThat(told).isEmpty();
        run();
        assertThat(written).containsExactly("both");
        assertThat(told).containsExactly(1L, 2L, 3L);
    }

    @Test
    void noLaterSaveCountsWhileOneHasFailed() {
        failures.add(new IllegalStateException("full"));
        failures.add(new OutOfMemoryError("of the disk's thread"));
        pause = () -> {
            if (failures.isEmpty()) {
                save(3, false);
            }
            assertThat(told).isEmpty();
        };
        save(1, true);
        save(2, false);
        run();
        // What failed held a version: whatever is written in its place has it too.
        assertThat(written).containsExactly("both");
        assertThat(told).containsExactly(1L, 2L, 3L);
    }

    @Test
    void twoStatesWaitAtMostHoweverLongADiskHangs() {
        for (int token = 1; token <= 10_000; token++) {
            save(token, token % 2 == 0);
        }
        assertThat(thread).hasSize(1);
        run();
        assertThat(written).hasSize(1);
        assertThat(told).hasSize(10_000);
    }
}
