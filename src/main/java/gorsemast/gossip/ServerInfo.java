package gorsemast.gossip;

import gorsemast.transport.Address;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * What is known of one life of a server.
 *
 * @param seq the number of its call that told this
 * @param warmupMicros for how long it is slow yet, from when this was told
 */
public record ServerInfo(
        String id,
        String service,
        String address,
        String zone,
        double capacity,
        State state,
        long seq,
        long warmupMicros) {
    /** What it does; the order breaks ties within one call's number. */
    public enum State {
        /** It takes requests. */
        READY,
        /** It has told nothing for long; it may be gone. */
        SILENT,
        /** It leaves and takes nothing new. */
        DRAINING,
        /** It has left, for good. */
        GONE;

        private static final State[] ALL = values();
    }

    /** Higher for later calls; one that has left stays so whatever comes late. */
    public long stamp() {
        return state == State.GONE ? Long.MAX_VALUE : seq * State.ALL.length + state.ordinal();
    }

    /** Whether a stamp is of one that has left or is silent, and may be forgotten some time after. */
    static boolean passes(long stamp) {
        return stamp == Long.MAX_VALUE || stamp % State.ALL.length == State.SILENT.ordinal();
    }

    /** Where it is dialled; null where the address is none. */
    public InetSocketAddress socketAddress() {
        return Address.parse(address);
    }

    /** The same server in another state. */
    public ServerInfo withState(State next, long atSeq) {
        return new ServerInfo(id, service, address, zone, capacity, next, atSeq, warmupMicros);
    }

    /** As a piece of news. */
    public Entry toEntry(long now) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeUTF(service);
            out.writeUTF(address);
            out.writeUTF(zone);
            out.writeDouble(capacity);
            out.writeByte(state.ordinal());
            out.writeLong(seq);
            out.writeLong(warmupMicros);
        } catch (IOException e) {
            throw new IllegalStateException(e); // memory does not fail
        }
        return new Entry(Entry.Kind.SERVER, id, stamp(), bytes.toByteArray(), now);
    }

    /** What {@link #toEntry} made; null where it can't be read. */
    public static ServerInfo fromEntry(Entry item) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(item.body()))) {
            return new ServerInfo(
                    item.key(),
                    in.readUTF(),
                    in.readUTF(),
                    in.readUTF(),
                    in.readDouble(),
                    State.ALL[in.readUnsignedByte()],
                    in.readLong(),
                    in.readLong());
        } catch (IOException | IndexOutOfBoundsException e) {
            return null;
        }
    }
}
