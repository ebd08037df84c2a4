package gorsemast.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * A record in two files that are written in turn, each over its own last content: while one is written, the other holds
 * the complete previous record. The files are created once and never renamed, removed or truncated, so a write needs
 * one sync of content and none of the directory.
 *
 * <p>A file consists of a magic number, the incarnation of its writer, a sequence number, a length, a CRC-32C over
 * these and the content, and the content; anything behind that is left over from longer records. A file with a wrong
 * checksum counts as empty. Sequence numbers of interrupted writes are reused by a later incarnation, whose different
 * number keeps parts of two such writes from ever passing as one valid record. Not thread-safe; calls block on the
 * disk.
 */
final class AlternatingFile {
    private static final int MAGIC = 0x47_53_52_31;
    private static final int HEADER_BYTES = Integer.BYTES + 2 * Long.BYTES + 2 * Integer.BYTES;

    private record StoredRecord(long sequence, byte[] content) {}

    private final Directory directory;
    private final List<String> names;
    private final long incarnation;
    /** The sequence number of the newest valid record; 0 for none. */
    private long newestSequence;

    private int newestIndex = 1;

    /**
     * Opens the two files of this name and creates missing ones; the caller has to sync the directory.
     *
     * @param incarnation a number that no other opening was given
     */
    AlternatingFile(Directory directory, String name, long incarnation) throws IOException {
        this.directory = directory;
        this.incarnation = incarnation;
        this.names = List.of(name + ".0", name + ".1");
        for (int index = 0; index < names.size(); index++) {
            byte[] bytes = directory.read(names.get(index));
            if (bytes == null) {
                directory.write(names.get(index), ByteBuffer.allocate(0));
            } else {
                // An earlier process may have been killed before its sync: what relies on this record must survive a
                // power loss.
                directory.sync(names.get(index));
            }
            StoredRecord stored = bytes == null ? null : parse(ByteBuffer.wrap(bytes));
            if (stored != null && stored.sequence > newestSequence) {
                newestSequence = stored.sequence;
                newestIndex = index;
            }
        }
    }

    private static StoredRecord parse(ByteBuffer bytes) {
        if (bytes.remaining() < HEADER_BYTES || bytes.getInt() != MAGIC) {
            return null;
        }
        long incarnation = bytes.getLong();
        long sequence = bytes.getLong();
        int length = bytes.getInt();
        int expectedChecksum = bytes.getInt();
        if (length < 0 || length > bytes.remaining()) {
            return null;
        }
        byte[] content = new byte[length];
        bytes.get(content);
        return checksum(incarnation, sequence, content) == expectedChecksum
                ? new StoredRecord(sequence, content)
                : null;
    }

    private static int checksum(long incarnation, long sequence, byte[] content) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(HEADER_BYTES)
                .putLong(incarnation)
                .putLong(sequence)
                .putInt(content.length)
                .flip());
        crc.update(content);
        return (int) crc.getValue();
    }

    /** Returns the sequence number of the newest valid record that was found or written; 0 for none. */
    long newestSequence() {
        return newestSequence;
    }

    /** Reads the content of the newest record from its file. */
    byte[] readNewest() throws IOException {
        byte[] bytes = directory.read(names.get(newestIndex));
        StoredRecord stored = bytes == null ? null : parse(ByteBuffer.wrap(bytes));
        if (stored == null || stored.sequence != newestSequence) {
            throw new IOException(names.get(newestIndex) + " changed since it was written");
        }
        return stored.content;
    }

    /**
     * Replaces the record under a number above all earlier ones, and returns once it is durable; if it throws, the
     * previous record stays valid.
     */
    void write(long sequence, byte[] content) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(HEADER_BYTES + content.length);
        bytes.putInt(MAGIC).putLong(incarnation).putLong(sequence).putInt(content.length);
        bytes.putInt(checksum(incarnation, sequence, content)).put(content).flip();
        int index = 1 - newestIndex;
        directory.write(names.get(index), bytes);
        newestIndex = index;
        newestSequence = sequence;
    }
}
