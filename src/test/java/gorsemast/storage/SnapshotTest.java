package gorsemast.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A snapshot is read back completely or not at all, and an interrupted write is ignored. */
class SnapshotTest {
    @TempDir
    Path home;

    @Test
    void aTruncatedOrCorruptedSnapshotIsIgnored() throws IOException {
        Snapshot snapshot = new Snapshot(home);
        assertThat(snapshot.read()).isNull();
        snapshot.write(new byte[] {1, 2, 3});
        assertThat(snapshot.read()).containsExactly(1, 2, 3);
        Path file = home.resolve("known");
        byte[] valid = Files.readAllBytes(file);
        for (int at = 0; at < valid.length; at++) {
            Files.write(file, Arrays.copyOf(valid, at));
            assertThat(snapshot.read()).isNull();
            byte[] changed = valid.clone();
            changed[at] ^= 1;
            Files.write(file, changed);
            assertThat(snapshot.read()).isNull();
        }
    }

    @Test
    void anInterruptedWriteKeepsThePreviousSnapshot() throws IOException {
        Snapshot snapshot = new Snapshot(home);
        snapshot.write(new byte[] {1, 2, 3});
        Files.write(home.resolve("known.next"), new byte[] {9, 9, 9, 9, 9, 9, 9, 9, 9});
        assertThat(snapshot.read()).containsExactly(1, 2, 3);
        snapshot.write(new byte[] {4});
        assertThat(snapshot.read()).containsExactly(4);
        assertThat(home.resolve("known.next")).doesNotExist();
    }
}
