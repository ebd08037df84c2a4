package gorsemast.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests grouped syncs of appends, and what is read back after a snapshot. */
class RegistryDiskTest {
    @TempDir
    Path directory;

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private List<String> journal() {
        return new RegistryDisk(directory, Runnable::run)
                .journal().stream()
                        .map(record -> new String(record, StandardCharsets.UTF_8))
                        .toList();
    }

    @Test
    void pendingAppendsAreSyncedTogetherInOrder() throws InterruptedException {
        RegistryDisk disk = new RegistryDisk(directory, Runnable::run);
        CountDownLatch done = new CountDownLatch(200);
        List<String> completed = Collections.synchronizedList(new ArrayList<>());
        List<String> expected = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            String text = "r" + i;
            expected.add(text);
            disk.append(bytes(text), () -> {
                completed.add(text);
                done.countDown();
            });
        }
        assertThat(done.await(20, TimeUnit.SECONDS)).isTrue();
        assertThat(completed).isEqualTo(expected);
        assertThat(disk.syncCount()).isLessThanOrEqualTo(3);
        assertThat(journal()).isEqualTo(expected);
    }

    @Test
    void snapshotReplacesEarlierAppendsOnly() throws InterruptedException {
        RegistryDisk disk = new RegistryDisk(directory, Runnable::run);
        CountDownLatch done = new CountDownLatch(3);
        disk.append(bytes("before"), done::countDown);
        disk.writeSnapshot(bytes("all"), safe -> done.countDown());
        disk.append(bytes("after"), done::countDown);
        assertThat(done.await(20, TimeUnit.SECONDS)).isTrue();
        RegistryDisk reopened = new RegistryDisk(directory, Runnable::run);
        assertThat(reopened.snapshot()).isEqualTo(bytes("all"));
        assertThat(journal()).contains("after");
    }
}
