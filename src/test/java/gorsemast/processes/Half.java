package gorsemast.processes;

import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/** One of the two halves of a relayed connection: reads its own socket and writes to the other half's; on the relay's thread. */
final class Half {
    private static final int BUFFER_BYTES = 64 << 10;

    final Way way;
    final SocketChannel socket;
    final ByteBuffer waiting = ByteBuffer.allocate(BUFFER_BYTES);
    Half other;
    boolean ended;
    boolean connected;
    /** It failed while the pair was cut: the other side hears of that when the pair is healed. */
    boolean broken;

    Half(Way way, SocketChannel socket, boolean connected) {
        this.way = way;
        this.socket = socket;
        this.connected = connected;
    }
}
