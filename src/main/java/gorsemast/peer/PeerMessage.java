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

/** What processes say to each other over a link. Values; any thread. */
public sealed interface PeerMessage {
    /** Programs, as they name themselves. */
    enum Program {
        PROXY,
        REGISTRY,
        STORE
    }

    /** The first word on each link, from both sides. */
    record Hello(Program program, String ip, String zone, String controlAddress, long incarnation)
            implements PeerMessage {}

    /** A sign of life. */
    record Ping() implements PeerMessage {}

    /**
     * All news in short.
     *
     * @param synced whether the sender vouches for its news now
     * @param requestTime the sender's time where it wants the other's digest back, else 0
     * @param inReplyTo the {@code requestTime} of what this is an answer to, else 0
     */
    record Digest(boolean synced, long requestTime, long inReplyTo, long[] buckets) implements PeerMessage {}

    /**
     * Registry to registry: compare this with what you hold; empty buckets ask only whether all that came before on
     * this link has been dealt with.
     *
     * @param sentAt the sender's time, which the answer brings back
     */
    record CompareRequest(long sentAt, long[] buckets) implements PeerMessage {}

    /**
     * The answer to {@link CompareRequest}.
     *
     * @param term of the membership that the sender goes by
     * @param complete whether its disk has all that it ever confirmed to hold
     * @param buckets those that differ, a bit for each
     */
    record CompareResponse(long sentAt, long term, boolean complete, int buckets) implements PeerMessage {}

    /** Store to the registry on its machine: addresses of the members of its view, and of those before where it changes. */
    record Members(long term, List<String> members, List<String> previousMembers) implements PeerMessage {}

    /** The stamps of some parts; whoever gets it tells what it has newer and, where {@code requestTime}, what it lacks. */
    record Summary(int buckets, boolean asks, List<GossipState.EntryVersion> versions) implements PeerMessage {}

    /** News; told back by {@link Persisted} where {@code commandId} is not 0. */
    record Updates(long commandId, List<Entry> entries) implements PeerMessage {}

    /** The news of this order is on the sender's disk too, synced; {@code term} of the membership that it goes by. */
    record Persisted(long commandId, long term) implements PeerMessage {}

    /** Beats that a registry has had since it last told: ids and their counts of calls. */
    record Heartbeats(List<Heartbeat> heartbeats) implements PeerMessage {}

    /** One of those. */
    record Heartbeat(String id, long seq) {}

    /** Registry to store: keep this version. */
    record Put(long callId, long version, byte[] body) implements PeerMessage {}

    /** Registry to store: the newest version, with its body where it is not the known one of the known term. */
    record Get(long callId, long knownVersion, long knownTerm) implements PeerMessage {}

    /**
     * Store to registry, or to the store that passed the call on: what holds now. Version 0 stands for none.
     *
     * @param digest of the content that holds
     * @param body that content; null where the asker has it
     */
    record StoreAnswer(long callId, CallOutcome outcome, long version, long term, ContentDigest digest, byte[] body)
            implements PeerMessage {
        /** The same for the call that it was passed on for, with a body that the asker gave. */
        public StoreAnswer forCall(long other, byte[] given) {
            return new StoreAnswer(other, outcome, version, term, digest, given);
        }
    }

    /** Store to store, between members; what it says is decided elsewhere. */
    record StoreMessage(Message message) implements PeerMessage {}

    /** Registry to registry: a ballot on who does what one does for all. */
    record Ballot(LeaseElection.MessageType type, long term, long sentAt) implements PeerMessage {}

    /** Registry to proxy: what all edges together have seen of servers' speeds, as {@link SpeedReport} has it. */
    record ServerSpeeds(Map<String, double[]> servers) implements PeerMessage {}

    /** The first byte of each record; another one is another form of them. */
    int FORMAT_VERSION = 2;
    /** The longest record, a bound on what one peer makes another keep. */
    int MAX_BYTES = 72 << 20;

    /** Writes it, form and type first; {@code now} for what carries an age. */
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
        } else if (this instanceof Summary summary) {
            out.writeByte(4);
            out.writeInt(summary.buckets);
            out.writeBoolean(summary.asks);
            out.writeInt(summary.versions.size());
            for (GossipState.EntryVersion stamp : summary.versions) {
                stamp.write(out);
            }
        } else if (this instanceof Updates news) {
            out.writeByte(5);
            out.writeLong(news.commandId);
            out.writeInt(news.entries.size());
            for (Entry item : news.entries) {
                item.write(out, now);
            }
        } else if (this instanceof Persisted held) {
            out.writeByte(6);
            out.writeLong(held.commandId);
            out.writeLong(held.term);
        } else if (this instanceof Heartbeats heard) {
            out.writeByte(7);
            out.writeInt(heard.heartbeats.size());
            for (Heartbeat beat : heard.heartbeats) {
                out.writeUTF(beat.id);
                out.writeLong(beat.seq);
            }
        } else if (this instanceof Put put) {
            out.writeByte(8);
            out.writeLong(put.callId);
            out.writeLong(put.version);
            bytes(out, put.body);
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
            bytes(out, answer.body);
        } else if (this instanceof StoreMessage between) {
            out.writeByte(11);
            MessageCodec.write(out, between.message);
        } else if (this instanceof Ballot ballot) {
            out.writeByte(12);
            out.writeByte(ballot.type.ordinal());
            out.writeLong(ballot.term);
            out.writeLong(ballot.sentAt);
        } else if (this instanceof ServerSpeeds pooled) {
            out.writeByte(13);
            SpeedReport.write(out, pooled.servers);
        } else if (this instanceof CompareRequest compare) {
            out.writeByte(20);
            out.writeLong(compare.sentAt);
            out.writeByte(compare.buckets.length);
            for (long bucket : compare.buckets) {
                out.writeLong(bucket);
            }
        } else if (this instanceof CompareResponse compared) {
            out.writeByte(21);
            out.writeLong(compared.sentAt);
            out.writeLong(compared.term);
            out.writeBoolean(compared.complete);
            out.writeInt(compared.buckets);
        } else if (this instanceof Members members) {
            out.writeByte(22);
            out.writeLong(members.term);
            texts(out, members.members);
            texts(out, members.previousMembers);
        }
    }

    /** Reads one; throws {@link IOException} on anything that is none. */
    static PeerMessage read(DataInputStream in, long now) throws IOException {
        if (in.readUnsignedByte() != FORMAT_VERSION) {
            throw new IOException("another form of records");
        }
        int type = in.readUnsignedByte();
        return switch (type) {
            case 1 -> {
                int program = in.readUnsignedByte();
                if (program >= Program.values().length) {
                    throw new IOException("no program " + program);
                }
                yield new Hello(Program.values()[program], in.readUTF(), in.readUTF(), in.readUTF(), in.readLong());
            }
            case 2 -> new Ping();
            case 3 -> {
                yield new Digest(in.readBoolean(), in.readLong(), in.readLong(), buckets(in, GossipState.BUCKETS));
            }
            case 4 -> {
                int parts = in.readInt();
                boolean asks = in.readBoolean();
                int count = count(in);
                List<GossipState.EntryVersion> stamps = new ArrayList<>();
                for (int i = 0; i < count; i++) {
                    stamps.add(GossipState.EntryVersion.read(in));
                }
                yield new Summary(parts, asks, stamps);
            }
            case 5 -> {
                long order = in.readLong();
                int count = count(in);
                List<Entry> items = new ArrayList<>();
                for (int i = 0; i < count; i++) {
                    items.add(Entry.read(in, now));
                }
                yield new Updates(order, items);
            }
            case 6 -> new Persisted(in.readLong(), in.readLong());
            case 7 -> {
                int count = count(in);
                List<Heartbeat> beats = new ArrayList<>();
                for (int i = 0; i < count; i++) {
                    beats.add(new Heartbeat(in.readUTF(), in.readLong()));
                }
                yield new Heartbeats(beats);
            }
            case 8 -> new Put(in.readLong(), in.readLong(), bytes(in));
            case 9 -> new Get(in.readLong(), in.readLong(), in.readLong());
            case 10 ->
                new StoreAnswer(
                        in.readLong(),
                        CallOutcome.of(in.readUnsignedByte()),
                        in.readLong(),
                        in.readLong(),
                        ContentDigest.read(in),
                        bytes(in));
            case 11 -> new StoreMessage(MessageCodec.read(in));
            case 12 -> {
                LeaseElection.MessageType word = LeaseElection.MessageType.of(in.readUnsignedByte());
                if (word == null) {
                    throw new IOException("no such word");
                }
                yield new Ballot(word, in.readLong(), in.readLong());
            }
            case 13 -> new ServerSpeeds(SpeedReport.read(in));
            case 20 -> {
                long at = in.readLong();
                int buckets = in.readUnsignedByte();
                if (buckets != 0 && buckets != GossipState.BUCKETS) {
                    throw new IOException(buckets + " parts");
                }
                yield new CompareRequest(at, buckets(in, buckets));
            }
            case 21 -> new CompareResponse(in.readLong(), in.readLong(), in.readBoolean(), in.readInt());
            case 22 -> new Members(in.readLong(), texts(in), texts(in));
            default -> throw new IOException("no record " + type);
        };
    }

    private static long[] buckets(DataInputStream in, int count) throws IOException {
        long[] buckets = new long[count];
        for (int i = 0; i < count; i++) {
            buckets[i] = in.readLong();
        }
        return buckets;
    }

    private static void texts(DataOutputStream out, List<String> texts) throws IOException {
        out.writeByte(texts.size());
        for (String text : texts) {
            out.writeUTF(text);
        }
    }

    private static List<String> texts(DataInputStream in) throws IOException {
        List<String> texts = new ArrayList<>();
        for (int i = in.readUnsignedByte(); i > 0; i--) {
            texts.add(in.readUTF());
        }
        return List.copyOf(texts);
    }

    private static int count(DataInputStream in) throws IOException {
        int count = in.readInt();
        if (count < 0 || count > in.available()) {
            throw new IOException("a count of " + count);
        }
        return count;
    }

    private static void bytes(DataOutputStream out, byte[] body) throws IOException {
        out.writeInt(body == null ? -1 : body.length);
        if (body != null) {
            out.write(body);
        }
    }

    private static byte[] bytes(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < 0) {
            return null;
        }
        if (length > in.available()) {
            throw new IOException("a body of " + length);
        }
        byte[] body = new byte[length];
        in.readFully(body);
        return body;
    }
}
