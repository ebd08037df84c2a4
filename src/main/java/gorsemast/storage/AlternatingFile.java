package gorsemast.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * One record in two files that are written in turn, each over its own last content: while one is written the other holds
 * the whole record before. Files are made once and never renamed, removed or cut, so a write needs one sync and no name.
 *
 * <p>A file is a mark, the number of the life that wrote it, a sequence number, a length, a CRC-32C over these and the
 * content, and the content; what follows is left over from longer ones. A file that does not fit its check counts as empty.
 * Sequence numbers of writes that were cut are given again, in another life: so pieces of two such writes never make one
 * whole. One thread, which waits for the disk.
 */
final class AlternatingFile {
    private static final int MARK = 0x47_53_52_31;
    private static final int HEAD_BYTES = Integer.BYTES + 2 * Long.BYTES + 2 * Integer.BYTES;

    private record Whole(long sequence, byte[] content) {}

    private final Directory folder;
    private final List<String> names;
    private final long life;
    /** Of the newest whole record; 0 for none. */
    private long newest;

    private int newestAt = 1;

    /**
     * Opens the two files of this name and makes those that lack; the folder's names are the caller's to sync.
     *
     * @param life a number that no other opening was given
     */
    AlternatingFile(Directory folder, String name, long life) throws IOException {
        this.folder = folder;
        this.life = life;
        this.names = List.of(name + ".0", name + ".1");
        for (int at = 0; at < names.size(); at++) {
            byte[] bytes = folder.read(names.get(at));
            if (bytes == null) {
                folder.write(names.get(at), ByteBuffer.allocate(0));
            } else {
                // An earlier life may have been killed before it could: what is built on it must not go with power.
                folder.sync(names.get(at));
            }
            Whole whole = bytes == null ? null : whole(ByteBuffer.wrap(bytes));
            if (whole != null && whole.sequence > newest) {
                newest = whole.sequence;
                newestAt = at;
            }
        }
    }

    private static Whole whole(ByteBuffer bytes) {
        if (bytes.remaining() < HEAD_BYTES || bytes.getInt() != MARK) {
            return null;
        }
        long life = bytes.getLong();
        long sequence = bytes.getLong();
        int length = bytes.getInt();
        int check = bytes.getInt();
        if (length < 0 || length > bytes.remaining()) {
            return null;
        }
        byte[] content = new byte[length];
        bytes.get(content);
        return check(life, sequence, content) == check ? new Whole(sequence, content) : null;
    }

    private static int check(long life, long sequence, byte[] content) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(HEAD_BYTES)
                .putLong(life)
                .putLong(sequence)
                .putInt(content.length)
                .flip());
        crc.update(content);
        return (int) crc.getValue();
    }

    /** The number of the newest whole record that was found or written; 0 for none. */
    long newest() {
        return newest;
    }

    /** What that record holds, from its file. */
    byte[] content() throws IOException {
        byte[] bytes = folder.read(names.get(newestAt));
        Whole whole = bytes == null ? null : whole(ByteBuffer.wrap(bytes));
        if (whole == null || whole.sequence != newest) {
            throw new IOException(names.get(newestAt) + " is not what it was");
        }
        return whole.content;
    }

    /** Replaces the record, under a number above all before, and returns once that is safe; where it throws, the one before stands. */
    void write(long sequence, byte[] content) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(HEAD_BYTES + content.length);
        bytes.putInt(MARK).putLong(life).putLong(sequence).putInt(content.length);
        bytes.putInt(check(life, sequence, content)).put(content).flip();
        int at = 1 - newestAt;
        folder.write(names.get(at), bytes);
        newestAt = at;
        newest = sequence;
    }
}
