package gorsemast.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.zip.CRC32C;
import jetbrains.exodus.ArrayByteIterable;
import jetbrains.exodus.bindings.StringBinding;
import jetbrains.exodus.env.Environment;
import jetbrains.exodus.env.EnvironmentConfig;
import jetbrains.exodus.env.Environments;
import jetbrains.exodus.env.StoreConfig;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The records of a release that kept them in Xodus are imported once. */
class XodusImportTest {
    @TempDir
    Path home;

    private void writeXodus(String directory, byte[] state, byte[] configuration) {
        EnvironmentConfig config = new EnvironmentConfig()
                .setLogDurableWrite(true)
                .setLogFileSize(1_024)
                .setLogCachePageSize(16 << 10)
                .setMemoryUsage(2 << 20)
                .setLogCacheShared(false)
                .setGcEnabled(false)
                .setManagementEnabled(false);
        try (Environment environment =
                Environments.newInstance(home.resolve(directory).toFile(), config)) {
            environment.executeInTransaction(txn -> {
                var store = environment.openStore(XodusImport.STORE, StoreConfig.WITHOUT_DUPLICATES, txn);
                store.put(txn, StringBinding.stringToEntry(XodusImport.STATE), withChecksum(state));
                store.put(txn, StringBinding.stringToEntry(XodusImport.CONFIGURATION), withChecksum(configuration));
            });
        }
    }

    private static ArrayByteIterable withChecksum(byte[] record) {
        CRC32C crc = new CRC32C();
        crc.update(record);
        return new ArrayByteIterable(ByteBuffer.allocate(Integer.BYTES + record.length)
                .putInt((int) crc.getValue())
                .put(record)
                .array());
    }

    @Test
    void recordsAreImportedAndTheOldFilesRemoved() {
        byte[] large = new byte[200_000];
        large[199_999] = 7;
        writeXodus("xodus", new byte[] {1, 2, 3}, large);
        Disk.Saved saved = Disk.open(home, 1).load();
        assertThat(saved.state()).containsExactly(1, 2, 3);
        assertThat(saved.configuration()).isEqualTo(large);
        assertThat(home.resolve("xodus")).doesNotExist();
        assertThat(home.resolve("former")).doesNotExist();
        assertThat(Disk.open(home, 1).load().configuration()).isEqualTo(large);
    }

    @Test
    void aLogMovedAsideByAnInterruptedRewriteIsImportedToo() {
        writeXodus("old", new byte[] {4}, new byte[] {5});
        assertThat(Disk.open(home, 1).load().state()).containsExactly(4);
        assertThat(home.resolve("old")).doesNotExist();
    }

    @Test
    void existingRecordsAreNeverReplacedByAnImport() {
        Disk disk = Disk.open(home, 1);
        disk.save(new byte[] {9}, new byte[] {9});
        writeXodus("xodus", new byte[] {1}, new byte[] {1});
        assertThat(Disk.open(home, 1).load().state()).containsExactly(9);
        assertThat(home.resolve("xodus")).doesNotExist();
    }

    @Test
    void anUnreadableLogCountsAsLost() throws IOException {
        Files.createDirectories(home.resolve("xodus"));
        Files.write(home.resolve("xodus").resolve("00000000000.xd"), new byte[100]);
        assertThat(Disk.open(home, 1).load()).isNull();
    }
}
