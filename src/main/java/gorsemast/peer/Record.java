package gorsemast.peer;

import gorsemast.configuration.ContentDigest;
import gorsemast.election.LeaseElection;
import gorsemast.gossip.Entry;
import gorsemast.gossip.GossipState;
import gorsemast.gossip.SpeedNews;
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

    /**
     * All news in short.
     *
     * @param synced whether the sender vouches for its news now
     * @param asks the sender's time where it wants the other's digest back, else 0
     * @param answers the {@code asks} of what this is an answer to, else 0
     */
    record Digest(boolean synced, long asks, long answers, long[] buckets) implements Record {}

    /**
     * Registry to registry: compare this with what you hold; empty buckets ask only whether all that came before on
     * this link has been dealt with.
     *
     * @param at the sender's time, which the answer brings back
     */
    record Compare(long at, long[] buckets) implements Record {}

    /**
     * The answer to {@link Compare}.
     *
     * @param term of the membership that the sender goes by
     * @param complete whether its disk has all that it ever confirmed to hold
     * @param parts those that differ, a bit for each
     */
    record Compared(long at, long term, boolean complete, int parts) implements Record {}

    /** Store to the registry on its machine: addresses of the members of its view, and of those before where it changes. */
    record Members(long term, List<String> members, List<String> before) implements Record {}

    /** The stamps of some parts; whoever gets it tells what it has newer and, where {@code asks}, what it lacks. */
    record Summary(int parts, boolean asks, List<GossipState.Stamp> stamps) implements Record {}

    /** News; told back by {@link Held} where {@code order} is not 0. */
    record News(long order, List<Entry> items) implements Record {}

    /** The news of this order is on the sender's disk too, synced; {@code term} of the membership that it goes by. */
    record Held(long order, long term) implements Record {}

    /** Beats that a registry has had since it last told: ids and their counts of calls. */
    record Heard(List<Beat> beats) implements Record {}

    /** One of those. */
    record Beat(String id, long seq) {}

    /** Registry to store: keep this version. */
    record Put(long call, long version, byte[] body) implements Record {}

    /** Registry to store: the newest version, with its body where it is not the known one of the known term. */
    record Get(long call, long known, long knownTerm) implements Record {}

    /**
     * Store to registry, or to the store that passed the call on: what holds now. Version 0 stands for none.
     *
     * @param digest of the content that holds
     * @param body that content; null where the asker has it
     */
    record Answer(long call, CallOutcome outcome, long version, long term, ContentDigest digest, byte[] body)
            implements Record {
        /** The same for the call that it was passed on for, with a body that the asker gave. */
        public Answer to(long other, byte[] given) {
            return new Answer(other, outcome, version, term, digest, given);
        }
    }

    /** Store to store, between members; what it says is decided elsewhere. */
    record Between(Message message) implements Record {}

    /** Registry to registry: a ballot on who does what one does for all. */
    record Ballot(LeaseElection.Word word, long term, long at) implements Record {}

    /** Registry to proxy: what all edges together have seen of servers' speeds, as {@link SpeedNews} has it. */
    record Pooled(Map<String, double[]> servers) implements Record {}

    /** The first byte of each record; another one is another form of them. */
    int FORM = 2;
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
            out.writeLong(digest.asks);
            out.writeLong(digest.answers);
            for (long bucket : digest.buckets) {
                out.writeLong(bucket);
            }
        } else if (this instanceof Summary summary) {
            out.writeByte(4);
            out.writeInt(summary.parts);
            out.writeBoolean(summary.asks);
            out.writeInt(summary.stamps.size());
            for (GossipState.Stamp stamp : summary.stamps) {
                stamp.write(out);
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
            out.writeLong(held.term);
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
            out.writeLong(get.knownTerm);
        } else if (this instanceof Answer answer) {
            out.writeByte(10);
            out.writeLong(answer.call);
            out.writeByte(answer.outcome.ordinal());
            out.writeLong(answer.version);
            out.writeLong(answer.term);
            answer.digest.write(out);
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
        } else if (this instanceof Compare compare) {
            out.writeByte(20);
            out.writeLong(compare.at);
            out.writeByte(compare.buckets.length);
            for (long bucket : compare.buckets) {
                out.writeLong(bucket);
            }
        } else if (this instanceof Compared compared) {
            out.writeByte(21);
            out.writeLong(compared.at);
            out.writeLong(compared.term);
            out.writeBoolean(compared.complete);
            out.writeInt(compared.parts);
        } else if (this instanceof Members members) {
            out.writeByte(22);
            out.writeLong(members.term);
            texts(out, members.members);
            texts(out, members.before);
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
                yield new Digest(in.readBoolean(), in.readLong(), in.readLong(), buckets(in, GossipState.BUCKETS));
            }
            case 4 -> {
                int parts = in.readInt();
                boolean asks = in.readBoolean();
                int count = count(in);
                List<GossipState.Stamp> stamps = new ArrayList<>();
                for (int i = 0; i < count; i++) {
                    stamps.add(GossipState.Stamp.read(in));
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
            case 6 -> new Held(in.readLong(), in.readLong());
            case 7 -> {
                int count = count(in);
                List<Beat> beats = new ArrayList<>();
                for (int i = 0; i < count; i++) {
                    beats.add(new Beat(in.readUTF(), in.readLong()));
                }
                yield new Heard(beats);
            }
            case 8 -> new Put(in.readLong(), in.readLong(), bytes(in));
            case 9 -> new Get(in.readLong(), in.readLong(), in.readLong());
            case 10 ->
                new Answer(
                        in.readLong(),
                        CallOutcome.of(in.readUnsignedByte()),
                        in.readLong(),
                        in.readLong(),
                        ContentDigest.read(in),
                        bytes(in));
            case 11 -> new Between(MessageCodec.read(in));
            case 12 -> {
                LeaseElection.Word word = LeaseElection.Word.of(in.readUnsignedByte());
                if (word == null) {
                    throw new IOException("no such word");
                }
                yield new Ballot(word, in.readLong(), in.readLong());
            }
            case 13 -> new Pooled(SpeedNews.read(in));
            case 20 -> {
                long at = in.readLong();
                int buckets = in.readUnsignedByte();
                if (buckets != 0 && buckets != GossipState.BUCKETS) {
                    throw new IOException(buckets + " parts");
                }
                yield new Compare(at, buckets(in, buckets));
            }
            case 21 -> new Compared(in.readLong(), in.readLong(), in.readBoolean(), in.readInt());
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
