package gorsemast.configuration;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * The identity of a configuration's content: the first 16 bytes of SHA-256 over the body as it was sent. Bodies that
 * differ only in whitespace have different digests. Immutable.
 *
 * @param high the first eight bytes
 * @param low the next eight bytes
 */
public record ContentDigest(long high, long low) implements Comparable<ContentDigest> {
    /** The digest that stands for no content. */
    public static final ContentDigest NONE = new ContentDigest(0, 0);

    /** Returns the digest of a body. */
    public static ContentDigest of(byte[] body) {
        try {
            byte[] sha256 = MessageDigest.getInstance("SHA-256").digest(body);
            return new ContentDigest(number(sha256, 0), number(sha256, Long.BYTES));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // required of every Java platform
        }
    }

    private static long number(byte[] bytes, int from) {
        long number = 0;
        for (int i = from; i < from + Long.BYTES; i++) {
            number = number << Byte.SIZE | bytes[i] & 0xff;
        }
        return number;
    }

    @Override
    public int compareTo(ContentDigest other) {
        return high != other.high ? Long.compareUnsigned(high, other.high) : Long.compareUnsigned(low, other.low);
    }

    /** Writes its 16 bytes. */
    public void write(DataOutputStream out) throws IOException {
        out.writeLong(high);
        out.writeLong(low);
    }

    /** Reads what {@link #write} wrote. */
    public static ContentDigest read(DataInputStream in) throws IOException {
        return new ContentDigest(in.readLong(), in.readLong());
    }
}
