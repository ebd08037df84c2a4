package gorsemast.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * A file of appended records, each behind its length and a checksum; several are synced at once.
 *
 * <p>Reading stops at the first record that is not complete, and the next append overwrites what follows: after a power
 * loss, writes that were not synced may be present, missing or torn. A write that the disk refuses leaves the end where
 * it was, so that the next one overwrites its remains.
 *
 * <p>Not thread-safe; calls block on the disk.
 */
public final class Journal implements AutoCloseable {
    private static final int FRAME_HEADER_BYTES = 8;
    /** A longer length can only come from a damaged file. */
    private static final int MAX_RECORD_BYTES = 16 << 20;

    private final FileChannel file;
    private long end;

    private Journal(FileChannel file) {
        this.file = file;
    }

    /** Opens the journal of a directory, which must exist, or creates an empty one that survives a power loss. */
    public static Journal open(Path directory) {
        try {
            FileChannel file = FileChannel.open(
                    directory.resolve("journal"),
                    StandardOpenOption.CREATE,
                    StandardOpenOption.READ,
                    StandardOpenOption.WRITE);
            if (file.size() == 0) {
                file.force(true);
                try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
                    channel.force(true);
                }
            }
            return new Journal(file);
        } catch (IOException e) {
            throw new DiskException(DiskException.Code.OPEN, e);
        }
    }

    /** Returns all complete records from the beginning; the next append follows the last of them. */
    public List<byte[]> read() {
        try {
            ByteBuffer bytes = ByteBuffer.allocate((int) Math.min(file.size(), Integer.MAX_VALUE - FRAME_HEADER_BYTES));
            int bytesRead = 0;
            while (bytes.hasRemaining() && bytesRead >= 0) {
                bytesRead = file.read(bytes, bytes.position());
            }
            bytes.flip();
            List<byte[]> records = new ArrayList<>();
            end = 0;
            while (bytes.remaining() >= FRAME_HEADER_BYTES) {
                int length = bytes.getInt();
                int expectedChecksum = bytes.getInt();
                if (length <= 0 || length > Math.min(MAX_RECORD_BYTES, bytes.remaining())) {
                    break;
                }
                byte[] record = new byte[length];
                bytes.get(record);
                if (checksum(record) != expectedChecksum) {
                    break;
                }
                records.add(record);
                end = bytes.position();
            }
            return records;
        } catch (IOException e) {
            throw new DiskException(DiskException.Code.READ, e);
        }
    }

    /** Appends records in order and returns once all are durable; if it throws, none of them counts. */
    public void append(List<byte[]> records) {
        int length = records.stream()
                .mapToInt(record -> FRAME_HEADER_BYTES + record.length)
                .sum();
        ByteBuffer bytes = ByteBuffer.allocate(length);
        records.forEach(
                record -> bytes.putInt(record.length).putInt(checksum(record)).put(record));
        bytes.flip();
        try {
            long position = end;
            while (bytes.hasRemaining()) {
                position += file.write(bytes, position);
            }
            file.force(false);
            end = position;
        } catch (IOException e) {
            throw new DiskException(DiskException.Code.WRITE, e);
        }
    }

    /**
     * Removes all records, which must be durable elsewhere. Not synced: after a power loss before the next append they
     * may be read once more.
     */
    public void clear() {
        if (end == 0) {
            return;
        }
        try {
            file.truncate(0);
            end = 0;
        } catch (IOException e) {
            throw new DiskException(DiskException.Code.WRITE, e);
        }
    }

    /** Returns the size in bytes of the records in the journal. */
    public long size() {
        return end;
    }

    private static int checksum(byte[] record) {
        CRC32C crc = new CRC32C();
        crc.update(record);
        return (int) crc.getValue();
    }

    @Override
    public void close() {
        try {
            file.close();
        } catch (IOException e) {
            throw new DiskException(DiskException.Code.WRITE, e);
        }
    }
}
