package gorsemast.gossip;

import gorsemast.transport.Address;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * The state of one incarnation of a server.
 *
 * @param seq the sequence number of the server's call that reported this
 * @param warmupMicros how long it still warms up and is slow, from when this was reported
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
    /** Lifecycle states; for equal sequence numbers the later constant wins. */
    public enum State {
        /** Accepts requests. */
        READY,
        /** Has sent no heartbeat for some time and may be gone. */
        SILENT,
        /** Is leaving and accepts no new requests. */
        DRAINING,
        /** Has left permanently. */
        GONE;

        private static final State[] VALUES = values();
    }

    /** Returns the stamp, higher for later calls; that of a server that has left is the highest, so that it stays gone. */
    public long stamp() {
        return state == State.GONE ? Long.MAX_VALUE : seq * State.VALUES.length + state.ordinal();
    }

    /** Returns whether a stamp is that of a server that has left or is silent, whose entry expires. */
    static boolean expires(long stamp) {
        return stamp == Long.MAX_VALUE || stamp % State.VALUES.length == State.SILENT.ordinal();
    }

    /** Returns the address to connect to, or null if it is invalid. */
    public InetSocketAddress socketAddress() {
        return Address.parse(address);
    }

    /** Returns the same server in another state. */
    public ServerInfo withState(State newState, long newSeq) {
        return new ServerInfo(id, service, address, zone, capacity, newState, newSeq, warmupMicros);
    }

    /** Encodes it as an entry. */
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
            throw new IllegalStateException(e); // a byte array does not fail
        }
        return new Entry(Entry.Kind.SERVER, id, stamp(), bytes.toByteArray(), now);
    }

    /** Decodes an entry made by {@link #toEntry}; returns null if it is unreadable. */
    public static ServerInfo fromEntry(Entry entry) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(entry.body()))) {
            return new ServerInfo(
                    entry.key(),
                    in.readUTF(),
                    in.readUTF(),
                    in.readUTF(),
                    in.readDouble(),
                    State.VALUES[in.readUnsignedByte()],
                    in.readLong(),
                    in.readLong());
        } catch (IOException | IndexOutOfBoundsException e) {
            return null;
        }
    }
}
