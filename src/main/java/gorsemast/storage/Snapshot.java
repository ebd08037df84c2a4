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
 * A file that is replaced as a whole: what a registry knew, including the journal records that were compacted into it.
 * Acknowledged changes rely on it: the file and its directory are synced before {@link #write} returns, and the journal
 * is cleared only after that. It is a plain file rather than a Xodus store, as opening that takes as long as the rest
 * of a registry's start. Not thread-safe; calls block on the disk.
 */
public final class Snapshot {
    private static final int CHECKSUM_BYTES = 4;
    private static final int MAX_BYTES = 64 << 20;
    private final Path file;
    private final Path next;

    /** Uses this directory, which must exist. */
    public Snapshot(Path directory) {
        file = directory.resolve("known");
        next = directory.resolve("known.next");
    }

    /** Returns what was written last; null where there is no valid file. */
    public byte[] read() {
        try {
            if (!Files.exists(file) || Files.size(file) > MAX_BYTES) {
                return null;
            }
            ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(file));
            if (bytes.remaining() < CHECKSUM_BYTES) {
                return null;
            }
            int expectedChecksum = bytes.getInt();
            byte[] record = new byte[bytes.remaining()];
            bytes.get(record);
            return checksum(record) == expectedChecksum ? record : null;
        } catch (IOException e) {
            return null;
        }
    }

    /** Replaces the content; throws {@link DiskException} if the disk fails, and then the old content stays. */
    public void write(byte[] record) {
        try (FileChannel channel = FileChannel.open(
                next, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.allocate(CHECKSUM_BYTES + record.length);
            bytes.putInt(checksum(record)).put(record).flip();
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            channel.force(false);
            Files.move(next, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
            try (FileChannel parent = FileChannel.open(file.getParent(), StandardOpenOption.READ)) {
                parent.force(true);
            }
        } catch (IOException e) {
            throw new DiskException(DiskException.Code.WRITE, e);
        }
    }

    private static int checksum(byte[] record) {
        CRC32C crc = new CRC32C();
        crc.update(record);
        return (int) crc.getValue();
    }
}
