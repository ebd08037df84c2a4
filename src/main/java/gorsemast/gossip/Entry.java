package gorsemast.gossip;

import gorsemast.configuration.ContentDigest;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * One entry of the gossip state. Of two with the same key the one with the higher stamp wins, then that of the later term.
 *
 * @param key unique within its kind
 * @param origin term and digest of the content, for kinds of which one stamp may have several contents
 * @param body the encoded content; must not be modified
 * @param createdAt when it was first published, by the clock of the process that holds it, in microseconds
 */
public record Entry(Kind kind, String key, long stamp, Origin origin, byte[] body, long createdAt) {
    /**
     * The term that confirmed a content, and its digest; of two contents under a stamp that of the later term wins.
     *
     * @param digest digest of the content; also breaks ties, which only a fault can cause
     */
    public record Origin(long term, ContentDigest digest) implements Comparable<Origin> {
        /** The origin of entries that their stamp orders completely. */
        public static final Origin NONE = new Origin(0, ContentDigest.NONE);

        @Override
        public int compareTo(Origin other) {
            return term != other.term ? Long.compare(term, other.term) : digest.compareTo(other.digest);
        }
    }

    /** What an entry is about. */
    public enum Kind {
        /** The operator's configuration: a single key, stamped with the version, with the store's term and the digest. */
        CONFIGURATION(false),
        /** A server's state, stamped by the server's call sequence number; expires once it has left or is silent. */
        SERVER(false),
        /** A purge: responses cached before it must not be served any more. */
        PURGE(true),
        /** A core machine and where its programs listen. */
        CORE(false),
        /** An edge, and where it listens. */
        EDGE(false),
        /** The server speeds measured by one edge; sent so often that lost ones are not repaired. */
        SPEED(true);

        private static final Kind[] VALUES = values();
        private final boolean expires;

        Kind(boolean expires) {
            this.expires = expires;
        }

        /** Returns whether a stamp may have several contents, so that an origin is encoded with it. */
        boolean hasOrigin() {
            return this == CONFIGURATION;
        }

        /** Returns whether digests cover this kind, so that gaps are repaired. */
        public boolean reconciled() {
            return this != SPEED;
        }

        /** Returns the kind of this ordinal. */
        public static Kind of(int number) throws IOException {
            if (number < 0 || number >= VALUES.length) {
                throw new IOException("unknown entry kind " + number);
            }
            return VALUES[number];
        }
    }

    private static final int MAX_BODY_BYTES = 64 << 20;

    /** Creates an entry that its stamp orders completely. */
    public Entry(Kind kind, String key, long stamp, byte[] body, long createdAt) {
        this(kind, key, stamp, Origin.NONE, body, createdAt);
    }

    /** Creates the entry of a configuration as confirmed by the store. */
    public static Entry configuration(long version, long term, ContentDigest digest, byte[] body, long createdAt) {
        return new Entry(Kind.CONFIGURATION, "", version, new Origin(term, digest), body, createdAt);
    }

    /** Returns key, stamp and origin, which digests and summaries cover. */
    GossipState.EntryVersion version() {
        return new GossipState.EntryVersion(kind, key, stamp, origin);
    }

    /** Returns whether it is removed after some time; an entry that is still in effect never expires. */
    boolean expires() {
        return kind == Kind.SERVER ? ServerInfo.expires(stamp) : kind.expires;
    }

    /** Writes the entry with its age instead of its time, as machines do not compare their clocks. */
    public void write(DataOutputStream out, long now) throws IOException {
        version().write(out);
        out.writeLong(Math.max(0, now - createdAt));
        out.writeInt(body.length);
        out.write(body);
    }

    /** Reads what {@link #write} wrote. */
    public static Entry read(DataInputStream in, long now) throws IOException {
        GossipState.EntryVersion version = GossipState.EntryVersion.read(in);
        long age = in.readLong();
        int length = in.readInt();
        if (length < 0 || length > MAX_BODY_BYTES || age < 0) {
            throw new IOException("invalid entry: " + length + " bytes, " + age + " microseconds old");
        }
        byte[] body = new byte[length];
        in.readFully(body);
        return new Entry(version.kind(), version.key(), version.stamp(), version.origin(), body, now - age);
    }
}
