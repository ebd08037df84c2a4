package gorsemast.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.zip.CRC32C;

/**
 * One file that is swapped whole: what a registry knew, with the records of its journal that were compacted into it.
 * Acknowledged changes rest on it: it is synced, with its folder, before {@link #write} returns, and a journal is emptied of
 * what the file holds only after that. A plain file and no Xodus, as opening that takes as long as all the rest of a
 * registry's start. One thread, which waits for the disk.
 */
public final class Snapshot {
    private static final int CHECK_BYTES = 4;
    private static final int MOST = 64 << 20;
    private final Path file;
    private final Path next;

    /** In this folder, which must exist. */
    public Snapshot(Path folder) {
        file = folder.resolve("known");
        next = folder.resolve("known.next");
    }

    /** What was written last; null where nothing is there or it is not whole. */
    public byte[] read() {
        try {
            if (!Files.exists(file) || Files.size(file) > MOST) {
                return null;
            }
            ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(file));
            if (bytes.remaining() < CHECK_BYTES) {
                return null;
            }
            int check = bytes.getInt();
            byte[] record = new byte[bytes.remaining()];
            bytes.get(record);
            return check(record) == check ? record : null;
        } catch (IOException e) {
            return null;
        }
    }

    /** Replaces it; throws {@link DiskException} where the disk refuses, and then the old one stands. */
    public void write(byte[] record) {
        try (FileChannel channel = FileChannel.open(
                next, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.allocate(CHECK_BYTES + record.length);
            bytes.putInt(check(record)).put(record).flip();
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            channel.force(false);
            Files.move(next, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
            try (FileChannel folder = FileChannel.open(file.getParent(), StandardOpenOption.READ)) {
                folder.force(true);
            }
        } catch (IOException e) {
            throw new DiskException(DiskException.Code.WRITE, e);
        }
    }

    private static int check(byte[] record) {
        CRC32C crc = new CRC32C();
        crc.update(record);
        return (int) crc.getValue();
    }
}
