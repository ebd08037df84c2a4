package gorsemast.gossip;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * One piece of news: of two with the same key the one with the higher stamp holds.
 *
 * @param key unique within its kind
 * @param body a record of its kind; not to be written to
 * @param born when it was first told, by the clock of the process that holds it, in microseconds
 */
public record Entry(Kind kind, String key, long stamp, byte[] body, long born) {
    /** What it is about. */
    public enum Kind {
        /** The operator's configuration; one key, stamped with its version. */
        CONFIGURATION(false),
        /** A server's state, stamped by its own count of calls; passes once it has left or is silent. */
        SERVER(false),
        /** Copies made before this are not to be served any more. */
        PURGE(true),
        /** A core machine and where its programs listen. */
        CORE(false),
        /** An edge, and where it listens. */
        EDGE(false),
        /** What one edge has seen of servers' speeds; told anew so often that gaps are not mended. */
        SPEED(true);

        private static final Kind[] ALL = values();
        private final boolean passes;

        Kind(boolean passes) {
            this.passes = passes;
        }

        /** Whether digests are of it. */
        public boolean mended() {
            return this != SPEED;
        }

        /** The kind of this number. */
        public static Kind of(int number) throws IOException {
            if (number < 0 || number >= ALL.length) {
                throw new IOException("no kind of news " + number);
            }
            return ALL[number];
        }
    }

    private static final int MOST = 64 << 20;

    /** Whether it is forgotten after some time: what still holds is not, however long ago it was told. */
    boolean passes() {
        return kind == Kind.SERVER ? ServerNews.passes(stamp) : kind.passes;
    }

    /** Writes it with its age, as clocks are not compared between machines. */
    public void write(DataOutputStream out, long now) throws IOException {
        out.writeByte(kind.ordinal());
        out.writeUTF(key);
        out.writeLong(stamp);
        out.writeLong(Math.max(0, now - born));
        out.writeInt(body.length);
        out.write(body);
    }

    /** Reads what {@link #write} wrote. */
    public static Entry read(DataInputStream in, long now) throws IOException {
        Kind kind = Kind.of(in.readUnsignedByte());
        String key = in.readUTF();
        long stamp = in.readLong();
        long age = in.readLong();
        int length = in.readInt();
        if (length < 0 || length > MOST || age < 0) {
            throw new IOException("news of " + length + " bytes, " + age + " old");
        }
        byte[] body = new byte[length];
        in.readFully(body);
        return new Entry(kind, key, stamp, body, now - age);
    }
}
