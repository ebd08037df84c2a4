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
 * Records appended to one file, each behind its length and a checksum; several are synced at once.
 *
 * <p><b>Recovery.</b> Reading stops at the first record that is not whole, and what follows is written over: after a
 * loss of power writes that were not synced may be there, missing or torn. A write that the disk refuses leaves the end
 * where it was, so that the next one is written over its remains.
 *
 * <p>One thread, which waits for the disk.
 */
public final class Journal implements AutoCloseable {
    private static final int FRAME_BYTES = 8;
    /** A longer record is none. */
    private static final int MOST = 16 << 20;

    private final FileChannel file;
    private long end;

    private Journal(FileChannel file) {
        this.file = file;
    }

    /** Opens the journal of a folder, which must exist, or makes an empty one that outlives a loss of power. */
    public static Journal open(Path folder) {
        try {
            FileChannel file = FileChannel.open(
                    folder.resolve("journal"),
                    StandardOpenOption.CREATE,
                    StandardOpenOption.READ,
                    StandardOpenOption.WRITE);
            if (file.size() == 0) {
                file.force(true);
                try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
                    names.force(true);
                }
            }
            return new Journal(file);
        } catch (IOException e) {
            throw new DiskException(DiskException.Code.OPEN, e);
        }
    }

    /** All whole records from the beginning; what is appended next follows the last of them. */
    public List<byte[]> read() {
        try {
            ByteBuffer bytes = ByteBuffer.allocate((int) Math.min(file.size(), Integer.MAX_VALUE - FRAME_BYTES));
            int got = 0;
            while (bytes.hasRemaining() && got >= 0) {
                got = file.read(bytes, bytes.position());
            }
            bytes.flip();
            List<byte[]> records = new ArrayList<>();
            end = 0;
            while (bytes.remaining() >= FRAME_BYTES) {
                int length = bytes.getInt();
                int check = bytes.getInt();
                if (length <= 0 || length > Math.min(MOST, bytes.remaining())) {
                    break;
                }
                byte[] record = new byte[length];
                bytes.get(record);
                if (check(record) != check) {
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

    /** Appends these in order and returns when all are safe; throws where the disk refuses, and then none counts. */
    public void append(List<byte[]> records) {
        int length =
                records.stream().mapToInt(record -> FRAME_BYTES + record.length).sum();
        ByteBuffer bytes = ByteBuffer.allocate(length);
        records.forEach(
                record -> bytes.putInt(record.length).putInt(check(record)).put(record));
        bytes.flip();
        try {
            long at = end;
            while (bytes.hasRemaining()) {
                at += file.write(bytes, at);
            }
            file.force(false);
            end = at;
        } catch (IOException e) {
            throw new DiskException(DiskException.Code.WRITE, e);
        }
    }

    /**
     * Forgets all records, which have to be safe elsewhere. Not synced by itself: where power is lost before the next
     * append they may be read once more.
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

    /** Bytes of the records that it holds. */
    public long size() {
        return end;
    }

    private static int check(byte[] record) {
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
