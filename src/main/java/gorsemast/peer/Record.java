package gorsemast.peer;

import gorsemast.election.LeaseElection;
import gorsemast.gossip.Entry;
import gorsemast.gossip.GossipState;
import gorsemast.gossip.SpeedNews;
import gorsemast.store.Message;
import gorsemast.store.MessageCodec;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** What processes say to each other over a link. Values; any thread. */
public sealed interface Record {
    /** Programs, as they name themselves. */
    enum Program {
        PROXY,
        REGISTRY,
        STORE
    }

    /** The first word on each link, from both sides. */
    record Hello(Program program, String ip, String zone, String control, long life) implements Record {}

    /** A sign of life. */
    record Ping() implements Record {}

    /** All news in short; {@code synced} where the sender is not still catching up itself. */
    record Digest(boolean synced, long[] buckets) implements Record {}

    /** The stamps of some parts; whoever gets it tells what it has newer and, where {@code asks}, what it lacks. */
    record Summary(int parts, boolean asks, List<GossipState.Stamp> stamps) implements Record {}

    /** News; told back by {@link Held} where {@code order} is not 0. */
    record News(long order, List<Entry> items) implements Record {}

    /** The news of this order is held by the sender too. */
    record Held(long order) implements Record {}

    /** Beats that a registry has had since it last told: ids and their counts of calls. */
    record Heard(List<Beat> beats) implements Record {}

    /** One of those. */
    record Beat(String id, long seq) {}

    /** Registry to store: keep this version. */
    record Put(long call, long version, byte[] body) implements Record {}

    /** Registry to store: the newest version, with its body where it is not {@code known}. */
    record Get(long call, long known) implements Record {}

    /** Store to registry; {@code done} where it is certain. Version 0 stands for none. */
    record Answer(long call, boolean done, long version, byte[] body) implements Record {}

    /** Store to store, between members; what it says is decided elsewhere. */
    record Between(Message message) implements Record {}

    /** Registry to registry: a ballot on who does what one does for all. */
    record Ballot(LeaseElection.Word word, long term, long at) implements Record {}

    /** Registry to proxy: what all edges together have seen of servers' speeds, as {@link SpeedNews} has it. */
    record Pooled(Map<String, double[]> servers) implements Record {}

    /** The first byte of each record; another one is another form of them. */
    int FORM = 1;
    /** The longest record, a bound on what one peer makes another keep. */
    int LONGEST = 72 << 20;

    /** Writes it, form and type first; {@code now} for what carries an age. */
    default void write(DataOutputStream out, long now) throws IOException {
        out.writeByte(FORM);
        if (this instanceof Hello hello) {
            out.writeByte(1);
            out.writeByte(hello.program.ordinal());
            out.writeUTF(hello.ip);
            out.writeUTF(hello.zone);
            out.writeUTF(hello.control);
            out.writeLong(hello.life);
        } else if (this instanceof Ping) {
            out.writeByte(2);
        } else if (this instanceof Digest digest) {
            out.writeByte(3);
            out.writeBoolean(digest.synced);
            for (long bucket : digest.buckets) {
                out.writeLong(bucket);
            }
        } else if (this instanceof Summary summary) {
            out.writeByte(4);
            out.writeInt(summary.parts);
            out.writeBoolean(summary.asks);
            out.writeInt(summary.stamps.size());
            for (GossipState.Stamp stamp : summary.stamps) {
                out.writeByte(stamp.kind().ordinal());
                out.writeUTF(stamp.key());
                out.writeLong(stamp.stamp());
            }
        } else if (this instanceof News news) {
            out.writeByte(5);
            out.writeLong(news.order);
            out.writeInt(news.items.size());
            for (Entry item : news.items) {
                item.write(out, now);
            }
        } else if (this instanceof Held held) {
            out.writeByte(6);
            out.writeLong(held.order);
        } else if (this instanceof Heard heard) {
            out.writeByte(7);
            out.writeInt(heard.beats.size());
            for (Beat beat : heard.beats) {
                out.writeUTF(beat.id);
                out.writeLong(beat.seq);
            }
        } else if (this instanceof Put put) {
            out.writeByte(8);
            out.writeLong(put.call);
            out.writeLong(put.version);
            bytes(out, put.body);
        } else if (this instanceof Get get) {
            out.writeByte(9);
            out.writeLong(get.call);
            out.writeLong(get.known);
        } else if (this instanceof Answer answer) {
            out.writeByte(10);
            out.writeLong(answer.call);
            out.writeBoolean(answer.done);
            out.writeLong(answer.version);
            bytes(out, answer.body);
        } else if (this instanceof Between between) {
            out.writeByte(11);
            MessageCodec.write(out, between.message);
        } else if (this instanceof Ballot ballot) {
            out.writeByte(12);
            out.writeByte(ballot.word.ordinal());
            out.writeLong(ballot.term);
            out.writeLong(ballot.at);
        } else if (this instanceof Pooled pooled) {
            out.writeByte(13);
            SpeedNews.write(out, pooled.servers);
        }
    }

    /** Reads one; throws {@link IOException} on anything that is none. */
    static Record read(DataInputStream in, long now) throws IOException {
        if (in.readUnsignedByte() != FORM) {
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
                boolean synced = in.readBoolean();
                long[] buckets = new long[GossipState.BUCKETS];
                for (int i = 0; i < buckets.length; i++) {
                    buckets[i] = in.readLong();
                }
                yield new Digest(synced, buckets);
            }
            case 4 -> {
                int parts = in.readInt();
                boolean asks = in.readBoolean();
                int count = count(in);
                List<GossipState.Stamp> stamps = new ArrayList<>();
                for (int i = 0; i < count; i++) {
                    stamps.add(
                            new GossipState.Stamp(Entry.Kind.of(in.readUnsignedByte()), in.readUTF(), in.readLong()));
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
                yield new News(order, items);
            }
            case 6 -> new Held(in.readLong());
            case 7 -> {
                int count = count(in);
                List<Beat> beats = new ArrayList<>();
                for (int i = 0; i < count; i++) {
                    beats.add(new Beat(in.readUTF(), in.readLong()));
                }
                yield new Heard(beats);
            }
            case 8 -> new Put(in.readLong(), in.readLong(), bytes(in));
            case 9 -> new Get(in.readLong(), in.readLong());
            case 10 -> new Answer(in.readLong(), in.readBoolean(), in.readLong(), bytes(in));
            case 11 -> new Between(MessageCodec.read(in));
            case 12 -> {
                LeaseElection.Word word = LeaseElection.Word.of(in.readUnsignedByte());
                if (word == null) {
                    throw new IOException("no such word");
                }
                yield new Ballot(word, in.readLong(), in.readLong());
            }
            case 13 -> new Pooled(SpeedNews.read(in));
            default -> throw new IOException("no record " + type);
        };
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
