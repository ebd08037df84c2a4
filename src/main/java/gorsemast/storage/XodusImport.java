package gorsemast.storage;

import gorsemast.logging.Log;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import java.util.zip.CRC32C;
import jetbrains.exodus.ByteIterable;
import jetbrains.exodus.bindings.StringBinding;
import jetbrains.exodus.env.Environment;
import jetbrains.exodus.env.EnvironmentConfig;
import jetbrains.exodus.env.Environments;
import jetbrains.exodus.env.StoreConfig;

/**
 * Imports the records of earlier releases, which kept them in a Xodus log in directories of its own: read once, then
 * removed. Calls block on the disk.
 */
final class XodusImport {
    static final String STORE = "records";
    static final String STATE = "state";
    static final String CONFIGURATION = "configuration";
    /** The directory of the log, and the one it was moved to while a shorter log replaced it. */
    static final List<String> SOURCE_FOLDERS = List.of("xodus", "old");

    private static final List<String> ALL_FOLDERS = List.of("xodus", "old", "next", "broken", "former");
    private static final int FILE_KB = 1_024;
    private static final int CACHE_BYTES = 2 << 20;
    private static final int PAGE_BYTES = 16 << 10;
    private static final Log LOG = new Log("storage");

    private XodusImport() {}

    /** Returns both records from the first directory where both are valid; null where there is none. */
    static Disk.Saved read(Path directory) {
        for (String name : SOURCE_FOLDERS) {
            if (Files.isDirectory(directory.resolve(name))) {
                try {
                    Map<String, byte[]> recordsByName = readRecords(directory.resolve(name));
                    if (recordsByName.containsKey(STATE) && recordsByName.containsKey(CONFIGURATION)) {
                        return new Disk.Saved(recordsByName.get(STATE), recordsByName.get(CONFIGURATION));
                    }
                } catch (RuntimeException e) {
                    LOG.warn("can't read " + name + ", treating it as lost: " + e);
                }
            }
        }
        return null;
    }

    private static Map<String, byte[]> readRecords(Path folder) {
        EnvironmentConfig config = new EnvironmentConfig()
                .setLogFileSize(FILE_KB)
                .setLogCachePageSize(PAGE_BYTES)
                .setMemoryUsage(CACHE_BYTES)
                .setLogCacheShared(false)
                .setGcEnabled(false)
                .setEnvGatherStatistics(false)
                .setManagementEnabled(false)
                .setEnvMonitorTxnsTimeout(0)
                .setLogLockTimeout(0);
        Map<String, byte[]> recordsByName = new HashMap<>();
        try (Environment environment = Environments.newInstance(folder.toFile(), config)) {
            environment.executeInTransaction(txn -> {
                try (var cursor = environment
                        .openStore(STORE, StoreConfig.WITHOUT_DUPLICATES, txn)
                        .openCursor(txn)) {
                    while (cursor.getNext()) {
                        byte[] record = verified(cursor.getValue());
                        if (record != null) {
                            recordsByName.put(StringBinding.entryToString(cursor.getKey()), record);
                        }
                    }
                }
            });
        }
        return recordsByName;
    }

    private static byte[] verified(ByteIterable value) {
        ByteBuffer buffer = ByteBuffer.wrap(value.getBytesUnsafe(), 0, value.getLength());
        if (buffer.remaining() < Integer.BYTES) {
            return null;
        }
        int expectedChecksum = buffer.getInt();
        byte[] record = new byte[buffer.remaining()];
        buffer.get(record);
        CRC32C crc = new CRC32C();
        crc.update(record);
        return (int) crc.getValue() == expectedChecksum ? record : null;
    }

    /** Removes the imported directories durably: first by a synced rename, then their files. */
    static void remove(Path directory) throws IOException {
        Path former = directory.resolve("former");
        for (String name : ALL_FOLDERS) {
            Path folder = directory.resolve(name);
            if (Files.isDirectory(folder)) {
                delete(former);
                if (!folder.equals(former)) {
                    Files.move(folder, former);
                    new FileSystemDirectory(directory).syncDirectory();
                    delete(former);
                }
            }
        }
    }

    private static void delete(Path folder) throws IOException {
        if (Files.isDirectory(folder)) {
            try (Stream<Path> files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(folder);
        }
    }
}
