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

/** Appends from one thread while the disk's own syncs them together; what is read back, and how many syncs it took. */
class RegistryDiskTest {
    @TempDir
    Path folder;

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private List<String> journal() {
        return new RegistryDisk(folder, Runnable::run)
                .journal().stream()
                        .map(record -> new String(record, StandardCharsets.UTF_8))
                        .toList();
    }

    @Test
    void whatWaitsIsSyncedTogetherAndInOrder() throws InterruptedException {
        RegistryDisk disk = new RegistryDisk(folder, Runnable::run);
        CountDownLatch done = new CountDownLatch(200);
        List<String> ends = Collections.synchronizedList(new ArrayList<>());
        List<String> wanted = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            String text = "r" + i;
            wanted.add(text);
            disk.append(bytes(text), () -> {
                ends.add(text);
                done.countDown();
            });
        }
        assertThat(done.await(20, TimeUnit.SECONDS)).isTrue();
        assertThat(ends).isEqualTo(wanted);
        assertThat(disk.syncs()).isLessThanOrEqualTo(3);
        assertThat(journal()).isEqualTo(wanted);
    }

    @Test
    void aSnapshotTakesThePlaceOfWhatWasAppendedBeforeItAndOfNothingElse() throws InterruptedException {
        RegistryDisk disk = new RegistryDisk(folder, Runnable::run);
        CountDownLatch done = new CountDownLatch(3);
        disk.append(bytes("before"), done::countDown);
        disk.remember(bytes("all"), safe -> done.countDown());
        disk.append(bytes("after"), done::countDown);
        assertThat(done.await(20, TimeUnit.SECONDS)).isTrue();
        RegistryDisk again = new RegistryDisk(folder, Runnable::run);
        assertThat(again.snapshot()).isEqualTo(bytes("all"));
        assertThat(journal()).contains("after");
    }
}
