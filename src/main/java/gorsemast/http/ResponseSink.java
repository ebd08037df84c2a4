package gorsemast.http;

import io.netty.buffer.ByteBuf;

/**
 * Where an answer goes that is too long to be kept: its parts, as they come, and exactly one of {@link #completed} and
 * {@link #aborted} behind them, unless its taker has called it off. On the event loop.
 */
public interface ResponseSink {
    /** The next bytes; only lent. */
    void part(ByteBuf bytes);

    /** All of it has come. */
    void completed();

    /** The rest will never come; whoever reads it must be able to tell. */
    void aborted();

    /** The other end: how fast the parts come. */
    interface FlowControl {
        /** Asks for no more, or for more again; what is already on its way still comes. */
        void pause(boolean paused);

        /** Nobody wants the rest. Nothing comes any more. */
        void cancel();
    }
}
