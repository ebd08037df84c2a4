package gorsemast.storage;

import gorsemast.logging.Log;
import gorsemast.storage.DiskException.Code;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;
import java.util.zip.CRC32C;
import jetbrains.exodus.ArrayByteIterable;
import jetbrains.exodus.ByteIterable;
import jetbrains.exodus.bindings.StringBinding;
import jetbrains.exodus.env.Environment;
import jetbrains.exodus.env.EnvironmentConfig;
import jetbrains.exodus.env.Environments;
import jetbrains.exodus.env.Store;
import jetbrains.exodus.env.StoreConfig;

/**
 * Named records in Xodus, each transaction synced to the disk before it returns.
 *
 * <p><b>Recovery.</b> Xodus appends to its log and on opening falls back to the last whole transaction; each record
 * carries a checksum of its own beside. A log that can't be opened at all is put aside and the disk counts as empty: the
 * machine is then another member of the store, which is what the loss of a disk is.
 *
 * <p><b>Bounds.</b> The log grows by what is written; from {@link #MOST_FILES} files on, it is written anew at the next
 * start. One thread, which waits for the disk.
 */
public final class Disk implements AutoCloseable {
    private static final String STORE = "records";
    private static final int FILE_KB = 1_024;
    private static final int MOST_FILES = 48;
    private static final int CACHE_BYTES = 2 << 20;
    private static final int PAGE_BYTES = 16 << 10;
    private static final int CHECK_BYTES = 4;
    private static final Log LOG = new Log("storage");

    private final Environment environment;
    private final Path folder;
    private final Store store;

    private Disk(Path folder) {
        this.folder = folder;
        EnvironmentConfig config = new EnvironmentConfig()
                .setLogDurableWrite(true)
                .setLogFileSize(FILE_KB)
                .setLogCachePageSize(PAGE_BYTES)
                .setMemoryUsage(CACHE_BYTES)
                .setLogCacheShared(false)
                .setLogCacheUseSoftReferences(false)
                .setLogCacheUseNio(false)
                .setGcEnabled(false)
                .setEnvGatherStatistics(false)
                .setManagementEnabled(false)
                .setEnvMonitorTxnsTimeout(0)
                .setLogLockTimeout(0);
        environment = Environments.newInstance(folder.toFile(), config);
        store = environment.computeInTransaction(
                txn -> environment.openStore(STORE, StoreConfig.WITHOUT_DUPLICATES, txn));
    }

    /** Opens what is in a folder, or begins anew where there is nothing that can be read. */
    public static Disk open(Path home) {
        Path folder = home.resolve("xodus");
        try {
            Files.createDirectories(folder);
            sync(home);
            Disk disk = new Disk(folder);
            if (disk.files() > MOST_FILES) {
                return disk.rewritten(home);
            }
            return disk;
        } catch (RuntimeException | IOException e) {
            LOG.warn("can't open " + folder + ", puts it aside: " + e);
            try {
                putAside(home, folder);
                Files.createDirectories(folder);
                return new Disk(folder);
            } catch (RuntimeException | IOException again) {
                throw new DiskException(Code.OPEN, again);
            }
        }
    }

    private static void putAside(Path home, Path folder) throws IOException {
        Path aside = home.resolve("broken");
        delete(aside);
        Files.move(folder, aside);
        sync(home);
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

    private static void sync(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private long files() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(file -> file.toString().endsWith(".xd")).count();
        }
    }

    /** The same records in a log of their own; the old one goes only when the new one is whole. */
    private Disk rewritten(Path home) throws IOException {
        Map<String, byte[]> all = load();
        close();
        Path next = home.resolve("next");
        delete(next);
        Files.createDirectories(next);
        try (Disk disk = new Disk(next)) {
            disk.save(all);
        }
        Path old = home.resolve("old");
        delete(old);
        Files.move(folder, old);
        Files.move(next, folder);
        sync(home);
        delete(old);
        return new Disk(folder);
    }

    /** All records that are whole, by name. */
    public Map<String, byte[]> load() {
        try {
            Map<String, byte[]> all = new HashMap<>();
            environment.executeInReadonlyTransaction(txn -> {
                try (var cursor = store.openCursor(txn)) {
                    while (cursor.getNext()) {
                        String name = StringBinding.entryToString(cursor.getKey());
                        byte[] record = checked(cursor.getValue());
                        if (record == null) {
                            LOG.warn("record " + name + " is broken and counts as lost");
                        } else {
                            all.put(name, record);
                        }
                    }
                }
            });
            return all;
        } catch (RuntimeException e) {
            throw new DiskException(Code.READ, e);
        }
    }

    private static byte[] checked(ByteIterable value) {
        byte[] bytes = new byte[value.getLength()];
        System.arraycopy(value.getBytesUnsafe(), 0, bytes, 0, bytes.length);
        if (bytes.length < CHECK_BYTES) {
            return null;
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        int check = buffer.getInt();
        byte[] record = new byte[buffer.remaining()];
        buffer.get(record);
        return check(record) == check ? record : null;
    }

    private static int check(byte[] record) {
        CRC32C crc = new CRC32C();
        crc.update(record);
        return (int) crc.getValue();
    }

    /** Replaces these records, all or none, and returns when they are safe; throws where the disk refuses. */
    public void save(Map<String, byte[]> records) {
        try {
            environment.executeInTransaction(txn -> records.forEach((name, record) -> {
                ByteBuffer buffer = ByteBuffer.allocate(CHECK_BYTES + record.length);
                buffer.putInt(check(record)).put(record);
                store.put(txn, StringBinding.stringToEntry(name), new ArrayByteIterable(buffer.array()));
            }));
        } catch (RuntimeException e) {
            throw new DiskException(Code.WRITE, e);
        }
    }

    @Override
    public void close() {
        environment.close();
    }
}
