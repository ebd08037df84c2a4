package gorsemast.gossip;

import gorsemast.configuration.ContentDigest;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * One piece of news: of two with the same key the one with the higher stamp holds, then that of the later term.
 *
 * @param key unique within its kind
 * @param origin who vouches for its content, where one stamp may have several
 * @param body a record of its kind; not to be written to
 * @param createdAt when it was first told, by the clock of the process that holds it, in microseconds
 */
public record Entry(Kind kind, String key, long stamp, Origin origin, byte[] body, long createdAt) {
    /**
     * A content and the term that vouches for it; of two contents under a stamp the later term's holds.
     *
     * @param digest of the content; also breaks ties, which come about only by a fault
     */
    public record Origin(long term, ContentDigest digest) implements Comparable<Origin> {
        /** Of news whose stamp says everything. */
        public static final Origin NONE = new Origin(0, ContentDigest.NONE);

        @Override
        public int compareTo(Origin other) {
            return term != other.term ? Long.compare(term, other.term) : digest.compareTo(other.digest);
        }
    }

    /** What it is about. */
    public enum Kind {
        /** The operator's configuration; one key, stamped with its version, and with the store's term and its digest. */
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

        /** Whether a stamp may have several contents, so that an origin goes with it. */
        boolean hasOrigin() {
            return this == CONFIGURATION;
        }

        /** Whether digests are of it. */
        public boolean reconciled() {
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

    /** News whose stamp says everything. */
    public Entry(Kind kind, String key, long stamp, byte[] body, long born) {
        this(kind, key, stamp, Origin.NONE, body, born);
    }

    /** A configuration as the store vouches for it. */
    public static Entry configuration(long version, long term, ContentDigest digest, byte[] body, long born) {
        return new Entry(Kind.CONFIGURATION, "", version, new Origin(term, digest), body, born);
    }

    /** What digests and summaries are of. */
    GossipState.EntryVersion version() {
        return new GossipState.EntryVersion(kind, key, stamp, origin);
    }

    /** Whether it is forgotten after some time: what still holds is not, however long ago it was told. */
    boolean expires() {
        return kind == Kind.SERVER ? ServerInfo.passes(stamp) : kind.passes;
    }

    /** Writes it with its age, as clocks are not compared between machines. */
    public void write(DataOutputStream out, long now) throws IOException {
        version().write(out);
        out.writeLong(Math.max(0, now - createdAt));
        out.writeInt(body.length);
        out.write(body);
    }

    /** Reads what {@link #write} wrote. */
    public static Entry read(DataInputStream in, long now) throws IOException {
        GossipState.EntryVersion mark = GossipState.EntryVersion.read(in);
        long age = in.readLong();
        int length = in.readInt();
        if (length < 0 || length > MOST || age < 0) {
            throw new IOException("news of " + length + " bytes, " + age + " old");
        }
        byte[] body = new byte[length];
        in.readFully(body);
        return new Entry(mark.kind(), mark.key(), mark.stamp(), mark.origin(), body, now - age);
    }
}
