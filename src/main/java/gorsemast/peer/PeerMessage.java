package gorsemast.peer;

import gorsemast.configuration.ContentDigest;
import gorsemast.election.LeaseElection;
import gorsemast.gossip.Entry;
import gorsemast.gossip.GossipState;
import gorsemast.gossip.SpeedReport;
import gorsemast.store.CallOutcome;
import gorsemast.store.Message;
import gorsemast.store.MessageCodec;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The messages between processes over a link, and their codec. Immutable. */
public sealed interface PeerMessage {
    /** The programs of the system. */
    enum Program {
        PROXY,
        REGISTRY,
        STORE
    }

    /** The first message on each link, from both sides: the identity of the sender. */
    record Hello(Program program, String ip, String zone, String controlAddress, long incarnation)
            implements PeerMessage {}

    /** A keep-alive. */
    record Ping() implements PeerMessage {}

    /**
     * The digest of the sender's gossip state.
     *
     * @param synced whether the sender confirms that its state is current
     * @param requestTime the sender's time if it requests the other's digest, else 0
     * @param inReplyTo the {@code requestTime} of the request that this replies to, else 0
     * @param configurationAge how long ago, in microseconds, the sender's configuration was known to be the newest; {@link
     *     #UNKNOWN_AGE} where the sender can't tell
     */
    record Digest(boolean synced, long requestTime, long inReplyTo, long[] buckets, long configurationAge)
            implements PeerMessage {
        /** Longer ago than anything that counts. */
        public static final long UNKNOWN_AGE = Long.MAX_VALUE / 4;
    }

    /**
     * Registry to registry: requests a comparison with these digests. Empty buckets only ask for an answer after all
     * earlier messages on this link.
     *
     * @param sentAt the sender's time, which the answer returns
     */
    record CompareRequest(long sentAt, long[] buckets) implements PeerMessage {}

    /**
     * The answer to {@link CompareRequest}.
     *
     * @param sentAt the time in the request
     * @param term the term of the sender's membership
     * @param complete whether the sender's disk has all that it ever confirmed
     * @param buckets a bit for each bucket that differs
     */
    record CompareResponse(long sentAt, long term, boolean complete, int buckets) implements PeerMessage {}

    /** Store to the registry on its machine: the members of its view, and the previous ones while it changes. */
    record Members(long term, List<String> members, List<String> previousMembers) implements PeerMessage {}

    /** Versions in some buckets; the receiver sends what it has newer and, if {@code requestMissing}, its own versions. */
    record Summary(int buckets, boolean requestMissing, List<GossipState.EntryVersion> versions)
            implements PeerMessage {}

    /** Entries; confirmed by {@link Persisted} if {@code commandId} is not 0. */
    record Updates(long commandId, List<Entry> entries) implements PeerMessage {}

    /** The entries of this command are synced on the sender's disk; {@code term} is that of its membership. */
    record Persisted(long commandId, long term) implements PeerMessage {}

    /** The heartbeats that a registry received since its last message of this type. */
    record Heartbeats(List<Heartbeat> heartbeats) implements PeerMessage {}

    /** A heartbeat: the id of a server or machine and its call sequence number, 0 for a machine. */
    record Heartbeat(String id, long seq) {}

    /** Registry to store: stores this version. */
    record Put(long callId, long version, byte[] body) implements PeerMessage {}

    /** Registry to store: requests the newest version, with its body unless it is the known one of the known term. */
    record Get(long callId, long knownVersion, long knownTerm) implements PeerMessage {}

    /**
     * Store to registry, or to the store that forwarded the call: the current version. Version 0 stands for none.
     *
     * @param digest digest of the current content
     * @param body the current content; null if the requester has it
     */
    record StoreAnswer(long callId, CallOutcome outcome, long version, long term, ContentDigest digest, byte[] body)
            implements PeerMessage {
        /** Returns this answer for the call that was forwarded, with the body that the requester gave. */
        public StoreAnswer forCall(long otherCallId, byte[] otherBody) {
            return new StoreAnswer(otherCallId, outcome, version, term, digest, otherBody);
        }
    }

    /** Store to store: a message of the replication protocol. */
    record StoreMessage(Message message) implements PeerMessage {}

    /** Registry to registry: a message of the election of the one that acts for all. */
    record Ballot(LeaseElection.MessageType type, long term, long sentAt) implements PeerMessage {}

    /** Registry to proxy: the server speeds aggregated over all edges, in the form of {@link SpeedReport}. */
    record ServerSpeeds(Map<String, double[]> servers) implements PeerMessage {}

    /** The first byte of each message; messages with another one are rejected. */
    int FORMAT_VERSION = 2;
    /** The longest message, which bounds what a peer can make another buffer. */
    int MAX_BYTES = 72 << 20;

    /** Writes the message, format version and type first; {@code now} is for entries, which carry their age. */
    default void write(DataOutputStream out, long now) throws IOException {
        out.writeByte(FORMAT_VERSION);
        if (this instanceof Hello hello) {
            out.writeByte(1);
            out.writeByte(hello.program.ordinal());
            out.writeUTF(hello.ip);
            out.writeUTF(hello.zone);
            out.writeUTF(hello.controlAddress);
            out.writeLong(hello.incarnation);
        } else if (this instanceof Ping) {
            out.writeByte(2);
        } else if (this instanceof Digest digest) {
            out.writeByte(3);
            out.writeBoolean(digest.synced);
            out.writeLong(digest.requestTime);
            out.writeLong(digest.inReplyTo);
            for (long bucket : digest.buckets) {
                out.writeLong(bucket);
            }
            out.writeLong(digest.configurationAge);
        } else if (this instanceof Summary summary) {
            out.writeByte(4);
            out.writeInt(summary.buckets);
            out.writeBoolean(summary.requestMissing);
            out.writeInt(summary.versions.size());
            for (GossipState.EntryVersion stamp : summary.versions) {
                stamp.write(out);
            }
        } else if (this instanceof Updates updates) {
            out.writeByte(5);
            out.writeLong(updates.commandId);
            out.writeInt(updates.entries.size());
            for (Entry entry : updates.entries) {
                entry.write(out, now);
            }
        } else if (this instanceof Persisted persisted) {
            out.writeByte(6);
            out.writeLong(persisted.commandId);
            out.writeLong(persisted.term);
        } else if (this instanceof Heartbeats received) {
            out.writeByte(7);
            out.writeInt(received.heartbeats.size());
            for (Heartbeat heartbeat : received.heartbeats) {
                out.writeUTF(heartbeat.id);
                out.writeLong(heartbeat.seq);
            }
        } else if (this instanceof Put put) {
            out.writeByte(8);
            out.writeLong(put.callId);
            out.writeLong(put.version);
            writeBytes(out, put.body);
        } else if (this instanceof Get get) {
            out.writeByte(9);
            out.writeLong(get.callId);
            out.writeLong(get.knownVersion);
            out.writeLong(get.knownTerm);
        } else if (this instanceof StoreAnswer answer) {
            out.writeByte(10);
            out.writeLong(answer.callId);
            out.writeByte(answer.outcome.ordinal());
            out.writeLong(answer.version);
            out.writeLong(answer.term);
            answer.digest.write(out);
            writeBytes(out, answer.body);
        } else if (this instanceof StoreMessage wrapped) {
            out.writeByte(11);
            MessageCodec.write(out, wrapped.message);
        } else if (this instanceof Ballot ballot) {
            out.writeByte(12);
            out.writeByte(ballot.type.ordinal());
            out.writeLong(ballot.term);
            out.writeLong(ballot.sentAt);
        } else if (this instanceof ServerSpeeds speeds) {
            out.writeByte(13);
            SpeedReport.write(out, speeds.servers);
        } else if (this instanceof CompareRequest request) {
            out.writeByte(20);
            out.writeLong(request.sentAt);
            out.writeByte(request.buckets.length);
            for (long bucket : request.buckets) {
                out.writeLong(bucket);
            }
        } else if (this instanceof CompareResponse response) {
            out.writeByte(21);
            out.writeLong(response.sentAt);
            out.writeLong(response.term);
            out.writeBoolean(response.complete);
            out.writeInt(response.buckets);
        } else if (this instanceof Members members) {
            out.writeByte(22);
            out.writeLong(members.term);
            writeStrings(out, members.members);
            writeStrings(out, members.previousMembers);
        }
    }

    /** Reads a message; throws {@link IOException} for invalid input. */
    static PeerMessage read(DataInputStream in, long now) throws IOException {
        if (in.readUnsignedByte() != FORMAT_VERSION) {
            throw new IOException("unsupported format version");
        }
        int type = in.readUnsignedByte();
        return switch (type) {
            case 1 -> {
                int program = in.readUnsignedByte();
                if (program >= Program.values().length) {
                    throw new IOException("unknown program " + program);
                }
                yield new Hello(Program.values()[program], in.readUTF(), in.readUTF(), in.readUTF(), in.readLong());
            }
            case 2 -> new Ping();
            case 3 -> {
                yield new Digest(
                        in.readBoolean(),
                        in.readLong(),
                        in.readLong(),
                        readBuckets(in, GossipState.BUCKETS),
                        in.available() > 0 ? in.readLong() : Digest.UNKNOWN_AGE); // earlier versions end here
            }
            case 4 -> {
                int parts = in.readInt();
                boolean asks = in.readBoolean();
                int count = readCount(in);
                List<GossipState.EntryVersion> stamps = new ArrayList<>();
                for (int i = 0; i < count; i++) {
                    stamps.add(GossipState.EntryVersion.read(in));
                }
                yield new Summary(parts, asks, stamps);
            }
            case 5 -> {
                long commandId = in.readLong();
                int count = readCount(in);
                List<Entry> entries = new ArrayList<>();
                for (int i = 0; i < count; i++) {
                    entries.add(Entry.read(in, now));
                }
                yield new Updates(commandId, entries);
            }
            case 6 -> new Persisted(in.readLong(), in.readLong());
            case 7 -> {
                int count = readCount(in);
                List<Heartbeat> heartbeats = new ArrayList<>();
                for (int i = 0; i < count; i++) {
                    heartbeats.add(new Heartbeat(in.readUTF(), in.readLong()));
                }
                yield new Heartbeats(heartbeats);
            }
            case 8 -> new Put(in.readLong(), in.readLong(), readBytes(in));
            case 9 -> new Get(in.readLong(), in.readLong(), in.readLong());
            case 10 ->
                new StoreAnswer(
                        in.readLong(),
                        CallOutcome.of(in.readUnsignedByte()),
                        in.readLong(),
                        in.readLong(),
                        ContentDigest.read(in),
                        readBytes(in));
            case 11 -> new StoreMessage(MessageCodec.read(in));
            case 12 -> {
                LeaseElection.MessageType messageType = LeaseElection.MessageType.of(in.readUnsignedByte());
                if (messageType == null) {
                    throw new IOException("unknown election message type");
                }
                yield new Ballot(messageType, in.readLong(), in.readLong());
            }
            case 13 -> new ServerSpeeds(SpeedReport.read(in));
            case 20 -> {
                long at = in.readLong();
                int bucketCount = in.readUnsignedByte();
                if (bucketCount != 0 && bucketCount != GossipState.BUCKETS) {
                    throw new IOException(bucketCount + " buckets, unsupported");
                }
                yield new CompareRequest(at, readBuckets(in, bucketCount));
            }
            case 21 -> new CompareResponse(in.readLong(), in.readLong(), in.readBoolean(), in.readInt());
            case 22 -> new Members(in.readLong(), readStrings(in), readStrings(in));
            default -> throw new IOException("unknown message type " + type);
        };
    }

    private static long[] readBuckets(DataInputStream in, int count) throws IOException {
        long[] buckets = new long[count];
        for (int i = 0; i < count; i++) {
            buckets[i] = in.readLong();
        }
        return buckets;
    }

    private static void writeStrings(DataOutputStream out, List<String> texts) throws IOException {
        out.writeByte(texts.size());
        for (String text : texts) {
            out.writeUTF(text);
        }
    }

    private static List<String> readStrings(DataInputStream in) throws IOException {
        List<String> texts = new ArrayList<>();
        for (int i = in.readUnsignedByte(); i > 0; i--) {
            texts.add(in.readUTF());
        }
        return List.copyOf(texts);
    }

    private static int readCount(DataInputStream in) throws IOException {
        int count = in.readInt();
        if (count < 0 || count > in.available()) {
            throw new IOException("invalid count " + count);
        }
        return count;
    }

    private static void writeBytes(DataOutputStream out, byte[] body) throws IOException {
        out.writeInt(body == null ? -1 : body.length);
        if (body != null) {
            out.write(body);
        }
    }

    private static byte[] readBytes(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < 0) {
            return null;
        }
        if (length > in.available()) {
            throw new IOException("invalid body length " + length);
        }
        byte[] body = new byte[length];
        in.readFully(body);
        return body;
    }
}
