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
 * The records of releases that kept them in a log of Xodus, in folders of their own: read once, then removed. One thread,
 * which waits for the disk.
 */
final class XodusImport {
    static final String STORE = "records";
    static final String STATE = "state";
    static final String CONFIGURATION = "configuration";
    /** Where the log stood, and where it was put while a shorter one took its place. */
    static final List<String> FOLDERS = List.of("xodus", "old");

    private static final List<String> LEFT = List.of("xodus", "old", "next", "broken", "former");
    private static final int FILE_KB = 1_024;
    private static final int CACHE_BYTES = 2 << 20;
    private static final int PAGE_BYTES = 16 << 10;
    private static final Log LOG = new Log("storage");

    private XodusImport() {}

    /** Both records, from the first folder where both are whole; null where there is none. */
    static Disk.Saved read(Path home) {
        for (String name : FOLDERS) {
            if (Files.isDirectory(home.resolve(name))) {
                try {
                    Map<String, byte[]> all = records(home.resolve(name));
                    if (all.containsKey(STATE) && all.containsKey(CONFIGURATION)) {
                        return new Disk.Saved(all.get(STATE), all.get(CONFIGURATION));
                    }
                } catch (RuntimeException e) {
                    LOG.warn("can't read " + name + ", which counts as lost: " + e);
                }
            }
        }
        return null;
    }

    private static Map<String, byte[]> records(Path folder) {
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
        Map<String, byte[]> all = new HashMap<>();
        try (Environment environment = Environments.newInstance(folder.toFile(), config)) {
            environment.executeInTransaction(txn -> {
                try (var cursor = environment
                        .openStore(STORE, StoreConfig.WITHOUT_DUPLICATES, txn)
                        .openCursor(txn)) {
                    while (cursor.getNext()) {
                        byte[] record = checked(cursor.getValue());
                        if (record != null) {
                            all.put(StringBinding.entryToString(cursor.getKey()), record);
                        }
                    }
                }
            });
        }
        return all;
    }

    private static byte[] checked(ByteIterable value) {
        ByteBuffer buffer = ByteBuffer.wrap(value.getBytesUnsafe(), 0, value.getLength());
        if (buffer.remaining() < Integer.BYTES) {
            return null;
        }
        int check = buffer.getInt();
        byte[] record = new byte[buffer.remaining()];
        buffer.get(record);
        CRC32C crc = new CRC32C();
        crc.update(record);
        return (int) crc.getValue() == check ? record : null;
    }

    /** Removes what is left of it, so that it does not come back with power: first its name, then its files. */
    static void remove(Path home) throws IOException {
        Path former = home.resolve("former");
        for (String name : LEFT) {
            Path folder = home.resolve(name);
            if (Files.isDirectory(folder)) {
                delete(former);
                if (!folder.equals(former)) {
                    Files.move(folder, former);
                    new FileSystemDirectory(home).syncDirectory();
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
