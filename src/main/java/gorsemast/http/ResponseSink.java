package gorsemast.http;

import io.netty.buffer.ByteBuf;

/**
 * Receives a response that is too long to be buffered: its parts as they arrive, followed by exactly one call of
 * {@link #completed} or {@link #aborted}, unless the receiver has cancelled it. Called on the event loop.
 */
public interface ResponseSink {
    /** The next bytes; the caller keeps ownership. */
    void part(ByteBuf bytes);

    /** The response is complete. */
    void completed();

    /** The rest will never arrive. The final recipient must be able to detect the truncation. */
    void aborted();

    /** Controls the source of the parts. */
    interface FlowControl {
        /** Pauses or resumes reading; parts already in transit still arrive. */
        void pause(boolean paused);

        /** Discards the rest; no more calls follow. */
        void cancel();
    }
}
